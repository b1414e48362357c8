// Package experiment reads the testbed's experiment files: a fleet, its traffic, faults on a time axis and the
// policies to compare. The same file is played under virtual time (valeshift-testbed sim) and on loopback
// sockets (valeshift-testbed load). The package says which field is wrong and fills in what is left out; it
// plays nothing.
package experiment

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"

	"valeshift/internal/config"
)

// Experiment is one file.
type Experiment struct {
	Name     string    `toml:"name"`
	Seed     uint64    `toml:"seed"`
	Length   Millis    `toml:"length"`   // arrivals and faults end here
	Warmup   Millis    `toml:"warm"`     // of it, the start that is not counted in the served share
	Variants []string  `toml:"variants"` // policies to compare; the first is the one that rules are checked on
	Relays   Relays    `toml:"relays"`
	Network  Network   `toml:"network"`
	Fleet    Fleet     `toml:"fleet"`
	Traffic  []Traffic `toml:"traffic"`
	Faults   []Fault   `toml:"fault"`
}

// Relays says how many relays there are, how they come back and what they are told.
type Relays struct {
	Count              int    `toml:"count"`
	RestartDelay       Millis `toml:"back"`             // from a relay's end to its next start
	DetectionDelay     Millis `toml:"front-notice"`     // until the load balancer sees that one has died
	MaxDescriptors     int    `toml:"sockets"`          // limit on file descriptors; 0: none
	MaxAttempts        int    `toml:"most-setup-tries"` // for each session
	MaxRetryAfter      Millis `toml:"max-retry-after"`  // the longest Retry-After that clients are told; 0: none
	LoadPolling        bool   `toml:"probes"`           // whether relays may poll backends for their load
	Membership         bool   `toml:"peers"`            // whether relays know of each other
	Disk               bool   `toml:"disk"`             // whether each has a disk
	AnnouncesReportAge bool   `toml:"report-age"`       // whether operators say how old load reports may be
	Coordinators       int    `toml:"council"`          // that decide on zones, on the first machines; 0: none
	Replicas           int    `toml:"holdings"`         // of what a relay promises a client; 0: on its own disk alone
	MarkerRetention    Millis `toml:"remember"`         // of attempt markers, beyond the hard limit; 0: there are none
	ReplicatesAffinity bool   `toml:"stood"`            // whether other relays hold where clients and groups stand
	KnowsEndpoints     bool   `toml:"known"`            // whether a relay starts with the endpoint list it had last
}

// Network is what lies between any two ends. Two connections do not wait for one another.
type Network struct {
	Delay            Millis  `toml:"delay"`  // one way, at the least
	Jitter           Millis  `toml:"jitter"` // mean of what comes on top of it
	SplitProbability float64 `toml:"split"`  // that a piece arrives in two
}

// Fleet is the backends as they are at the start. Shares and factors are parts of one.
type Fleet struct {
	Backends         int     `toml:"servers"`
	Zones            int     `toml:"zones"`
	Regions          int     `toml:"regions"` // that the zones lie in, the first ones in the first; 0: one
	Cores            float64 `toml:"cores"`
	SpeedSpread      float64 `toml:"speed-spread"` // of one, either way, between backends
	SetupWork        Millis  `toml:"setup-work"`   // of one core, for each attempt
	StoreRate        float64 `toml:"store-rate"`   // set-ups a second that the session store takes; 0: no store
	MaxReportAge     Millis  `toml:"reports"`      // that load reports may reach
	ReportNoise      float64 `toml:"noise"`        // standard deviation of a reported load
	SlowStartFrom    float64 `toml:"cold-from"`    // part of its capacity that a backend starts with
	SlowStart        Millis  `toml:"cold"`         // until it has all of it
	OverloadMultiple float64 `toml:"tip-multiple"` // of its present capacity: sent more than that, a cold one falls over
	OverloadWindow   Millis  `toml:"fall"`         // within which it is sent so much
	OverloadDowntime Millis  `toml:"down"`         // for which it lies there
}

