package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Bounds on an experiment's size. They keep a mistyped number from exhausting the machine.
const (
	maxBackends     = 20000
	maxRelays       = 2000
	maxClients      = 5e6
	maxCoordinators = 7
	maxReplicas     = 7
	maxZones        = 26 // each zone is named by one letter

	hourMillis   = 3.6e6
	minuteMillis = 60000.0
)

// check is the value of a field and the range that it must be in.
type check struct {
	field    string
	value    float64
	min, max float64
}

// Complete fills in the defaults of variants, traffic and faults. It returns an error for the first wrong field.
func (x *Experiment) Complete() error {
	if len(x.Variants) == 0 {
		x.Variants = []string{Policies[0]}
	}
	for _, v := range x.Variants {
		if !slices.Contains(Policies, v) {
			return fmt.Errorf("variants: one of %s expected, got %q", strings.Join(Policies, ", "), v)
		}
	}
	if err := x.Relays.checkDependencies(); err != nil {
		return err
	}
	checks := x.rangeChecks()
	for i := range x.Traffic {
		more, err := x.Traffic[i].complete(i)
		if err != nil {
			return err
		}
		checks = append(checks, more...)
	}
	checks = append(checks, check{"traffic: clients in all", x.expectedClients(), 1, maxClients})
	for i := range x.Faults {
		more, err := x.Faults[i].complete(i, x)
		if err != nil {
			return err
		}
		checks = append(checks, more...)
	}
	for _, c := range checks {
		isInRange := c.value >= c.min && c.value <= c.max // false for NaN
		if !isInRange {
			return fmt.Errorf("%s: from %v to %v expected, got %v", c.field, c.min, c.max, c.value)
		}
	}
	return nil
}

// expectedClients returns the expected number of clients of a run.
func (x *Experiment) expectedClients() (clients float64) {
	for _, t := range x.Traffic {
		clients += float64(t.InitialClients) + t.Rate*float64(x.Length)/1000
	}
	return clients
}

// checkDependencies returns an error for the first field whose value another field does not allow.
func (r *Relays) checkDependencies() error {
	if n := r.Coordinators; n > 0 && (n%2 == 0 || !r.Membership) {
		return fmt.Errorf("relays.council: an odd number with relays.peers set expected, got %d", n)
	}
	if n := r.Replicas; n > 0 && (n%2 == 0 || n > maxReplicas || !r.Membership || !r.Disk) {
		return fmt.Errorf("relays.holdings: 1, 3, 5 or 7 with relays.peers and relays.disk set expected, got %d", n)
	}
	if m := r.MarkerRetention; m < 0 || m > minuteMillis || (m > 0 && r.Replicas == 0) {
		return fmt.Errorf("relays.remember: 0 to 60 s with relays.holdings set expected, got %.0f ms", float64(m))
	}
	if r.ReplicatesAffinity && r.Replicas == 0 {
		return fmt.Errorf("relays.stood: relays.holdings above 0 expected, got 0")
	}
	return nil
}

// rangeChecks returns the checks of all fields but those of traffic and faults.
func (x *Experiment) rangeChecks() []check {
	r, n, f := &x.Relays, &x.Network, &x.Fleet
	return []check{
		{"length", float64(x.Length), 1000, hourMillis},
		{"warm", float64(x.Warmup), 0, float64(x.Length) - 1000},
		{"relays.count", float64(r.Count), 1, maxRelays},
		{"relays.back", float64(r.RestartDelay), 1, hourMillis},
		{"relays.front-notice", float64(r.DetectionDelay), 0, hourMillis},
		{"relays.sockets", float64(r.MaxDescriptors), 0, 1e6},
		{"relays.council", float64(r.Coordinators), 0, float64(min(r.Count, maxCoordinators))},
		{"fleet.regions", float64(f.Regions), 0, float64(f.Zones)},
		{"relays.most-setup-tries", float64(r.MaxAttempts), 1, 100},
		{"relays.max-retry-after", float64(r.MaxRetryAfter), 0, minuteMillis},
		{"network.delay", float64(n.Delay), 0.01, 1000},
		{"network.jitter", float64(n.Jitter), 0, 1000},
		{"network.split", n.SplitProbability, 0, 1},
		{"fleet.servers", float64(f.Backends), 1, maxBackends},
		{"fleet.zones", float64(f.Zones), 1, float64(min(f.Backends, maxZones))},
		{"fleet.cores", f.Cores, 0.01, 1024},
		{"fleet.speed-spread", f.SpeedSpread, 0, 0.9},
		{"fleet.setup-work", float64(f.SetupWork), 0, 10000},
		{"fleet.store-rate", f.StoreRate, 0, 1e6},
		{"fleet.reports", float64(f.MaxReportAge), 0, minuteMillis},
		{"fleet.noise", f.ReportNoise, 0, 1},
		{"fleet.cold-from", f.SlowStartFrom, 0.01, 1},
		{"fleet.cold", float64(f.SlowStart), 0, hourMillis},
		{"fleet.tip-multiple", f.OverloadMultiple, 0.1, 1000},
		{"fleet.fall", float64(f.OverloadWindow), 100, minuteMillis},
		{"fleet.down", float64(f.OverloadDowntime), 100, hourMillis},
	}
}

