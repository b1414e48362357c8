package failover

import (
	"math"
	"slices"
)

const (
	observationsTTL = 3000.0 // ms that a relay's observations count
	maxRelays       = 4096

	minAttempts           = 4.0 // that ended, for a failure rate
	maxWeightOverMedian   = 3.0 // of one relay's attempts, in medians of all relays'
	minViewsByAttempts    = 3   // of observing zones, for their median
	minViewsByHealthCheck = 2
)

type timedObservations struct {
	Observations
	receivedAt float64
}

// outcomes counts what one relay saw end.
type outcomes struct{ total, failed float64 }

// zoneView is how the relays of one zone see another.
type zoneView struct {
	attempts      []outcomes // of each relay
	healthChecks  []outcomes
	totalAttempts float64
}

// zoneLoad is what relays say of a zone's load and capacity. The medians are taken once per aggregation, as
// they are read several times.
type zoneLoad struct {
	reportedLoads      []float64 // of each relay
	reportedCapacities []float64
	load               float64 // the median; 0 if nobody reported
	capacity           float64 // the median; 0 if nobody reported
	demand             float64
}

// AddObservations takes one relay's observations, in place of its former ones. Implausible ones are ignored.
func (p *Policy) AddObservations(now float64, o Observations) {
	_, isKnown := p.observations[o.Relay]
	if !isKnown && len(p.observations) >= maxRelays {
		return
	}
	if o.Relay == "" || !containsZone(p.zones, o.Zone) || !o.isPlausible() {
		return
	}
	p.observations[o.Relay] = timedObservations{Observations: o, receivedAt: now}
}

// aggregate sorts all relays' observations by zones, and forgets those that are too old.
func (p *Policy) aggregate(now float64) {
	p.resetAggregates()
	for relay, o := range p.observations {
		if now > o.receivedAt+observationsTTL {
			delete(p.observations, relay)
			continue
		}
		p.aggregateRelay(o.Observations)
	}
	for i := range p.loads {
		p.loads[i].takeMedians()
	}
}

// resetAggregates empties the slices and keeps their memory.
func (p *Policy) resetAggregates() {
	for observing := range p.views {
		for observed := range p.views[observing] {
			view := &p.views[observing][observed]
			view.attempts = view.attempts[:0]
			view.healthChecks = view.healthChecks[:0]
			view.totalAttempts = 0
		}
	}
	for i := range p.loads {
		load := &p.loads[i]
		load.reportedLoads = load.reportedLoads[:0]
		load.reportedCapacities = load.reportedCapacities[:0]
		load.demand = 0
	}
}

func (p *Policy) aggregateRelay(o Observations) {
	observing := p.indices[o.Zone]
	p.loads[observing].demand += o.Demand
	for zone, observation := range o.ByZone {
		observed, isKnown := p.indices[zone]
		if !isKnown {
			continue
		}
		p.views[observing][observed].add(observation)
		p.loads[observed].add(observation)
	}
}

func (v *zoneView) add(o Observation) {
	v.attempts = append(v.attempts, outcomes{total: o.Attempts, failed: o.FailedAttempts})
	v.healthChecks = append(v.healthChecks, outcomes{total: o.HealthChecks, failed: o.FailedHealthChecks})
	v.totalAttempts += o.Attempts
}

func (l *zoneLoad) add(o Observation) {
	if o.Capacity > 0 {
		l.reportedLoads = append(l.reportedLoads, o.Load)
		l.reportedCapacities = append(l.reportedCapacities, o.Capacity)
	}
}

func (l *zoneLoad) takeMedians() {
	if len(l.reportedCapacities) == 0 {
		l.load = 0
		l.capacity = 0
		return
	}
	l.load = median(l.reportedLoads)
	l.capacity = median(l.reportedCapacities)
}

func (p *Policy) failureRates() []float64 {
	rates := make([]float64, len(p.zones))
	for i := range p.zones {
		rates[i] = p.failureRate(i)
	}
	return rates
}

// failureRate is the rate of a zone as all zones see it, the worse of attempts and health checks; NaN if too
// few see enough.
func (p *Policy) failureRate(observed int) float64 {
	byAttempts := p.failureRateByAttempts(observed)
	byHealthChecks := p.failureRateByHealthChecks(observed)
	if math.IsNaN(byAttempts) || byHealthChecks > byAttempts {
		return byHealthChecks
	}
	return byAttempts
}

// failureRateByHealthChecks is the median of the observing zones, so that one broken path between two zones
// does not count against the observed one.
func (p *Policy) failureRateByHealthChecks(observed int) float64 {
	var rates []float64
	for observing := range p.zones {
		if rate := relaysFailureRate(p.views[observing][observed].healthChecks); !math.IsNaN(rate) {
			rates = append(rates, rate)
		}
	}
	if len(rates) < min(minViewsByHealthCheck, len(p.zones)) {
		return math.NaN()
	}
	return median(rates)
}

// failureRateByAttempts is the median of the observing zones if enough send work to the observed one. Else
// zones are weighted by their attempts, and the observed zone's own must be among them: as traffic stays
// near, they may be all there are.
func (p *Policy) failureRateByAttempts(observed int) float64 {
	var rates []float64
	attempts, failed := 0.0, 0.0
	seesItself := false
	for observing := range p.zones {
		view := &p.views[observing][observed]
		rate := relaysFailureRate(view.attempts)
		if math.IsNaN(rate) {
			continue
		}
		rates = append(rates, rate)
		attempts += view.totalAttempts
		failed += rate * view.totalAttempts
		seesItself = seesItself || observing == observed
	}
	if len(rates) >= minViewsByAttempts {
		return median(rates)
	}
	if seesItself && attempts > 0 {
		return failed / attempts
	}
	return math.NaN()
}

// relaysFailureRate is the failure rate that the relays of one zone see together; NaN if they see too little.
// It is the median if most relays see enough, so that a third of them that lie change nothing; else the mean,
// in which no relay has more weight than three median ones.
func relaysFailureRate(relays []outcomes) float64 {
	var rates, totals []float64
	for _, seen := range relays {
		totals = append(totals, seen.total)
		if seen.total >= minAttempts {
			rates = append(rates, seen.failed/seen.total)
		}
	}
	if 2*len(rates) > len(relays) {
		return median(rates)
	}
	if len(relays) == 0 {
		return math.NaN()
	}
	return weightedFailureRate(relays, max(maxWeightOverMedian*median(totals), 1))
}

func weightedFailureRate(relays []outcomes, maxWeight float64) float64 {
	total, failed := 0.0, 0.0
	for _, seen := range relays {
		if seen.total > 0 {
			weight := min(seen.total, maxWeight) / seen.total
			total += weight * seen.total
			failed += weight * seen.failed
		}
	}
	if total < minAttempts {
		return math.NaN()
	}
	return failed / total
}

// median sorts the values, of which there must be one.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
