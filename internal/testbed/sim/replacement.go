package sim

import (
	"encoding/json"

	"valeshift/internal/relay"
)

const readyDelay = 20.0 // milliseconds until the platform sees that the new process is ready

// ReplaceRelay starts a new process beside a relay's; once that is ready, the old one is stopped as planned.
func (s *Sim) ReplaceRelay(i int, done func()) {
	s.net.tell("relay %d is replaced", i)
	parent := s.relays[i]
	parent.take(relay.SiblingProcessesChanged{HasChild: true, WantsHandoff: true})
	s.net.after(siblingDelay, func() {
		if !parent.over && s.relays[i] == parent {
			s.startChild(i, parent, done)
		}
	})
}

// startChild starts the new process with what the old one has left.
func (s *Sim) startChild(i int, parent *process, done func()) {
	handoff, err := s.passHandoff(i, parent)
	if err != nil { // as its machine's clock was set meanwhile: the child starts without
		s.net.tell("relay %d: %v", i, err)
	}
	child, err := s.process(i, parent, handoff)
	if err != nil {
		panic(err) // it was built from the same configuration before
	}
	parent.beside = child
	child.ready = func() {
		child.listen()
		s.net.after(readyDelay, func() { s.stopParent(i, parent, child, done) })
	}
	child.take(relay.TimerFired{})
}

// passHandoff returns the old process's handoff in the form that it has between two real processes.
func (s *Sim) passHandoff(i int, parent *process) (*relay.Handoff, error) {
	text, err := json.Marshal(parent.left)
	if err != nil {
		return nil, err
	}
	handoff, err := relay.ParseHandoff(text, s.wall(i))
	if err != nil {
		return nil, err
	}
	return handoff, nil
}

// stopParent stops the old process, and tells the new one once it is gone.
func (s *Sim) stopParent(i int, parent, child *process, done func()) {
	if parent.over || child.over {
		return
	}
	parentGone := func() {
		s.relays[i] = child
		s.net.after(siblingDelay, func() {
			child.beside = nil
			if !child.over {
				child.take(relay.SiblingProcessesChanged{})
				done()
			}
		})
	}
	parent.exit = parentGone
	parent.take(relay.ShutdownRequested{YieldToChild: true})
	s.net.after(s.x.KillAfter(), func() {
		if !parent.over {
			parent.stop(true)
			parentGone()
		}
	})
}
