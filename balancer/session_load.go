package balancer

import "math"

const (
	maxClassSamples = 50  // most sessions that count in the mean load of a class
	maxLoadSamples  = 200 // most sessions that count in the mean load of all classes
	priorSamples    = 2   // sessions with the mean load of all classes that are assumed for each class
)

// recordLoad adds the load of a session to the mean of its class and to that of all classes.
func (q *Quotas) recordLoad(class int, load float64) {
	q.classSamples[class] = min(q.classSamples[class]+1, maxClassSamples)
	q.classLoads[class] += (load - q.classLoads[class]) / q.classSamples[class]
	q.loadSamples = min(q.loadSamples+1, maxLoadSamples)
	q.meanSessionLoad += (load - q.meanSessionLoad) / q.loadSamples
}

// expectedLoad returns the load expected of a session whose load has not been measured: the mean of its class,
// pulled towards the mean of all classes while the class has few samples.
func (q *Quotas) expectedLoad(class int) float64 {
	samples := q.classSamples[class]
	return (q.classLoads[class]*samples + q.meanSessionLoad*priorSamples) / (samples + priorSamples)
}

// estimateSessionLoad sets the load that the session counts with until it is measured. The first of these that
// is known applies: the last load of its client's key, so that a heavy session shed by one backend does not
// overload the next; the client's hint; the expected load of its class.
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

// LoadMeasured records the measured load of an established session, in microseconds of work a second.
func (b *Balancer) LoadMeasured(session *Session, load float64) {
	if !(load >= 0) || math.IsInf(load, 1) || !session.state.reserved {
		return
	}
	if !session.measured {
		b.learnSessionLoad(session, load)
	}
	b.changeLoad(session, load)
}

// learnSessionLoad uses a session's first measured load, or its hint, for the mean loads. While few loads are
// known, the weights are refreshed at once. Otherwise a relay that has just started would compare sessions with
// a capacity that was estimated before this load was known, and take all backends for full.
func (b *Balancer) learnSessionLoad(session *Session, load float64) {
	session.measured = true
	b.quotas.recordLoad(session.Class, load)
	if b.quotas.loadSamples <= confidentSessions {
		b.roundRobin.invalidate()
	}
}

// rememberLoad stores the load of an established session that broke, because its client is expected to return.
func (b *Balancer) rememberLoad(now float64, session *Session, outcome AttemptOutcome) {
	if session.state.established && session.measured && session.Key != 0 && outcome != OutcomeSucceeded {
		b.quotas.endedLoads.store(now, session.Key, session.load)
	}
}
