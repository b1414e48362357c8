package model

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Second is what was counted in one second of a run.
type Second struct {
	Offered           float64 `json:"Wanted"` // gain of lines meant to be sent
	Served            float64 `json:"Served"` // gain of those answered in time
	Established       int     `json:"Setups"`
	Rejected          int     `json:"Rejected"`
	Errored           int     `json:"Errored"`
	Unanswered        int     `json:"Unanswered"`
	Disconnected      int     `json:"Cut"`
	Sessions          int     `json:"Standing"`
	UtilizationStdDev float64 `json:"Spread"` // of the servers that serve, as the next two
	MeanUtilization   float64 `json:"MeanUtil"`
	MaxUtilization    float64 `json:"WorstUtil"`
}

// Metrics is what a run came to, as clients saw it.
type Metrics struct {
	Start        float64
	Seconds      []Second
	SetupLatency map[string]*hdrhistogram.Histogram // by category, microseconds from when the link was meant to come
	LineLatency  map[string]*hdrhistogram.Histogram // from when the line was meant to go
	Requests     int                                // links asked for
	Answers      map[string]int                     // by verb, with "none" and "cut"
	MaxLag       float64                            // the most that the lab was late with what it meant to do
}

const longestSeen = 60_000_000 // microseconds

// NewMetrics starts to count.
func NewMetrics(start float64, categories []string) *Metrics {
	t := &Metrics{Start: start, SetupLatency: map[string]*hdrhistogram.Histogram{},
		LineLatency: map[string]*hdrhistogram.Histogram{}, Answers: map[string]int{}}
	for _, c := range categories {
		t.SetupLatency[c] = hdrhistogram.New(1, longestSeen, 3)
		t.LineLatency[c] = hdrhistogram.New(1, longestSeen, 3)
	}
	return t
}

// at is the second that a time falls in.
func (t *Metrics) at(now float64) *Second {
	i := max(int((now-t.Start)/1000), 0)
	for len(t.Seconds) <= i {
		t.Seconds = append(t.Seconds, Second{})
	}
	return &t.Seconds[i]
}

func record(h *hdrhistogram.Histogram, ms float64) {
	h.RecordValue(int64(min(max(ms*1000, 1), longestSeen)))
}

// ServedShare is the part of the wanted gain that was served between two times of the run; 1 where none was
// wanted.
func (t *Metrics) ServedShare(from, to float64) float64 {
	wanted, served := 0.0, 0.0
	for i, s := range t.Seconds {
		if at := float64(i) * 1000; at >= from && at < to {
			wanted, served = wanted+s.Offered, served+s.Served
		}
	}
	if wanted == 0 {
		return 1
	}
	return served / wanted
}

// RecoveryTime tells how long after a time of the run service is back for good within that part of what it was
// before; infinite where it never is.
func (t *Metrics) RecoveryTime(before, after, part float64) float64 {
	was := t.ServedShare(max(before-5000, 0), before)
	last := math.Inf(1)
	for i := len(t.Seconds) - 1; i >= int(after/1000); i-- {
		s := t.Seconds[i]
		if s.Offered > 0 && s.Served < (1-part)*was*s.Offered {
			break
		}
		last = max(float64(i)*1000-after, 0)
	}
	return last
}
