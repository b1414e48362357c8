// Package experiment reads the lab's experiment files: a fleet, its traffic, faults on a time axis and the
// variants to compare. The same file is played under virtual time (valeshift-testbed sim) and on loopback sockets
// (valeshift-testbed load). The package says which field is wrong and fills in what is left out; it plays nothing.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"valeshift/internal/config"
)

// Millis is a length of time in milliseconds, written like "1.5s".
type Millis float64

// UnmarshalText reads a length such as "250ms".
func (s *Millis) UnmarshalText(text []byte) error {
	ms, ok := config.ParseMilliseconds(text, 24*time.Hour)
	if !ok {
		return fmt.Errorf("a length from 0 to 24h expected, such as \"250ms\", got %q", text)
	}
	*s = Millis(ms)
	return nil
}

// MarshalText writes the length as it is read.
func (s Millis) MarshalText() ([]byte, error) {
	return []byte(time.Duration(math.Round(float64(s) * float64(time.Millisecond))).String()), nil
}

// Experiment is one file.
type Experiment struct {
	Name     string    `toml:"name"`
	Seed     uint64    `toml:"seed"`
	Length   Millis    `toml:"length"`   // arrivals and faults end here
	Warmup   Millis    `toml:"warm"`     // of it, the start that service isn't counted in
	Variants []string  `toml:"variants"` // policies to compare; the first is the one that rules are checked on
	Relays   Relays    `toml:"relays"`
	Network  Network   `toml:"network"`
	Fleet    Fleet     `toml:"fleet"`
	Traffic  []Traffic `toml:"traffic"`
	Faults   []Fault   `toml:"fault"`
}

// Relays says how many there are and how they come back.
type Relays struct {
	Count              int    `toml:"count"`
	RestartDelay       Millis `toml:"back"`         // from a relay's end to its next start
	DetectionDelay     Millis `toml:"front-notice"` // until the clients' front sees that one has died
	MaxDescriptors     int    `toml:"sockets"`      // limit on descriptors; 0: none
	MaxAttempts        int    `toml:"most-setup-tries"`
	MaxRetryAfter      Millis `toml:"max-retry-after"` // the longest time to come back that is told; 0: none
	LoadPolling        bool   `toml:"probes"`
	Membership         bool   `toml:"peers"`      // whether relays know of each other
	Disk               bool   `toml:"disk"`       // whether each has a disk
	AnnouncesReportAge bool   `toml:"report-age"` // whether operators say how old servers' reports may be
	Coordinators       int    `toml:"council"`    // voters that decide on zones, on the first machines; 0: none
	Replicas           int    `toml:"holdings"`   // machines that what a relay tells a client lies on; 0: its own alone
	MarkerRetention    Millis `toml:"remember"`   // beyond a link's hard limit, that marks of its tries are held; 0: none are
	ReplicatesAffinity bool   `toml:"stood"`      // whether others hold where clients and groups stand
	KnowsEndpoints     bool   `toml:"known"`      // whether the platform gives a relay the list as it last had it
}

// Network is what lies between any two ends; two connections don't wait for one another.
type Network struct {
	Delay            Millis  `toml:"delay"`  // one way, at the least
	Jitter           Millis  `toml:"jitter"` // mean of what comes on top of it
	SplitProbability float64 `toml:"split"`  // chance that a piece arrives in two
}

// Fleet is the servers as they are at the start. Shares and factors are parts of one.
type Fleet struct {
	Backends         int     `toml:"servers"`
	Zones            int     `toml:"zones"`
	Regions          int     `toml:"regions"` // that the zones lie in, the first ones in the first; 0: one
	Cores            float64 `toml:"cores"`
	SpeedSpread      float64 `toml:"speed-spread"` // of one, either way, between servers
	SetupWork        Millis  `toml:"setup-work"`   // of one core, for each setup try
	StoreRate        float64 `toml:"store-rate"`   // set-ups a second that the shared session store takes; 0: no store
	MaxReportAge     Millis  `toml:"reports"`      // age that load reports may reach
	ReportNoise      float64 `toml:"noise"`        // of a reported load, standard deviation
	SlowStartFrom    float64 `toml:"cold-from"`    // part of its capacity that a server starts with
	SlowStart        Millis  `toml:"cold"`         // until it has all of it
	OverloadMultiple float64 `toml:"tip-multiple"` // of its present capacity: pushed beyond it within Fall, it falls over
	OverloadWindow   Millis  `toml:"fall"`
	OverloadDowntime Millis  `toml:"down"` // how long it lies there
}

