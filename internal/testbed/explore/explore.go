// Package hunt draws experiments at random, plays each under virtual time, and cuts those that break a rule
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

// Found is an experiment that breaks a rule.
type Found struct {
	Seed       uint64
	Experiment *experiment.Experiment
	Breaks     []audit.Break
	Counts     map[audit.Rule]int
	Panic      string // the relay's own end, where it was one
}

// Text is the experiment as a file.
func (f *Found) Text() ([]byte, error) { return toml.Marshal(f.Experiment) }

// kinds are in one order, so that a seed draws the same.
var kinds = func() (all []string) {
	for k := range experiment.Kinds {
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

// Draw gives the experiment of a seed.
func Draw(seed uint64) *experiment.Experiment {
	chance := rand.New(rand.NewSource(int64(seed)))
	between := func(least, most float64) float64 { return least + (most-least)*chance.Float64() }
	span := func(least, most float64) experiment.Span {
		return experiment.Span(math.Round(between(least,
			most)))
	}
	x := experiment.Default()
	x.Name, x.Seed = fmt.Sprintf("drawn-%d", seed), seed
	x.Length, x.Warm = span(12000, 25000), 1000
	x.Relays.Count = 1 + chance.Intn(6)
	x.Relays.Back = span(200, 4000)
	x.Relays.Probes = chance.Intn(5) > 0
	x.Relays.Tries = 1 + chance.Intn(4)
	if chance.Intn(3) == 0 {
		x.Relays.Sockets = 60 + chance.Intn(300)
	}
	if chance.Intn(6) == 0 {
		x.Relays.MaxBack = 0
	}
	fine := func(least, most float64) experiment.Span { // as a file can say it, against another play by it
		return experiment.Span(math.Round(between(least, most)*1000) / 1000)
	}
	x.Network.Delay, x.Network.Jitter = fine(0.05, 5), fine(0, 5)
	x.Network.Split = between(0, 0.2)
	f := &x.Fleet
	f.Servers, f.Zones = 2+chance.Intn(14), 1
	if chance.Intn(2) == 0 {
		f.Zones = min(1+chance.Intn(3), f.Servers)
	}
	f.Cores, f.SpeedSpread = between(0.5, 4), between(0, 0.5)
	f.SetupWork, f.Cold = span(0, 40), span(500, 12000)
	f.ColdFrom, f.TipMultiple, f.Fall = between(0.1, 0.6), between(2, 4), span(1000, 3000)
	if chance.Intn(3) == 0 {
		f.StoreRate = between(10, 200)
	}
	for i := range 1 + chance.Intn(3) {
		t := experiment.Traffic{Category: fmt.Sprintf("kind%d", i), Gain: between(0.5, 10), Rate: between(1, 40),
			Standing: chance.Intn(150), Life: span(500, 20000), Load: between(1, 60), LoadSpread: between(0, 1),
			Every: span(200, 3000), HonoursMS: float64(chance.Intn(3)) / 2, Promised: span(100, 800),
			Retry: span(20, 500)}
		t.HardLimit = t.Promised + span(0, 2500)
		t.Effect = []string{"replayable", "referenced", "single-use"}[chance.Intn(3)]
		if chance.Intn(3) == 0 {
			t.Groups = 1 + chance.Intn(30)
		}
		x.Traffic = append(x.Traffic, t)
	}
	for range 1 + chance.Intn(5) {
		kind := kinds[chance.Intn(len(kinds))]
		x.Faults = append(x.Faults, experiment.Fault{Kind: kind, At: span(500, float64(x.Length)-1000),
			For: span(50, 10000), Share: between(0.05, 1)})
	}
	if chance.Intn(2) == 0 { // machines that keep something, or know of each other
		x.Relays.Peers, x.Relays.Disk, x.Relays.Known = chance.Intn(4) > 0, chance.Intn(4) > 0, chance.Intn(2) == 0
		loss := experiment.Fault{Kind: "power-loss", At: span(3000, float64(x.Length)-3000), For: span(200, 4000),
			Share: between(0.3, 1), Spread: span(0, 4000), Never: chance.Intn(x.Relays.Count),
			Disk: experiment.Disks[chance.Intn(len(experiment.Disks))]}
		x.Faults = append(x.Faults, loss)
		ends := []string{"relays", "half", "rest", "zone-a", "relay-0"}
		for i := range x.Faults {
			if _, way := x.Faults[i].Way(); way && chance.Intn(2) == 0 {
				x.Faults[i].From, x.Faults[i].To = ends[chance.Intn(len(ends))], ends[chance.Intn(3)]
				x.Faults[i].Both = chance.Intn(2) == 0
			}
		}
		if chance.Intn(3) == 0 { // and again, during the recovery
			loss.At = min(loss.At+loss.For+span(200, 3000), x.Length-1000)
			x.Faults = append(x.Faults, loss)
		}
	}
	// And decide on zones in common.
	if n := x.Relays.Count; x.Relays.Peers && f.Zones > 1 && chance.Intn(2) == 0 {
		x.Relays.Council, f.Regions = 1+2*chance.Intn((n+1)/2), 1+chance.Intn(2)
		kind := []string{"zone-grey", "zone-lost", "zone-cut"}[chance.Intn(3)]
		x.Faults = append(x.Faults, experiment.Fault{Kind: kind, At: span(2000, float64(x.Length)-3000),
			For: span(500, 8000), Factor: between(0.2, 1)})
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.For = min(f.For, x.Length)
		if f.Kind == "clock-wrong" { // by seconds up to hours, either way
			f.Factor = math.Round(math.Pow(10, 4*chance.Float64())) * float64(1-2*chance.Intn(2))
		}
	}
	if x.Relays.Peers && x.Relays.Disk && chance.Intn(2) == 0 { // last, so that seeds draw the rest as before
		x.Relays.Holdings = 1 + 2*chance.Intn(3)
		x.Relays.Stood = chance.Intn(2) == 0
		if chance.Intn(3) > 0 { // and mark tries that may run
			x.Relays.Remember = span(1000, 20000)
			x.Faults = append(x.Faults, experiment.Fault{Kind: "answers-lost", At: span(500, float64(x.Length)-1000),
				For: min(span(500, 10000), x.Length), Share: between(0.2, 1), Factor: between(0.1, 1)})
		}
	}
	if err := x.Complete(); err != nil {
		panic(fmt.Sprintf("seed %d: %v", seed, err)) // the drawing is wrong
	}
	return x
}

// Machines draws a schedule for relay processes: what Draw gives, of a size that a machine plays in seconds,
// with disks and ways between relays.
func Machines(seed uint64) *experiment.Experiment {
	x := Draw(seed)
	chance := rand.New(rand.NewSource(int64(seed) + 1<<40))
	x.Name = fmt.Sprintf("machines-%d", seed)
	factor := 11000 / float64(x.Length)
	x.Length, x.Warm = 11000, 1000
	x.Relays.Count, x.Relays.Peers, x.Relays.Disk, x.Relays.Sockets = 3+chance.Intn(7), true, true, 0
	x.Relays.Council = min(x.Relays.Council, x.Relays.Count-(x.Relays.Count+1)%2)
	if seed%2 == 0 {
		x.Relays.Holdings = 3
	} else {
		x.Relays.Holdings, x.Relays.Remember, x.Relays.Stood = 0, 0, false
	}
	x.Relays.Probes, x.Fleet.SetupWork = true, min(x.Fleet.SetupWork, 10)
	for i := range x.Traffic {
		x.Traffic[i].Standing, x.Traffic[i].Rate = min(x.Traffic[i].Standing, 80), min(x.Traffic[i].Rate, 15)
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.At = experiment.Span(math.Round(float64(f.At) * factor))
		f.For, f.Spread = min(f.For, 3000), min(f.Spread, 2000)
		f.Never = min(f.Never, x.Relays.Count-1)
	}
	x.Faults = slices.DeleteFunc(x.Faults, func(f experiment.Fault) bool { return f.Kind == "relay-replace" })
	if err := x.Complete(); err != nil {
		panic(fmt.Sprintf("seed %d: %v", seed, err)) // the drawing is wrong
	}
	return x
}

// Of gives what a run broke, or nil.
func Of(x *experiment.Experiment, a *audit.Auditor) *Found {
	if a.Broken() == 0 {
		return nil
	}
	found := &Found{Experiment: x, Breaks: a.Breaks, Counts: map[audit.Rule]int{}}
	for rule, n := range a.Counts {
		if n > 0 {
			found.Counts[audit.Rule(rule)] = n
		}
	}
	return found
}

// Play plays an experiment and gives what it broke, or nil.
func Play(x *experiment.Experiment) (found *Found) {
	defer func() {
		if p := recover(); p != nil {
			found = &Found{Experiment: x, Panic: fmt.Sprint(p)}
		}
	}()
	r, err := sim.Run(x, x.Variants[0], nil)
	if err != nil {
		return &Found{Experiment: x, Panic: err.Error()}
	}
	return Of(x, r.Audit)
}

// Hunt plays the experiments of the seeds from one on to another, not itself, on all cores, and calls back
// for each that breaks a rule, in the order they are met, and after each played with how many are.
func Hunt(ctx context.Context, from, to uint64, found func(*Found), played func(n int)) {
	HuntBy(ctx, from, to, runtime.GOMAXPROCS(0), func(seed uint64) *Found { return Play(Draw(seed)) }, found,
		played)
}

// HuntBy does so by another way to play a seed, so many side by side.
func HuntBy(ctx context.Context, from, to uint64, side int, play func(seed uint64) *Found, found func(*Found),
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
func (f *Found) same(other *Found) bool {
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
func Shrink(f *Found, budget int) *Found { return ShrinkBy(f, budget, Play) }

// ShrinkBy does so by another way to play.
func ShrinkBy(f *Found, budget int, play func(x *experiment.Experiment) *Found) *Found {
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
	if shorter := experiment.Span(max((last+float64(x.Length))/2, last+500, 2500)); shorter < x.Length-500 {
		with(func(y *experiment.Experiment) {
			y.Length = shorter
			for i := range y.Faults {
				y.Faults[i].For = min(y.Faults[i].For, y.Length)
			}
		})
	}
	if x.Relays.Count > 1 {
		with(func(y *experiment.Experiment) { y.Relays.Count /= 2 })
	}
	if x.Fleet.Servers > max(2, x.Fleet.Zones) {
		with(func(y *experiment.Experiment) { y.Fleet.Servers = max(y.Fleet.Servers*2/3, 2, y.Fleet.Zones) })
	}
	if x.Fleet.Zones > 1 {
		with(func(y *experiment.Experiment) { y.Fleet.Zones = 1 })
	}
	for i, t := range x.Traffic {
		if t.Rate > 1 {
			with(func(y *experiment.Experiment) { y.Traffic[i].Rate = math.Floor(t.Rate / 2) })
		}
		if t.Standing > 1 {
			with(func(y *experiment.Experiment) { y.Traffic[i].Standing /= 2 })
		}
		if t.LoadSpread > 0 {
			with(func(y *experiment.Experiment) { y.Traffic[i].LoadSpread = 0 })
		}
		if t.Groups > 0 {
			with(func(y *experiment.Experiment) { y.Traffic[i].Groups = 0 })
		}
	}
	for i, f := range x.Faults {
		if f.For > 200 {
			with(func(y *experiment.Experiment) { y.Faults[i].For = experiment.Span(math.Round(float64(f.For) / 2)) })
		}
		if f.Share > 0.1 {
			with(func(y *experiment.Experiment) { y.Faults[i].Share = f.Share / 2 })
		}
	}
	for _, plain := range []func(y *experiment.Experiment){
		func(y *experiment.Experiment) { y.Network.Split = 0 },
		func(y *experiment.Experiment) { y.Network.Jitter = 0 },
		func(y *experiment.Experiment) { y.Fleet.StoreRate = 0 },
		func(y *experiment.Experiment) { y.Relays.Sockets = 0 },
	} {
		y := *x
		plain(&y)
		if y.Network != x.Network || y.Fleet != x.Fleet || y.Relays != x.Relays {
			with(plain)
		}
	}
	return all
}
