package model

import "valeshift/internal/testbed/experiment"

const (
	// leaveDelay is the time from the announcement that backends leave until they end, and from the end of the
	// fault until they start again, in ms.
	leaveDelay = 5000.0

	// A backend that stalls alternates between the two.
	stallDuration = 300.0 // time for which it does no work, in ms
	stallPause    = 700.0 // time for which it works, in ms

	maxStolenShare = 0.99 // largest share of a backend's cores that a fault takes away
)

// pickBackends returns a random share of the serving backends, at least one if any serves.
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

// pickZone returns all backends of a random zone.
func (e *Environment) pickZone() (backends []*Backend) {
	zone := experiment.Zone(e.rng.Intn(e.experiment.Fleet.Zones))
	for _, b := range e.Backends {
		if b.Zone == zone {
			backends = append(backends, b)
		}
	}
	return backends
}

// applyWithUndo calls begin for each backend, and returns a function that calls end for the same backends.
func applyWithUndo(backends []*Backend, begin, end func(*Backend)) (undo func()) {
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
	return applyWithUndo(e.pickBackends(f.Share),
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
	return applyWithUndo(e.pickBackends(f.Share),
		func(b *Backend) { e.infrastructure.SetRefusing(b.Address, true) },
		func(b *Backend) { e.infrastructure.SetRefusing(b.Address, b.Dead) })
}

func (e *Environment) slowBackends(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickBackends(f.Share),
		func(b *Backend) { b.SetSpeedFactor(f.Factor) },
		func(b *Backend) { b.SetSpeedFactor(1) })
}

func (e *Environment) stallBackends(f *experiment.Fault) (undo func()) {
	backends := e.pickBackends(f.Share)
	active := true
	e.stall(backends, &active)
	return func() { active = false }
}

// stall stalls the backends for stallDuration, and again after each stallPause while *active is true.
func (e *Environment) stall(backends []*Backend, active *bool) {
	for _, b := range backends {
		b.SetStalled(true)
	}
	e.host.After(stallDuration, func() {
		for _, b := range backends {
			b.SetStalled(false)
		}
		e.host.After(stallPause, func() {
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
	return applyWithUndo(backends,
		func(b *Backend) { b.SetStolenShare(min(share, maxStolenShare)) },
		func(b *Backend) { b.SetStolenShare(0) })
}

func (e *Environment) slowSessionStore(f *experiment.Fault) (undo func()) {
	e.sessionStore.SetRateFactor(f.Factor)
	return func() { e.sessionStore.SetRateFactor(1) }
}

func (e *Environment) drainBackends(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickBackends(f.Share), e.drainBackend, func(b *Backend) {
		b.Draining = false
		e.publishEndpoint(b, statusActive)
	})
}

func (e *Environment) drainBackend(b *Backend) {
	b.Draining = true
	e.publishEndpoint(b, statusLeaving)
}

// removeBackends makes backends drain and then end. They start again after the fault.
func (e *Environment) removeBackends(f *experiment.Fault) (undo func()) {
	backends := e.pickBackends(f.Share)
	for _, b := range backends {
		e.drainBackend(b)
	}
	e.host.After(leaveDelay, func() {
		for _, b := range backends {
			e.killBackend(b)
			e.publishEndpoint(b, statusLeft)
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

// addBackends adds new backends in slow start. Their number is the given share of the present ones, at least one.
func (e *Environment) addBackends(f *experiment.Fault) (undo func()) {
	for range max(int(f.Share*float64(len(e.Backends))), 1) {
		b := e.addBackend(e.rng.Intn(e.experiment.Fleet.Zones))
		b.StartTime = e.host.Now()
		e.publishEndpoint(b, statusActive)
	}
	return nil
}

func (e *Environment) restartBackends(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickBackends(f.Share), e.killBackend, e.restartBackend)
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

// replaceBackend kills a backend and has a new one answer at its address.
func (e *Environment) replaceBackend(old *Backend) {
	old.Kill()
	e.publishEndpoint(old, statusLeft)
	spec := old.BackendSpec
	spec.Name = backendName(len(e.Backends))
	b := e.newBackend(spec, old.host)
	b.StartTime = e.host.Now()
	e.publishEndpoint(b, statusActive)
}

// failAttemptsInZone makes the backends of a zone reset a share of the attempts, while their health checks succeed.
func (e *Environment) failAttemptsInZone(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickZone(),
		func(b *Backend) { b.SetFailingShare(min(f.Factor, 1)) },
		func(b *Backend) { b.SetFailingShare(0) })
}

// loseAnswers makes backends execute a share of the attempts and reset their connections before they answer.
func (e *Environment) loseAnswers(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickBackends(f.Share),
		func(b *Backend) { b.SetLostAnswerShare(min(f.Factor, 1)) },
		func(b *Backend) { b.SetLostAnswerShare(0) })
}
