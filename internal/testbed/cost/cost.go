// Package cost measures on loopback what a relay costs, compared with a bare forwarder, which picks a backend at random
// and copies bytes, and with direct connections. It measures session set-ups per CPU second, the round-trip time of a
// line and the memory of an established session. The figures depend on the machine: only those of one run can be
// compared.
package cost

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valeshift/internal/testbed/procstat"
)

// Result holds the figures of one path.
type Result struct {
	Path               string  `json:"way"`
	Backends           int     `json:"servers"`
	Setups             int     `json:"setups"`
	Failed             int     `json:"failed"`
	SetupsPerSecond    float64 `json:"setups-a-second"`
	SetupsPerCPUSecond float64 `json:"setups-a-cpu-second,omitempty"` // 0: the path has no process of its own
	LineP50Millis      float64 `json:"P50"`                           // round-trip time of a line
	LineP99Millis      float64 `json:"P99"`
	LineP999Millis     float64 `json:"P999"`
	Lines              int64   `json:"lines"`
	CPUMicrosPerLine   float64 `json:"cpu-microseconds-a-line,omitempty"`
	BytesPerSession    float64 `json:"bytes-a-link,omitempty"`
	IdleSessions       int     `json:"links-for-that,omitempty"` // sessions established to measure BytesPerSession
}

// Plan says which programs are measured, and with what load.
type Plan struct {
	RelayCommand     []string
	ForwarderCommand []string // the address to listen at is appended; the backends' are written to standard input

	Servers        int           // number of stand-in backends
	Clients        int           // number of clients, each of which opens and resets one session after another
	Duration       time.Duration // duration of each measurement
	ActiveSessions int           // number of sessions that send lines
	LineInterval   time.Duration // time between two lines of a session
	IdleSessions   int           // number of sessions to measure memory with; 0: memory is not measured
	Rounds         int           // number of rounds, in each of which every path is measured in turn
	Dir            string        // folder for configuration and logs
}

// measurement accumulates the figures of one path over all rounds.
type measurement struct {
	path            *path
	result          *Result
	lineMicros      *hdrhistogram.Histogram
	setupSeconds    float64
	setupCPUSeconds float64
	lineCPUSeconds  float64
}

// Measure runs the plan and returns the results of the relay, the forwarder and direct connections, in that order.
func Measure(ctx context.Context, plan Plan) ([]*Result, error) {
	backends, err := startBackends(plan.Servers)
	if err != nil {
		return nil, err
	}
	defer backends.close()
	loopback, err := procstat.ClaimLoopbackNetwork()
	if err != nil {
		return nil, err
	}
	defer loopback.Close() // runs after the programs are stopped
	forwarder, err := startForwarder(ctx, plan, backends, loopback)
	if err != nil {
		return nil, err
	}
	defer forwarder.stop()
	relay, err := startRelay(ctx, plan, backends, loopback)
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	var all []*measurement
	for _, p := range []*path{relay, forwarder, directPath(backends)} {
		m, err := newMeasurement(p, plan)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", p.name, err)
		}
		all = append(all, m)
	}
	for range max(plan.Rounds, 1) {
		if err := measureRound(ctx, plan, all); err != nil {
			return nil, err
		}
	}
	var results []*Result
	for _, m := range all {
		m.finish()
		results = append(results, m.result)
	}
	return results, nil
}

// newMeasurement measures the memory of sessions. That comes before all other measurements, since a process keeps
// memory that it has once allocated.
func newMeasurement(p *path, plan Plan) (*measurement, error) {
	m := &measurement{
		path:       p,
		result:     &Result{Path: p.name, Backends: plan.Servers},
		lineMicros: newLineHistogram(),
	}
	if p.cmd == nil || plan.IdleSessions <= 0 {
		return m, nil
	}
	var err error
	m.result.BytesPerSession, m.result.IdleSessions, err = p.measureMemory(plan.IdleSessions)
	return m, err
}

// measureRound measures the set-ups of each path in turn, and then the lines of each.
func measureRound(ctx context.Context, plan Plan, all []*measurement) error {
	for _, m := range all {
		m.measureSetups(ctx, plan)
	}
	for _, m := range all {
		if err := m.measureLines(ctx, plan); err != nil {
			return fmt.Errorf("measure %s: %w", m.path.name, err)
		}
	}
	return nil
}

func (m *measurement) measureSetups(ctx context.Context, plan Plan) {
	cpuBefore, _ := m.path.usage()
	started := time.Now()
	succeeded, failed := m.path.runSetups(ctx, plan)
	cpuAfter, _ := m.path.usage()
	m.result.Setups += succeeded
	m.result.Failed += failed
	m.setupCPUSeconds += cpuAfter - cpuBefore
	m.setupSeconds += time.Since(started).Seconds()
}

func (m *measurement) measureLines(ctx context.Context, plan Plan) error {
	cpuBefore, _ := m.path.usage()
	if err := m.path.runLines(ctx, plan, m.lineMicros); err != nil {
		return err
	}
	cpuAfter, _ := m.path.usage()
	m.lineCPUSeconds += cpuAfter - cpuBefore
	return nil
}

// finish computes the rates and quantiles.
func (m *measurement) finish() {
	r := m.result
	r.SetupsPerSecond = float64(r.Setups) / m.setupSeconds
	if m.setupCPUSeconds > 0 {
		r.SetupsPerCPUSecond = float64(r.Setups) / m.setupCPUSeconds
	}
	r.LineP50Millis = m.lineQuantileMillis(50)
	r.LineP99Millis = m.lineQuantileMillis(99)
	r.LineP999Millis = m.lineQuantileMillis(99.9)
	r.Lines = m.lineMicros.TotalCount()
	r.CPUMicrosPerLine = m.lineCPUSeconds * 1e6 / float64(max(r.Lines, 1))
}

func (m *measurement) lineQuantileMillis(percent float64) float64 {
	return float64(m.lineMicros.ValueAtQuantile(percent)) / 1000
}

const (
	minLineMicros     = 1
	maxLineMicros     = 60_000_000
	significantDigits = 3
)

func newLineHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLineMicros, maxLineMicros, significantDigits)
}
