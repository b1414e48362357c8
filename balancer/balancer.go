// Package balancer decides, for one relay, which backend each new session is assigned to: by weighted round
// robin over buckets whose counts follow the backends' polled load (the Cheetah paper, section IV-B). An
// established session keeps its backend for life (section III).
//
// A relay owns one Balancer and calls it from one goroutine at a time. Three methods return decisions: Assign
// (where a session goes, or that it is queued, rejected or failed), AttemptFinished (what follows an
// attempt's outcome) and NextAction (which poll or watch is due; asked again until it returns ActionWait).
// BackendDrainDelay and ShutdownDrainDelay pace sessions that must leave, and IsUnresponsive names backends that went
// silent. All other methods report what was observed, or move state between processes and incarnations of a
// relay.
//
// Times and durations are milliseconds; all times are on the caller's one clock. The load of a session is in
// microseconds of work a second; the load of a backend is as reported, a share of its capacity where the
// reports have an absolute figure.
//
// Inside the package a backend is the small dense index that the EndpointSet gives it; -1 (noBackend) is
// none. Each part of the Balancer keeps its figures in slices under that index.
package balancer

import (
	"math/rand"

	"valeshift/internal/admission"
)

// noBackend stands for a backend's index where there is none.
const noBackend = -1

// Balancer decides for one relay. It is not safe for concurrent use.
type Balancer struct {
	*EndpointSet
	roundRobin  *RoundRobin
	outliers    OutlierDetector
	slowStart   *SlowStart
	poller      *LoadPoller
	attempts    *AttemptPolicy
	quotas      *Quotas
	admission   *admission.Controller // nil until something is known from before the start or the fleet recovers
	tracker     backendTracker
	usage       backendUsage
	fleet       fleetEstimate
	zoneRouting zoneRouting
	settings    placementSettings
	rng         *rand.Rand // shared with roundRobin: the order of draws is part of the behaviour
	pausedUntil float64
}

// placementSettings is what the settings say of where sessions may go.
type placementSettings struct {
	localZone            int
	crossZoneFee         float64
	usesAffinityGroups   bool
	sessionsOutliveRelay bool
}

// Config joins the parts of a Balancer.
type Config struct {
	Endpoints  *EndpointSet
	RoundRobin *RoundRobin
	SlowStart  *SlowStart
	Poller     *LoadPoller
	Attempts   *AttemptPolicy
	Quotas     *Quotas

	LocalZone            int     // the relay's own
	CrossZoneFee         float64 // for a session whose backend is in another zone; 0: crossing is free
	UsesAffinityGroups   bool    // sessions of an affinity group share work, so they go to one backend
	SessionsOutliveRelay bool    // another relay may carry a session on, so its key draws its backend
}

// New returns a Balancer without endpoints.
func New(config Config) *Balancer {
	return &Balancer{
		EndpointSet: config.Endpoints,
		roundRobin:  config.RoundRobin,
		slowStart:   config.SlowStart,
		poller:      config.Poller,
		attempts:    config.Attempts,
		quotas:      config.Quotas,
		rng:         config.RoundRobin.rng,
		settings: placementSettings{
			localZone:            config.LocalZone,
			crossZoneFee:         config.CrossZoneFee,
			usesAffinityGroups:   config.UsesAffinityGroups,
			sessionsOutliveRelay: config.SessionsOutliveRelay,
		},
	}
}

// HasClass reports whether the settings name the class.
func (b *Balancer) HasClass(class int) bool { return class < len(b.attempts.classes) }

// Pause queues sessions until the given time, except those whose deadline is too close. A process that was
// suspended uses it until it has read what is new, as its endpoint list may be long out of date.
func (b *Balancer) Pause(until float64) { b.pausedUntil = until }
