package model

import (
	"math"

	"valeshift/internal/testbed/experiment"
)

// drainTimeout is the time after which a relay that operators drain may hold no session any more, in ms.
const drainTimeout = 4000.0

// pickRelays returns a random share of the relays that serve and that no other fault concerns, at least one if
// there is any.
func (e *Environment) pickRelays(share float64) []int {
	var serving []int
	for i := range e.relays {
		r := e.relays[i]
		if r.isUp && !r.isStopping && !r.isDrained && !r.isReplacing && !r.isFrozen {
			serving = append(serving, i)
		}
	}
	e.rng.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return takeShare(serving, share)
}

// losePower ends backends, relays and discovery at the same instant. Discovery returns after the fault's duration,
// backends and relays at random times within ReturnSpread after that. As many relays as NeverReturn says do not
// return.
func (e *Environment) losePower(f *experiment.Fault) (undo func()) {
	drawReturnDelay := func() float64 { return float64(f.Duration) + e.rng.Float64()*float64(f.ReturnSpread) }
	for n, i := range e.pickRelays(f.Share) {
		returnAfter := drawReturnDelay()
		if n < f.NeverReturn {
			returnAfter = math.Inf(1)
		}
		e.killRelay(i, returnAfter)
		e.infrastructure.DamageDisk(i, f.Disk)
	}
	for _, b := range e.pickBackends(f.Share) {
		e.killBackend(b)
		e.host.After(drawReturnDelay(), func() { e.restartBackend(b) })
	}
	e.Discovery.SetDown(true)
	e.host.After(float64(f.Duration), func() { e.Discovery.SetDown(false) })
	return nil
}

func (e *Environment) killRelays(f *experiment.Fault) (undo func()) {
	for _, i := range e.pickRelays(f.Share) {
		e.killRelay(i, float64(e.experiment.Relays.RestartDelay))
		e.infrastructure.DamageDisk(i, f.Disk)
	}
	return nil
}

func (e *Environment) stopRelays(f *experiment.Fault) (undo func()) {
	for _, i := range e.pickRelays(f.Share) {
		e.relays[i].isStopping = true
		e.Workload.RemoveRelay(i, true)
		e.infrastructure.StopRelay(i)
	}
	return nil
}

func (e *Environment) freezeRelays(f *experiment.Fault) (undo func()) {
	for _, i := range e.pickRelays(f.Share) {
		incarnation := e.relays[i].incarnation
		e.relays[i].isFrozen = true
		e.observer.RelayFrozen(e.host.Now(), i, true)
		e.infrastructure.FreezeRelay(i, true)
		e.host.After(float64(f.Duration), func() {
			if e.relays[i].incarnation != incarnation {
				return
			}
			e.relays[i].isFrozen = false
			e.infrastructure.FreezeRelay(i, false)
			e.observer.RelayFrozen(e.host.Now(), i, false)
		})
	}
	return nil
}

// shiftClocks sets the clocks of relays' machines ahead by the fault's factor, in seconds. Relays that are down are
// included.
func (e *Environment) shiftClocks(f *experiment.Fault) (undo func()) {
	relays := takeShare(e.rng.Perm(len(e.relays)), f.Share)
	set := func(ahead float64) {
		for _, i := range relays {
			e.infrastructure.SetClockOffset(i, ahead)
		}
	}
	set(f.Factor * 1000)
	return func() { set(0) }
}

// drainRelays makes operators drain relays, and end the drain after the fault.
func (e *Environment) drainRelays(f *experiment.Fault) (undo func()) {
	relays := e.pickRelays(f.Share)
	for _, i := range relays {
		e.drainRelay(i)
	}
	return func() {
		for _, i := range relays {
			if !e.relays[i].isUp || !e.relays[i].isDrained {
				continue
			}
			e.relays[i].isDrained = false
			e.infrastructure.DrainRelay(i, false)
			e.Workload.RestoreRelay(i)
		}
	}
}

// drainRelay makes operators drain a relay. The load balancer sees that the relay rejects clients and sends it no
// more. After drainTimeout the relay may hold no session.
func (e *Environment) drainRelay(i int) {
	r := &e.relays[i]
	r.isDrained = true
	r.drainCount++
	incarnation, drainCount := r.incarnation, r.drainCount
	e.infrastructure.DrainRelay(i, true)
	e.Workload.RemoveRelay(i, true)
	e.host.After(drainTimeout, func() {
		r := e.relays[i]
		if r.incarnation == incarnation && r.isDrained && r.drainCount == drainCount {
			e.observer.RelayDrained(e.host.Now(), i)
		}
	})
}

// replaceRelays starts another process of each relay, which takes the relay over.
func (e *Environment) replaceRelays(f *experiment.Fault) (undo func()) {
	for _, i := range e.pickRelays(f.Share) {
		incarnation := e.relays[i].incarnation
		e.relays[i].isReplacing = true
		e.Workload.SetReplacing(i, true)
		e.infrastructure.ReplaceRelay(i, func() {
			if e.relays[i].incarnation != incarnation {
				return
			}
			e.relays[i].isReplacing = false
			e.Workload.SetReplacing(i, false)
		})
	}
	return nil
}

func (e *Environment) reloadRelays(f *experiment.Fault) (undo func()) {
	for _, i := range e.pickRelays(f.Share) {
		e.infrastructure.ReloadRelay(i)
	}
	return nil
}
