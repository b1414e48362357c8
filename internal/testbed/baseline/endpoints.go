package baseline

import (
	"math"

	"valeshift/balancer"
)

// endpoint is one backend of the endpoint list.
type endpoint struct {
	id         uint32
	zone       int
	isReady    bool
	isInUpdate bool // the current update of the list contains it
	sessions   int  // sessions of this relay on it, attempts included
}

// endpointSet is all backends that have ever been listed.
type endpointSet struct {
	all        []endpoint
	indices    map[uint32]int // index in all, by ID
	isComplete bool           // the current update is complete: a backend that it does not contain is gone
}

// BeginEndpointUpdate begins an update of the endpoint list. A complete update replaces the list.
func (p *Policy) BeginEndpointUpdate(isComplete bool) {
	p.endpoints.isComplete = isComplete
	for i := range p.endpoints.all {
		p.endpoints.all[i].isInUpdate = false
	}
}

// UpdateEndpoint adds or changes one endpoint.
func (p *Policy) UpdateEndpoint(update balancer.Endpoint) {
	index, isListed := p.endpoints.indices[update.ID]
	if !isListed {
		index = len(p.endpoints.all)
		p.endpoints.indices[update.ID] = index
		p.endpoints.all = append(p.endpoints.all, endpoint{id: update.ID})
	}
	e := &p.endpoints.all[index]
	e.zone = update.Zone
	e.isReady = update.State == balancer.Ready
	e.isInUpdate = true
}

// EndEndpointUpdate ends the update, and cancels a pending subscription to the list.
func (p *Policy) EndEndpointUpdate(float64) {
	if p.endpoints.isComplete {
		for i := range p.endpoints.all {
			e := &p.endpoints.all[i]
			e.isReady = e.isReady && e.isInUpdate
		}
	}
	p.resubscribeAt = math.Inf(1)
}

// A failed subscription to the endpoint list is repeated after the minimum delay and a random part of the jitter.
// Both are in ms.
const (
	minResubscribeDelay    = 200
	resubscribeDelayJitter = 200
)

// WatchFailed makes the relay subscribe to the endpoint list again after a delay.
func (p *Policy) WatchFailed(now float64) {
	p.resubscribeAt = now + minResubscribeDelay + resubscribeDelayJitter*p.rng.Float64()
}

// NextAction asks for a new subscription if one is due. Baselines send no polls.
func (p *Policy) NextAction(now float64) balancer.Action {
	if now >= p.resubscribeAt {
		p.resubscribeAt = math.Inf(1)
		return balancer.Action{Kind: balancer.ActionSubscribe}
	}
	return balancer.Action{Wait: p.resubscribeAt - now}
}

// BackendStatus returns the number of this relay's sessions on a backend and whether it is avoided. It says that no
// load was ever reported.
func (p *Policy) BackendStatus(id uint32) balancer.BackendStatus {
	index, isListed := p.endpoints.indices[id]
	if !isListed {
		return balancer.BackendStatus{ReportedAt: math.Inf(-1), IsExcluded: true}
	}
	e := p.endpoints.all[index]
	return balancer.BackendStatus{Sessions: e.sessions, ReportedAt: math.Inf(-1), IsExcluded: !e.isReady}
}

// Counts returns how many backends have been listed, and how many of them get no new sessions.
func (p *Policy) Counts() (listed, excluded int) {
	for _, e := range p.endpoints.all {
		if !e.isReady {
			excluded++
		}
	}
	return len(p.endpoints.all), excluded
}

// WarmingUp reports that no backend is warming up.
func (p *Policy) WarmingUp(float64) (warmingUp, usable int) { return 0, len(p.endpoints.all) }
