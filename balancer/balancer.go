// Package balancer decides, for one relay, which backend each new session is assigned to: by weighted round
// robin over buckets whose counts follow the backends' polled load (the Cheetah paper, section IV-B). An
// established session keeps its backend for life (section III).
//
// A relay owns one Balancer and calls it from one goroutine at a time. Three methods return decisions: Assign
// (to which backend a session goes, or that it is queued, rejected or failed), AttemptFinished (what follows
// an attempt's outcome) and NextAction (which poll or watch is due; called again until it returns ActionWait).
// BackendDrainDelay and ShutdownDrainDelay spread sessions that must leave over time, and IsUnresponsive
// reports that a backend has gone silent. The other methods record events, set what is decided elsewhere,
// return state, or restore it in another process or incarnation of a relay.
//
// Times and durations are in milliseconds; all times are of one clock, the caller's. The load of a session is
// in microseconds of work a second. The load of a backend is the reported one: a share of its capacity if the
// reports have such a field, else a figure that is only compared between backends.
//
// Inside the package a backend is identified by the small dense index that the EndpointSet gives it; -1
// (noBackend) is none. Each part of the Balancer keeps its state per backend in slices under that index.
package balancer

import (
	"math/rand"

	"valeshift/internal/admission"
)

// noBackend is the index that stands for no backend.
const noBackend = -1

// Balancer makes the decisions of one relay. It is not safe for concurrent use.
type Balancer struct {
	*EndpointSet
	roundRobin  *RoundRobin
	outliers    OutlierDetector
	slowStart   *SlowStart
	poller      *LoadPoller
	attempts    *AttemptPolicy
	quotas      *Quotas
	admission   *admission.Controller // nil until SetRecovering or a restore of estimates or reservations
	tracker     backendTracker
	usage       backendUsage
	fleet       fleetEstimate
	zoneRouting zoneRouting
	settings    placementSettings
	rng         *rand.Rand // shared with roundRobin: the order of draws is part of the behaviour
	pausedUntil float64    // until when sessions are queued; 0: they are not
}

// placementSettings are the settings that affect where sessions are assigned; see Config.
type placementSettings struct {
	localZone            int
	crossZoneFee         float64
	usesAffinityGroups   bool
	sessionsOutliveRelay bool
}

// Config holds the parts and the settings of a Balancer.
type Config struct {
	Endpoints  *EndpointSet
	RoundRobin *RoundRobin
	SlowStart  *SlowStart
	Poller     *LoadPoller
	Attempts   *AttemptPolicy
	Quotas     *Quotas

	LocalZone            int     // zone of the relay
	CrossZoneFee         float64 // cost of a session whose backend is in another zone; 0: crossing is free
	UsesAffinityGroups   bool    // sessions of an affinity group share work, so they go to the same backend
	SessionsOutliveRelay bool    // another relay may continue a session, so its backend is drawn by its key
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

// HasClass reports whether the settings have a class of that index.
func (b *Balancer) HasClass(class int) bool { return class < len(b.attempts.classes) }

// Pause queues sessions until the given time, except those whose deadline is too close. It is used when the
// process was suspended, until it has read the updates that it missed: its endpoint list may be out of date.
func (b *Balancer) Pause(until float64) { b.pausedUntil = until }
