// Package experiment reads the testbed's experiment files: a fleet, its traffic, scheduled faults and the policies to
// compare. The same file runs in virtual time (valeshift-testbed sim) and on loopback sockets (valeshift-testbed load).
// The package fills in defaults and reports the first wrong field; it runs no experiment itself.
package experiment

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"

	"valeshift/internal/config"
)

// Experiment is the content of one experiment file.
type Experiment struct {
	Name     string    `toml:"name"`
	Seed     uint64    `toml:"seed"`
	Length   Millis    `toml:"length"`   // duration of the run; no client arrives and no fault begins after it
	Warmup   Millis    `toml:"warm"`     // first part of the run, which the served share does not count
	Variants []string  `toml:"variants"` // policies to compare; rules are checked on the first
	Relays   Relays    `toml:"relays"`
	Network  Network   `toml:"network"`
	Fleet    Fleet     `toml:"fleet"`
	Traffic  []Traffic `toml:"traffic"`
	Faults   []Fault   `toml:"fault"`
}

// Relays describes the relays: their number, how they restart and how they are configured.
type Relays struct {
	Count              int    `toml:"count"`
	RestartDelay       Millis `toml:"back"`             // time from a relay's exit to its next start
	DetectionDelay     Millis `toml:"front-notice"`     // time until the load balancer in front detects a dead relay
	MaxDescriptors     int    `toml:"sockets"`          // limit on each relay's file descriptors; 0: none
	MaxAttempts        int    `toml:"most-setup-tries"` // greatest number of attempts for each session
	MaxRetryAfter      Millis `toml:"max-retry-after"`  // longest Retry-After that clients are told; 0: none is told
	LoadPolling        bool   `toml:"probes"`           // whether relays may poll backends for their load
	Membership         bool   `toml:"peers"`            // whether relays know of each other
	Disk               bool   `toml:"disk"`             // whether each relay has a disk
	AnnouncesReportAge bool   `toml:"report-age"`       // whether relays are told how old load reports may be
	Coordinators       int    `toml:"council"`          // number of coordinators, on the first machines; 0: none
	Replicas           int    `toml:"holdings"`         // replicas of each record; 0: none beyond the relay's own disk
	MarkerRetention    Millis `toml:"remember"`         // time that markers are kept beyond the hard limit; 0: no markers
	ReplicatesAffinity bool   `toml:"stood"`            // whether other relays hold replicas of affinity records
	KnowsEndpoints     bool   `toml:"known"`            // whether a relay starts with its last endpoint list
}

// Network describes the path between any two ends. Connections do not delay each other.
type Network struct {
	Delay            Millis  `toml:"delay"`  // least one-way delay
	Jitter           Millis  `toml:"jitter"` // mean of the random delay that is added to it
	SplitProbability float64 `toml:"split"`  // probability that a piece of data arrives in two pieces
}

// Fleet describes the backends as they are at the start. Shares and factors are given as parts of one.
type Fleet struct {
	Backends         int     `toml:"servers"`      // number of backends
	Zones            int     `toml:"zones"`        // number of zones
	Regions          int     `toml:"regions"`      // number of regions, which divide the zones in their order; 0: one
	Cores            float64 `toml:"cores"`        // cores of each backend
	SpeedSpread      float64 `toml:"speed-spread"` // greatest deviation of a backend's speed from one, up or down
	SetupWork        Millis  `toml:"setup-work"`   // time of one core that each attempt takes
	StoreRate        float64 `toml:"store-rate"`   // set-ups per second that the shared session store takes; 0: no store
	MaxReportAge     Millis  `toml:"reports"`      // greatest age of a load report
	ReportNoise      float64 `toml:"noise"`        // standard deviation of a reported load, as a part of it
	SlowStartFrom    float64 `toml:"cold-from"`    // share of its capacity that a backend has at its start
	SlowStart        Millis  `toml:"cold"`         // time from a backend's start to its full capacity
	OverloadMultiple float64 `toml:"tip-multiple"` // multiple of its present capacity that overloads one in slow start
	OverloadWindow   Millis  `toml:"fall"`         // time over which the load of new sessions is added up for that
	OverloadDowntime Millis  `toml:"down"`         // time that a backend is down after an overload
}

// Effect says what happens if a session is carried out a second time, as experiment files name it.
type Effect string

// The effects.
const (
	EffectReplayable Effect = "replayable" // nothing: the session is idempotent
	EffectReferenced Effect = "referenced" // nothing, if both carry the same idempotency key
	EffectSingleUse  Effect = "single-use" // the effect is repeated
)

// Traffic describes clients of one kind and their sessions. New clients arrive whether or not earlier ones were
// answered.
type Traffic struct {
	Class            string  `toml:"category"`     // name of the class
	Tenant           string  `toml:"party"`        // name of the tenant
	PriorityWeight   float64 `toml:"gain"`         // priority weight of the class
	Effect           Effect  `toml:"effect"`       // effect of a repeated session
	LatencyObjective Millis  `toml:"promised"`     // time within which a session should be established
	HardLimit        Millis  `toml:"hard-limit"`   // time within which a request must have its final answer
	Rate             float64 `toml:"rate"`         // new clients per second
	InitialClients   int     `toml:"standing"`     // clients that arrive over the first two seconds
	Lifetime         Millis  `toml:"life"`         // mean time that a client stays
	Load             float64 `toml:"load"`         // mean load of a session in thousandths of a core
	LoadSpread       float64 `toml:"load-spread"`  // standard deviation of the logarithm of a session's load
	LineInterval     Millis  `toml:"every"`        // time between two lines of a client
	Groups           int     `toml:"groups"`       // number of affinity groups; 0: none
	HonorsRetryAfter float64 `toml:"honours-busy"` // share of clients that wait for the Retry-After they are told
	RetryDelay       Millis  `toml:"retry"`        // time after which the other clients retry
}

// Policies are the names of the policies. The first is the relay's own balancer.
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

// Parse reads an experiment, fills in defaults and checks it. Its errors begin with line and column, or with a space
// and the field, so that they can be appended to a file name and a colon.
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

// Default returns an experiment with the default of each field that has one. Traffic and faults are filled in by
// Complete.
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
	maxKillAfterLimit = 3000.0 // milliseconds: longer hard limits count as this in KillAfter
	killAfterGrace    = 700.0  // milliseconds that KillAfter adds to the hard limit
)

// KillAfter returns how many milliseconds after telling a relay to stop the platform kills it: the longest hard limit,
// at most three seconds, plus a grace period.
func (x *Experiment) KillAfter() float64 {
	longest := 0.0
	for _, t := range x.Traffic {
		longest = max(longest, float64(t.HardLimit))
	}
	return min(longest, maxKillAfterLimit) + killAfterGrace
}

// Zone returns the name of a zone by its number; numbers start at 0.
func Zone(number int) string { return string(rune('a' + number)) }

// Region returns the name of the region that a zone is in.
func (x *Experiment) Region(zone int) string {
	return fmt.Sprint("r", zone*max(x.Fleet.Regions, 1)/x.Fleet.Zones)
}

// Rand returns a source of random numbers for one use. It depends on the seed, use and number only, so that the numbers
// that one part of the testbed draws don't affect those of another.
func (x *Experiment) Rand(use string, number int) *rand.Rand {
	seed := x.Seed
	for _, c := range use + strconv.Itoa(number) {
		seed = (seed ^ uint64(c)) * 0x9e3779b97f4a7c15
		seed ^= seed >> 29
	}
	return rand.New(rand.NewSource(int64(seed)))
}