// Traffic is links of one kind. They come whether or not those before were answered.
type Traffic struct {
	Class            string  `toml:"category"`
	Tenant           string  `toml:"party"`
	PriorityWeight   float64 `toml:"gain"`
	Effect           string  `toml:"effect"` // replayable, referenced or single-use
	LatencyObjective Millis  `toml:"promised"`
	HardLimit        Millis  `toml:"hard-limit"`
	Rate             float64 `toml:"rate"`     // new clients a second
	InitialClients   int     `toml:"standing"` // clients that come over the first two seconds
	Lifetime         Millis  `toml:"life"`     // mean
	Load             float64 `toml:"load"`     // mean, in thousandths of a core
	LoadSpread       float64 `toml:"load-spread"`
	LineInterval     Millis  `toml:"every"` // between a client's lines
	Groups           int     `toml:"groups"`
	HonorsRetryAfter float64 `toml:"honours-busy"` // share of clients that come back when told and not before
	RetryDelay       Millis  `toml:"retry"`        // after which the others do
}

// Fault is something that goes wrong, or is done to the fleet, from At on for a time.
type Fault struct {
	Kind          string  `toml:"kind"`
	At            Millis  `toml:"at"`
	Duration      Millis  `toml:"for"`
	Share         float64 `toml:"share"`  // of the servers, relays or clients, one at the least
	Factor        float64 `toml:"factor"` // what it means goes by the kind
	ReturnSpread  Millis  `toml:"spread"` // power-loss: over which what went returns, after For
	NeverReturn   int     `toml:"never"`  // power-loss: so many relays do not return
	Disk          string  `toml:"disk"`   // power-loss, relay-kill: what becomes of the relays' disks meanwhile
	From          string  `toml:"from"`   // way-...: relays, discovery, relay-N, zone-X, half or rest
	To            string  `toml:"to"`
	Bidirectional bool    `toml:"both"` // way-...: and back
}

// Impairment is what one direction between two machines does to what passes. The zero one passes all at once.
type Impairment struct {
	Cut            bool    // nothing passes: bytes wait, datagrams are lost
	Delay          Millis  // of each piece
	Jitter         Millis  // up to which comes on top
	Loss           float64 // of datagrams, the part that is lost
	Duplicate      float64 // the part that arrives twice
	Reorder        float64 // the part that is overtaken
	Reset          bool    // connections are reset as soon as anything would pass
	BytesPerSecond int     // bytes a second of a connection; 0: any
	MaxPiece       int     // bytes of a piece at the most; 0: any
}

// Discovery is its number where machines are numbered; relays have theirs from 0 on.
const Discovery = -1

// ways are the kinds that change what lies between machines, by what they do to it.
var ways = map[string]func(factor float64) Impairment{
	"way-cut":     func(float64) Impairment { return Impairment{Cut: true} },
	"way-delay":   func(f float64) Impairment { return Impairment{Delay: Millis(f * 1000), Jitter: Millis(f * 500)} },
	"way-loss":    func(f float64) Impairment { return Impairment{Loss: f} },
	"way-double":  func(f float64) Impairment { return Impairment{Duplicate: f} },
	"way-reorder": func(f float64) Impairment { return Impairment{Reorder: f} },
	"way-reset":   func(float64) Impairment { return Impairment{Reset: true} },
	"way-trickle": func(f float64) Impairment { return Impairment{BytesPerSecond: int(f)} },
	"way-pieces":  func(f float64) Impairment { return Impairment{MaxPiece: int(f)} },
}

