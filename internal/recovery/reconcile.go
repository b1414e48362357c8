package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"valeshift/internal/relay"
)

const (
	// freshEndpointsLimit is for how many milliseconds after discovery confirmed them endpoints count as current.
	freshEndpointsLimit = 15000.0
	// maxCapacityRatio is the largest factor by which a source's capacity may lie above or below the median.
	maxCapacityRatio = 2.0

	statusActive  = "active"
	statusLeaving = "leaving"
)

// Reconciliation is the state accepted from several sources.
type Reconciliation struct {
	Snapshot  *relay.Snapshot // nil if there was no source
	Accepted  []string        // the state that was accepted, with its source
	Discarded []string        // the state that was discarded, with the reason
}

// Reconcile merges the snapshots of the disk and of other relays into one. It leaves out backend loads, as a load is
// of no use a second later.
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
	if disk.Snapshot != nil { // only this relay's own retry times: no other relay's clients come back to it
		r.Snapshot.RetryAt = disk.Snapshot.RetryAt
	}
	return r
}

// reconcileEndpoints takes the latest endpoints. If discovery confirmed them recently, they are as good as an update
// from discovery itself. Otherwise they only say where backends used to be, and the strictest status of each backend
// counts: one that any source has as leaving gets no new sessions until discovery reports it as active.
func (r *Reconciliation) reconcileEndpoints(sources []Source) {
	latest := latestEndpointsSource(sources)
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

// hasEndpoints reports whether the source's snapshot has any endpoints.
func (s *Source) hasEndpoints() bool {
	return s.Snapshot.Endpoints != nil && len(s.Snapshot.Endpoints.Endpoints) > 0
}

// hasFreshEndpoints reports whether discovery confirmed the endpoints recently, in the source's incarnation.
func (s *Source) hasFreshEndpoints() bool {
	return s.ConfirmedAgoMillis >= 0 && s.ConfirmedAgoMillis < freshEndpointsLimit
}

// hasLaterEndpoints reports whether the endpoints of s are later than those of other. Fresh endpoints take precedence
// over all others whatever their index, because discovery may restart its index after its own restart.
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

// latestEndpointsSource returns the source with the latest endpoints, or nil if no source has endpoints.
func latestEndpointsSource(sources []Source) *Source {
	var latest *Source
	for i := range sources {
		s := &sources[i]
		if s.hasEndpoints() && (latest == nil || s.hasLaterEndpoints(latest)) {
			latest = s
		}
	}
	return latest
}

// leavingBackends returns the names of the backends whose status in any source is other than active.
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

// reconcileEstimates takes the estimates of the source with the median capacity, or those of the disk if its
// capacity is near that. A source with wrong estimates, or those of another fleet, moves the median by only one
// place.
func (r *Reconciliation) reconcileEstimates(sources []Source) {
	byCapacity := estimatingSources(sources)
	if len(byCapacity) == 0 {
		return
	}
	chosen := byCapacity[(len(byCapacity)-1)/2] // the lower of two medians, which loads backends in slow start less
	for _, s := range byCapacity {
		reference := chosen.Snapshot.Capacity
		capacity := s.Snapshot.Capacity
		switch {
		case capacity > maxCapacityRatio*reference || capacity < reference/maxCapacityRatio:
			r.Discarded = append(r.Discarded, fmt.Sprintf("%s: a backend's capacity is %.0f, the median is %.0f", s,
				capacity, reference))
		case s.isDisk():
			chosen = s
		}
	}
	r.Snapshot.Capacity = chosen.Snapshot.Capacity
	r.Snapshot.MeanLoad = chosen.Snapshot.MeanLoad
	r.Snapshot.Classes = chosen.Snapshot.Classes
	r.Accepted = append(r.Accepted, fmt.Sprintf("estimates, from %s", chosen))
}

// estimatingSources returns the sources that have estimates, sorted by capacity.
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
