package balancer

import "math"

// Quotas ranks sessions: by the priority weight of their class for the load they bring, reduced beyond their
// tenant's quota. It learns the load of sessions.
type Quotas struct {
	classes           []Class
	sessionQuotas     []float64 // open sessions over all relays, by tenant; 0: no quota
	totalQuota        float64
	beyondQuotaWeight float64 // factor on the priority of sessions beyond the quota
	relays            float64

	openSessions    []float64 // at this relay, by tenant
	classLoads      []float64 // mean session load, by class
	classSamples    []float64 // sessions that the class's mean rests on
	meanSessionLoad float64   // of all classes
	loadSamples     float64   // sessions that it rests on
	endedLoads      loadMemory
}

// NewQuotas returns Quotas without open sessions. A tenant's quota counts its open sessions over all relays
// (0: none); beyondQuotaWeight is the factor on the priority of sessions beyond it.
func NewQuotas(classes []Class, sessionQuotas []float64, beyondQuotaWeight float64, relays int) *Quotas {
	total := 0.0
	for _, quota := range sessionQuotas {
		total += quota
	}
	return &Quotas{
		classes:           classes,
		sessionQuotas:     sessionQuotas,
		totalQuota:        total,
		beyondQuotaWeight: beyondQuotaWeight,
		relays:            float64(relays),
		openSessions:      make([]float64, len(sessionQuotas)),
		classLoads:        make([]float64, len(classes)),
		classSamples:      make([]float64, len(classes)),
		meanSessionLoad:   1,
	}
}

// relativePriority is the session's priority weight for its load, relative to that of all sessions (1).
func (q *Quotas) relativePriority(session *Session) float64 {
	weightSum, loadSum := 0.0, 0.0
	for class, samples := range q.classSamples {
		weightSum += (samples + 1) * q.classes[class].PriorityWeight
		loadSum += (samples + 1) * q.expectedLoad(class)
	}
	weight := q.classes[session.Class].PriorityWeight
	if q.isBeyondQuota(session.Tenant) {
		weight *= q.beyondQuotaWeight
	}
	return weight / max(session.load, 1e-9) / (weightSum / loadSum)
}

// isBeyondQuota reports whether the tenant's open sessions, over all relays, exceed its quota. They are
// estimated from this relay's, less one standard deviation: else a single session would count as many times
// as there are relays.
func (q *Quotas) isBeyondQuota(tenant int) bool {
	if tenant >= len(q.sessionQuotas) || !(q.sessionQuotas[tenant] > 0) {
		return false
	}
	open := q.openSessions[tenant]
	return (open-math.Sqrt(open))*q.relays > q.sessionQuotas[tenant]
}
