package failover

import (
	"math"
	"slices"
)

const (
	observationsTTL = 3000.0 // ms for which a relay's observations are used
	maxRelays       = 4096   // relays whose observations are kept at the same time

	minAttempts            = 4.0 // completed attempts, or health checks, that a failure rate needs
	maxWeightOverMedian    = 3.0 // highest weight of one relay, as a multiple of the median attempts of its zone's relays
	minZonesByAttempts     = 3   // observing zones needed for their median failure rate of attempts
	minZonesByHealthChecks = 2   // observing zones needed for their median failure rate of health checks
)

// timedObservations is one relay's latest observations and when they were received.
type timedObservations struct {
	Observations
	receivedAt float64
}

// outcomes counts the attempts or health checks that one relay saw complete, and how many of them failed.
type outcomes struct{ total, failed float64 }

// zoneView is what the relays of one zone, the observing zone, have seen of another or of their own, the
// observed zone.
type zoneView struct {
	attempts      []outcomes // one entry per relay
	healthChecks  []outcomes // one entry per relay
	totalAttempts float64    // completed attempts of all these relays
}

// zoneLoad is the load, capacity and demand of one zone. The medians are computed once per aggregation, as
// they are read several times.
type zoneLoad struct {
	reportedLoads      []float64 // one entry per relay that reports a capacity of the zone
	reportedCapacities []float64 // one entry per relay that reports a capacity of the zone
	load               float64   // median of the reported loads; 0 if no relay reports any
	capacity           float64   // median of the reported capacities; 0 if no relay reports any
	demand             float64   // sum of the demand of the zone's own relays
}

// AddObservations stores one relay's observations in place of its previous ones. It ignores implausible
// observations, those from a zone that is not configured, and new relays beyond maxRelays.
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

// aggregate groups the observations of all relays by zone and drops those older than observationsTTL.
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
		p.loads[i].computeMedians()
	}
}

// resetAggregates clears the views and loads but keeps the allocated slices for reuse.
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

// aggregateRelay adds one relay's observations to the views and loads. Zones that are not configured are
// skipped.
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

func (l *zoneLoad) computeMedians() {
	if len(l.reportedCapacities) == 0 {
		l.load = 0
		l.capacity = 0
		return
	}
	l.load = median(l.reportedLoads)
	l.capacity = median(l.reportedCapacities)
}

// failureRates returns the failure rate of each zone, by the zone's index.
func (p *Policy) failureRates() []float64 {
	rates := make([]float64, len(p.zones))
	for i := range p.zones {
		rates[i] = p.failureRate(i)
	}
	return rates
}

// failureRate returns the failure rate of a zone as seen from all zones: the higher one of those of attempts
// and health checks, or NaN if there are too few observations for both.
func (p *Policy) failureRate(observed int) float64 {
	byAttempts := p.failureRateByAttempts(observed)
	byHealthChecks := p.failureRateByHealthChecks(observed)
	if math.IsNaN(byAttempts) || byHealthChecks > byAttempts {
		return byHealthChecks
	}
	return byAttempts
}

// failureRateByHealthChecks returns the median of the rates that the observing zones see, so that a broken
// network path between two zones does not make the observed one look unhealthy. It is NaN if too few zones
// have a rate.
func (p *Policy) failureRateByHealthChecks(observed int) float64 {
	var rates []float64
	for observing := range p.zones {
		if rate := combinedFailureRate(p.views[observing][observed].healthChecks); !math.IsNaN(rate) {
			rates = append(rates, rate)
		}
	}
	if len(rates) < min(minZonesByHealthChecks, len(p.zones)) {
		return math.NaN()
	}
	return median(rates)
}

// failureRateByAttempts returns the median of the rates that the observing zones see, if enough of them send
// traffic to the observed zone. Otherwise it returns their mean weighted by attempts, for which the relays of
// the observed zone itself must have a rate: traffic usually stays within its zone, so they may be the only
// ones that have. It is NaN if they have none.
func (p *Policy) failureRateByAttempts(observed int) float64 {
	var rates []float64
	attempts, failed := 0.0, 0.0
	hasOwnView := false
	for observing := range p.zones {
		view := &p.views[observing][observed]
		rate := combinedFailureRate(view.attempts)
		if math.IsNaN(rate) {
			continue
		}
		rates = append(rates, rate)
		attempts += view.totalAttempts
		failed += rate * view.totalAttempts
		hasOwnView = hasOwnView || observing == observed
	}
	if len(rates) >= minZonesByAttempts {
		return median(rates)
	}
	if hasOwnView && attempts > 0 {
		return failed / attempts
	}
	return math.NaN()
}

// combinedFailureRate returns the failure rate that the relays of one zone see together, or NaN if they have
// seen too little. It is the median if most relays have at least minAttempts, so that false reports from up to
// a third of them change nothing. Otherwise it is a weighted mean, in which no relay has more weight than three
// relays with the median number of attempts.
func combinedFailureRate(relays []outcomes) float64 {
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

// weightedFailureRate returns the mean failure rate of the relays, each weighted by its number of attempts up to
// maxWeight, or NaN if the weights add up to less than minAttempts.
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

// median returns the median of the values, which must not be empty, and sorts them in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
