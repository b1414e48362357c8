package relay

import "valeshift/balancer"

// This file is the part of the reducer for zones that are decided on in common: names become numbers here,
// and back.

// Toward is a zone that a part of the links is meant for; an open one takes others' too where those find no
// room.
type Toward struct {
	Zone string  `json:"Zone"`
	Part float64 `json:"Part"`
	Open bool    `json:"Open"`
}

// directed takes where links are meant to go from now on; none: as this relay finds.
func (r *Reducer) directed(all []Toward) {
	var parts []balancer.Direction
	for _, t := range all {
		parts = append(parts, balancer.Direction{Zone: r.zone(t.Zone), Part: t.Part, Open: t.Open})
	}
	r.table.Balancer.Direct(parts)
	r.note("directed", "zones", len(all))
}

// Looked is what this relay has seen of each zone since its start, and what its links weigh.
func (r *Reducer) Looked(now float64) (map[string]balancer.ZoneLook, float64) {
	all, demand := r.table.Balancer.Zones(now)
	named := map[string]balancer.ZoneLook{}
	for name, z := range r.zones {
		if z < len(all) {
			named[name] = all[z]
		}
	}
	return named, demand
}
