package relay

import (
	"slices"
	"sync/atomic"

	"valeshift/internal/admin"
)

// answerCounts counts the answers to the clients of one class. A client that left before its answer is not counted, nor is
// one whose class is unknown.
type answerCounts struct {
	served   uint64 // clients that were forwarded an UP
	rejected uint64 // clients answered BUSY
	failed   uint64 // clients with any other answer
}

// metricsPerClass is the number of metrics in answerCounts.
const metricsPerClass = 3

// metricValues appends the values of the published metrics in the order of metricNames: the answers of each class, the
// requests sent to backends, the current sessions (from request to end), the endpoints, and the endpoints that get no new
// sessions.
func (m *StateMachine) metricValues(values []uint64) []uint64 {
	for _, counts := range m.queue.answers {
		values = append(values, counts.served, counts.rejected, counts.failed)
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
	return m.lifecycle.ready && !m.lifecycle.stopping && !m.lifecycle.drainRequested
}

// publishedMetrics holds the metrics that were last published. The admin API reads it without taking the driver's lock.
type publishedMetrics struct {
	metrics []admin.Metric  // names and kinds of the metrics, without values
	values  []atomic.Uint64 // last published value of each metric
	serving atomic.Bool     // isServing, as last published
	scratch []uint64        // reused by publish
}

func newPublishedMetrics(machine *StateMachine) *publishedMetrics {
	metrics := machine.metricNames()
	return &publishedMetrics{metrics: metrics, values: make([]atomic.Uint64, len(metrics))}
}

// publish stores the current metrics. It is called after each event, with the driver's lock held. Values that have not
// changed are not stored again, as a busy relay would pay for that with every line.
func (p *publishedMetrics) publish(machine *StateMachine) {
	p.scratch = machine.metricValues(p.scratch[:0])
	for i, value := range p.scratch {
		if p.values[i].Load() != value {
			p.values[i].Store(value)
		}
	}
	p.serving.Store(machine.isServing())
}

// published returns the metrics with their last published values.
func (p *publishedMetrics) published() []admin.Metric {
	metrics := slices.Clone(p.metrics)
	for i := range metrics {
		metrics[i].Value = p.values[i].Load()
	}
	return metrics
}
