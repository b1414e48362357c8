package balancer

import "math"

// Quotas says what sessions are worth against each other: the priority weight of their class for the load
// they bring, less beyond their tenant's quota. It learns what sessions weigh.
type Quotas struct {
	classes           []Class
	sessionQuotas     []float64 // open sessions of each tenant's quota, over all relays; 0: no quota
	totalQuota        float64
	beyondQuotaWeight float64 // factor on the priority of sessions beyond the quota
	relays            float64

	openSessions    []float64 // of each tenant, at this relay
	classLoads      []float64 // mean load of each class's sessions
	classSamples    []float64 // sessions that the mean rests on
	meanSessionLoad float64
	loadSamples     float64 // and those of all
	endedLoads      loadMemory
}

// NewQuotas takes the classes, the tenants' quotas of open sessions over all relays (0: none), the factor on
// the priority of sessions beyond a quota, and the number of relays.
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

// relativePriority is the session's priority weight for its load, against that of all sessions seen; 1 is the
// mean.
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

// isBeyondQuota reports whether the tenant's open sessions, over all relays, pass its quota. They are
// estimated from this relay's, less what chance may add: one session would stand for as many as there are
// relays.
func (q *Quotas) isBeyondQuota(tenant int) bool {
	if tenant >= len(q.sessionQuotas) || !(q.sessionQuotas[tenant] > 0) {
		return false
	}
	open := q.openSessions[tenant]
	return (open-math.Sqrt(open))*q.relays > q.sessionQuotas[tenant]
}
