package relay

import "valeshift/balancer"

// ZoneWeight is the share of all sessions that the coordinators assign to a zone.
type ZoneWeight struct {
	Zone            string  `json:"Zone"`
	Share           float64 `json:"Part"`
	AcceptsOverflow bool    `json:"Open"` // it also takes sessions meant for other zones, if those have no capacity
}

// setZoneWeights has sessions assigned to zones by these weights. Without any, they go wherever there is capacity.
func (m *StateMachine) setZoneWeights(weights []ZoneWeight) {
	var byNumber []balancer.ZoneWeight
	for _, w := range weights {
		byNumber = append(byNumber, balancer.ZoneWeight{
			Zone:            m.endpoints.zoneNumber(w.Zone),
			Weight:          w.Share,
			AcceptsOverflow: w.AcceptsOverflow,
		})
	}
	m.balancer().SetZoneWeights(byNumber)
	m.log("zone weights changed", "zones", len(weights))
}

// ZoneObservations returns what this relay has observed of each zone since its start, and as demand the load of its
// sessions, in units of one warm backend's capacity. It must be called between events, not during one.
func (m *StateMachine) ZoneObservations(now float64) (byZone map[string]balancer.ZoneObservation, demand float64) {
	all, demand := m.balancer().ZoneObservations(now)
	byZone = map[string]balancer.ZoneObservation{}
	for name, number := range m.endpoints.zones {
		if number < len(all) {
			byZone[name] = all[number]
		}
	}
	return byZone, demand
}
