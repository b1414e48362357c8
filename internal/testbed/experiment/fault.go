package experiment

import "cmp"

// FaultKind is a kind of fault, as experiment files name it.
type FaultKind string

// The kinds of fault. FaultKinds describes each.
const (
	FaultSilent              FaultKind = "silent"
	FaultReset               FaultKind = "reset"
	FaultRefuse              FaultKind = "refuse"
	FaultSlow                FaultKind = "slow"
	FaultStalls              FaultKind = "stalls"
	FaultStolenCores         FaultKind = "neighbour"
	FaultSlowStore           FaultKind = "slow-store"
	FaultDrain               FaultKind = "drain"
	FaultLeave               FaultKind = "leave"
	FaultGrowth              FaultKind = "growth"
	FaultColdReturn          FaultKind = "cold-return"
	FaultAddressTaken        FaultKind = "address-taken"
	FaultZoneLost            FaultKind = "zone-lost"
	FaultRegionLost          FaultKind = "region-lost"
	FaultZoneFailingAttempts FaultKind = "zone-grey"
	FaultAnswersLost         FaultKind = "answers-lost"
	FaultZoneBusy            FaultKind = "zone-busy"
	FaultZoneCut             FaultKind = "zone-cut"
	FaultDiscoveryLate       FaultKind = "discovery-late"
	FaultDiscoveryDown       FaultKind = "discovery-down"
	FaultDiscoveryIncomplete FaultKind = "discovery-lying"
	FaultDiscoveryReset      FaultKind = "discovery-back"
	FaultPowerLoss           FaultKind = "power-loss"
	FaultRelayFreeze         FaultKind = "relay-freeze"
	FaultPathCut             FaultKind = "way-cut"
	FaultPathDelay           FaultKind = "way-delay"
	FaultPathLoss            FaultKind = "way-loss"
	FaultPathDuplicate       FaultKind = "way-double"
	FaultPathReorder         FaultKind = "way-reorder"
	FaultPathReset           FaultKind = "way-reset"
	FaultPathRateLimit       FaultKind = "way-trickle"
	FaultPathSmallPieces     FaultKind = "way-pieces"
	FaultClockWrong          FaultKind = "clock-wrong"
	FaultRelayKill           FaultKind = "relay-kill"
	FaultRelayRestart        FaultKind = "relay-restart"
	FaultRelayDrain          FaultKind = "relay-drain"
	FaultRelayReplace        FaultKind = "relay-replace"
	FaultReload              FaultKind = "reload"
	FaultClientReconnects    FaultKind = "wave"
	FaultBurst               FaultKind = "burst"
)

// FaultKinds describes each kind of fault and what its factor means.
var FaultKinds = map[FaultKind]string{
	FaultSilent:              "backends say nothing and take nothing in; their connections stay open",
	FaultReset:               "backends break all their connections, once, at the start",
	FaultRefuse:              "backends refuse new connections",
	FaultSlow:                "backends work at that part of their speed (factor)",
	FaultStalls:              "backends stand still for 300 ms of each second",
	FaultStolenCores:         "somebody else takes that part of the backends' cores (factor)",
	FaultSlowStore:           "the shared store works at that part of its rate (factor)",
	FaultDrain:               "backends are said to leave, and are back at the end",
	FaultLeave:               "backends are said to leave; 5 s later they are gone, and back, cold, at the end",
	FaultGrowth:              "so many new cold backends come, as a part of the fleet (share)",
	FaultColdReturn:          "backends die and are back at the end under their names, cold",
	FaultAddressTaken:        "backends die; their addresses answer at once as new ones of other names",
	FaultZoneLost:            "all backends and relays of a zone die, and are back, cold, at the end",
	FaultRegionLost:          "as a zone, all of a region",
	FaultZoneFailingAttempts: "a zone's backends break that part of the attempts (factor); their health checks are fine",
	FaultAnswersLost:         "that share of the backends do that part of the attempts (factor), and break before they say so",
	FaultZoneBusy:            "somebody else takes that part of the cores of a zone's backends (factor)",
	FaultZoneCut:             "nothing passes between one zone and the others",
	FaultDiscoveryLate:       "each change of the endpoint list is told that much later (factor, in seconds)",
	FaultDiscoveryDown:       "watches end and none can be opened",
	FaultDiscoveryIncomplete: "the endpoint list leaves out that share of the backends, though they serve",
	FaultDiscoveryReset:      "the endpoint list counts its versions anew from 1, at the start",
	FaultPowerLoss:           "backends, relays and discovery go at one instant, and return over a spread (share, spread, never, disk)",
	FaultRelayFreeze:         "relays are stopped for the time (SIGSTOP) and go on as if nothing had been",
	FaultPathCut:             "nothing passes from some machines to others (from, to, both): bytes wait, datagrams are lost",
	FaultPathDelay:           "what passes takes that much longer (factor, in seconds)",
	FaultPathLoss:            "that part of the datagrams is lost (factor)",
	FaultPathDuplicate:       "that part of the datagrams arrives twice (factor)",
	FaultPathReorder:         "that part of the datagrams is overtaken (factor)",
	FaultPathReset:           "connections between them are reset as soon as anything passes",
	FaultPathRateLimit:       "their connections pass so many bytes a second (factor)",
	FaultPathSmallPieces:     "their connections pass pieces of so many bytes (factor)",
	FaultClockWrong:          "relays' machines have a clock so far ahead (factor, in seconds; below 0: behind)",
	FaultRelayKill:           "relays are killed, and come back",
	FaultRelayRestart:        "relays are stopped by SIGTERM, and come back",
	FaultRelayDrain:          "operators drain relays, and take them back to work at the end",
	FaultRelayReplace:        "another process takes each relay over, on the same socket",
	FaultReload:              "relays are given another address of discovery",
	FaultClientReconnects:    "that share of the clients lose their connections at once",
	FaultBurst:               "new clients come at that multiple of the rate (factor)",
}

