package model

import "valeshift/internal/testbed/experiment"

const (
	leaveDelay = 5000.0 // from when a backend is said to leave until it is gone, and until it is back

	// A backend that stalls stands still for the one time and works for the other, in turns.
	stallFor = 300.0
	stallGap = 700.0

	maxStolenShare = 0.99 // of a backend's cores
)

// pickBackends draws that share of the backends that serve, one at the least.
func (e *Environment) pickBackends(share float64) []*Backend {
	var serving []*Backend
	for _, b := range e.Backends {
		if b.isServing() {
			serving = append(serving, b)
		}
	}
	e.rng.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return takeShare(serving, share)
}

// pickZone draws a zone and returns all its backends.
func (e *Environment) pickZone() (backends []*Backend) {
	zone := experiment.Zone(e.rng.Intn(e.experiment.Fleet.Zones))
	for _, b := range e.Backends {
		if b.Zone == zone {
			backends = append(backends, b)
		}
	}
	return backends
}

// forEach applies begin to the backends, and returns what applies end to the same ones.
func forEach(backends []*Backend, begin, end func(*Backend)) (undo func()) {
	for _, b := range backends {
		begin(b)
	}
	return func() {
		for _, b := range backends {
			end(b)
		}
	}
}

func (e *Environment) silenceBackends(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share),
		func(b *Backend) { e.setUnreachable(b, true) },
		func(b *Backend) { e.setUnreachable(b, false) })
}

func (e *Environment) setUnreachable(b *Backend, unreachable bool) {
	e.infrastructure.SetUnreachable(b.Address, unreachable)
	e.observer.BackendUnreachable(e.host.Now(), b.Name, unreachable)
}

func (e *Environment) resetBackendConnections(f *experiment.Fault) (undo func()) {
	for _, b := range e.pickBackends(f.Share) {
		b.ResetConnections()
	}
	return nil
}

func (e *Environment) refuseAtBackends(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share),
		func(b *Backend) { e.infrastructure.SetRefusing(b.Address, true) },
		func(b *Backend) { e.infrastructure.SetRefusing(b.Address, b.Dead) })
}

func (e *Environment) slowBackends(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share),
		func(b *Backend) { b.SetSpeedFactor(f.Factor) },
		func(b *Backend) { b.SetSpeedFactor(1) })
}

func (e *Environment) stallBackends(f *experiment.Fault) (undo func()) {
	backends := e.pickBackends(f.Share)
	active := true
	e.stall(backends, &active)
	return func() { active = false }
}

// stall has backends stand still for a moment, again and again as long as active holds.
func (e *Environment) stall(backends []*Backend, active *bool) {
	for _, b := range backends {
		b.SetStalled(true)
	}
	e.host.After(stallFor, func() {
		for _, b := range backends {
			b.SetStalled(false)
		}
		e.host.After(stallGap, func() {
			if *active {
				e.stall(backends, active)
			}
		})
	})
}

func (e *Environment) stealCores(f *experiment.Fault) (undo func()) {
	return stealCores(e.pickBackends(f.Share), f.Factor)
}

func (e *Environment) stealCoresInZone(f *experiment.Fault) (undo func()) {
	return stealCores(e.pickZone(), f.Factor)
}

func stealCores(backends []*Backend, share float64) (undo func()) {
	return forEach(backends,
		func(b *Backend) { b.SetStolenShare(min(share, maxStolenShare)) },
		func(b *Backend) { b.SetStolenShare(0) })
}

func (e *Environment) slowSessionStore(f *experiment.Fault) (undo func()) {
	e.sessionStore.SetRateFactor(f.Factor)
	return func() { e.sessionStore.SetRateFactor(1) }
}

func (e *Environment) drainBackends(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share), e.drainBackend, func(b *Backend) {
		b.Draining = false
		e.list(b, statusActive)
	})
}

func (e *Environment) drainBackend(b *Backend) {
	b.Draining = true
	e.list(b, statusLeaving)
}

// removeBackends has backends drain, then go, and return after the fault.
func (e *Environment) removeBackends(f *experiment.Fault) (undo func()) {
	backends := e.pickBackends(f.Share)
	for _, b := range backends {
		e.drainBackend(b)
	}
	e.host.After(leaveDelay, func() {
		for _, b := range backends {
			e.killBackend(b)
			e.list(b, statusLeft)
			b.Draining = false
		}
	})
	return func() {
		e.host.After(leaveDelay, func() {
			for _, b := range backends {
				e.restartBackend(b)
			}
		})
	}
}

// addBackends adds new backends, in slow start, as many as that share of the present ones.
func (e *Environment) addBackends(f *experiment.Fault) (undo func()) {
	for range max(int(f.Share*float64(len(e.Backends))), 1) {
		b := e.addBackend(e.rng.Intn(e.experiment.Fleet.Zones))
		b.Since = e.host.Now()
		e.list(b, statusActive)
	}
	return nil
}

func (e *Environment) restartBackends(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share), e.killBackend, e.restartBackend)
}

func (e *Environment) killBackend(b *Backend) {
	b.Kill()
	b.OnChange()
}

func (e *Environment) restartBackend(b *Backend) {
	if b.Dead {
		b.Start()
		b.OnChange()
	}
}

func (e *Environment) replaceBackends(f *experiment.Fault) (undo func()) {
	for _, b := range e.pickBackends(f.Share) {
		e.replaceBackend(b)
	}
	return nil
}

// replaceBackend has a new backend answer at the address of one that dies.
func (e *Environment) replaceBackend(old *Backend) {
	old.Kill()
	e.list(old, statusLeft)
	spec := old.BackendSpec
	spec.Name = backendName(len(e.Backends))
	b := e.newBackend(spec, old.host)
	b.Since = e.host.Now()
	e.list(b, statusActive)
}

// failAttemptsInZone has the backends of a zone break a share of the attempts, while their health checks pass.
func (e *Environment) failAttemptsInZone(f *experiment.Fault) (undo func()) {
	return forEach(e.pickZone(),
		func(b *Backend) { b.SetFailingShare(min(f.Factor, 1)) },
		func(b *Backend) { b.SetFailingShare(0) })
}

// loseAnswers has backends do what a share of the attempts ask for, and break before they say so.
func (e *Environment) loseAnswers(f *experiment.Fault) (undo func()) {
	return forEach(e.pickBackends(f.Share),
		func(b *Backend) { b.SetLostAnswerShare(min(f.Factor, 1)) },
		func(b *Backend) { b.SetLostAnswerShare(0) })
}
