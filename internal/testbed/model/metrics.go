package model

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = 60_000_000 // longer times are recorded as this
	histogramDigits   = 3

	recoveryBaseline = 5000.0 // before a fault: the served share of that time is what recovery is held against
)

// What is counted as an answer beside the verbs that clients receive.
const (
	answerNone         = "none" // the client gave up
	answerDisconnected = "cut"  // the connection ended before the answer
)

// Second is what was counted in one second of a run. The utilization is that of the backends that serve, as a
// part of their capacity.
type Second struct {
	Offered           float64 `json:"Wanted"` // weight of the lines that were meant to be sent
	Served            float64 `json:"Served"` // weight of those that were answered in time
	Established       int     `json:"Setups"` // answers, as the next two
	Rejected          int     `json:"Rejected"`
	Errored           int     `json:"Errored"`
	Unanswered        int     `json:"Unanswered"`
	Disconnected      int     `json:"Cut"` // before an answer
	Sessions          int     `json:"Standing"`
	UtilizationStdDev float64 `json:"Spread"`
	MeanUtilization   float64 `json:"MeanUtil"`
	MaxUtilization    float64 `json:"WorstUtil"`
}

// Metrics is what a run came to, as clients saw it.
type Metrics struct {
	Start        float64 // time at which the run began
	Seconds      []Second
	SetupLatency map[string]*hdrhistogram.Histogram // by class, in microseconds, from when a session was wanted
	LineLatency  map[string]*hdrhistogram.Histogram // by class, in microseconds, from when a line was due
	Requests     int
	Answers      map[string]int // by verb, and for those that got none
	MaxLag       float64        // the most that the testbed was late with what was due
}

// NewMetrics starts to count.
func NewMetrics(start float64, classes []string) *Metrics {
	m := &Metrics{
		Start:        start,
		SetupLatency: map[string]*hdrhistogram.Histogram{},
		LineLatency:  map[string]*hdrhistogram.Histogram{},
		Answers:      map[string]int{},
	}
	for _, class := range classes {
		m.SetupLatency[class] = hdrhistogram.New(1, maxRecordedMicros, histogramDigits)
		m.LineLatency[class] = hdrhistogram.New(1, maxRecordedMicros, histogramDigits)
	}
	return m
}

// at returns the second that a time falls in.
func (m *Metrics) at(now float64) *Second {
	i := max(int((now-m.Start)/1000), 0)
	for len(m.Seconds) <= i {
		m.Seconds = append(m.Seconds, Second{})
	}
	return &m.Seconds[i]
}

func recordMillis(h *hdrhistogram.Histogram, millis float64) {
	h.RecordValue(int64(min(max(millis*1000, 1), maxRecordedMicros)))
}

// ServedShare returns the part of the offered weight that was served between two times of the run; 1 where none
// was offered.
func (m *Metrics) ServedShare(from, to float64) float64 {
	offered, served := 0.0, 0.0
	for i, s := range m.Seconds {
		if at := float64(i) * 1000; at >= from && at < to {
			offered += s.Offered
			served += s.Served
		}
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}

// RecoveryTime returns how long after a time of the run the served share is back for good, within a tolerance
// of what it was before an earlier time; infinite where it never is.
func (m *Metrics) RecoveryTime(before, after, tolerance float64) float64 {
	baseline := m.ServedShare(max(before-recoveryBaseline, 0), before)
	recovery := math.Inf(1)
	for i := len(m.Seconds) - 1; i >= int(after/1000); i-- {
		s := m.Seconds[i]
		if s.Offered > 0 && s.Served < (1-tolerance)*baseline*s.Offered {
			break
		}
		recovery = max(float64(i)*1000-after, 0)
	}
	return recovery
}
