package sim

import (
	"encoding/json"

	"valeshift/internal/relay"
)

const readyDelay = 20.0 // milliseconds until the platform notices that the new process is ready

// ReplaceRelay starts a new process beside a relay's process and shuts that down once the new one is ready. It calls
// done once only the new process is left.
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

// startChild starts the new process with the old one's handoff.
func (s *Sim) startChild(i int, parent *relayProcess, done func()) {
	handoff, err := s.passHandoff(i, parent)
	if err != nil { // e.g. because the machine's clock was changed meanwhile; the child starts without a handoff
		s.network.logf("relay %d: %v", i, err)
	}
	child, err := s.newProcess(i, parent, handoff)
	if err != nil {
		panic(err) // can't fail: the old process was built from the same configuration
	}
	parent.sibling = child
	child.onReady = func() {
		child.listen()
		s.network.after(readyDelay, func() { s.stopParent(i, parent, child, done) })
	}
	child.handle(relay.TimerFired{})
}

// passHandoff encodes and decodes the old process's handoff, as real processes do.
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

// stopParent shuts the old process down, or kills it after the platform's time limit, and tells the new one once it has
// exited.
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
