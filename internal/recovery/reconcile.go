package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"valeshift/internal/relay"
)

const (
	// freshEndpointsLimit is how long endpoints that discovery has confirmed count as if it had just told them.
	freshEndpointsLimit = 15000.0
	// maxCapacityRatio is how far from the median, as a factor either way, a source's capacity may be.
	maxCapacityRatio = 2.0

	statusActive  = "active"
	statusLeaving = "leaving"
)

// Reconciliation is what is believed of several sources.
type Reconciliation struct {
	Snapshot  *relay.Snapshot // nil: there was no source
	Accepted  []string        // what was believed, and by which source
	Discarded []string        // what was not, and why
}

// Reconcile makes one snapshot of the disk's and those of other relays. Loads are not among it: a load is worth
// nothing a second later.
func Reconcile(disk Source, others []Source) Reconciliation {
	sources := others
	if disk.Snapshot != nil {
		sources = append([]Source{disk}, others...)
	}
	if len(sources) == 0 {
		return Reconciliation{}
	}
	r := Reconciliation{Snapshot: &relay.Snapshot{Classes: map[string]relay.ClassLoad{}}}
	r.reconcileEndpoints(sources)
	r.reconcileEstimates(sources)
	if disk.Snapshot != nil { // this relay's own promises: no other relay's clients come back to it
		r.Snapshot.RetryAt = disk.Snapshot.RetryAt
	}
	return r
}

// reconcileEndpoints takes the endpoints that discovery confirmed last. Those that it confirmed just now, in the
// life of the source, are as good as from discovery itself; any other only say where backends were. Of those the
// strictest word on each backend counts: one that any source has as leaving gets nothing new until discovery
// says so.
func (r *Reconciliation) reconcileEndpoints(sources []Source) {
	latest := latestEndpoints(sources)
	if latest == nil {
		return
	}
	isFresh := latest.hasFreshEndpoints()
	endpoints := &relay.EndpointUpdate{Index: latest.Snapshot.Endpoints.Index, Complete: true}
	leaving := map[string]bool{}
	if !isFresh {
		leaving = leavingBackends(sources)
	}
	for _, e := range latest.Snapshot.Endpoints.Endpoints {
		if leaving[e.Name] && e.Status == statusActive {
			e.Status = statusLeaving
			r.Discarded = append(r.Discarded, e.Name+": another relay has it as leaving")
		}
		endpoints.Endpoints = append(endpoints.Endpoints, e)
	}
	r.Snapshot.Endpoints = endpoints
	r.Snapshot.EndpointsAssumed = !isFresh
	r.Accepted = append(r.Accepted, fmt.Sprintf("%d endpoints, from %s", len(endpoints.Endpoints), latest))
}

// hasEndpoints tells whether the source knows of any backend.
func (s *Source) hasEndpoints() bool {
	return s.Snapshot.Endpoints != nil && len(s.Snapshot.Endpoints.Endpoints) > 0
}

// hasFreshEndpoints tells whether discovery has confirmed the endpoints just now.
func (s *Source) hasFreshEndpoints() bool {
	return s.ConfirmedAgoMillis >= 0 && s.ConfirmedAgoMillis < freshEndpointsLimit
}

// hasLaterEndpoints tells whether s has later endpoints than other. Fresh ones go before all others, whatever
// their index, as discovery counts anew after its own restart.
func (s *Source) hasLaterEndpoints(other *Source) bool {
	isFresh := s.hasFreshEndpoints()
	switch {
	case isFresh != other.hasFreshEndpoints():
		return isFresh
	case isFresh:
		return s.ConfirmedAgoMillis < other.ConfirmedAgoMillis
	}
	return s.Snapshot.Endpoints.Index > other.Snapshot.Endpoints.Index
}

// latestEndpoints returns the source of the latest endpoints; nil: none has any.
func latestEndpoints(sources []Source) *Source {
	var latest *Source
	for i := range sources {
		s := &sources[i]
		if s.hasEndpoints() && (latest == nil || s.hasLaterEndpoints(latest)) {
			latest = s
		}
	}
	return latest
}

// leavingBackends returns the backends that any source has as other than active.
func leavingBackends(sources []Source) map[string]bool {
	leaving := map[string]bool{}
	for i := range sources {
		if !sources[i].hasEndpoints() {
			continue
		}
		for _, e := range sources[i].Snapshot.Endpoints.Endpoints {
			if e.Status != statusActive {
				leaving[e.Name] = true
			}
		}
	}
	return leaving
}

// reconcileEstimates takes the estimates of the source whose capacity is the median, or the disk's where they are
// near that. A source that is wrong, or has another fleet's, moves the median by one place only.
func (r *Reconciliation) reconcileEstimates(sources []Source) {
	byCapacity := estimatingSources(sources)
	if len(byCapacity) == 0 {
		return
	}
	chosen := byCapacity[(len(byCapacity)-1)/2] // of two the lower: it asks less of backends that warm up
	for _, s := range byCapacity {
		limit := chosen.Snapshot.Capacity
		capacity := s.Snapshot.Capacity
		switch {
		case capacity > maxCapacityRatio*limit || capacity < limit/maxCapacityRatio:
			r.Discarded = append(r.Discarded, fmt.Sprintf("%s: a backend's capacity is %.0f, the median is %.0f", s,
				capacity, limit))
		case s.isDisk():
			chosen = s
		}
	}
	r.Snapshot.Capacity = chosen.Snapshot.Capacity
	r.Snapshot.MeanLoad = chosen.Snapshot.MeanLoad
	r.Snapshot.Classes = chosen.Snapshot.Classes
	r.Accepted = append(r.Accepted, fmt.Sprintf("estimates, from %s", chosen))
}

// estimatingSources returns the sources that have estimates, by capacity.
func estimatingSources(sources []Source) []*Source {
	var estimating []*Source
	for i := range sources {
		s := &sources[i]
		if s.Snapshot.Capacity > 0 && s.Snapshot.MeanLoad > 0 {
			estimating = append(estimating, s)
		}
	}
	slices.SortStableFunc(estimating, func(a, b *Source) int {
		return cmp.Compare(a.Snapshot.Capacity, b.Snapshot.Capacity)
	})
	return estimating
}
