package balancer

import (
	"cmp"
	"math"
)

// The paper's constants (section IV-B).
const (
	alpha       = 0.5             // weight of the fleet's mean load in bucketCount; the backend's own has 1-alpha
	baseBuckets = 10              // buckets of a backend whose load is the mean
	minBuckets  = 2               // fewest buckets of a backend in use
	maxBuckets  = 3 * baseBuckets // most buckets of a backend
)

const (
	negligibleLoad  = 0.01   // mean load below which loads do not tell which backend is busier
	rebuildInterval = 1000.0 // milliseconds between two rebuilds of the table at least: reports are no more frequent

	remoteAssignmentShare = 0.5  // share of other relays' unreported load that counts, announced or assumed
	remoteRelayDamping    = 64.0 // number of other relays at which each counts half; together they never count as more

	quotaCapacityShare    = 0.8  // share of the fleet's capacity that the tenants' quotas are assumed to add up to
	confidentSessions     = 20.0 // number of own sessions at which their load counts as much as the quotas
	minSessionsPerBackend = 10.0 // lowest capacity assumed without quotas, in sessions of mean load per backend
	capacityDecay         = 0.99 // factor on the highest capacity estimate so far, at each refresh
)

// bucketCount computes a backend's number of buckets by the paper's formula (section IV-B). The caller passes
// the mean for a load that is not known.
func bucketCount(load, mean float64) int {
	if mean < negligibleLoad {
		return baseBuckets
	}
	count := math.Round(baseBuckets * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(count, minBuckets), maxBuckets))
}

// fleetEstimate is this relay's estimate of the fleet's load and capacity, made when the weights were last
// refreshed.
type fleetEstimate struct {
	meanLoad           float64 // mean load of the healthy backends that report one
	reportsLoad        bool    // at least one healthy backend reports its load
	capacityBySessions float64 // capacity of a backend, in session load, by this relay's own sessions alone
	capacity           float64 // capacity of a warm backend, in session load; 0: unknown
}

// refreshWeights rebuilds the table of buckets from the load estimates if there are new ones, at most once per
// rebuildInterval. If sessions have candidates polled, that interval does not apply.
func (b *Balancer) refreshWeights(now float64) {
	if !b.roundRobin.stale || (now < b.roundRobin.builtAt+rebuildInterval && b.poller.polledShare >= 1) {
		return
	}
	totals := b.sumFleet(now)
	b.fleet.meanLoad = totals.estimatedLoad / max(totals.reporting, 1)
	b.fleet.reportsLoad = totals.reporting > 0
	b.refreshCapacity(totals)
	for backend, state := range b.states {
		b.roundRobin.bucketCounts[backend] = 0
		if state == Ready && b.outliers.isHealthy(backend) && b.hasFreshLoad(backend, now) {
			b.roundRobin.bucketCounts[backend] = bucketCount(b.effectiveLoad(backend, now), b.fleet.meanLoad)
		}
	}
	b.roundRobin.rebuild(now)
}

// hasFreshLoad reports whether the backend's latest load report is recent enough to assign sessions by it. It
// always is if the whole fleet is polled regularly.
func (b *Balancer) hasFreshLoad(backend int, now float64) bool {
	return b.poller.polledShare >= 1 || now < b.poller.reports.receivedAt[backend]+maxPollInterval
}

// fleetTotals are sums over the backends. All fields except sessions cover the ready and healthy backends only:
// the load of sessions on draining backends, divided by the other backends' loads, would make the capacity
// estimate too high.
type fleetTotals struct {
	sessions       float64 // number of this relay's sessions, on all backends
	ready          float64 // number of ready and healthy backends
	reporting      float64 // number of ready and healthy backends whose load is known
	estimatedLoad  float64 // sum of the load estimates of the reporting backends
	ownLoad        float64 // load of this relay's sessions
	unreportedLoad float64 // part of ownLoad that reports may not include yet
}

// sumFleet computes the fleetTotals.
func (b *Balancer) sumFleet(now float64) fleetTotals {
	var totals fleetTotals
	for backend, state := range b.states {
		totals.sessions += float64(b.usage.counts[backend])
		if state != Ready || !b.outliers.isHealthy(backend) {
			continue
		}
		totals.ready++
		totals.ownLoad += b.usage.loads[backend]
		totals.unreportedLoad += b.poller.unreported.byBackend[backend]
		if !math.IsNaN(b.poller.reports.loads[backend]) {
			totals.estimatedLoad += b.loadEstimate(backend, now)
			totals.reporting++
		}
	}
	return totals
}

