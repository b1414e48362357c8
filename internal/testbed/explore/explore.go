// Package explore draws experiments at random, plays each under virtual time, and cuts those that break a rule
// down to the smallest that still do. One seed draws one experiment, on any machine.
package explore

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"slices"
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
	Panic      string // the relay's own end, where it was one
}

// Text is the experiment as a file.
func (f *Finding) Text() ([]byte, error) { return toml.Marshal(f.Experiment) }

// kinds are in one order, so that a seed draws the same.
var kinds = func() (all []experiment.FaultKind) {
	for k := range experiment.FaultKinds {
		switch k {
		// came later: so that seeds before them draw the same
		case "zone-grey", "region-lost", "zone-busy", "answers-lost":
		default:
			all = append(all, k)
		}
	}
	slices.Sort(all)
	return all
}()

// Generate gives the experiment of a seed.
func Generate(seed uint64) *experiment.Experiment {
	chance := rand.New(rand.NewSource(int64(seed)))
	between := func(least, most float64) float64 { return least + (most-least)*chance.Float64() }
	span := func(least, most float64) experiment.Millis {
		return experiment.Millis(math.Round(between(least,
			most)))
	}
	x := experiment.Default()
	x.Name, x.Seed = fmt.Sprintf("drawn-%d", seed), seed
	x.Length, x.Warmup = span(12000, 25000), 1000
	x.Relays.Count = 1 + chance.Intn(6)
	x.Relays.RestartDelay = span(200, 4000)
	x.Relays.LoadPolling = chance.Intn(5) > 0
	x.Relays.MaxAttempts = 1 + chance.Intn(4)
	if chance.Intn(3) == 0 {
		x.Relays.MaxDescriptors = 60 + chance.Intn(300)
	}
	if chance.Intn(6) == 0 {
		x.Relays.MaxRetryAfter = 0
	}
	fine := func(least, most float64) experiment.Millis { // as a file can say it, against another play by it
		return experiment.Millis(math.Round(between(least, most)*1000) / 1000)
	}
	x.Network.Delay, x.Network.Jitter = fine(0.05, 5), fine(0, 5)
	x.Network.SplitProbability = between(0, 0.2)
	f := &x.Fleet
	f.Backends, f.Zones = 2+chance.Intn(14), 1
	if chance.Intn(2) == 0 {
		f.Zones = min(1+chance.Intn(3), f.Backends)
	}
	f.Cores, f.SpeedSpread = between(0.5, 4), between(0, 0.5)
	f.SetupWork, f.SlowStart = span(0, 40), span(500, 12000)
	f.SlowStartFrom, f.OverloadMultiple, f.OverloadWindow = between(0.1, 0.6), between(2, 4), span(1000, 3000)
	if chance.Intn(3) == 0 {
		f.StoreRate = between(10, 200)
	}
	for i := range 1 + chance.Intn(3) {
		t := experiment.Traffic{Class: fmt.Sprintf("kind%d", i), PriorityWeight: between(0.5, 10), Rate: between(1, 40),
			InitialClients: chance.Intn(150), Lifetime: span(500, 20000), Load: between(1, 60), LoadSpread: between(0, 1),
			LineInterval: span(200, 3000), HonorsRetryAfter: float64(chance.Intn(3)) / 2, LatencyObjective: span(100, 800),
			RetryDelay: span(20, 500)}
		t.HardLimit = t.LatencyObjective + span(0, 2500)
		t.Effect = []experiment.Effect{experiment.EffectReplayable, experiment.EffectReferenced, experiment.EffectSingleUse}[chance.Intn(3)]
		if chance.Intn(3) == 0 {
			t.Groups = 1 + chance.Intn(30)
		}
		x.Traffic = append(x.Traffic, t)
	}
	for range 1 + chance.Intn(5) {
		kind := kinds[chance.Intn(len(kinds))]
		x.Faults = append(x.Faults, experiment.Fault{Kind: kind, At: span(500, float64(x.Length)-1000),
			Duration: span(50, 10000), Share: between(0.05, 1)})
	}
	if chance.Intn(2) == 0 { // machines that keep something, or know of each other
		x.Relays.Membership, x.Relays.Disk, x.Relays.KnowsEndpoints = chance.Intn(4) > 0, chance.Intn(4) > 0, chance.Intn(2) == 0
		loss := experiment.Fault{Kind: "power-loss", At: span(3000, float64(x.Length)-3000), Duration: span(200, 4000),
			Share: between(0.3, 1), ReturnSpread: span(0, 4000), NeverReturn: chance.Intn(x.Relays.Count),
			Disk: experiment.DiskFaults[chance.Intn(len(experiment.DiskFaults))]}
		x.Faults = append(x.Faults, loss)
		ends := []string{"relays", "half", "rest", "zone-a", "relay-0"}
		for i := range x.Faults {
			if _, way := x.Faults[i].Impairment(); way && chance.Intn(2) == 0 {
				x.Faults[i].From, x.Faults[i].To = ends[chance.Intn(len(ends))], ends[chance.Intn(3)]
				x.Faults[i].Bidirectional = chance.Intn(2) == 0
			}
		}
		if chance.Intn(3) == 0 { // and again, during the recovery
			loss.At = min(loss.At+loss.Duration+span(200, 3000), x.Length-1000)
			x.Faults = append(x.Faults, loss)
		}
	}
	// And decide on zones in common.
	if n := x.Relays.Count; x.Relays.Membership && f.Zones > 1 && chance.Intn(2) == 0 {
		x.Relays.Coordinators, f.Regions = 1+2*chance.Intn((n+1)/2), 1+chance.Intn(2)
		kind := []experiment.FaultKind{"zone-grey", "zone-lost", "zone-cut"}[chance.Intn(3)]
		x.Faults = append(x.Faults, experiment.Fault{Kind: kind, At: span(2000, float64(x.Length)-3000),
			Duration: span(500, 8000), Factor: between(0.2, 1)})
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.Duration = min(f.Duration, x.Length)
		if f.Kind == "clock-wrong" { // by seconds up to hours, either way
			f.Factor = math.Round(math.Pow(10, 4*chance.Float64())) * float64(1-2*chance.Intn(2))
		}
	}
	if x.Relays.Membership && x.Relays.Disk && chance.Intn(2) == 0 { // last, so that seeds draw the rest as before
		x.Relays.Replicas = 1 + 2*chance.Intn(3)
		x.Relays.ReplicatesAffinity = chance.Intn(2) == 0
		if chance.Intn(3) > 0 { // and mark tries that may run
			x.Relays.MarkerRetention = span(1000, 20000)
			x.Faults = append(x.Faults, experiment.Fault{Kind: "answers-lost", At: span(500, float64(x.Length)-1000),
				Duration: min(span(500, 10000), x.Length), Share: between(0.2, 1), Factor: between(0.1, 1)})
		}
	}
	if err := x.Complete(); err != nil {
		panic(fmt.Sprintf("seed %d: %v", seed, err)) // the drawing is wrong
	}
	return x
}