// DiskFault is what happens to a relay's disk while the relay is down, as experiment files name it.
type DiskFault string

// The disk faults.
const (
	DiskIntact         DiskFault = ""          // the disk stays as it is
	DiskWiped          DiskFault = "wiped"     // the disk is empty
	DiskTorn           DiskFault = "torn"      // files are truncated at a random byte
	DiskFlipped        DiskFault = "flipped"   // single bits are flipped
	DiskOlder          DiskFault = "older"     // the disk returns to a copy of an earlier state
	DiskOfAnotherRelay DiskFault = "another's" // the disk becomes a copy of another relay's
	DiskFull           DiskFault = "full"      // writes fail for lack of space
	DiskReadOnly       DiskFault = "read-only" // the disk can be read but not written
	DiskSlow           DiskFault = "slow"      // the disk answers only after a long time
)

// DiskFaults lists all disk faults, DiskIntact first.
var DiskFaults = []DiskFault{DiskIntact, DiskWiped, DiskTorn, DiskFlipped, DiskOlder, DiskOfAnotherRelay, DiskFull,
	DiskReadOnly, DiskSlow}

// Fault is a failure, or a planned operation on the fleet, that lasts for a time.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	At       Millis    `toml:"at"`     // time of the run at which the fault begins
	Duration Millis    `toml:"for"`    // time that it lasts
	Share    float64   `toml:"share"`  // share of the backends, relays or clients that it affects; at least one is
	Factor   float64   `toml:"factor"` // strength; its meaning depends on the kind, see FaultKinds

	// Of power-loss.
	ReturnSpread Millis `toml:"spread"` // time after Duration over which relays and backends return
	NeverReturn  int    `toml:"never"`  // number of relays that never return

	// Of power-loss and relay-kill.
	Disk DiskFault `toml:"disk"` // what happens to the disks of the relays that the fault ends

	// Of the kinds that impair the network: the affected paths, see Experiment.AffectsLink.
	From          string `toml:"from"` // place of the sending machines
	To            string `toml:"to"`   // place of the receiving machines
	Bidirectional bool   `toml:"both"` // whether the opposite direction is affected as well
}

const (
	defaultShare    = 0.2          // share affected by a fault whose file gives none
	defaultDuration = Millis(5000) // duration of a fault whose file gives none
	minClockFactor  = -1e6         // seconds by which a clock-wrong fault can set a clock behind, as a negative factor
)

// defaultFactors are the factors of faults whose file gives none, by kind. Other kinds have no factor.
var defaultFactors = map[FaultKind]float64{
	FaultSlow:                0.4,
	FaultStolenCores:         0.4,
	FaultZoneBusy:            0.4,
	FaultSlowStore:           0.2,
	FaultZoneFailingAttempts: 0.34,
	FaultAnswersLost:         0.34,
	FaultDiscoveryLate:       2,
	FaultBurst:               3,
	FaultClockWrong:          3600,
	FaultPathDelay:           0.1,
	FaultPathLoss:            0.2,
	FaultPathDuplicate:       0.2,
	FaultPathReorder:         0.2,
	FaultPathRateLimit:       2000,
	FaultPathSmallPieces:     7,
}

// fillIn sets the fields that a file leaves out.
func (f *Fault) fillIn() {
	f.Share = cmp.Or(f.Share, defaultShare)
	f.Duration = cmp.Or(f.Duration, defaultDuration)
	if _, impairs := f.Impairment(); impairs {
		f.From = cmp.Or(f.From, placeRelays)
		f.To = cmp.Or(f.To, placeDiscovery)
	}
	f.Factor = cmp.Or(f.Factor, defaultFactors[f.Kind])
}

// minFactor returns the least factor that the fault's kind allows.
func (f *Fault) minFactor() float64 {
	if f.Kind == FaultClockWrong {
		return minClockFactor
	}
	return 0
}
