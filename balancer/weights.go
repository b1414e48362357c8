package balancer

import (
	"cmp"
	"math"
)

// The paper's constants (section IV-B).
const (
	alpha       = 0.5 // how much the mean damps a backend's own load
	baseBuckets = 10
	minBuckets  = 2
	maxBuckets  = 3 * baseBuckets
)

const (
	negligibleLoad  = 0.01   // a mean load under this does not tell who is busier
	rebuildInterval = 1000.0 // no more rebuilds than reports to rebuild from

	remoteAssignmentShare = 0.5  // of what this relay assigned, that each other relay is taken to have
	remoteRelayDamping    = 64.0 // other relays, from which each further one counts for ever less

	quotaCapacityShare    = 0.8  // of what the fleet holds, that the tenants' quotas come to
	confidentSessions     = 20.0 // own sessions, from which a relay trusts their load as much as the quotas
	minSessionsPerBackend = 10.0 // of the mean load, that a backend holds at the least, without quotas
	capacityDecay         = 0.99 // of the highest capacity seen, that is kept at each refresh
)

// bucketCount is the paper's formula (section IV-B). A load that is not known comes in as the mean.
func bucketCount(load, mean float64) int {
	if mean < negligibleLoad {
		return baseBuckets
	}
	count := math.Round(baseBuckets * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(count, minBuckets), maxBuckets))
}

// refreshWeights rebuilds the table of buckets from the load estimates, when there are new ones and not
// sooner than reports can bring any. Where candidates are polled for each session, it is rebuilt for each.
func (b *Balancer) refreshWeights(now float64) {
	if !b.roundRobin.stale || (now < b.roundRobin.builtAt+rebuildInterval && b.activeShare >= 1) {
		return
	}
	totals := b.sumFleet(now)
	b.meanLoad = totals.estimatedLoad / max(totals.reporting, 1)
	b.refreshCapacity(totals)
	for backend, state := range b.states {
		b.roundRobin.bucketCounts[backend] = 0
		if state == Ready && b.outliers.isHealthy(backend) && b.hasFreshLoad(backend, now) {
			b.roundRobin.bucketCounts[backend] = bucketCount(b.effectiveLoad(backend, now), b.meanLoad)
		}
	}
	b.roundRobin.rebuild(now)
}

// hasFreshLoad reports whether the backend may be used with the load that is known of it. Where the whole
// fleet is polled regularly it always is.
func (b *Balancer) hasFreshLoad(backend int, now float64) bool {
	return b.activeShare >= 1 || now < b.poller.reportedAt[backend]+maxPollInterval
}

// fleetTotals are sums over the backends. All but sessions are of the ready and healthy ones. Against
// sessions on backends that drain being held against the others' loads: they make all look larger.
type fleetTotals struct {
	sessions       float64 // of this relay, on all backends
	ready          float64 // backends
	reporting      float64 // backends whose load is known
	estimatedLoad  float64 // of those
	ownLoad        float64 // of this relay's sessions
	unreportedLoad float64 // the part of ownLoad that reports may not include yet
}

func (b *Balancer) sumFleet(now float64) fleetTotals {
	var totals fleetTotals
	for backend, state := range b.states {
		totals.sessions += float64(b.sessionCounts[backend])
		if state != Ready || !b.outliers.isHealthy(backend) {
			continue
		}
		totals.ready++
		totals.ownLoad += b.sessionLoads[backend]
		totals.unreportedLoad += b.poller.unreportedLoads[backend]
		if !math.IsNaN(b.poller.loads[backend]) {
			totals.estimatedLoad += b.loadEstimate(backend, now)
			totals.reporting++
		}
	}
	return totals
}

// refreshCapacity estimates what one warm backend can bear, from the load of this relay's own sessions against
// what backends report, the tenants' quotas, and what was known before the start (package admission).
func (b *Balancer) refreshCapacity(totals fleetTotals) {
	bySessions := b.estimatedCapacity
	if totals.estimatedLoad > negligibleLoad*totals.reporting {
		// A young relay holds too few sessions, so the highest estimate is kept; but not of sessions that no
		// report includes yet: they make backends look larger. While new they count, to find room.
		scale := b.quotas.relays / totals.estimatedLoad * totals.reporting / totals.ready
		b.estimatedCapacity = max(capacityDecay*b.estimatedCapacity,
			max(totals.ownLoad-totals.unreportedLoad, 0)*scale)
		bySessions = max(b.estimatedCapacity, totals.ownLoad*scale)
	}
	// The tenants' quotas tell for all relays what one with a handful of sessions can't estimate from them.
	quotaWeight := min(confidentSessions, b.quotas.totalQuota)
	sessionsByQuotas := b.quotas.totalQuota / quotaCapacityShare / max(b.initialBackends, 1)
	byQuotas := sessionsByQuotas * b.quotas.meanSessionLoad
	evidence := totals.sessions + quotaWeight
	seen := (totals.sessions*bySessions + quotaWeight*byQuotas) / max(evidence, 1)
	b.capacity = b.admission.EstimateCapacity(seen, evidence)
	if quotaWeight == 0 && b.capacity > 0 {
		// Against a relay just back that knows no quotas: of the few sessions it holds each looks larger than
		// a backend, so that it assigns none, and never learns better.
		b.capacity = max(b.capacity, minSessionsPerBackend*b.quotas.meanSessionLoad)
	}
}

// effectiveLoad is what a backend is taken to bear: its load estimate, and its outlier score, up to a full
// load. Against reports of little load from a backend that sheds sessions or does not answer, whose buckets
// would be the most: a report is believed as far as sessions bear it out.
func (b *Balancer) effectiveLoad(backend int, now float64) float64 {
	return b.loadEstimate(backend, now) + b.outliers.score(backend, now)
}

// loadEstimate is the backend's reported load (the mean, where none is known) with what was assigned to it
// since. Against a wave that all follows one late report.
func (b *Balancer) loadEstimate(backend int, now float64) float64 {
	reported := b.poller.loads[backend]
	if math.IsNaN(reported) {
		reported = b.meanLoad
	}
	// A backend that warms up reports its load as a share of what it can do now, so a session weighs more
	// there.
	capacity := b.capacity * b.slowStart.capacityShare(backend, now)
	return reported + b.unreportedLoad(backend, now)/cmp.Or(capacity, math.Inf(1))
}

// unreportedLoad is the session load that this relay and the others have assigned to the backend, and that
// its report may not include yet.
func (b *Balancer) unreportedLoad(backend int, now float64) float64 {
	own := b.poller.unreportedLoads[backend]
	otherRelays := b.quotas.relays - 1
	remoteFactor := remoteAssignmentShare * otherRelays / (1 + otherRelays/remoteRelayDamping)
	if b.poller.remoteUnreported < 0 || b.slowStart.capacityShare(backend, now) < 1 {
		// Backends that warm up stay with this guess, which asks for more room.
		return own * (1 + remoteFactor)
	}
	// The other relays say themselves what they assigned. Against a few sessions of this relay's that came to
	// one backend by chance counting for everybody's there. Never beyond the guess for all together, as a
	// young relay's capacity is estimated from its own sessions.
	remote := min(remoteAssignmentShare*b.poller.remoteUnreported, remoteFactor*b.poller.unreportedTotal)
	return own + remote/max(float64(b.tracker.usable), 1)
}