// GenerateForProcesses draws a schedule for relay processes: what Draw gives, of a size that a machine plays in seconds,
// with disks and ways between relays.
func GenerateForProcesses(seed uint64) *experiment.Experiment {
	x := Generate(seed)
	chance := rand.New(rand.NewSource(int64(seed) + 1<<40))
	x.Name = fmt.Sprintf("machines-%d", seed)
	factor := 11000 / float64(x.Length)
	x.Length, x.Warmup = 11000, 1000
	x.Relays.Count, x.Relays.Membership, x.Relays.Disk, x.Relays.MaxDescriptors = 3+chance.Intn(7), true, true, 0
	x.Relays.Coordinators = min(x.Relays.Coordinators, x.Relays.Count-(x.Relays.Count+1)%2)
	if seed%2 == 0 {
		x.Relays.Replicas = 3
	} else {
		x.Relays.Replicas, x.Relays.MarkerRetention, x.Relays.ReplicatesAffinity = 0, 0, false
	}
	x.Relays.LoadPolling, x.Fleet.SetupWork = true, min(x.Fleet.SetupWork, 10)
	for i := range x.Traffic {
		x.Traffic[i].InitialClients, x.Traffic[i].Rate = min(x.Traffic[i].InitialClients, 80), min(x.Traffic[i].Rate, 15)
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.At = experiment.Millis(math.Round(float64(f.At) * factor))
		f.Duration, f.ReturnSpread = min(f.Duration, 3000), min(f.ReturnSpread, 2000)
		f.NeverReturn = min(f.NeverReturn, x.Relays.Count-1)
	}
	x.Faults = slices.DeleteFunc(x.Faults, func(f experiment.Fault) bool { return f.Kind == "relay-replace" })
	if err := x.Complete(); err != nil {
		panic(fmt.Sprintf("seed %d: %v", seed, err)) // the drawing is wrong
	}
	return x
}

// NewFinding gives what a run broke, or nil.
func NewFinding(x *experiment.Experiment, a *audit.Auditor) *Finding {
	if a.ViolationCount() == 0 {
		return nil
	}
	found := &Finding{Experiment: x, Violations: a.Violations, Counts: map[audit.Rule]int{}}
	for rule, n := range a.Counts {
		if n > 0 {
			found.Counts[audit.Rule(rule)] = n
		}
	}
	return found
}

// Play plays an experiment and gives what it broke, or nil.
func Play(x *experiment.Experiment) (found *Finding) {
	defer func() {
		if p := recover(); p != nil {
			found = &Finding{Experiment: x, Panic: fmt.Sprint(p)}
		}
	}()
	r, err := sim.Run(x, x.Variants[0], nil)
	if err != nil {
		return &Finding{Experiment: x, Panic: err.Error()}
	}
	return NewFinding(x, r.Audit)
}

