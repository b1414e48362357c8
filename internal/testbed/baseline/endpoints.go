package baseline

import (
	"math"

	"valeshift/balancer"
)

// endpoint is one backend of the endpoint list.
type endpoint struct {
	id          uint32
	zone        int
	isReady     bool
	isMentioned bool // in the update that goes on
	sessions    int  // of this relay, attempts included
}

// endpointSet is all backends that were ever listed.
type endpointSet struct {
	all        []endpoint
	indices    map[uint32]int // by id
	isComplete bool           // the update that goes on: what it does not mention is gone
}

// BeginEndpointUpdate begins an update of the endpoint list; a complete one replaces the list.
func (p *Policy) BeginEndpointUpdate(isComplete bool) {
	p.endpoints.isComplete = isComplete
	for i := range p.endpoints.all {
		p.endpoints.all[i].isMentioned = false
	}
}

// UpdateEndpoint takes one endpoint of the update.
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
	e.isMentioned = true
}

// EndEndpointUpdate ends the update.
func (p *Policy) EndEndpointUpdate(float64) {
	if p.endpoints.isComplete {
		for i := range p.endpoints.all {
			e := &p.endpoints.all[i]
			e.isReady = e.isReady && e.isMentioned
		}
	}
	p.resubscribeAt = math.Inf(1)
}

// Bounds of the time after which a failed subscription to the endpoint list is tried again, in milliseconds.
const (
	minResubscribeDelay    = 200
	resubscribeDelayJitter = 200
)

// WatchFailed has the relay subscribe to the endpoint list again soon.
func (p *Policy) WatchFailed(now float64) {
	p.resubscribeAt = now + minResubscribeDelay + resubscribeDelayJitter*p.rng.Float64()
}

// NextAction asks for a new subscription if the last has failed. Baselines send no polls.
func (p *Policy) NextAction(now float64) balancer.Action {
	if now >= p.resubscribeAt {
		p.resubscribeAt = math.Inf(1)
		return balancer.Action{Kind: balancer.ActionSubscribe}
	}
	return balancer.Action{Wait: p.resubscribeAt - now}
}

// BackendStatus returns the relay's sessions on a backend and whether it is avoided; no load was ever reported.
func (p *Policy) BackendStatus(id uint32) balancer.BackendStatus {
	index, isListed := p.endpoints.indices[id]
	if !isListed {
		return balancer.BackendStatus{ReportedAt: math.Inf(-1), IsExcluded: true}
	}
	e := p.endpoints.all[index]
	return balancer.BackendStatus{Sessions: e.sessions, ReportedAt: math.Inf(-1), IsExcluded: !e.isReady}
}

// Counts returns how many backends were listed, and how many of them get no session.
func (p *Policy) Counts() (listed, avoided int) {
	for _, e := range p.endpoints.all {
		if !e.isReady {
			avoided++
		}
	}
	return len(p.endpoints.all), avoided
}

// WarmingUp reports that no backend is warming up.
func (p *Policy) WarmingUp(float64) (warmingUp, usable int) { return 0, len(p.endpoints.all) }
