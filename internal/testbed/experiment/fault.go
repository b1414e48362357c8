package experiment

import "cmp"

// FaultKind is what goes wrong, as experiment files name it.
type FaultKind string

// The kinds of fault. FaultKinds says what each does.
const (
	FaultSilent         FaultKind = "silent"
	FaultReset          FaultKind = "reset"
	FaultRefuse         FaultKind = "refuse"
	FaultSlow           FaultKind = "slow"
	FaultStalls         FaultKind = "stalls"
	FaultNeighbour      FaultKind = "neighbour"
	FaultSlowStore      FaultKind = "slow-store"
	FaultDrain          FaultKind = "drain"
	FaultLeave          FaultKind = "leave"
	FaultGrowth         FaultKind = "growth"
	FaultColdReturn     FaultKind = "cold-return"
	FaultAddressTaken   FaultKind = "address-taken"
	FaultZoneLost       FaultKind = "zone-lost"
	FaultRegionLost     FaultKind = "region-lost"
	FaultZoneGrey       FaultKind = "zone-grey"
	FaultAnswersLost    FaultKind = "answers-lost"
	FaultZoneBusy       FaultKind = "zone-busy"
	FaultZoneCut        FaultKind = "zone-cut"
	FaultDiscoveryLate  FaultKind = "discovery-late"
	FaultDiscoveryDown  FaultKind = "discovery-down"
	FaultDiscoveryLying FaultKind = "discovery-lying"
	FaultDiscoveryBack  FaultKind = "discovery-back"
	FaultPowerLoss      FaultKind = "power-loss"
	FaultRelayFreeze    FaultKind = "relay-freeze"
	FaultWayCut         FaultKind = "way-cut"
	FaultWayDelay       FaultKind = "way-delay"
	FaultWayLoss        FaultKind = "way-loss"
	FaultWayDouble      FaultKind = "way-double"
	FaultWayReorder     FaultKind = "way-reorder"
	FaultWayReset       FaultKind = "way-reset"
	FaultWayTrickle     FaultKind = "way-trickle"
	FaultWayPieces      FaultKind = "way-pieces"
	FaultClockWrong     FaultKind = "clock-wrong"
	FaultRelayKill      FaultKind = "relay-kill"
	FaultRelayRestart   FaultKind = "relay-restart"
	FaultRelayDrain     FaultKind = "relay-drain"
	FaultRelayReplace   FaultKind = "relay-replace"
	FaultReload         FaultKind = "reload"
	FaultWave           FaultKind = "wave"
	FaultBurst          FaultKind = "burst"
)

// FaultKinds describes each kind of fault and what its factor means.
var FaultKinds = map[FaultKind]string{
	FaultSilent:         "backends say nothing and take nothing in; their connections stay open",
	FaultReset:          "backends break all their connections, once, at the start",
	FaultRefuse:         "backends refuse new connections",
	FaultSlow:           "backends work at that part of their speed (factor)",
	FaultStalls:         "backends stand still for 300 ms of each second",
	FaultNeighbour:      "somebody else takes that part of the backends' cores (factor)",
	FaultSlowStore:      "the shared store works at that part of its rate (factor)",
	FaultDrain:          "backends are said to leave, and are back at the end",
	FaultLeave:          "backends are said to leave; 5 s later they are gone, and back, cold, at the end",
	FaultGrowth:         "so many new cold backends come, as a part of the fleet (share)",
	FaultColdReturn:     "backends die and are back at the end under their names, cold",
	FaultAddressTaken:   "backends die; their addresses answer at once as new ones of other names",
	FaultZoneLost:       "all backends and relays of a zone die, and are back, cold, at the end",
	FaultRegionLost:     "as a zone, all of a region",
	FaultZoneGrey:       "a zone's backends break that part of the attempts (factor); their health checks are fine",
	FaultAnswersLost:    "that share of the backends do that part of the attempts (factor), and break before they say so",
	FaultZoneBusy:       "somebody else takes that part of the cores of a zone's backends (factor)",
	FaultZoneCut:        "nothing passes between one zone and the others",
	FaultDiscoveryLate:  "each change of the endpoint list is told that much later (factor, in seconds)",
	FaultDiscoveryDown:  "watches end and none can be opened",
	FaultDiscoveryLying: "the endpoint list leaves out that share of the backends, though they serve",
	FaultDiscoveryBack:  "the endpoint list counts its versions anew from 1, at the start",
	FaultPowerLoss:      "backends, relays and discovery go at one instant, and return over a spread (share, spread, never, disk)",
	FaultRelayFreeze:    "relays are stopped for the time (SIGSTOP) and go on as if nothing had been",
	FaultWayCut:         "nothing passes from some machines to others (from, to, both): bytes wait, datagrams are lost",
	FaultWayDelay:       "what passes takes that much longer (factor, in seconds)",
	FaultWayLoss:        "that part of the datagrams is lost (factor)",
	FaultWayDouble:      "that part of the datagrams arrives twice (factor)",
	FaultWayReorder:     "that part of the datagrams is overtaken (factor)",
	FaultWayReset:       "connections between them are reset as soon as anything passes",
	FaultWayTrickle:     "their connections pass so many bytes a second (factor)",
	FaultWayPieces:      "their connections pass pieces of so many bytes (factor)",
	FaultClockWrong:     "relays' machines have a clock so far ahead (factor, in seconds; below 0: behind)",
	FaultRelayKill:      "relays are killed, and come back",
	FaultRelayRestart:   "relays are stopped by SIGTERM, and come back",
	FaultRelayDrain:     "operators drain relays, and take them back to work at the end",
	FaultRelayReplace:   "another process takes each relay over, on the same socket",
	FaultReload:         "relays are given another address of discovery",
	FaultWave:           "that share of the clients lose their connections at once",
	FaultBurst:          "new clients come at that multiple of the rate (factor)",
}

