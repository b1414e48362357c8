package relay

import (
	"slices"
	"sync/atomic"

	"valeshift/internal/admin"
)

// answerCounts is how the sessions of one class were answered: by the UP that its client was passed, by BUSY, by any
// other line. A client that left first counts nowhere, nor does one without a class.
type answerCounts struct {
	served  uint64
	refused uint64
	failed  uint64
}

// metricsPerClass is how many metrics answerCounts is.
const metricsPerClass = 3

// metricValues appends what is published, in the order of metricNames: the answers of each class, the requests sent to
// backends, the sessions from their requests to their ends, the endpoints, and those of them that get no new session.
func (m *StateMachine) metricValues(values []uint64) []uint64 {
	for _, counts := range m.queue.answers {
		values = append(values, counts.served, counts.refused, counts.failed)
	}
	known, excluded := m.queue.dispatcher.Balancer.Counts()
	return append(values, m.RequestsSent, uint64(m.queue.sessions), uint64(known), uint64(excluded))
}

// metricNames returns the metrics without their values.
func (m *StateMachine) metricNames() []admin.Metric {
	metrics := make([]admin.Metric, metricsPerClass*len(m.queue.answers))
	for class, index := range m.rules.classes {
		ofClass := metrics[metricsPerClass*index:]
		ofClass[0] = admin.Metric{Name: "served." + class, IsCounter: true}
		ofClass[1] = admin.Metric{Name: "refused." + class, IsCounter: true}
		ofClass[2] = admin.Metric{Name: "failed." + class, IsCounter: true}
	}
	return append(metrics,
		admin.Metric{Name: "attempts", IsCounter: true},
		admin.Metric{Name: "in_flight"},
		admin.Metric{Name: "backends_known"},
		admin.Metric{Name: "backends_excluded"})
}

// isServing reports whether the relay is fit to be sent clients.
func (m *StateMachine) isServing() bool {
	return m.drain.ready && !m.drain.stopping && !m.drain.draining
}

// metricsBoard is where the admin API reads what was published last, without the driver's lock.
type metricsBoard struct {
	metrics []admin.Metric // names and kinds
	values  []atomic.Uint64
	serving atomic.Bool
	scratch []uint64 // the publisher's own
}

func newMetricsBoard(machine *StateMachine) *metricsBoard {
	metrics := machine.metricNames()
	return &metricsBoard{metrics: metrics, values: make([]atomic.Uint64, len(metrics))}
}

// publish is called under the driver's lock after each event. What has not changed isn't stored again: a busy relay
// would pay for that with each line.
func (b *metricsBoard) publish(machine *StateMachine) {
	b.scratch = machine.metricValues(b.scratch[:0])
	for i, value := range b.scratch {
		if b.values[i].Load() != value {
			b.values[i].Store(value)
		}
	}
	b.serving.Store(machine.isServing())
}

// published returns the metrics with the values that were published last.
func (b *metricsBoard) published() []admin.Metric {
	metrics := slices.Clone(b.metrics)
	for i := range metrics {
		metrics[i].Value = b.values[i].Load()
	}
	return metrics
}