// Effect is what a second run of a session would do, as experiment files name it.
type Effect string

// The effects.
const (
	EffectReplayable Effect = "replayable" // idempotent
	EffectReferenced Effect = "referenced" // idempotent, with an idempotency key
	EffectSingleUse  Effect = "single-use" // done again
)

// Traffic is the sessions of one kind. They come whether or not those before were answered.
type Traffic struct {
	Class            string  `toml:"category"`
	Tenant           string  `toml:"party"`
	PriorityWeight   float64 `toml:"gain"`
	Effect           Effect  `toml:"effect"`
	LatencyObjective Millis  `toml:"promised"`
	HardLimit        Millis  `toml:"hard-limit"`
	Rate             float64 `toml:"rate"`     // new clients a second
	InitialClients   int     `toml:"standing"` // clients that come over the first two seconds
	Lifetime         Millis  `toml:"life"`     // mean
	Load             float64 `toml:"load"`     // mean, in thousandths of a core
	LoadSpread       float64 `toml:"load-spread"`
	LineInterval     Millis  `toml:"every"`        // between a client's lines
	Groups           int     `toml:"groups"`       // affinity groups; 0: none
	HonorsRetryAfter float64 `toml:"honours-busy"` // share of clients that come back when told and not before
	RetryDelay       Millis  `toml:"retry"`        // after which the others do
}

// Policies are the names of the policies. The first is the relay's own.
var Policies = []string{"module", "random", "round-robin", "least", "two", "near", "sight", "sight-kept"}

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

// Parse reads an experiment, fills in what is left out and checks the whole. Its errors begin with line and
// column, or with a space and the field, so that they can be put behind a file's name and a colon.
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

// Default returns what holds where a file is silent.
func Default() *Experiment {
	return &Experiment{
		Name:   "unnamed",
		Seed:   1,
		Length: 30000,
		Warmup: 3000,
		Relays: Relays{
			Count:          2,
			RestartDelay:   1000,
			DetectionDelay: 2000,
			MaxAttempts:    3,
			MaxRetryAfter:  1000,
			LoadPolling:    true,
			KnowsEndpoints: true,
		},
		Network: Network{
			Delay:            0.2,
			Jitter:           0.2,
			SplitProbability: 0.01,
		},
		Fleet: Fleet{
			Backends:         10,
			Zones:            1,
			Cores:            4,
			SpeedSpread:      0.1,
			SetupWork:        4,
			MaxReportAge:     200,
			ReportNoise:      0.02,
			SlowStartFrom:    0.2,
			SlowStart:        9000,
			OverloadMultiple: 3,
			OverloadWindow:   2000,
			OverloadDowntime: 5000,
		},
	}
}

const (
	maxKillAfterLimit = 3000.0 // of the hard limits, the most that counts for KillAfter
	killAfterGrace    = 700.0
)

// KillAfter returns when the platform kills a relay that it told to stop, in milliseconds: the longest hard
// limit, three seconds at the most, and a grace.
func (x *Experiment) KillAfter() float64 {
	longest := 0.0
	for _, t := range x.Traffic {
		longest = max(longest, float64(t.HardLimit))
	}
	return min(longest, maxKillAfterLimit) + killAfterGrace
}

// Zone returns the name of the zone of that number, from 0 on.
func Zone(number int) string { return string(rune('a' + number)) }

// Region returns the name of the region of that zone.
func (x *Experiment) Region(zone int) string {
	return fmt.Sprint("r", zone*max(x.Fleet.Regions, 1)/x.Fleet.Zones)
}

// Rand returns a random source for one use, so that what one part draws changes no other part's draws.
func (x *Experiment) Rand(use string, number int) *rand.Rand {
	seed := x.Seed
	for _, c := range use + strconv.Itoa(number) {
		seed = (seed ^ uint64(c)) * 0x9e3779b97f4a7c15
		seed ^= seed >> 29
	}
	return rand.New(rand.NewSource(int64(seed)))
}
