package explore

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"

	"valeshift/internal/testbed/experiment"
)

// laterKinds are the kinds of fault that were added after seeds had been recorded. They are drawn in separate steps, so
// that the recorded seeds still generate the same experiments.
var laterKinds = []experiment.FaultKind{
	experiment.FaultZoneFailingAttempts,
	experiment.FaultRegionLost,
	experiment.FaultZoneBusy,
	experiment.FaultAnswersLost,
}

// drawnKinds are the other kinds of fault. They are sorted, so that a seed draws the same kinds each time.
var drawnKinds = slices.DeleteFunc(slices.Sorted(maps.Keys(experiment.FaultKinds)),
	func(kind experiment.FaultKind) bool { return slices.Contains(laterKinds, kind) })

// generator draws one experiment. The order of its draws must not change, as findings are recorded by their seeds.
type generator struct {
	rng *rand.Rand
	x   *experiment.Experiment
}

// Generate returns the random experiment of a seed.
func Generate(seed uint64) *experiment.Experiment {
	g := generator{rng: rand.New(rand.NewSource(int64(seed))), x: experiment.Default()}
	g.x.Name = fmt.Sprintf("drawn-%d", seed)
	g.x.Seed = seed
	g.x.Length = g.millis(12000, 25000)
	g.x.Warmup = 1000
	g.drawRelays()
	g.drawNetwork()
	g.drawFleet()
	g.drawTraffic()
	g.drawFaults()
	if g.oneIn(2) {
		g.drawPowerLoss()
	}
	if g.x.Relays.Membership && g.x.Fleet.Zones > 1 && g.oneIn(2) {
		g.drawCoordinators()
	}
	g.adjustFaults()
	if g.x.Relays.Membership && g.x.Relays.Disk && g.oneIn(2) {
		g.drawReplicas()
	}
	mustComplete(g.x, seed)
	return g.x
}

// mustComplete completes a generated experiment. It panics if a field is out of bounds, as that is a bug of the
// generator.
func mustComplete(x *experiment.Experiment, seed uint64) {
	if err := x.Complete(); err != nil {
		panic(fmt.Sprintf("seed %d: %v", seed, err))
	}
}

// between draws a number from low to high.
func (g *generator) between(low, high float64) float64 { return low + (high-low)*g.rng.Float64() }

// oneIn returns true with a probability of 1/n.
func (g *generator) oneIn(n int) bool { return g.rng.Intn(n) == 0 }

// millis draws a duration in whole milliseconds.
func (g *generator) millis(low, high float64) experiment.Millis {
	return experiment.Millis(math.Round(g.between(low, high)))
}

// fineMillis draws a duration in whole microseconds, which an experiment file can still express.
func (g *generator) fineMillis(low, high float64) experiment.Millis {
	return experiment.Millis(math.Round(g.between(low, high)*1000) / 1000)
}

// pick draws an element of a slice.
func pick[T any](g *generator, all []T) T { return all[g.rng.Intn(len(all))] }

// faultTime draws a time of the run at least fromStart milliseconds after its start and beforeEnd before its end.
func (g *generator) faultTime(fromStart, beforeEnd float64) experiment.Millis {
	return g.millis(fromStart, float64(g.x.Length)-beforeEnd)
}

func (g *generator) addFault(f experiment.Fault) { g.x.Faults = append(g.x.Faults, f) }

func (g *generator) drawRelays() {
	r := &g.x.Relays
	r.Count = 1 + g.rng.Intn(6)
	r.RestartDelay = g.millis(200, 4000)
	r.LoadPolling = !g.oneIn(5)
	r.MaxAttempts = 1 + g.rng.Intn(4)
	if g.oneIn(3) {
		r.MaxDescriptors = 60 + g.rng.Intn(300)
	}
	if g.oneIn(6) {
		r.MaxRetryAfter = 0
	}
}

func (g *generator) drawNetwork() {
	n := &g.x.Network
	n.Delay = g.fineMillis(0.05, 5)
	n.Jitter = g.fineMillis(0, 5)
	n.SplitProbability = g.between(0, 0.2)
}

