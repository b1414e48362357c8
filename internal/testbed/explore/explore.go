// Package explore looks for faults at random: it draws experiments, plays each, and shrinks those that break a
// rule to the smallest that still do. One seed draws one experiment, on any machine.
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

// Finding is an experiment that breaks a rule.
type Finding struct {
	Seed       uint64
	Experiment *experiment.Experiment
	Violations []audit.Violation
	Counts     map[audit.Rule]int
	Panic      string // why it could not be played to its end; empty: it was
}

// NewFinding returns what a run broke, or nil.
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

// Text returns the experiment as a file.
func (f *Finding) Text() ([]byte, error) { return toml.Marshal(f.Experiment) }

// isLike tells whether both break one rule in common, or neither could be played to its end.
func (f *Finding) isLike(other *Finding) bool {
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

// Player plays an experiment and returns what it broke, or nil.
type Player func(*experiment.Experiment) *Finding

// Play plays an experiment under virtual time. It is a Player.
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

// Exploration is a range of seeds whose experiments are drawn and played.
type Exploration struct {
	From, To    uint64 // seeds, without To
	Generate    func(seed uint64) *experiment.Experiment
	Play        Player
	Parallelism int // experiments that are played side by side; below 1 none is played

	// OnFinding is called for each experiment that breaks a rule, in the order in which they are met, and
	// OnPlayed after each that was played, with their number. No two calls are made at once.
	OnFinding func(*Finding)
	OnPlayed  func(played int)
}

// Run plays the experiments, until all are or the context is done.
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
	var mutex sync.Mutex // over played and the calls back
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
