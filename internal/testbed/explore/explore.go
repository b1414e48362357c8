// Package explore searches for violations of the audit's rules: it generates random experiments, runs each, and shrinks
// those that break a rule to smaller ones that still break it. A seed generates the same experiment on any machine.
package explore

import (
	"context"
	"fmt"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/sim"
)

// Finding is an experiment that breaks a rule, or whose run did not end normally.
type Finding struct {
	Seed       uint64 // seed that generated the experiment, or the one that it was shrunk from
	Experiment *experiment.Experiment
	Violations []audit.Violation
	Counts     map[audit.Rule]int // number of violations of each rule that was broken
	Panic      string             // panic or error that ended the run early; empty if there was none
}

// NewFinding returns the finding of a run that broke a rule, or nil if it broke none.
func NewFinding(x *experiment.Experiment, a *audit.Auditor) *Finding {
	if a.ViolationCount() == 0 {
		return nil
	}
	f := &Finding{Experiment: x, Violations: a.Violations, Counts: map[audit.Rule]int{}}
	for rule, count := range a.Counts {
		if count > 0 {
			f.Counts[audit.Rule(rule)] = count
		}
	}
	return f
}

// Text returns the text of the experiment's file.
func (f *Finding) Text() ([]byte, error) { return toml.Marshal(f.Experiment) }

// hasSameFailure reports whether both findings break a rule in common, or both runs ended early.
func (f *Finding) hasSameFailure(other *Finding) bool {
	if f == nil || other == nil || (f.Panic == "") != (other.Panic == "") {
		return false
	}
	for rule := range f.Counts {
		if other.Counts[rule] > 0 {
			return true
		}
	}
	return f.Panic != ""
}

// Player runs an experiment and returns its finding, or nil if there is none.
type Player func(*experiment.Experiment) *Finding

// Play runs an experiment in virtual time, under its first variant. It is a Player.
func Play(x *experiment.Experiment) (f *Finding) {
	defer func() {
		if p := recover(); p != nil {
			f = &Finding{Experiment: x, Panic: fmt.Sprint(p)}
		}
	}()
	result, err := sim.Run(x, x.Variants[0], nil)
	if err != nil {
		return &Finding{Experiment: x, Panic: err.Error()}
	}
	return NewFinding(x, result.Auditor)
}

// Exploration generates and runs the experiments of a range of seeds.
type Exploration struct {
	From, To    uint64 // range of seeds, including From and excluding To
	Generate    func(seed uint64) *experiment.Experiment
	Play        Player
	Parallelism int // number of experiments that run at the same time; below 1 none runs

	// OnFinding is called with each finding, in the order in which they are found, and OnPlayed after each experiment,
	// with the number of experiments run so far. The calls are not concurrent.
	OnFinding func(*Finding)
	OnPlayed  func(played int)
}

// Run runs the experiments until all have run or the context is done.
func (e *Exploration) Run(ctx context.Context) {
	if e.Parallelism < 1 {
		return
	}
	seeds := make(chan uint64)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		defer close(seeds)
		for seed := e.From; seed < e.To; seed++ {
			select {
			case seeds <- seed:
			case <-ctx.Done():
				return
			}
		}
	})
	var mutex sync.Mutex // guards played and the calls of OnFinding and OnPlayed
	played := 0
	for range e.Parallelism {
		tasks.Go(func() {
			for seed := range seeds {
				f := e.Play(e.Generate(seed))
				mutex.Lock()
				played++
				if f != nil {
					f.Seed = seed
					e.OnFinding(f)
				}
				e.OnPlayed(played)
				mutex.Unlock()
			}
		})
	}
	tasks.Wait()
}