// Impairment is what a fault does to the ways that it is about; false where it is about none.
func (f *Fault) Impairment() (Impairment, bool) {
	if way := ways[f.Kind]; way != nil {
		return way(f.Factor), true
	}
	return Impairment{}, false
}

// place tells whether a machine belongs to what a fault names: "relays", "discovery", "relay-3", "zone-b"
// (the relays there), "half" (those of even numbers) or "rest" (of odd ones).
func place(named string, machine, zones int) bool {
	switch {
	case machine == Discovery:
		return named == "discovery"
	case named == "relays":
		return true
	case named == "half" || named == "rest":
		return machine%2 == 0 == (named == "half")
	}
	return named == fmt.Sprintf("relay-%d", machine) || named == "zone-"+Zone(machine%zones)
}

// AffectsLink tells whether the fault is about the way from one machine to another.
func (x *Experiment) AffectsLink(f *Fault, from, to int) bool {
	at := func(named string, machine int) bool { return place(named, machine, x.Fleet.Zones) }
	return from != to && ((at(f.From, from) && at(f.To, to)) || (f.Bidirectional && at(f.From, to) && at(f.To, from)))
}

// FaultKinds tells each kind of fault and what its factor means.
var FaultKinds = map[string]string{
	"silent":          "servers say nothing and take nothing in; their connections stay open",
	"reset":           "servers break all their connections, once, at the start",
	"refuse":          "servers refuse new connections",
	"slow":            "servers work at that part of their speed (factor)",
	"stalls":          "servers stand still for 300 ms of each second",
	"neighbour":       "somebody else takes that part of the servers' cores (factor)",
	"slow-store":      "the shared store works at that part of its rate (factor)",
	"drain":           "servers are said to leave, and are back at the end",
	"leave":           "servers are said to leave; 5 s later they are gone, and back, cold, at the end",
	"growth":          "so many new cold servers come, as a part of the fleet (share)",
	"cold-return":     "servers die and are back at the end under their names, cold",
	"address-taken":   "servers die; their addresses answer at once as new ones of other names",
	"zone-lost":       "all servers and relays of a zone die, and are back, cold, at the end",
	"region-lost":     "as a zone, all of a region",
	"zone-grey":       "a zone's servers break that part of the setup tries (factor); their health calls are fine",
	"answers-lost":    "that share of the servers do that part of the setup tries (factor), and break before they say so",
	"zone-busy":       "somebody else takes that part of the cores of a zone's servers (factor)",
	"zone-cut":        "nothing passes between one zone and the others",
	"discovery-late":  "each change of the list is told that much later (factor, in seconds)",
	"discovery-down":  "watches end and none can be opened",
	"discovery-lying": "the list leaves out that share of the servers, though they serve",
	"discovery-back":  "the list counts its versions anew from 1, at the start",
	"power-loss":      "servers, relays and discovery go at one instant, and return over a spread (share, spread, never, disk)",
	"relay-freeze":    "relays are stopped for the time (SIGSTOP) and go on as if nothing had been",
	"way-cut":         "nothing passes from some machines to others (from, to, both): bytes wait, datagrams are lost",
	"way-delay":       "what passes takes that much longer (factor, in seconds)",
	"way-loss":        "that part of the datagrams is lost (factor)",
	"way-double":      "that part of the datagrams arrives twice (factor)",
	"way-reorder":     "that part of the datagrams is overtaken (factor)",
	"way-reset":       "connections between them are reset as soon as anything passes",
	"way-trickle":     "their connections pass so many bytes a second (factor)",
	"way-pieces":      "their connections pass pieces of so many bytes (factor)",
	"clock-wrong":     "relays' machines have a clock so far ahead (factor, in seconds; below 0: behind)",
	"relay-kill":      "relays are killed, and come back",
	"relay-restart":   "relays are stopped by SIGTERM, and come back",
	"relay-drain":     "operators empty relays, and take them back to work at the end",
	"relay-replace":   "another process takes each relay over, on the same socket",
	"reload":          "relays are given another address of discovery",
	"wave":            "that share of the clients lose their connections at once",
	"burst":           "new clients come at that multiple of the rate (factor)",
}

