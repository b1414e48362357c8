package relay

import (
	"slices"
	"sync/atomic"

	"valeshift/internal/admin"
)

// answerCounts counts the answers to the clients of one class. A client that left before its answer is not counted, nor is
// one whose class is unknown.
type answerCounts struct {
	served  uint64 // clients that were forwarded an UP
	refused uint64 // clients answered BUSY
	failed  uint64 // clients with any other answer
}

// metricsPerClass is the number of metrics in answerCounts.
const metricsPerClass = 3

// metricValues appends the values of the published metrics in the order of metricNames: the answers of each class, the
// requests sent to backends, the current sessions (from request to end), the endpoints, and the endpoints that get no new
// sessions.
func (m *StateMachine) metricValues(values []uint64) []uint64 {
	for _, counts := range m.queue.answers {
		values = append(values, counts.served, counts.refused, counts.failed)
	}
	known, excluded := m.queue.dispatcher.Balancer.Counts()
	return append(values, m.RequestsSent, uint64(m.queue.sessions), uint64(known), uint64(excluded))
}

// metricNames returns the published metrics without their values.
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

// isServing reports whether the relay is ready for clients and neither draining nor shutting down.
func (m *StateMachine) isServing() bool {
	return m.drain.ready && !m.drain.stopping && !m.drain.draining
}

// metricsBoard holds the metrics that were last published. The admin API reads it without taking the driver's lock.
type metricsBoard struct {
	metrics []admin.Metric  // names and kinds of the metrics, without values
	values  []atomic.Uint64 // last published value of each metric
	serving atomic.Bool     // isServing, as last published
	scratch []uint64        // reused by publish
}

func newMetricsBoard(machine *StateMachine) *metricsBoard {
	metrics := machine.metricNames()
	return &metricsBoard{metrics: metrics, values: make([]atomic.Uint64, len(metrics))}
}

// publish stores the current metrics. It is called after each event, with the driver's lock held. Values that have not
// changed are not stored again, as a busy relay would pay for that with every line.
func (b *metricsBoard) publish(machine *StateMachine) {
	b.scratch = machine.metricValues(b.scratch[:0])
	for i, value := range b.scratch {
		if b.values[i].Load() != value {
			b.values[i].Store(value)
		}
	}
	b.serving.Store(machine.isServing())
}

// published returns the metrics with their last published values.
func (b *metricsBoard) published() []admin.Metric {
	metrics := slices.Clone(b.metrics)
	for i := range metrics {
		metrics[i].Value = b.values[i].Load()
	}
	return metrics
}
