package sim

import (
	"encoding/json"

	"valeshift/internal/relay"
)

const readyDelay = 20.0 // milliseconds until the platform sees that the new process is ready

// ReplaceRelay starts a new process beside a relay's; once that is ready, the old one is stopped as planned.
func (s *Sim) ReplaceRelay(i int, done func()) {
	s.network.logf("relay %d is replaced", i)
	parent := s.machines[i].process
	parent.handle(relay.SiblingProcessesChanged{HasChild: true, WantsHandoff: true})
	s.network.after(siblingDelay, func() {
		if !parent.isExited && s.machines[i].process == parent {
			s.startChild(i, parent, done)
		}
	})
}

// startChild starts the new process with what the old one has left.
func (s *Sim) startChild(i int, parent *relayProcess, done func()) {
	handoff, err := s.passHandoff(i, parent)
	if err != nil { // as its machine's clock was set meanwhile: the child starts without
		s.network.logf("relay %d: %v", i, err)
	}
	child, err := s.newProcess(i, parent, handoff)
	if err != nil {
		panic(err) // it was built from the same configuration before
	}
	parent.sibling = child
	child.onReady = func() {
		child.listen()
		s.network.after(readyDelay, func() { s.stopParent(i, parent, child, done) })
	}
	child.handle(relay.TimerFired{})
}

// passHandoff returns the old process's handoff in the form that it has between two real processes.
func (s *Sim) passHandoff(i int, parent *relayProcess) (*relay.Handoff, error) {
	text, err := json.Marshal(parent.handoff)
	if err != nil {
		return nil, err
	}
	handoff, err := relay.ParseHandoff(text, s.wallClock(i))
	if err != nil {
		return nil, err
	}
	return handoff, nil
}

// stopParent stops the old process, and tells the new one once it is gone.
func (s *Sim) stopParent(i int, parent, child *relayProcess, done func()) {
	if parent.isExited || child.isExited {
		return
	}
	parentGone := func() {
		s.machines[i].process = child
		s.network.after(siblingDelay, func() {
			child.sibling = nil
			if !child.isExited {
				child.handle(relay.SiblingProcessesChanged{})
				done()
			}
		})
	}
	parent.onExit = parentGone
	parent.handle(relay.ShutdownRequested{YieldToChild: true})
	s.network.after(s.experiment.KillAfter(), func() {
		if !parent.isExited {
			parent.exitNow(true)
			parentGone()
		}
	})
}
