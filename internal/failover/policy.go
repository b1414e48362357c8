package failover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	observationsTTL = 3000.0 // that a relay's word on a zone counts
	minAttempts  = 4.0    // at a zone, within what is told of, for a word on it
	maxWeightOverMedian   = 3.0    // middle ones, that one relay counts for
	minViewsByAttempts   = 3
	degradedAbove     = 0.2 // of the tries, that did not do
	healthyBelow   = 0.08
	lostAbove    = 0.7
	lostDelay    = 1100.0 // a zone is seen as lost, before it is emptied
	degradedDelay    = 2000.0 // and as grey, in the mean over so long
	meanTime     = 1000.0
	maxMeanSample    = 0.5    // against a moment in which nothing passes being held for a grey zone
	firstReturnWait   = 4000.0 // it is seen as good, before it returns
	maxReturnWait    = 120000.0
	returnWaitReset   = 60000.0 // without a fall, the waits begin anew
	returnStepDelay     = 1500.0  // it is seen as good at a share, before the next
	overloadedWaitFactor = 0.1     // of those waits, while the other zones are full
	fullAbove    = 0.9     // of what a zone bears, above which a share goes elsewhere
	targetUtilization      = 0.8     // of what a zone bears, by what is sent there
	minShareChange   = 0.05    // that a share has to change by
	minFraction   = 0.001   // of the work near a zone, that is worth a word
	spillDelay    = 1000.0
)

// returnShares are the shares by which a zone returns.
var returnShares = []float64{0.05, 0.2, 0.5, 1}

// Observation is what one relay saw of one zone over the last second or so.
type Observation struct {
	Attempts           float64 // setup tries that ended
	FailedAttempts     float64 // of those, without an answer in time, refused or errored
	HealthChecks       float64 // that ended
	FailedHealthChecks float64 // of those, without an answer
	Load               float64 // of the zone's servers together, by their own word, in what one of them bears
	Capacity           float64 // servers that could serve, the same unit
}

// Observations is one relay's word.
type Observations struct {
	Relay, Zone string // and where it is
	Demand      float64
	ByZone      map[string]Observation
}

type timedObservations struct {
	Observations
	receivedAt float64
}

// zoneHealth is what is held of a zone over time.
type zoneHealth struct {
	lostSince, badSince float64 // NaN: it is not
	goodSince           float64
	meanFailureRate, meanUpdatedAt        float64 // of the share that fails: few links tell little at a time
	emptiedAt              float64
	returnWait                float64
	step                int
	stepAt              float64
	fullSince           float64
	lost                bool
}

// Policy folds evidence and proposes what is to be decided, at whoever leads. What it holds is lost with that
// one: the next begins with what the book says and looks anew.
type Policy struct {
	zones   []Zone // names and regions, by the operators' file
	observations  map[string]timedObservations
	health map[string]*zoneHealth
	indices  map[string]int // of a zone
	views    [][]zoneView      // by the zone that looks and the one looked at: all relays' words, folded once a look
	loads   []zoneLoad
}

type zoneView struct {
	attempts, healthChecks []outcomes
	totalAttempts         float64
}

type zoneLoad struct {
	loads, rooms []float64
	load, room   float64 // the middle of those
	demand       float64
}

// NewPolicy judges those zones; states and shares among them say nothing.
func NewPolicy(zones []Zone) *Policy {
	j := &Policy{observations: map[string]timedObservations{}}
	j.SetZones(zones)
	return j
}

// SetZones has those zones judged from now on. What is held of zones that stay, stays; one that comes begins as
// home, and one that goes leaves the next picture, with the orders on it.
func (j *Policy) SetZones(zones []Zone) {
	had := j.health
	j.zones, j.views, j.health, j.indices = nil, nil, map[string]*zoneHealth{}, map[string]int{}
	for _, z := range zones {
		j.zones = append(j.zones, Zone{Name: z.Name, Region: z.Region, State: Home, Share: 1})
		if j.health[z.Name] = had[z.Name]; had[z.Name] == nil {
			j.health[z.Name] = &zoneHealth{lostSince: math.NaN(), badSince: math.NaN(), goodSince: math.NaN(),
				emptiedAt: math.Inf(-1), returnWait: firstReturnWait, fullSince: math.NaN()}
		}
	}
	slices.SortFunc(j.zones, compareNames)
	for i, z := range j.zones {
		j.indices[z.Name] = i
		j.views = append(j.views, make([]zoneView, len(j.zones)))
	}
	j.loads = make([]zoneLoad, len(j.zones))
	for name, h := range j.observations {
		if !containsZone(j.zones, h.Zone) {
			delete(j.observations, name)
		}
	}
}

