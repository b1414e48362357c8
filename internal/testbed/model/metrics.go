package model

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = 60_000_000 // one minute; longer times are recorded as this
	histogramDigits   = 3          // significant decimal digits of recorded times

	recoveryBaselineDuration = 5000.0 // time before a fault whose served share recovery is measured against, in ms
)

// What Metrics.Answers counts for requests without an answer, beside the verbs that clients receive.
const (
	answerNone         = "none" // the client gave up
	answerDisconnected = "cut"  // the connection ended before the answer
)

// Second is what was counted in one second of a run. Utilization is that of the serving backends, as a share of
// their capacity.
type Second struct {
	Offered           float64 `json:"Wanted"`     // weight of the lines that were due
	Served            float64 `json:"Served"`     // weight of the lines that were answered in time
	Established       int     `json:"Setups"`     // requests answered UP
	Rejected          int     `json:"Rejected"`   // requests answered BUSY
	Errored           int     `json:"Errored"`    // requests answered with another verb
	Unanswered        int     `json:"Unanswered"` // requests that clients gave up
	Disconnected      int     `json:"Cut"`        // requests whose connection ended before an answer
	Sessions          int     `json:"Standing"`   // established sessions at the last sample
	UtilizationStdDev float64 `json:"Spread"`     // standard deviation between backends at the last sample
	MeanUtilization   float64 `json:"MeanUtil"`   // mean over the backends at the last sample
	MaxUtilization    float64 `json:"WorstUtil"`  // highest of any backend at any sample
}

// Metrics is the result of a run as its clients saw it.
type Metrics struct {
	Start        float64 // time at which the run began, in ms
	Seconds      []Second
	SetupLatency map[string]*hdrhistogram.Histogram // time from wanting a session to UP, in microseconds, by class
	LineLatency  map[string]*hdrhistogram.Histogram // time from when a line was due to its answer, in microseconds, by class
	Requests     int                                // number of requests sent
	Answers      map[string]int                     // number of answers by verb, and of requests without an answer
	MaxLag       float64                            // longest delay of an arrival or a line by the testbed, in ms
}

// NewMetrics returns empty metrics for a run that begins at start.
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

// secondAt returns the metrics of the second that a time falls in.
func (m *Metrics) secondAt(now float64) *Second {
	i := max(int((now-m.Start)/1000), 0)
	for len(m.Seconds) <= i {
		m.Seconds = append(m.Seconds, Second{})
	}
	return &m.Seconds[i]
}

func recordMillis(h *hdrhistogram.Histogram, millis float64) {
	h.RecordValue(int64(min(max(millis*1000, 1), maxRecordedMicros)))
}

// ServedShare returns the share of the offered weight that was served between two times, in ms since the start of
// the run, or 1 if none was offered.
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

// RecoveryTime returns how many milliseconds after a time of the run the served share is back for good, within a
// tolerance of what it was before an earlier time of the run. It returns infinity if the share never is.
func (m *Metrics) RecoveryTime(before, after, tolerance float64) float64 {
	baseline := m.ServedShare(max(before-recoveryBaselineDuration, 0), before)
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
