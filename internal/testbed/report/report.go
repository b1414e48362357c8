// Package report writes the results of an experiment's runs: as JSON for programs, and as a self-contained HTML page
// for people, with the variants side by side and the faults marked on the time axis.
package report

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

const (
	maxViolations     = 20   // number of violations that a report lists for each run
	recoveryTolerance = 0.05 // part of the served share before the first fault that may be lacking once recovered
)

// Mode is the kind of environment that a run took place in.
type Mode string

// The modes.
const (
	Simulated Mode = "simulated"
	OnSockets Mode = "on sockets"
)

// Report is an experiment with the results of its runs. Times are in milliseconds from the start of a run.
type Report struct {
	Name   string            `json:"name"`
	Seed   uint64            `json:"seed"`
	Warmup float64           `json:"warm"`
	Faults []model.FaultSpan `json:"faults"`
	Runs   []Run             `json:"runs"`
}

// Run is the result of one variant's run. Times and latencies are in milliseconds, except for the CPU time.
type Run struct {
	Variant            string              `json:"variant"`
	Mode               Mode                `json:"how"`
	ServedShare        float64             `json:"service"`
	WorstSecond        float64             `json:"worst-second"` // lowest served share of any second
	Answers            map[string]int      `json:"answers"`      // number of answers, by verb
	ViolationCounts    map[string]int      `json:"rules-broken"` // number of violations, by rule
	Violations         []string            `json:"breaks,omitempty"`
	SlowStartOverloads int                 `json:"cold-servers-fallen"`
	RecoveryTime       *float64            `json:"recovered-after-last-fault,omitempty"` // nil: no recovery, or no fault
	Classes            map[string]*Latency `json:"categories"`
	Seconds            []model.Second      `json:"seconds"`
	IsLate             bool                `json:"late"`                        // machine too slow: the run does not count
	Memory             map[int]int64       `json:"relay-memory,omitempty"`      // resident bytes, by relay number
	CPU                map[int]float64     `json:"relay-cpu-seconds,omitempty"` // CPU time in seconds, by relay number
}

// Latency holds the latencies of the sessions of one class.
type Latency struct {
	Line  Quantiles `json:"line"`  // from the time at which a line was due until its answer
	Setup Quantiles `json:"setup"` // from the time at which a session was due until it was established
}

// Quantiles holds the count and the quantiles of one histogram. The quantiles are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"P50,omitempty"`
	P99   float64 `json:"P99,omitempty"`
	P999  float64 `json:"P999,omitempty"`
}

// Outcome is what a run of an experiment returns to be reported.
type Outcome struct {
	Variant            string
	Mode               Mode
	Metrics            *model.Metrics
	FaultSpans         []model.FaultSpan
	Audit              *audit.Auditor
	SlowStartOverloads int
}

// New returns a report without runs.
func New(x *experiment.Experiment) *Report {
	return &Report{Name: x.Name, Seed: x.Seed, Warmup: float64(x.Warmup)}
}

// AddRun adds a run of the experiment. It returns the run, for the caller to set the fields that Outcome lacks. The
// pointer is valid until the next AddRun.
func (r *Report) AddRun(x *experiment.Experiment, o Outcome) *Run {
	from, to := float64(x.Warmup), float64(x.Length)
	m := o.Metrics
	run := Run{
		Variant:            o.Variant,
		Mode:               o.Mode,
		ServedShare:        m.ServedShare(from, to),
		WorstSecond:        worstSecond(m, from, to),
		Answers:            m.Answers,
		ViolationCounts:    map[string]int{},
		SlowStartOverloads: o.SlowStartOverloads,
		RecoveryTime:       recoveryTime(m, o.FaultSpans, to),
		Classes:            map[string]*Latency{},
		Seconds:            m.Seconds[:min(len(m.Seconds), int(math.Ceil(to/1000)))],
	}
	for rule, count := range o.Audit.Counts {
		if count > 0 {
			run.ViolationCounts[audit.Rule(rule).String()] = count
		}
	}
	for _, v := range o.Audit.Violations[:min(len(o.Audit.Violations), maxViolations)] {
		run.Violations = append(run.Violations, v.String())
	}
	for class := range m.SetupLatency {
		run.Classes[class] = &Latency{
			Line:  quantiles(m.LineLatency[class]),
			Setup: quantiles(m.SetupLatency[class]),
		}
	}
	if len(o.FaultSpans) > len(r.Faults) {
		r.Faults = o.FaultSpans
	}
	r.Runs = append(r.Runs, run)
	return &r.Runs[len(r.Runs)-1]
}

// worstSecond returns the lowest served share of any whole second between two times.
func worstSecond(m *model.Metrics, from, to float64) float64 {
	worst := 1.0
	for i := int(from / 1000); i < int(to/1000); i++ {
		start := float64(i) * 1000
		worst = min(worst, m.ServedShare(start, start+1))
	}
	return worst
}

// recoveryTime returns how long after the end of the last fault the served share has recovered for good. It returns nil
// if it never has, there was no fault, or no more than a second is left after the last one.
func recoveryTime(m *model.Metrics, faults []model.FaultSpan, end float64) *float64 {
	first, last := math.Inf(1), 0.0
	for _, f := range faults {
		first = min(first, f.From)
		last = max(last, min(f.To, end))
	}
	if len(faults) == 0 || last >= end-1000 {
		return nil
	}
	recovery := m.RecoveryTime(first, last, recoveryTolerance)
	if math.IsInf(recovery, 1) {
		return nil
	}
	return &recovery
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   millis(50),
		P99:   millis(99),
		P999:  millis(99.9),
	}
}

// JSON returns the report as JSON, for programs.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// ClassNames returns the names of the classes in any run, sorted.
func (r *Report) ClassNames() (names []string) {
	for _, run := range r.Runs {
		for class := range run.Classes {
			if !slices.Contains(names, class) {
				names = append(names, class)
			}
		}
	}
	slices.Sort(names)
	return names
}