// Policies are the names of the policies.
var Policies = []string{"module", "random", "round-robin", "least", "two", "near", "sight", "sight-kept"}

// Bounds on an experiment's size, against a slip that takes the machine down.
const (
	mostServers = 20000
	mostRelays  = 2000
	mostClients = 5e6
)

// ReadFile reads an experiment file.
func ReadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	x, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return x, nil
}

// Parse reads an experiment, fills in what is left out and checks the whole.
func Parse(text []byte) (*Experiment, error) {
	x := Default()
	if err := config.DecodeStrict(text, x); err != nil {
		return nil, err
	}
	if err := x.Complete(); err != nil {
		return nil, fmt.Errorf(" %w", err)
	}
	return x, nil
}

// Default is what holds where a file is silent.
func Default() *Experiment {
	return &Experiment{Name: "unnamed", Seed: 1, Length: 30000, Warmup: 3000,
		Relays: Relays{Count: 2, RestartDelay: 1000, DetectionDelay: 2000, MaxAttempts: 3, MaxRetryAfter: 1000, LoadPolling: true,
			KnowsEndpoints: true},
		Network: Network{Delay: 0.2, Jitter: 0.2, SplitProbability: 0.01},
		Fleet: Fleet{Backends: 10, Zones: 1, Cores: 4, SpeedSpread: 0.1, SetupWork: 4, MaxReportAge: 200, ReportNoise: 0.02,
			SlowStartFrom: 0.2, SlowStart: 9000, OverloadMultiple: 3, OverloadWindow: 2000, OverloadDowntime: 5000}}
}