// Explore plays the experiments of the seeds from one on to another, not itself, on all cores, and calls back
// for each that breaks a rule, in the order they are met, and after each played with how many are.
func Explore(ctx context.Context, from, to uint64, found func(*Finding), played func(n int)) {
	ExploreWith(ctx, from, to, runtime.GOMAXPROCS(0), func(seed uint64) *Finding { return Play(Generate(seed)) }, found,
		played)
}

// ExploreWith does so by another way to play a seed, so many side by side.
func ExploreWith(ctx context.Context, from, to uint64, side int, play func(seed uint64) *Finding, found func(*Finding),
	played func(n int)) {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for s := from; s < to; s++ {
			select {
			case seeds <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	var wait sync.WaitGroup
	var mutex sync.Mutex
	n := 0
	for range side {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range seeds {
				f := play(seed)
				mutex.Lock()
				if n++; f != nil {
					f.Seed = seed
					found(f)
				}
				played(n)
				mutex.Unlock()
			}
		}()
	}
	wait.Wait()
}

// same tells whether both break one rule in common, or both end the relay.
func (f *Finding) same(other *Finding) bool {
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

// Shrink cuts what was found down, step by step, as long as it still breaks a rule that it broke at first;
// budget is the most experiments that it plays.
func Shrink(f *Finding, budget int) *Finding { return ShrinkWith(f, budget, Play) }

// ShrinkWith does so by another way to play.
func ShrinkWith(f *Finding, budget int, play func(x *experiment.Experiment) *Finding) *Finding {
	for again := true; again && budget > 0; {
		again = false
		for _, less := range smaller(f.Experiment) {
			if budget--; budget < 0 {
				break
			}
			if less.Complete() != nil {
				continue
			}
			if g := play(less); f.same(g) {
				g.Seed, f, again = f.Seed, g, true
				break
			}
		}
	}
	return f
}

// smaller are experiments that are a little less, the boldest cuts first.
func smaller(x *experiment.Experiment) (all []*experiment.Experiment) {
	with := func(change func(y *experiment.Experiment)) {
		y := *x
		y.Faults, y.Traffic = slices.Clone(x.Faults), slices.Clone(x.Traffic)
		change(&y)
		all = append(all, &y)
	}
	for i := range x.Faults {
		with(func(y *experiment.Experiment) { y.Faults = slices.Delete(y.Faults, i, i+1) })
	}
	for i := range x.Traffic {
		if len(x.Traffic) > 1 {
			with(func(y *experiment.Experiment) { y.Traffic = slices.Delete(y.Traffic, i, i+1) })
		}
	}
	last := 0.0
	for _, f := range x.Faults {
		last = max(last, float64(f.At))
	}
	if shorter := experiment.Millis(max((last+float64(x.Length))/2, last+500, 2500)); shorter < x.Length-500 {
		with(func(y *experiment.Experiment) {
			y.Length = shorter
			for i := range y.Faults {
				y.Faults[i].Duration = min(y.Faults[i].Duration, y.Length)
			}
		})
	}
	if x.Relays.Count > 1 {
		with(func(y *experiment.Experiment) { y.Relays.Count /= 2 })
	}
	if x.Fleet.Backends > max(2, x.Fleet.Zones) {
		with(func(y *experiment.Experiment) { y.Fleet.Backends = max(y.Fleet.Backends*2/3, 2, y.Fleet.Zones) })
	}
	if x.Fleet.Zones > 1 {
		with(func(y *experiment.Experiment) { y.Fleet.Zones = 1 })
	}
	for i, t := range x.Traffic {
		if t.Rate > 1 {
			with(func(y *experiment.Experiment) { y.Traffic[i].Rate = math.Floor(t.Rate / 2) })
		}
		if t.InitialClients > 1 {
			with(func(y *experiment.Experiment) { y.Traffic[i].InitialClients /= 2 })
		}
		if t.LoadSpread > 0 {
			with(func(y *experiment.Experiment) { y.Traffic[i].LoadSpread = 0 })
		}
		if t.Groups > 0 {
			with(func(y *experiment.Experiment) { y.Traffic[i].Groups = 0 })
		}
	}
	for i, f := range x.Faults {
		if f.Duration > 200 {
			with(func(y *experiment.Experiment) {
				y.Faults[i].Duration = experiment.Millis(math.Round(float64(f.Duration) / 2))
			})
		}
		if f.Share > 0.1 {
			with(func(y *experiment.Experiment) { y.Faults[i].Share = f.Share / 2 })
		}
	}
	for _, plain := range []func(y *experiment.Experiment){
		func(y *experiment.Experiment) { y.Network.SplitProbability = 0 },
		func(y *experiment.Experiment) { y.Network.Jitter = 0 },
		func(y *experiment.Experiment) { y.Fleet.StoreRate = 0 },
		func(y *experiment.Experiment) { y.Relays.MaxDescriptors = 0 },
	} {
		y := *x
		plain(&y)
		if y.Network != x.Network || y.Fleet != x.Fleet || y.Relays != x.Relays {
			with(plain)
		}
	}
	return all
}