// DiskFault is what becomes of a relay's disk while the relay is down, as experiment files name it.
type DiskFault string

// The disk faults.
const (
	DiskIntact   DiskFault = ""
	DiskWiped    DiskFault = "wiped"
	DiskTorn     DiskFault = "torn"
	DiskFlipped  DiskFault = "flipped"   // single bits
	DiskOlder    DiskFault = "older"     // a copy of an earlier state
	DiskAnothers DiskFault = "another's" // that of another relay
	DiskFull     DiskFault = "full"
	DiskReadOnly DiskFault = "read-only"
	DiskSlow     DiskFault = "slow"
)

// DiskFaults are all disk faults, DiskIntact first.
var DiskFaults = []DiskFault{DiskIntact, DiskWiped, DiskTorn, DiskFlipped, DiskOlder, DiskAnothers, DiskFull,
	DiskReadOnly, DiskSlow}

// Fault is something that goes wrong, or is done to the fleet, from At on for a time.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	At       Millis    `toml:"at"`
	Duration Millis    `toml:"for"`
	Share    float64   `toml:"share"`  // of the backends, relays or clients, one at the least
	Factor   float64   `toml:"factor"` // what it means depends on the kind

	// Of power-loss.
	ReturnSpread Millis `toml:"spread"` // over which relays and backends return, after Duration
	NeverReturn  int    `toml:"never"`  // so many relays do not

	// Of power-loss and relay-kill.
	Disk DiskFault `toml:"disk"` // of the relays that go

	// Of the kinds that impair the network: what they impair, see Experiment.AffectsLink.
	From          string `toml:"from"`
	To            string `toml:"to"`
	Bidirectional bool   `toml:"both"`
}

const (
	defaultShare    = 0.2
	defaultDuration = Millis(5000)
	minClockFactor  = -1e6 // seconds
)

// defaultFactors are the factors of the kinds that have one, where a file gives none.
var defaultFactors = map[FaultKind]float64{
	FaultSlow:          0.4,
	FaultNeighbour:     0.4,
	FaultZoneBusy:      0.4,
	FaultSlowStore:     0.2,
	FaultZoneGrey:      0.34,
	FaultAnswersLost:   0.34,
	FaultDiscoveryLate: 2,
	FaultBurst:         3,
	FaultClockWrong:    3600,
	FaultWayDelay:      0.1,
	FaultWayLoss:       0.2,
	FaultWayDouble:     0.2,
	FaultWayReorder:    0.2,
	FaultWayTrickle:    2000,
	FaultWayPieces:     7,
}

// fillIn sets what a file left out.
func (f *Fault) fillIn() {
	f.Share = cmp.Or(f.Share, defaultShare)
	f.Duration = cmp.Or(f.Duration, defaultDuration)
	if _, impairs := f.Impairment(); impairs {
		f.From = cmp.Or(f.From, placeRelays)
		f.To = cmp.Or(f.To, placeDiscovery)
	}
	f.Factor = cmp.Or(f.Factor, defaultFactors[f.Kind])
}

func (f *Fault) minFactor() float64 {
	if f.Kind == FaultClockWrong {
		return minClockFactor
	}
	return 0
}
