package model

import "valeshift/internal/testbed/experiment"

// loseZone has all backends and relays of a zone die. The backends return after the fault.
func (e *Environment) loseZone(*experiment.Fault) (undo func()) {
	lost := e.rng.Intn(e.experiment.Fleet.Zones)
	return e.loseZones(func(zone int) bool { return zone == lost })
}

// loseRegion does so with all zones of a region.
func (e *Environment) loseRegion(*experiment.Fault) (undo func()) {
	lost := e.experiment.Region(e.rng.Intn(e.experiment.Fleet.Zones))
	return e.loseZones(func(zone int) bool { return e.experiment.Region(zone) == lost })
}

func (e *Environment) loseZones(isLost func(zone int) bool) (undo func()) {
	lostZones := map[string]bool{}
	for zone := range e.experiment.Fleet.Zones {
		lostZones[experiment.Zone(zone)] = isLost(zone)
	}
	var lost []*Backend
	for _, b := range e.Backends {
		if !b.Dead && lostZones[b.Zone] {
			lost = append(lost, b)
			e.killBackend(b)
		}
	}
	for i, r := range e.relays {
		if r.isUp && isLost(r.zone) {
			e.killRelay(i, float64(e.experiment.Relays.RestartDelay))
		}
	}
	return func() {
		for _, b := range lost {
			e.restartBackend(b)
		}
	}
}

// isolateZone has nothing pass between a zone and the others.
func (e *Environment) isolateZone(*experiment.Fault) (undo func()) {
	zone := e.rng.Intn(e.experiment.Fleet.Zones)
	e.setIsolated(zone, true)
	return func() { e.setIsolated(zone, false) }
}

// setIsolated reports all backends as unreachable while a zone is isolated: each is so for some relays. That is
// more than holds, so that no relay is blamed for what it can't reach.
func (e *Environment) setIsolated(zone int, isolated bool) {
	e.infrastructure.IsolateZone(zone, isolated)
	for _, b := range e.Backends {
		e.observer.BackendUnreachable(e.host.Now(), b.Name, isolated)
	}
}
