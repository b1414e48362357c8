package baseline

import (
	"math"
	"slices"
)

// noEndpoint stands for no choice.
const noEndpoint = -1

// choose returns the index of the endpoint for the next attempt, noEndpoint if none is ready. The one of the
// attempt before is left out.
func (p *Policy) choose(before int) int {
	p.candidates = p.appendCandidates(p.candidates[:0], before)
	candidates := p.candidates
	if len(candidates) == 0 {
		return noEndpoint
	}
	switch p.config.Kind {
	case RoundRobin:
		p.turn++
		return candidates[p.turn%len(candidates)]
	case FewestSessions:
		return p.lowest(candidates, p.ownSessions)
	case FewestInOwnZone:
		return p.lowest(p.inOwnZone(candidates), p.ownSessions)
	case BetterOfTwo:
		first := p.draw(candidates)
		second := p.draw(candidates)
		return p.lowest([]int{first, second}, p.ownSessions)
	case TrueLoad, TrueLoadInLimits:
		return p.lowest(candidates, p.trueLoad)
	default:
		return p.draw(candidates)
	}
}

// appendCandidates appends the endpoints that may be chosen.
func (p *Policy) appendCandidates(candidates []int, before int) []int {
	for i, e := range p.endpoints.all {
		if !e.isReady || i == before {
			continue
		}
		if p.config.Kind == TrueLoadInLimits && !p.config.HasCapacity(e.id) {
			continue
		}
		candidates = append(candidates, i)
	}
	return candidates
}

func (p *Policy) draw(candidates []int) int { return candidates[p.rng.Intn(len(candidates))] }

// inOwnZone returns the candidates in the relay's zone; all of them if none is there.
func (p *Policy) inOwnZone(candidates []int) []int {
	near := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool {
		return p.endpoints.all[i].zone != p.config.Zone
	})
	if len(near) == 0 {
		return candidates
	}
	return near
}

// lowest returns the candidate with the lowest figure; of equal ones a drawn one.
func (p *Policy) lowest(candidates []int, figureOf func(endpoint int) float64) int {
	lowest := noEndpoint
	lowestFigure := math.Inf(1)
	start := p.rng.Intn(len(candidates))
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if figure := figureOf(candidate); figure < lowestFigure {
			lowest = candidate
			lowestFigure = figure
		}
	}
	return lowest
}

func (p *Policy) ownSessions(endpoint int) float64 {
	return float64(p.endpoints.all[endpoint].sessions)
}

func (p *Policy) trueLoad(endpoint int) float64 { return p.config.LoadOf(p.endpoints.all[endpoint].id) }