// Complete fills in each traffic and fault, and names the first field that is out of bounds.
func (x *Experiment) Complete() error {
	if len(x.Variants) == 0 {
		x.Variants = []string{Policies[0]}
	}
	for _, v := range x.Variants {
		if !slices.Contains(Policies, v) {
			return fmt.Errorf("variants: one of %s expected, got %q", strings.Join(Policies, ", "), v)
		}
	}
	f := &x.Fleet
	checks := []check{
		{"length", float64(x.Length), 1000, 3.6e6}, {"warm", float64(x.Warmup), 0, float64(x.Length) - 1000},
		{"relays.count", float64(x.Relays.Count), 1, mostRelays},
		{"relays.back", float64(x.Relays.RestartDelay), 1, 3.6e6},
		{"relays.front-notice", float64(x.Relays.DetectionDelay), 0, 3.6e6},
		{"relays.sockets", float64(x.Relays.MaxDescriptors), 0, 1e6},
		{"relays.council", float64(x.Relays.Coordinators), 0, float64(min(x.Relays.Count, 7))},
		{"fleet.regions", float64(f.Regions), 0, float64(f.Zones)},
		{"relays.most-setup-tries", float64(x.Relays.MaxAttempts), 1, 100},
		{"relays.max-retry-after", float64(x.Relays.MaxRetryAfter), 0, 60000},
		{"network.delay", float64(x.Network.Delay), 0.01, 1000},
		{"network.jitter", float64(x.Network.Jitter), 0, 1000}, {"network.split", x.Network.SplitProbability, 0, 1},
		{"fleet.servers", float64(f.Backends), 1, mostServers},
		{"fleet.zones", float64(f.Zones), 1, float64(min(f.Backends, 26))}, {"fleet.cores", f.Cores, 0.01, 1024},
		{"fleet.speed-spread", f.SpeedSpread, 0, 0.9}, {"fleet.setup-work", float64(f.SetupWork), 0, 10000},
		{"fleet.store-rate", f.StoreRate, 0, 1e6}, {"fleet.reports", float64(f.MaxReportAge), 0, 60000},
		{"fleet.noise", f.ReportNoise, 0, 1}, {"fleet.cold-from", f.SlowStartFrom, 0.01, 1},
		{"fleet.cold", float64(f.SlowStart), 0, 3.6e6}, {"fleet.tip-multiple", f.OverloadMultiple, 0.1, 1000},
		{"fleet.fall", float64(f.OverloadWindow), 100, 60000}, {"fleet.down", float64(f.OverloadDowntime), 100, 3.6e6},
	}
	if n := x.Relays.Coordinators; n > 0 && (n%2 == 0 || !x.Relays.Membership) {
		return fmt.Errorf("relays.council: an odd number, and relays.peers, expected, got %d", n)
	}
	if n := x.Relays.Replicas; n > 0 && (n%2 == 0 || n > 7 || !x.Relays.Membership || !x.Relays.Disk) {
		return fmt.Errorf("relays.holdings: 1, 3, 5 or 7, and relays.peers and .disk, expected, got %d", n)
	}
	if m := x.Relays.MarkerRetention; m < 0 || m > 60000 || (m > 0 && x.Relays.Replicas == 0) {
		return fmt.Errorf("relays.remember: 0 to 60 s, and relays.holdings, expected, got %.0f ms", float64(m))
	}
	if x.Relays.ReplicatesAffinity && x.Relays.Replicas == 0 {
		return fmt.Errorf("relays.stood: relays.holdings expected beside it, got nothing")
	}
	clients := 0.0
	for i := range x.Traffic {
		t := &x.Traffic[i]
		t.fill(i)
		clients += float64(t.InitialClients) + t.Rate*float64(x.Length)/1000
		at := fmt.Sprintf("traffic.%d.", i)
		if !slices.Contains([]string{"replayable", "referenced", "single-use"}, t.Effect) {
			return fmt.Errorf("%seffect: replayable, referenced or single-use expected, got %q", at, t.Effect)
		}
		for _, name := range []struct{ field, value string }{{"category", t.Class}, {"party", t.Tenant}} {
			if strings.ContainsFunc(name.value, func(r rune) bool {
				return r <= ' ' || r > '~' || r == ',' ||
					r == '='
			}) {
				return fmt.Errorf("%s%s: a name of plain letters expected, got %q", at, name.field, name.value)
			}
		}
		checks = append(checks, check{at + "gain", t.PriorityWeight, 0.001, 1e6},
			check{at + "promised", float64(t.LatencyObjective), 1, 60000},
			check{at + "hard-limit", float64(t.HardLimit), float64(t.LatencyObjective), 60000},
			check{at + "rate", t.Rate, 0, 1e6}, check{at + "standing", float64(t.InitialClients), 0, 1e6},
			check{at + "life", float64(t.Lifetime), 100, 3.6e6}, check{at + "load", t.Load, 0, 1e6},
			check{at + "load-spread", t.LoadSpread, 0, 3}, check{at + "every", float64(t.LineInterval), 10, 60000},
			check{at + "groups", float64(t.Groups), 0, 1e6}, check{at + "honours-busy", t.HonorsRetryAfter, 0, 1},
			check{at + "retry", float64(t.RetryDelay), 1, 60000})
	}
	checks = append(checks, check{"traffic: clients in all", clients, 1, mostClients})
	for i := range x.Faults {
		t := &x.Faults[i]
		t.fill()
		at := fmt.Sprintf("fault.%d.", i)
		if FaultKinds[t.Kind] == "" {
			return fmt.Errorf("%skind: no such kind: %q", at, t.Kind)
		}
		checks = append(checks, check{at + "at", float64(t.At), 0, float64(x.Length)},
			check{at + "for", float64(t.Duration), 0, float64(x.Length)}, check{at + "share", t.Share, 0, 1},
			check{at + "factor", t.Factor, t.leastFactor(), 1e6},
			check{at + "spread", float64(t.ReturnSpread), 0, float64(x.Length)},
			check{at + "never", float64(t.NeverReturn), 0, float64(x.Relays.Count - 1)})
		if err := t.names(at, x); err != nil {
			return err
		}
	}
	for _, c := range checks {
		if !(c.value >= c.least && c.value <= c.most) {
			return fmt.Errorf("%s: from %v to %v expected, got %v", c.field, c.least, c.most, c.value)
		}
	}
	return nil
}