// refreshCapacity estimates the capacity of a warm backend, from the load of this relay's own sessions and the
// reported loads, from the tenants' quotas, and from what was known before the start (package admission).
func (b *Balancer) refreshCapacity(totals fleetTotals) {
	bySessions := b.fleet.capacityBySessions
	if totals.estimatedLoad > negligibleLoad*totals.reporting {
		// A relay that has just started holds too few sessions for a good estimate, so the highest one is
		// kept. Sessions that no report includes yet are left out of it, as they make it too high; they count
		// only in the present estimate, so that new sessions find room.
		scale := b.quotas.relays / totals.estimatedLoad * totals.reporting / totals.ready
		b.fleet.capacityBySessions = max(capacityDecay*b.fleet.capacityBySessions,
			max(totals.ownLoad-totals.unreportedLoad, 0)*scale)
		bySessions = max(b.fleet.capacityBySessions, totals.ownLoad*scale)
	}
	// The tenants' quotas cover all relays, so they give an estimate where a few sessions of one relay can't.
	quotaWeight := min(confidentSessions, b.quotas.totalQuota)
	sessionsByQuotas := b.quotas.totalQuota / quotaCapacityShare / max(b.initialBackends, 1)
	byQuotas := sessionsByQuotas * b.quotas.meanSessionLoad
	evidence := totals.sessions + quotaWeight
	measured := (totals.sessions*bySessions + quotaWeight*byQuotas) / max(evidence, 1)
	b.fleet.capacity = b.admission.EstimateCapacity(measured, evidence)
	if quotaWeight == 0 && b.fleet.capacity > 0 {
		// A relay that has just restarted holds so few sessions that, without quotas, the capacity estimate
		// can be less than one session. It would then assign none, and the estimate would never improve.
		b.fleet.capacity = max(b.fleet.capacity, minSessionsPerBackend*b.quotas.meanSessionLoad)
	}
}

// effectiveLoad is a backend's load estimate plus its outlier score, which is at most 1, a full load. Without
// the score a backend that reports little load but sheds sessions or does not answer would get the most
// buckets.
func (b *Balancer) effectiveLoad(backend int, now float64) float64 {
	return b.loadEstimate(backend, now) + b.outliers.score(backend, now)
}

// loadEstimate is the backend's reported load (the mean, if none is known) plus the load assigned to it since,
// so that not all sessions of a burst go to the backend whose outdated report is the lowest.
func (b *Balancer) loadEstimate(backend int, now float64) float64 {
	reported := b.poller.reports.loads[backend]
	if math.IsNaN(reported) {
		reported = b.fleet.meanLoad
	}
	// A backend that warms up reports its load as a share of its present capacity, so a session adds more to
	// it than to that of a warm backend.
	capacity := b.fleet.capacity * b.slowStart.capacityShare(backend, now)
	return reported + b.unreportedLoad(backend, now)/cmp.Or(capacity, math.Inf(1))
}

// unreportedLoad estimates the session load that this relay and the others have assigned to the backend, and
// that its latest report may not include yet.
func (b *Balancer) unreportedLoad(backend int, now float64) float64 {
	own := b.poller.unreported.byBackend[backend]
	otherRelays := b.quotas.relays - 1
	remoteFactor := remoteAssignmentShare * otherRelays / (1 + otherRelays/remoteRelayDamping)
	if b.poller.unreported.remote < 0 || b.slowStart.capacityShare(backend, now) < 1 {
		// For backends that warm up this assumption is kept even if the announced load is known, as it leaves
		// more room.
		return own * (1 + remoteFactor)
	}
	// The other relays announce the load that they assigned. Unlike the assumption, it does not vary with the
	// chance of where this relay's few sessions went. It is bounded by the assumption for the whole fleet,
	// because the capacity estimate of a relay that has just started depends on its own sessions.
	remote := min(remoteAssignmentShare*b.poller.unreported.remote, remoteFactor*b.poller.unreported.total)
	return own + remote/max(float64(b.tracker.usable), 1)
}
