package model

import (
	"math"

	"valeshift/internal/testbed/experiment"
)

// FaultSpan is a fault that has occurred, for the time axis of reports. From and To are milliseconds since the
// start of the run.
type FaultSpan struct {
	From float64 `json:"From"`
	To   float64 `json:"To"`
	Text string  `json:"Text"`
}

// faultAction starts a fault. It returns a function that ends the fault, or nil if nothing has to be undone.
type faultAction func(e *Environment, f *experiment.Fault) (undo func())

// faultActions has all kinds of fault except those that impair the network between machines.
var faultActions = map[experiment.FaultKind]faultAction{
	experiment.FaultSilent:       (*Environment).silenceBackends,
	experiment.FaultReset:        (*Environment).resetBackendConnections,
	experiment.FaultRefuse:       (*Environment).refuseAtBackends,
	experiment.FaultSlow:         (*Environment).slowBackends,
	experiment.FaultStalls:       (*Environment).stallBackends,
	experiment.FaultStolenCores:  (*Environment).stealCores,
	experiment.FaultSlowStore:    (*Environment).slowSessionStore,
	experiment.FaultDrain:        (*Environment).drainBackends,
	experiment.FaultLeave:        (*Environment).removeBackends,
	experiment.FaultGrowth:       (*Environment).addBackends,
	experiment.FaultColdReturn:   (*Environment).restartBackends,
	experiment.FaultAddressTaken: (*Environment).replaceBackends,
	experiment.FaultAnswersLost:  (*Environment).loseAnswers,

	experiment.FaultZoneLost:            (*Environment).loseZone,
	experiment.FaultRegionLost:          (*Environment).loseRegion,
	experiment.FaultZoneFailingAttempts: (*Environment).failAttemptsInZone,
	experiment.FaultZoneBusy:            (*Environment).stealCoresInZone,
	experiment.FaultZoneCut:             (*Environment).isolateZone,

	experiment.FaultDiscoveryLate:       (*Environment).delayDiscovery,
	experiment.FaultDiscoveryDown:       (*Environment).stopDiscovery,
	experiment.FaultDiscoveryIncomplete: (*Environment).hideBackends,
	experiment.FaultDiscoveryReset:      (*Environment).resetDiscovery,

	experiment.FaultPowerLoss:    (*Environment).losePower,
	experiment.FaultRelayFreeze:  (*Environment).freezeRelays,
	experiment.FaultClockWrong:   (*Environment).shiftClocks,
	experiment.FaultRelayKill:    (*Environment).killRelays,
	experiment.FaultRelayRestart: (*Environment).stopRelays,
	experiment.FaultRelayDrain:   (*Environment).drainRelays,
	experiment.FaultRelayReplace: (*Environment).replaceRelays,
	experiment.FaultReload:       (*Environment).reloadRelays,

	experiment.FaultClientReconnects: (*Environment).resetClientConnections,
	experiment.FaultBurst:            (*Environment).raiseArrivalRate,
}

// startFault records a fault, starts it and schedules its end.
func (e *Environment) startFault(f *experiment.Fault) {
	begin := e.host.Now() - e.Metrics.Start
	e.FaultSpans = append(e.FaultSpans, FaultSpan{
		From: begin,
		To:   begin + float64(f.Duration),
		Text: string(f.Kind),
	})
	if undo := e.applyFault(f); undo != nil {
		e.host.After(float64(f.Duration), undo)
	}
}

func (e *Environment) applyFault(f *experiment.Fault) (undo func()) {
	if _, impairs := f.Impairment(); impairs {
		return e.impairNetwork(f)
	}
	action := faultActions[f.Kind]
	if action == nil {
		return nil
	}
	return action(e, f)
}

// impairNetwork impairs the network between the machines that the fault names.
func (e *Environment) impairNetwork(f *experiment.Fault) (undo func()) {
	e.activeImpairments[f] = true
	e.updateImpairments()
	return func() {
		delete(e.activeImpairments, f)
		e.updateImpairments()
	}
}

// updateImpairments sets the impairments of the active faults between all machines. If several faults impair one
// direction, the last one in the experiment file applies.
func (e *Environment) updateImpairments() {
	for from := experiment.Discovery; from < len(e.relays); from++ {
		for to := experiment.Discovery; to < len(e.relays); to++ {
			if from != to {
				e.infrastructure.SetImpairment(from, to, e.impairmentBetween(from, to))
			}
		}
	}
}

func (e *Environment) impairmentBetween(from, to int) (impairment experiment.Impairment) {
	for i := range e.experiment.Faults {
		f := &e.experiment.Faults[i]
		if e.activeImpairments[f] && e.experiment.AffectsLink(f, from, to) {
			impairment, _ = f.Impairment()
		}
	}
	return impairment
}

// delayDiscovery delays all changes of the endpoint list by the fault's factor, in seconds.
func (e *Environment) delayDiscovery(f *experiment.Fault) (undo func()) {
	e.Discovery.DelayMillis = f.Factor * 1000
	return func() { e.Discovery.DelayMillis = 0 }
}

func (e *Environment) stopDiscovery(*experiment.Fault) (undo func()) {
	e.Discovery.SetDown(true)
	return func() { e.Discovery.SetDown(false) }
}

// hideBackends makes the endpoint list leave out backends that serve.
func (e *Environment) hideBackends(f *experiment.Fault) (undo func()) {
	return applyWithUndo(e.pickBackends(f.Share),
		func(b *Backend) { e.publishEndpoint(b, statusLeft) },
		func(b *Backend) {
			if b.isServing() {
				e.publishEndpoint(b, statusActive)
			}
		})
}

func (e *Environment) resetDiscovery(*experiment.Fault) (undo func()) {
	e.Discovery.ResetVersions()
	return nil
}

func (e *Environment) resetClientConnections(f *experiment.Fault) (undo func()) {
	e.Workload.ResetConnections(f.Share)
	return nil
}

func (e *Environment) raiseArrivalRate(f *experiment.Fault) (undo func()) {
	e.Workload.SetRateFactor(f.Factor)
	return func() { e.Workload.SetRateFactor(1) }
}

// takeShare returns the first elements of all: the given share of them, rounded, but at least one if there is any.
func takeShare[T any](all []T, share float64) []T {
	count := int(math.Round(share * float64(len(all))))
	return all[:min(max(count, 1), len(all))]
}
