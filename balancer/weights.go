package balancer

import (
	"cmp"
	"math"
)

// The paper's constants (section IV-B).
const (
	alpha       = 0.5 // weight of the mean against a backend's own load
	baseBuckets = 10
	minBuckets  = 2
	maxBuckets  = 3 * baseBuckets
)

const (
	negligibleLoad  = 0.01   // a mean load below this does not tell who is busier
	rebuildInterval = 1000.0 // shortest time between two rebuilds: reports bring no more

	remoteAssignmentShare = 0.5  // of this relay's assignments, assumed of each other relay
	remoteRelayDamping    = 64.0 // number of other relays from which each further one counts for less

	quotaCapacityShare    = 0.8  // share of the fleet's capacity that the tenants' quotas add up to
	confidentSessions     = 20.0 // own sessions whose load counts as much as the quotas
	minSessionsPerBackend = 10.0 // least capacity of a backend without quotas, in sessions of mean load
	capacityDecay         = 0.99 // of the highest estimate, kept at each refresh
)

// bucketCount is the paper's formula (section IV-B). A load that is not known comes in as the mean.
func bucketCount(load, mean float64) int {
	if mean < negligibleLoad {
		return baseBuckets
	}
	count := math.Round(baseBuckets * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(count, minBuckets), maxBuckets))
}

// fleetEstimate is what this relay makes of the fleet's load and capacity, at the last refresh of the weights.
type fleetEstimate struct {
	meanLoad           float64 // of the healthy backends
	capacityBySessions float64 // of a backend, by this relay's own sessions alone
	capacity           float64 // of a warm backend, in session load; 0: unknown
}

// refreshWeights rebuilds the table of buckets from the load estimates, when there are new ones and not
// sooner than reports can bring any. Where candidates are polled for each session, it is rebuilt for each.
func (b *Balancer) refreshWeights(now float64) {
	if !b.roundRobin.stale || (now < b.roundRobin.builtAt+rebuildInterval && b.poller.activeShare >= 1) {
		return
	}
	totals := b.sumFleet(now)
	b.fleet.meanLoad = totals.estimatedLoad / max(totals.reporting, 1)
	b.refreshCapacity(totals)
	for backend, state := range b.states {
		b.roundRobin.bucketCounts[backend] = 0
		if state == Ready && b.outliers.isHealthy(backend) && b.hasFreshLoad(backend, now) {
			b.roundRobin.bucketCounts[backend] = bucketCount(b.effectiveLoad(backend, now), b.fleet.meanLoad)
		}
	}
	b.roundRobin.rebuild(now)
}

// hasFreshLoad reports whether the backend may be used with the load that is known of it. Where the whole
// fleet is polled regularly it always is.
func (b *Balancer) hasFreshLoad(backend int, now float64) bool {
	return b.poller.activeShare >= 1 || now < b.poller.reports.receivedAt[backend]+maxPollInterval
}

// fleetTotals are sums over the backends. All but sessions are of the ready and healthy ones: sessions on
// draining backends, compared with the others' loads, would make each backend look larger.
type fleetTotals struct {
	sessions       float64 // of this relay, on all backends
	ready          float64 // number of backends
	reporting      float64 // number of those whose load is known
	estimatedLoad  float64 // of the reporting ones
	ownLoad        float64 // of this relay's sessions
	unreportedLoad float64 // part of ownLoad that reports may not include yet
}

// sumFleet computes the totals.
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

// refreshCapacity estimates what one warm backend can bear, from the load of this relay's own sessions and
// what backends report, the tenants' quotas, and what was known before the start (package admission).
func (b *Balancer) refreshCapacity(totals fleetTotals) {
	bySessions := b.fleet.capacityBySessions
	if totals.estimatedLoad > negligibleLoad*totals.reporting {
		// A young relay holds too few sessions, so the highest estimate is kept; but not of sessions that no
		// report includes yet: they make backends look larger. While new they count, to find room.
		scale := b.quotas.relays / totals.estimatedLoad * totals.reporting / totals.ready
		b.fleet.capacityBySessions = max(capacityDecay*b.fleet.capacityBySessions,
			max(totals.ownLoad-totals.unreportedLoad, 0)*scale)
		bySessions = max(b.fleet.capacityBySessions, totals.ownLoad*scale)
	}
	// The tenants' quotas tell for all relays what one with a handful of sessions can't estimate from them.
	quotaWeight := min(confidentSessions, b.quotas.totalQuota)
	sessionsByQuotas := b.quotas.totalQuota / quotaCapacityShare / max(b.initialBackends, 1)
	byQuotas := sessionsByQuotas * b.quotas.meanSessionLoad
	evidence := totals.sessions + quotaWeight
	seen := (totals.sessions*bySessions + quotaWeight*byQuotas) / max(evidence, 1)
	b.fleet.capacity = b.admission.EstimateCapacity(seen, evidence)
	if quotaWeight == 0 && b.fleet.capacity > 0 {
		// A relay that is just back holds so few sessions that, without quotas, each looks larger than a
		// backend. It would assign none, and never learn better.
		b.fleet.capacity = max(b.fleet.capacity, minSessionsPerBackend*b.quotas.meanSessionLoad)
	}
}

// effectiveLoad is a backend's load estimate plus its outlier score, at most a full load. Otherwise a backend
// that reports little load but sheds sessions or does not answer would get the most buckets.
func (b *Balancer) effectiveLoad(backend int, now float64) float64 {
	return b.loadEstimate(backend, now) + b.outliers.score(backend, now)
}

// loadEstimate is the backend's reported load (the mean, where none is known) plus what was assigned to it
// since, so that a wave of sessions does not follow one late report.
func (b *Balancer) loadEstimate(backend int, now float64) float64 {
	reported := b.poller.reports.loads[backend]
	if math.IsNaN(reported) {
		reported = b.fleet.meanLoad
	}
	// A backend that warms up reports its load as a share of what it can do now, so a session weighs more
	// there.
	capacity := b.fleet.capacity * b.slowStart.capacityShare(backend, now)
	return reported + b.unreportedLoad(backend, now)/cmp.Or(capacity, math.Inf(1))
}

// unreportedLoad is the session load that this relay and the others have assigned to the backend, and that
// its report may not include yet.
func (b *Balancer) unreportedLoad(backend int, now float64) float64 {
	own := b.poller.unreported.byBackend[backend]
	otherRelays := b.quotas.relays - 1
	remoteFactor := remoteAssignmentShare * otherRelays / (1 + otherRelays/remoteRelayDamping)
	if b.poller.unreported.remote < 0 || b.slowStart.capacityShare(backend, now) < 1 {
		// Backends that warm up stay with this guess, which asks for more room.
		return own * (1 + remoteFactor)
	}
	// The other relays announce what they assigned, so chance in this relay's few sessions does not count for
	// theirs. It is at most the guess for all together: a young relay's capacity rests on its own sessions.
	remote := min(remoteAssignmentShare*b.poller.unreported.remote, remoteFactor*b.poller.unreported.total)
	return own + remote/max(float64(b.tracker.usable), 1)
}