func (g *generator) drawFleet() {
	f := &g.x.Fleet
	f.Backends = 2 + g.rng.Intn(14)
	f.Zones = 1
	if g.oneIn(2) {
		f.Zones = min(1+g.rng.Intn(3), f.Backends)
	}
	f.Cores = g.between(0.5, 4)
	f.SpeedSpread = g.between(0, 0.5)
	f.SetupWork = g.millis(0, 40)
	f.SlowStart = g.millis(500, 12000)
	f.SlowStartFrom = g.between(0.1, 0.6)
	f.OverloadMultiple = g.between(2, 4)
	f.OverloadWindow = g.millis(1000, 3000)
	if g.oneIn(3) {
		f.StoreRate = g.between(10, 200)
	}
}

func (g *generator) drawTraffic() {
	for i := range 1 + g.rng.Intn(3) {
		t := experiment.Traffic{Class: fmt.Sprintf("kind%d", i)}
		t.PriorityWeight = g.between(0.5, 10)
		t.Rate = g.between(1, 40)
		t.InitialClients = g.rng.Intn(150)
		t.Lifetime = g.millis(500, 20000)
		t.Load = g.between(1, 60)
		t.LoadSpread = g.between(0, 1)
		t.LineInterval = g.millis(200, 3000)
		t.HonorsRetryAfter = float64(g.rng.Intn(3)) / 2
		t.LatencyObjective = g.millis(100, 800)
		t.RetryDelay = g.millis(20, 500)
		t.HardLimit = t.LatencyObjective + g.millis(0, 2500)
		t.Effect = pick(g, []experiment.Effect{
			experiment.EffectReplayable,
			experiment.EffectReferenced,
			experiment.EffectSingleUse,
		})
		if g.oneIn(3) {
			t.Groups = 1 + g.rng.Intn(30)
		}
		g.x.Traffic = append(g.x.Traffic, t)
	}
}

func (g *generator) drawFaults() {
	for range 1 + g.rng.Intn(5) {
		f := experiment.Fault{Kind: pick(g, drawnKinds)}
		f.At = g.faultTime(500, 1000)
		f.Duration = g.millis(50, 10000)
		f.Share = g.between(0.05, 1)
		g.addFault(f)
	}
}

// drawPowerLoss draws a power loss, in some experiments followed by a second one during the recovery. It also draws
// whether relays have membership and disks, which most experiments with a power loss give them.
func (g *generator) drawPowerLoss() {
	r := &g.x.Relays
	r.Membership = !g.oneIn(4)
	r.Disk = !g.oneIn(4)
	r.KnowsEndpoints = g.oneIn(2)
	loss := experiment.Fault{Kind: experiment.FaultPowerLoss}
	loss.At = g.faultTime(3000, 3000)
	loss.Duration = g.millis(200, 4000)
	loss.Share = g.between(0.3, 1)
	loss.ReturnSpread = g.millis(0, 4000)
	loss.NeverReturn = g.rng.Intn(r.Count)
	loss.Disk = pick(g, experiment.DiskFaults)
	g.addFault(loss)
	g.drawPlaces()
	if g.oneIn(3) {
		loss.At = min(loss.At+loss.Duration+g.millis(200, 3000), g.x.Length-1000)
		g.addFault(loss)
	}
}

// drawPlaces draws the affected paths of half of the faults that impair the network.
func (g *generator) drawPlaces() {
	places := []string{"relays", "half", "rest", "zone-a", "relay-0"}
	for i := range g.x.Faults {
		f := &g.x.Faults[i]
		_, impairs := f.Impairment()
		if !impairs || !g.oneIn(2) {
			continue
		}
		f.From = pick(g, places)
		f.To = pick(g, places[:3])
		f.Bidirectional = g.oneIn(2)
	}
}

// drawCoordinators adds coordinators, and a fault of a zone for them to decide on.
func (g *generator) drawCoordinators() {
	count := g.x.Relays.Count
	g.x.Relays.Coordinators = 1 + 2*g.rng.Intn((count+1)/2)
	g.x.Fleet.Regions = 1 + g.rng.Intn(2)
	f := experiment.Fault{Kind: pick(g, []experiment.FaultKind{
		experiment.FaultZoneFailingAttempts,
		experiment.FaultZoneLost,
		experiment.FaultZoneCut,
	})}
	f.At = g.faultTime(2000, 3000)
	f.Duration = g.millis(500, 8000)
	f.Factor = g.between(0.2, 1)
	g.addFault(f)
}