// complete fills in the defaults of the traffic with that number and returns the checks of its fields.
func (t *Traffic) complete(number int) ([]check, error) {
	t.fillIn(number)
	field := fmt.Sprintf("traffic.%d.", number)
	if !slices.Contains([]Effect{EffectReplayable, EffectReferenced, EffectSingleUse}, t.Effect) {
		return nil, fmt.Errorf("%seffect: replayable, referenced or single-use expected, got %q", field, t.Effect)
	}
	for _, name := range []struct{ field, value string }{{"category", t.Class}, {"party", t.Tenant}} {
		if strings.ContainsFunc(name.value, isInvalidInName) {
			return nil, fmt.Errorf("%s%s: a name of plain letters expected, got %q", field, name.field, name.value)
		}
	}
	return []check{
		{field + "gain", t.PriorityWeight, 0.001, 1e6},
		{field + "promised", float64(t.LatencyObjective), 1, minuteMillis},
		{field + "hard-limit", float64(t.HardLimit), float64(t.LatencyObjective), minuteMillis},
		{field + "rate", t.Rate, 0, 1e6},
		{field + "standing", float64(t.InitialClients), 0, 1e6},
		{field + "life", float64(t.Lifetime), 100, hourMillis},
		{field + "load", t.Load, 0, 1e6},
		{field + "load-spread", t.LoadSpread, 0, 3},
		{field + "every", float64(t.LineInterval), 10, minuteMillis},
		{field + "groups", float64(t.Groups), 0, 1e6},
		{field + "honours-busy", t.HonorsRetryAfter, 0, 1},
		{field + "retry", float64(t.RetryDelay), 1, minuteMillis},
	}, nil
}

// isInvalidInName reports whether a character can't occur in an attribute of a request.
func isInvalidInName(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }

// fillIn sets the fields that a file leaves out of the traffic with that number.
func (t *Traffic) fillIn(number int) {
	t.Class = cmp.Or(t.Class, fmt.Sprintf("kind%d", number))
	t.Tenant = cmp.Or(t.Tenant, "all")
	t.Effect = cmp.Or(t.Effect, EffectReplayable)
	t.PriorityWeight = cmp.Or(t.PriorityWeight, 1)
	t.LatencyObjective = cmp.Or(t.LatencyObjective, 500)
	t.HardLimit = cmp.Or(t.HardLimit, max(2000, t.LatencyObjective))
	t.Lifetime = cmp.Or(t.Lifetime, 20000)
	t.Load = cmp.Or(t.Load, 10)
	t.LineInterval = cmp.Or(t.LineInterval, 2000)
	t.RetryDelay = cmp.Or(t.RetryDelay, 200)
}

// complete fills in the defaults of the fault with that number and returns the checks of its fields.
func (f *Fault) complete(number int, x *Experiment) ([]check, error) {
	f.fillIn()
	field := fmt.Sprintf("fault.%d.", number)
	if FaultKinds[f.Kind] == "" {
		return nil, fmt.Errorf("%skind: no such kind: %q", field, f.Kind)
	}
	if !slices.Contains(DiskFaults, f.Disk) {
		return nil, fmt.Errorf("%sdisk: one of %s expected, got %q", field, diskFaultNames(), f.Disk)
	}
	if err := f.checkPlaces(field, x); err != nil {
		return nil, err
	}
	return []check{
		{field + "at", float64(f.At), 0, float64(x.Length)},
		{field + "for", float64(f.Duration), 0, float64(x.Length)},
		{field + "share", f.Share, 0, 1},
		{field + "factor", f.Factor, f.minFactor(), 1e6},
		{field + "spread", float64(f.ReturnSpread), 0, float64(x.Length)},
		{field + "never", float64(f.NeverReturn), 0, float64(x.Relays.Count - 1)},
	}, nil
}

// diskFaultNames returns the names of the disk faults, separated by commas.
func diskFaultNames() string {
	var names []string
	for _, f := range DiskFaults[1:] {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}