const maxRelays = 4096

// AddObservations takes a relay's word. What can't be is passed over.
func (j *Policy) AddObservations(now float64, e Observations) {
	_, there := j.observations[e.Relay]
	if !there && len(j.observations) >= maxRelays || e.Relay == "" || !containsZone(j.zones, e.Zone) {
		return
	}
	good := func(x float64) bool { return x >= 0 && x < 1e9 }
	for _, l := range e.ByZone {
		if !good(l.Attempts) || !good(l.FailedAttempts) || l.FailedAttempts > l.Attempts || !good(l.Load) || !good(l.Capacity) ||
			!good(l.HealthChecks) || !good(l.FailedHealthChecks) || l.FailedHealthChecks > l.HealthChecks {
			return
		}
	}
	if good(e.Demand) {
		j.observations[e.Relay] = timedObservations{e, now}
	}
}

// aggregate puts what all relays say in order, by zones, and forgets who has said nothing of late.
func (j *Policy) aggregate(now float64) {
	for i := range j.zones {
		for k := range j.zones {
			e := &j.views[i][k]
			e.attempts, e.healthChecks, e.totalAttempts = e.attempts[:0], e.healthChecks[:0], 0
		}
		c := &j.loads[i]
		c.loads, c.rooms, c.demand = c.loads[:0], c.rooms[:0], 0
	}
	for name, h := range j.observations {
		if now > h.receivedAt+observationsTTL {
			delete(j.observations, name)
			continue
		}
		from := j.indices[h.Zone]
		j.loads[from].demand += h.Demand
		for zone, l := range h.ByZone {
			at, known := j.indices[zone]
			if !known {
				continue
			}
			e, c := &j.views[from][at], &j.loads[at]
			e.attempts, e.healthChecks = append(e.attempts, outcomes{l.Attempts, l.FailedAttempts}), append(e.healthChecks, outcomes{l.HealthChecks, l.FailedHealthChecks})
			if e.totalAttempts += l.Attempts; l.Capacity > 0 {
				c.loads, c.rooms = append(c.loads, l.Load), append(c.rooms, l.Capacity)
			}
		}
	}
	for i := range j.loads { // once a look, as several ask
		if c := &j.loads[i]; len(c.rooms) > 0 {
			c.load, c.room = median(c.loads), median(c.rooms)
		} else {
			c.load, c.room = 0, 0
		}
	}
}

type outcomes struct{ total, failed float64 }

// relaysFailureRate is the share that did not do: the middle of what relays say, so that a third of them that lie move
// nothing; where each sees little, all together, one counting for no more than three middle ones.
func relaysFailureRate(all []outcomes) float64 {
	var shares, sizes []float64
	for _, e := range all {
		if sizes = append(sizes, e.total); e.total >= minAttempts {
			shares = append(shares, e.failed/e.total)
		}
	}
	if 2*len(shares) > len(all) {
		return median(shares)
	}
	if len(all) == 0 {
		return math.NaN()
	}
	most := max(maxWeightOverMedian*median(sizes), 1)
	sum, failed := 0.0, 0.0
	for _, e := range all {
		if e.total > 0 {
			part := min(e.total, most) / e.total
			sum, failed = sum+part*e.total, failed+part*e.failed
		}
	}
	if sum < minAttempts {
		return math.NaN()
	}
	return failed / sum
}

