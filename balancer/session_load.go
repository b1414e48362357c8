package balancer

import "math"

const (
	maxClassSamples = 50  // sessions that a class's mean load rests on, at the most
	maxLoadSamples  = 200 // sessions that the mean load of all rests on, at the most
	priorSamples    = 2   // sessions of the mean load that count for a class before its own
)

// recordLoad adds the load of a session of the class to the means.
func (q *Quotas) recordLoad(class int, load float64) {
	q.classSamples[class] = min(q.classSamples[class]+1, maxClassSamples)
	q.classLoads[class] += (load - q.classLoads[class]) / q.classSamples[class]
	q.loadSamples = min(q.loadSamples+1, maxLoadSamples)
	q.meanSessionLoad += (load - q.meanSessionLoad) / q.loadSamples
}

// expectedLoad is the load of a session not yet measured: its class's, drawn to the mean while few are known.
func (q *Quotas) expectedLoad(class int) float64 {
	samples := q.classSamples[class]
	return (q.classLoads[class]*samples + q.meanSessionLoad*priorSamples) / (samples + priorSamples)
}

// estimateSessionLoad sets the session's load until it is measured: what its key weighed last, so that a
// heavy session shed by one backend does not overload the next; the client's hint; or the class's mean.
func (b *Balancer) estimateSessionLoad(session *Session) {
	if load, found := b.quotas.endedLoads.lookup(session.Key); found {
		session.load = load
		return
	}
	if session.LoadHint > 0 {
		session.load = session.LoadHint
		b.learnSessionLoad(session, session.load)
		return
	}
	session.load = b.quotas.expectedLoad(session.Class)
}

// LoadMeasured records the load of an established session, in microseconds of work a second.
func (b *Balancer) LoadMeasured(session *Session, load float64) {
	if !(load >= 0) || math.IsInf(load, 1) || !session.state.reserved {
		return
	}
	if !session.measured {
		b.learnSessionLoad(session, load)
	}
	b.changeLoad(session, load)
}

// learnSessionLoad learns from a session's first measured load. While few are known the weights are refreshed
// at once; else a young relay would compare sessions by this measure with a capacity from before it, and find
// all backends full.
func (b *Balancer) learnSessionLoad(session *Session, load float64) {
	session.measured = true
	b.quotas.recordLoad(session.Class, load)
	if b.quotas.loadSamples <= confidentSessions {
		b.roundRobin.invalidate()
	}
}

// rememberLoad stores the load of an established session that broke, as its client will return.
func (b *Balancer) rememberLoad(now float64, session *Session, outcome AttemptOutcome) {
	if session.state.established && session.measured && session.Key != 0 && outcome != OutcomeSucceeded {
		b.quotas.endedLoads.store(now, session.Key, session.load)
	}
}
