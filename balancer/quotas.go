package balancer

import "math"

// Quotas computes the priority of sessions: the priority weight of their class in relation to their load,
// reduced for sessions beyond their tenant's quota. It also keeps the mean load of sessions.
type Quotas struct {
	classes           []Class
	sessionQuotas     []float64 // quota of open sessions over all relays, by tenant; 0: no quota
	totalQuota        float64   // sum of sessionQuotas
	beyondQuotaWeight float64   // factor on the priority of sessions beyond the quota
	relays            float64   // number of relays

	openSessions    []float64        // number of open sessions at this relay, by tenant
	classLoads      []float64        // mean session load, by class
	classSamples    []float64        // number of sessions that count in the mean load, by class
	meanSessionLoad float64          // mean session load of all classes
	loadSamples     float64          // number of sessions that count in meanSessionLoad
	endedLoads      sessionLoadCache // loads of sessions that broke, by client key
}

// NewQuotas returns Quotas without open sessions. A tenant's quota is a number of open sessions over all relays
// (0: no quota); beyondQuotaWeight is the factor on the priority of sessions beyond it.
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

// relativePriority returns the session's priority weight per load, as a multiple of the mean of all sessions.
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

// isBeyondQuota reports whether the tenant's open sessions over all relays exceed its quota. Their number is
// estimated from those at this relay, less one standard deviation. Without that, a single session would count
// as if there were one at every relay.
func (q *Quotas) isBeyondQuota(tenant int) bool {
	if tenant >= len(q.sessionQuotas) || !(q.sessionQuotas[tenant] > 0) {
		return false
	}
	open := q.openSessions[tenant]
	return (open-math.Sqrt(open))*q.relays > q.sessionQuotas[tenant]
}
