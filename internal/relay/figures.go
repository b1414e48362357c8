package relay

// This file owns the figures that operators are told: their names, and the board they are published on after
// each event, which is read without the relay's lock. They are counted in the reducer, where the thing
// happens; nothing here may be read to decide.

import (
	"errors"
	"sync/atomic"

	"valeshift/internal/admin"
)

// answerCounts are how the links of one category were answered: by the UP that its client was passed, by BUSY, by
// any other line. A client that was gone first counts nowhere, and one without a category neither.
type answerCounts struct{ served, refused, failed uint64 }

// figures appends what is published, in the order of names: each category's answers, the attempts written,
// links from their heads to their ends, the list's backends and those of them that the module avoids.
func (m *StateMachine) figures(to []uint64) []uint64 {
	for _, a := range m.queue.answers {
		to = append(to, a.served, a.refused, a.failed)
	}
	known, excluded := m.queue.dispatcher.Balancer.Counts()
	return append(to, m.RequestsSent, uint64(m.queue.sessions), uint64(known), uint64(excluded))
}

func (m *StateMachine) figureNames() []admin.Metric {
	names := make([]admin.Metric, 3*len(m.queue.answers))
	for name, i := range m.rules.classes {
		for k, what := range []string{"served.", "refused.", "failed."} {
			names[3*i+k] = admin.Metric{Name: what + name, IsCounter: true}
		}
	}
	return append(names, admin.Metric{Name: "attempts", IsCounter: true}, admin.Metric{Name: "in_flight"},
		admin.Metric{Name: "backends_known"}, admin.Metric{Name: "backends_excluded"})
}

// serving tells whether the relay is fit to be sent clients.
func (m *StateMachine) serving() bool { return m.drain.ready && !m.drain.stopping && !m.drain.draining }

// metricsBoard is what was published last.
type metricsBoard struct {
	names  []admin.Metric
	values []atomic.Uint64
	ready  atomic.Bool
	next   []uint64 // the publisher's own
}

func newMetricsBoard(m *StateMachine) *metricsBoard {
	names := m.figureNames()
	return &metricsBoard{names: names, values: make([]atomic.Uint64, len(names))}
}

// publish is called under the relay's lock. Against a cost for each line of a busy relay: what stays as it
// was is not written again.
func (b *metricsBoard) publish(m *StateMachine) {
	b.next = m.figures(b.next[:0])
	for i, v := range b.next {
		if b.values[i].Load() != v {
			b.values[i].Store(v)
		}
	}
	b.ready.Store(m.serving())
}

var errStopping = errors.New("the relay is stopping")

// adminAPI is the relay as operators ask it.
type adminAPI struct {
	*driver
	*metricsBoard
}

func (c adminAPI) IsReady() bool { return c.ready.Load() }

func (c adminAPI) Metrics() []admin.Metric {
	all := append([]admin.Metric(nil), c.names...)
	for i := range all {
		all[i].Value = c.values[i].Load()
	}
	return all
}

// SetDraining is answered once the event is taken.
func (c adminAPI) SetDraining(on bool) error {
	c.handle(DrainRequested{On: on})
	c.mutex.Lock()
	stopping := !on && c.machine.drain.stopping
	c.mutex.Unlock()
	if stopping {
		return errStopping
	}
	if c.fleet != nil {
		return c.fleet.SetDraining(on)
	}
	return nil
}

// ReplicatedRecords is one part of what is held for other relays; nil where nothing is.
func (c adminAPI) ReplicatedRecords(part int) any {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.ReplicationPage(part)
}

// FleetStatus is what is kept and heard of others; nil where nothing is.
func (c adminAPI) FleetStatus() any {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Status()
}