// adjustFaults limits faults to the length of the run, and draws by how much wrong clocks are ahead or behind, from a
// second to hours.
func (g *generator) adjustFaults() {
	for i := range g.x.Faults {
		f := &g.x.Faults[i]
		f.Duration = min(f.Duration, g.x.Length)
		if f.Kind == experiment.FaultClockWrong {
			seconds := math.Round(math.Pow(10, 4*g.rng.Float64()))
			sign := float64(1 - 2*g.rng.Intn(2))
			f.Factor = seconds * sign
		}
	}
}

// drawReplicas has relays replicate records. In two of three experiments it also adds attempt markers and a fault in
// which backends carry out attempts but fail before they answer.
func (g *generator) drawReplicas() {
	r := &g.x.Relays
	r.Replicas = 1 + 2*g.rng.Intn(3)
	r.ReplicatesAffinity = g.oneIn(2)
	if g.oneIn(3) {
		return
	}
	r.MarkerRetention = g.millis(1000, 20000)
	f := experiment.Fault{Kind: experiment.FaultAnswersLost}
	f.At = g.faultTime(500, 1000)
	f.Duration = min(g.millis(500, 10000), g.x.Length)
	f.Share = g.between(0.2, 1)
	f.Factor = g.between(0.1, 1)
	g.addFault(f)
}

// Bounds of an experiment that runs with relay processes. Durations are in milliseconds.
const (
	processesLength       = experiment.Millis(11000) // length of the run
	processesMaxDuration  = experiment.Millis(3000)  // longest duration of a fault
	processesMaxSpread    = experiment.Millis(2000)  // longest time over which relays and backends return
	processesMaxSetupWork = experiment.Millis(10)    // greatest set-up work of an attempt
	processesMaxClients   = 80                       // greatest number of initial clients of each traffic
	processesMaxRate      = 15                       // greatest rate of new clients per second of each traffic
	processesSeedOffset   = 1 << 40                  // added to the seed for draws that Generate does not make
)

// GenerateForProcesses returns an experiment for relay processes with disks and membership: the one that Generate
// returns, reduced to a size that one machine runs in seconds.
func GenerateForProcesses(seed uint64) *experiment.Experiment {
	x := Generate(seed)
	rng := rand.New(rand.NewSource(int64(seed) + processesSeedOffset))
	x.Name = fmt.Sprintf("machines-%d", seed)
	factor := float64(processesLength) / float64(x.Length)
	x.Length = processesLength
	x.Warmup = 1000
	r := &x.Relays
	r.Count = 3 + rng.Intn(7)
	r.Membership = true
	r.Disk = true
	r.MaxDescriptors = 0
	r.LoadPolling = true
	maxOdd := r.Count - (r.Count+1)%2
	r.Coordinators = min(r.Coordinators, maxOdd)
	if seed%2 == 0 {
		r.Replicas = 3
	} else {
		r.Replicas = 0
		r.MarkerRetention = 0
		r.ReplicatesAffinity = false
	}
	x.Fleet.SetupWork = min(x.Fleet.SetupWork, processesMaxSetupWork)
	for i := range x.Traffic {
		t := &x.Traffic[i]
		t.InitialClients = min(t.InitialClients, processesMaxClients)
		t.Rate = min(t.Rate, processesMaxRate)
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.At = experiment.Millis(math.Round(float64(f.At) * factor))
		f.Duration = min(f.Duration, processesMaxDuration)
		f.ReturnSpread = min(f.ReturnSpread, processesMaxSpread)
		f.NeverReturn = min(f.NeverReturn, r.Count-1)
	}
	x.Faults = slices.DeleteFunc(x.Faults, func(f experiment.Fault) bool {
		return f.Kind == experiment.FaultRelayReplace
	})
	mustComplete(x, seed)
	return x
}
