package baseline

import (
	"math"
	"slices"
)

// noEndpoint is the index that means no endpoint.
const noEndpoint = -1

// choose returns the index of the endpoint for the next attempt, or noEndpoint if there is none. The endpoint of
// the previous attempt is left out.
func (p *Policy) choose(previous int) int {
	p.candidates = p.appendCandidates(p.candidates[:0], previous)
	candidates := p.candidates
	if len(candidates) == 0 {
		return noEndpoint
	}
	switch p.config.Kind {
	case RoundRobin:
		p.roundRobinIndex++
		return candidates[p.roundRobinIndex%len(candidates)]
	case FewestSessions:
		return p.lowest(candidates, p.ownSessions)
	case FewestSessionsInZone:
		return p.lowest(p.inOwnZone(candidates), p.ownSessions)
	case PowerOfTwoChoices:
		first := p.draw(candidates)
		second := p.draw(candidates)
		return p.lowest([]int{first, second}, p.ownSessions)
	case TrueLoad, TrueLoadWithCapacity:
		return p.lowest(candidates, p.trueLoad)
	default:
		return p.draw(candidates)
	}
}

// appendCandidates appends the indices of the endpoints that may be chosen.
func (p *Policy) appendCandidates(candidates []int, previous int) []int {
	for i, e := range p.endpoints.all {
		if !e.isReady || i == previous {
			continue
		}
		if p.config.Kind == TrueLoadWithCapacity && !p.config.HasCapacity(e.id) {
			continue
		}
		candidates = append(candidates, i)
	}
	return candidates
}

func (p *Policy) draw(candidates []int) int { return candidates[p.rng.Intn(len(candidates))] }

// inOwnZone returns the candidates in the relay's zone, or all candidates if there are none.
func (p *Policy) inOwnZone(candidates []int) []int {
	inZone := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool {
		return p.endpoints.all[i].zone != p.config.Zone
	})
	if len(inZone) == 0 {
		return candidates
	}
	return inZone
}

// lowest returns the candidate with the lowest score. Of equal ones it returns the first from a random start.
func (p *Policy) lowest(candidates []int, scoreOf func(endpoint int) float64) int {
	lowest := noEndpoint
	lowestScore := math.Inf(1)
	start := p.rng.Intn(len(candidates))
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if score := scoreOf(candidate); score < lowestScore {
			lowest = candidate
			lowestScore = score
		}
	}
	return lowest
}

func (p *Policy) ownSessions(endpoint int) float64 {
	return float64(p.endpoints.all[endpoint].sessions)
}

func (p *Policy) trueLoad(endpoint int) float64 { return p.config.LoadOf(p.endpoints.all[endpoint].id) }