func median(all []float64) float64 {
	slices.Sort(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

// failureRate is a zone by all views, NaN where they are too few: by probes the middle of them, so that one broken
// way is none of the zone's; by links the same where some zones send there, else weighed by their tries: as
// traffic stays near, its own zone's may be all there is.
func (j *Policy) failureRate(at int) float64 {
	var byLinks, byProbes []float64
	sum, failed, own := 0.0, 0.0, false
	for from := range j.zones {
		e := &j.views[from][at]
		links, probes := relaysFailureRate(e.attempts), relaysFailureRate(e.healthChecks)
		if !math.IsNaN(links) {
			byLinks = append(byLinks, links)
			sum, failed, own = sum+e.totalAttempts, failed+links*e.totalAttempts, own || from == at
		}
		if !math.IsNaN(probes) {
			byProbes = append(byProbes, probes)
		}
	}
	links, probes := math.NaN(), math.NaN()
	if least := min(2, len(j.zones)); len(byProbes) >= least {
		probes = median(byProbes)
	}
	if len(byLinks) >= minViewsByAttempts {
		links = median(byLinks)
	} else if own && sum > 0 {
		links = failed / sum
	}
	if math.IsNaN(links) || probes > links {
		return probes
	}
	return links
}

// Evaluate gives the picture to be decided where it is another than the one that holds, and why.
func (j *Policy) Evaluate(now float64, book *DecisionLog) (c Command, changed bool) {
	j.aggregate(now)
	held := map[string]Zone{}
	for _, z := range book.PolicyZones {
		held[z.Name] = z
	}
	bad := map[string]float64{}
	worst := 0
	for i, z := range j.zones {
		b, h := j.failureRate(i), j.health[z.Name]
		if !math.IsNaN(b) {
			h.meanFailureRate += (min(b, maxMeanSample) - h.meanFailureRate) * (1 - math.Exp((h.meanUpdatedAt-now)/meanTime))
		}
		h.meanUpdatedAt = now
		bad[z.Name] = b
		if b > degradedAbove || h.meanFailureRate > degradedAbove {
			worst++
		}
	}
	alike := 2*worst > len(j.zones) // a cause that they have in common, as a store that is slow for all
	var emptied []Zone
	for _, z := range book.PolicyZones {
		if z.State == Emptied {
			emptied = append(emptied, z)
		}
	}
	pace := 1.0
	if j.pressed(book.PolicyZones) {
		pace = overloadedWaitFactor
	}
	changed = len(book.PolicyZones) != len(j.zones)
	c.Demand, c.Capacity = map[string]float64{}, map[string]float64{}
	for i, z := range j.zones {
		c.Demand[z.Name] = j.loads[i].demand
		if _, room := j.loadOf(z.Name); room > 0 {
			c.Capacity[z.Name] = room
		}
		was, there := held[z.Name]
		if !there {
			was, changed = z, true
		}
		was.Region = z.Region
		next, why := j.nextState(now, was, bad[z.Name], alike, j.mayEmpty(was, emptied, bad), pace)
		if next.State != was.State || next.Share != was.Share {
			changed, c.Cause = true, fmt.Sprintf("%s %s: %s", z.Name, next.State, why)
			next.Reason = why
			if next.State == Emptied {
				emptied = append(emptied, next)
			}
		}
		c.Zones = append(c.Zones, next)
	}
	if j.updateSpilling(now, c.Zones, c.Demand) {
		changed, c.Cause = true, cmp.Or(c.Cause, "room")
	}
	c.Cause = cmp.Or(c.Cause, "the zones of the file")
	divert(c.Zones, c.Demand, c.Capacity)
	return c, changed && validateProposal(c.Zones) == ""
}

// mayEmpty tells whether a zone may be emptied beside those that are: up to a third of all, or one region whole
// where there is another that is good. Against one trouble emptying zone after zone.
func (j *Policy) mayEmpty(z Zone, emptied []Zone, bad map[string]float64) bool {
	if len(emptied)+1 <= max(1, len(j.zones)/3) {
		return len(emptied)+1 < len(j.zones)
	}
	same := !slices.ContainsFunc(emptied, func(e Zone) bool { return e.Region != z.Region })
	return same && slices.ContainsFunc(j.zones, func(o Zone) bool {
		return o.Region != z.Region && bad[o.Name] < healthyBelow
	})
}

// pressed tells whether the zones that are home are full together, so that a zone that waits costs service.
func (j *Policy) pressed(zones []Zone) bool {
	load, room := 0.0, 0.0
	for _, z := range zones {
		if z.State == Home {
			l, r := j.loadOf(z.Name)
			load, room = load+l, room+r
		}
	}
	return load > targetUtilization*room
}

// nextState is what becomes of one zone. Returns go at that part of the usual waits: faster where the others are
// full.
func (j *Policy) nextState(now float64, z Zone, bad float64, alike, may bool,
	pace float64) (Zone, string) {
	h := j.health[z.Name]
	since := func(at *float64, on bool) float64 {
		if !on {
			*at = math.NaN()
			return 0
		}
		if math.IsNaN(*at) {
			*at = now
		}
		return now - *at
	}
	lostFor := since(&h.lostSince, bad > lostAbove && !alike)
	badFor := since(&h.badSince, h.meanFailureRate > degradedAbove && bad > healthyBelow && !alike)
	goodFor := since(&h.goodSince, bad < healthyBelow)
	falls := lostFor >= lostDelay || badFor >= degradedDelay
	switch z.State {
	case Home, Spilling, Returning:
		if falls && may {
			if now > h.emptiedAt+returnWaitReset {
				h.returnWait = firstReturnWait
			} else {
				h.returnWait = min(2*h.returnWait, maxReturnWait)
			}
			h.emptiedAt = now
			return with(z, Emptied, 0), fmt.Sprintf("%.0f%% of tries fail", 100*bad)
		}
		if z.State != Returning || goodFor < pace*returnStepDelay || now < h.stepAt+pace*returnStepDelay {
			return z, ""
		}
		for _, share := range returnShares {
			if share > z.Share {
				h.stepAt = now
				if share == 1 {
					return with(z, Home, 1), "returned"
				}
				return with(z, Returning, share), "returns by steps"
			}
		}
	case Emptied:
		if goodFor > 0 && goodFor >= pace*h.returnWait {
			h.stepAt = now
			return with(z, Returning, returnShares[0]), fmt.Sprintf("good for %.0f s", goodFor/1000)
		}
	}
	return z, ""
}

func with(z Zone, s State, share float64) Zone {
	z.State, z.Share = s, share
	return z
}

// loadOf is a zone's, and what it bears: the middle of what relays say.
func (j *Policy) loadOf(zone string) (load, room float64) {
	if i, known := j.indices[zone]; known {
		return j.loads[i].load, j.loads[i].room
	}
	return 0, 0
}

// updateSpilling has zones that are too full send a share elsewhere, and those that have room again take it back.
func (j *Policy) updateSpilling(now float64, zones []Zone, demands map[string]float64) (changed bool) {
	for i := range zones {
		z, h := &zones[i], j.health[zones[i].Name]
		if z.State != Home && z.State != Spilling {
			continue
		}
		load, room := j.loadOf(z.Name)
		demand := demands[z.Name]
		if room == 0 || demand == 0 {
			continue
		}
		share := 1.0
		if load > fullAbove*room || z.State == Spilling {
			share = min(targetUtilization*room/demand, 1)
		}
		if math.Abs(share-z.Share) < minShareChange && !(share == 1 && z.Share < 1) {
			h.fullSince = math.NaN()
			continue
		}
		if math.IsNaN(h.fullSince) {
			h.fullSince = now
		}
		if now < h.fullSince+spillDelay || !hasOtherHome(zones, i) {
			continue
		}
		h.fullSince, changed = math.NaN(), true
		if *z = with(*z, Spilling, share); share == 1 {
			*z = with(*z, Home, 1)
		}
		z.Reason = fmt.Sprintf("it has room for %.0f%% of what is near", 100*share)
	}
	return changed
}

func hasOtherHome(zones []Zone, i int) bool {
	for k, z := range zones {
		if k != i && z.State == Home {
			return true
		}
	}
	return false
}

// divert says where the rest of the work near each zone goes: to zones that are home, of the same region
// first, as far as they have room; what nobody has room for is left. Where nothing is known of room, evenly.
func divert(zones []Zone, demand, room map[string]float64) {
	spare := map[string]float64{}
	for i := range zones {
		z := &zones[i]
		z.Diversions, z.Unserved = nil, 0
		if z.State == Home {
			spare[z.Name] = max(targetUtilization*room[z.Name]-demand[z.Name], 0)
		}
	}
	for _, near := range []bool{true, false} {
		for i := range zones {
			z := &zones[i]
			left := 1 - z.Share
			for _, p := range z.Diversions {
				left -= p.Fraction
			}
			if left < minFraction {
				continue
			}
			var to []int
			sum, known := 0.0, false
			for k, o := range zones {
				if k != i && o.State == Home && (o.Region == z.Region) == near {
					to = append(to, k)
					sum += spare[o.Name]
					known = known || room[o.Name] > 0
				}
			}
			known = known && demand[z.Name] > 0
			goes := left
			if known {
				goes = min(left, sum/demand[z.Name])
			}
			for _, k := range to {
				part := goes / float64(len(to))
				if known {
					part = goes * spare[zones[k].Name] / max(sum, 1e-9)
				}
				if part >= minFraction {
					z.Diversions = append(z.Diversions, TrafficShare{zones[k].Name, part})
				}
			}
			if known {
				for _, p := range z.Diversions[len(z.Diversions)-min(len(z.Diversions), len(to)):] {
					if slices.ContainsFunc(to, func(k int) bool { return zones[k].Name == p.Zone }) {
						spare[p.Zone] -= p.Fraction * demand[z.Name]
					}
				}
			}
		}
	}
	for i := range zones {
		z := &zones[i]
		left := 1 - z.Share
		for _, p := range z.Diversions {
			left -= p.Fraction
		}
		if left >= minFraction {
			z.Unserved = left
		}
	}
}
