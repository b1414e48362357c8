package balancer

import "math"

const (
	maxClassSamples = 50  // sessions that the mean load of a class rests on
	maxLoadSamples  = 200 // and that of all
	priorSamples    = 2   // sessions of the mean load, that a class's expected load begins with
)

// recordLoad takes the load of a session of the class into the means.
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

// estimateSessionLoad sets the session's load until a measurement: what its key weighed last, against a heavy
// session that one backend sheds tipping the next; the client's hint; or its class's.
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

// LoadMeasured takes what an established session weighs now, in microseconds of work a second.
func (b *Balancer) LoadMeasured(session *Session, load float64) {
	if !(load >= 0) || math.IsInf(load, 1) || !session.reserved {
		return
	}
	if !session.measured {
		b.learnSessionLoad(session, load)
	}
	b.changeLoad(session, load)
}

// learnSessionLoad takes a session's first measured load. Against a young relay that measures sessions by one
// figure and the backends by another, from before the first was known, and finds all backends full: both are
// estimated anew.
func (b *Balancer) learnSessionLoad(session *Session, load float64) {
	session.measured = true
	b.quotas.recordLoad(session.Class, load)
	if b.quotas.loadSamples <= confidentSessions {
		b.roundRobin.invalidate()
	}
}

// rememberLoad keeps what an established session weighed that did not end in good order, as its client comes
// again.
func (b *Balancer) rememberLoad(now float64, session *Session, outcome AttemptOutcome) {
	if session.established && session.measured && session.Key != 0 && outcome != OutcomeSucceeded {
		b.quotas.endedLoads.store(now, session.Key, session.load)
	}
}
