package model

import "valeshift/internal/testbed/experiment"

// loseZone kills all backends and relays of a random zone. The backends start again after the fault, the relays
// after RestartDelay.
func (e *Environment) loseZone(*experiment.Fault) (undo func()) {
	lost := e.rng.Intn(e.experiment.Fleet.Zones)
	return e.loseZones(func(zone int) bool { return zone == lost })
}

// loseRegion does the same to all zones of a random region.
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

// isolateZone cuts a random zone off from the others: nothing passes between them.
func (e *Environment) isolateZone(*experiment.Fault) (undo func()) {
	zone := e.rng.Intn(e.experiment.Fleet.Zones)
	e.setIsolated(zone, true)
	return func() { e.setIsolated(zone, false) }
}

// setIsolated cuts a zone off or connects it again. While a zone is cut off, the observer is told that all backends
// are unreachable, since each of them is so for some relays. That is more than is true, but no relay is blamed for
// a backend that it can't reach.
func (e *Environment) setIsolated(zone int, isolated bool) {
	e.infrastructure.IsolateZone(zone, isolated)
	for _, b := range e.Backends {
		e.observer.BackendUnreachable(e.host.Now(), b.Name, isolated)
	}
}