type check struct {
	field       string
	value       float64
	least, most float64
}

func (t *Traffic) fill(i int) {
	t.Class = cmp.Or(t.Class, fmt.Sprintf("kind%d", i))
	t.Tenant = cmp.Or(t.Tenant, "all")
	t.Effect = cmp.Or(t.Effect, "replayable")
	t.PriorityWeight = cmp.Or(t.PriorityWeight, 1)
	t.LatencyObjective = cmp.Or(t.LatencyObjective, 500)
	t.HardLimit = cmp.Or(t.HardLimit, max(2000, t.LatencyObjective))
	t.Lifetime = cmp.Or(t.Lifetime, 20000)
	t.Load = cmp.Or(t.Load, 10)
	t.LineInterval = cmp.Or(t.LineInterval, 2000)
	t.RetryDelay = cmp.Or(t.RetryDelay, 200)
}

// DiskFaults are what can become of the disks of relays that are down.
var DiskFaults = []string{"", "wiped", "torn", "flipped", "older", "another's", "full", "read-only", "slow"}

// names checks what a fault names.
func (f *Fault) names(at string, x *Experiment) error {
	if !slices.Contains(DiskFaults, f.Disk) {
		return fmt.Errorf("%sdisk: one of %s expected, got %q", at, strings.Join(DiskFaults[1:], ", "), f.Disk)
	}
	if _, way := f.Impairment(); !way {
		return nil
	}
	for _, end := range []struct{ field, value string }{{"from", f.From}, {"to", f.To}} {
		known := slices.Contains([]string{"discovery", "half", "rest"}, end.value)
		for i := range x.Relays.Count {
			known = known || place(end.value, i, x.Fleet.Zones)
		}
		if !known {
			return fmt.Errorf("%s%s: relays, discovery, relay-N, zone-X, half or rest expected, got %q", at,
				end.field, end.value)
		}
	}
	return nil
}

func (f *Fault) leastFactor() float64 {
	if f.Kind == "clock-wrong" {
		return -1e6
	}
	return 0
}

func (f *Fault) fill() {
	f.Share = cmp.Or(f.Share, 0.2)
	f.Duration = cmp.Or(f.Duration, 5000)
	if _, way := f.Impairment(); way {
		f.From, f.To = cmp.Or(f.From, "relays"), cmp.Or(f.To, "discovery")
	}
	if f.Factor == 0 {
		switch f.Kind {
		case "slow", "neighbour", "zone-busy":
			f.Factor = 0.4
		case "slow-store":
			f.Factor = 0.2
		case "zone-grey", "answers-lost":
			f.Factor = 0.34
		case "discovery-late":
			f.Factor = 2
		case "burst":
			f.Factor = 3
		case "clock-wrong":
			f.Factor = 3600
		case "way-delay":
			f.Factor = 0.1
		case "way-loss", "way-double", "way-reorder":
			f.Factor = 0.2
		case "way-trickle":
			f.Factor = 2000
		case "way-pieces":
			f.Factor = 7
		}
	}
}

// KillAfter is when the platform kills a relay that it told to stop: the longest hard limit, three seconds at
// the most, and 0.7 s more.
func (x *Experiment) KillAfter() float64 {
	longest := 0.0
	for _, t := range x.Traffic {
		longest = max(longest, float64(t.HardLimit))
	}
	return min(longest, 3000) + 700
}

// Zone names a zone by its number.
func Zone(n int) string { return string(rune('a' + n)) }

// Region is the name of that zone's.
func (x *Experiment) Region(zone int) string {
	return fmt.Sprint("r", zone*max(x.Fleet.Regions, 1)/x.Fleet.Zones)
}
