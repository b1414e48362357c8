package failover

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var six = []Zone{{Name: "a", Region: "n"}, {Name: "b", Region: "n"}, {Name: "c", Region: "n"}, {Name: "d",
	Region: "s"},
	{Name: "e", Region: "s"}, {Name: "f", Region: "s"}}

// fleet is relays that see zones as a case says, and one judge.
type fleet struct {
	now    float64
	relays int
	judge  *Policy
	book   *DecisionLog
	number uint64
	chance *rand.Rand
	// bad is the share of tries of a relay of one zone at another that fail; load that of a zone, of 10 servers.
	bad  func(now float64, from, at string) float64
	load func(now float64, zone string) float64
	lies func(relay int) bool
	near bool // links go to the own zone alone, and health calls are fine
}

func newFleet(relays int) *fleet {
	return &fleet{relays: relays, judge: NewPolicy(six), book: &DecisionLog{}, chance: rand.New(rand.NewSource(1)),
		bad:  func(float64, string, string) float64 { return 0 },
		load: func(float64, string) float64 { return 4 }, lies: func(int) bool { return false }}
}

// drawn schedules are played here; a thousand were by hand.
const drawn = 150

func (f *fleet) apply(c Command) Decision {
	f.number++
	c.ProposedAt = f.now
	data, _ := json.Marshal(c)
	f.book.Apply(f.number, data)
	return f.book.History[len(f.book.History)-1]
}

func (f *fleet) run(until float64) {
	for ; f.now < until; f.now += 100 {
		for i := range f.relays {
			zone := six[i%6].Name
			e := Observations{Relay: fmt.Sprint("r", i), Zone: zone, Demand: f.load(f.now,
				zone) / float64((f.relays+5-i%6)/6),
				ByZone: map[string]Observation{}}
			for _, z := range six {
				l := Observation{Attempts: 20, Load: f.load(f.now, z.Name), Capacity: 10}
				l.FailedAttempts = float64(int(20*f.bad(f.now, zone, z.Name) + f.chance.Float64()))
				if f.near {
					if l.HealthChecks = 20; z.Name != zone {
						l.Attempts, l.FailedAttempts = 0, 0
					}
				}
				if f.lies(i) {
					l.FailedAttempts = 20 - l.FailedAttempts
				}
				e.ByZone[z.Name] = l
			}
			if i%10 == int(f.now/100)%10 { // each once a second
				f.judge.AddObservations(f.now, e)
			}
		}
		if c, changed := f.judge.Evaluate(f.now, f.book); changed {
			f.apply(c)
		}
	}
}

func (f *fleet) states() string {
	var all []string
	for _, z := range f.book.EffectiveZones() {
		if z.State != Home {
			all = append(all, fmt.Sprintf("%s %s", z.Name, z.State))
		}
	}
	return strings.Join(all, ", ")
}

func at(zone string, bad, from, until float64) func(float64, string, string) float64 {
	return func(now float64, _, at string) float64 {
		if at == zone && now >= from && now < until {
			return bad
		}
		return 0
	}
}

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		bad   func(now float64, from, at string) float64
		lies  func(relay int) bool
		until float64
		want  string
		most  int // decisions
	}{
		"nothing": {until: 20000, most: 1},
		"a zone lost": {bad: at("b", 1, 5000, 1e9), until: 7500, want: "b emptied",
			most: 2},
		"a zone grey: one in three fails": {bad: at("b", 0.34, 5000, 1e9), until: 9500, want: "b emptied",
			most: 2},
		"one in ten": {bad: at("b", 0.1, 5000, 1e9), until: 30000, most: 1},
		"a moment":   {bad: at("b", 1, 5000, 5500), until: 30000, most: 1},
		"a third of relays lie": {lies: func(i int) bool { return i/6%3 == 0 }, until: 30000,
			most: 1},
		"lost, though a third lie": {bad: at("b", 1, 5000, 1e9),
			lies: func(i int) bool { return i/6%3 == 0 }, until: 8000, want: "b emptied", most: 2},
		"all alike bad: the store": {bad: func(now float64, _, _ string) float64 { return 0.6 },
			until: 30000, most: 1},
		"flaps every 3 s": {bad: func(now float64, _,
			at string) float64 {
			return at1(at == "b" && int(now/3000)%2 == 1)
		}, until: 120000, want: "b emptied",
			most: 4},
		"bad from one zone only: a broken way": {bad: func(now float64, from,
			at string) float64 {
			return at1(from == "a" && at == "b")
		}, until: 30000, most: 1},
		"a zone cut off sees all others bad": {bad: func(now float64, from, at string) float64 {
			return at1((from == "f") != (at == "f"))
		}, until: 8000, want: "f emptied", most: 2},
		"a region lost": {bad: func(now float64, _, at string) float64 { return at1(at >= "d") },
			until: 20000, want: "d emptied, e emptied, f emptied", most: 2},
		"three zones of two regions: a third at the most": {bad: func(now float64, _, at string) float64 {
			return at1(at == "a" || at == "c" || at == "e")
		}, until: 20000, want: "a emptied, c emptied", most: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(36)
			if c.bad != nil {
				f.bad = c.bad
			}
			if c.lies != nil {
				f.lies = c.lies
			}
			f.run(c.until)
			assert.Equal(t, c.want, f.states(), "%+v", f.book.History)
			assert.LessOrEqual(t, len(f.book.History), c.most, "%+v", f.book.History)
		})
	}
}

func at1(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// As traffic stays near, a zone that is grey is seen by its own relays' links alone.
func TestGreyIsSeenAtHome(t *testing.T) {
	f := newFleet(36)
	f.near, f.bad = true, at("b", 0.34, 5000, 1e9)
	f.run(9500)
	assert.Equal(t, "b emptied", f.states())
	f = newFleet(36)
	f.near, f.bad = true, func(_ float64, from, _ string) float64 { return at1(from == "a") / 12 }
	f.run(20000)
	assert.Empty(t, f.states(), "one in twelve is not")
}

// A zone that was lost comes back by steps, each seen as good; one that falls again waits for longer.
func TestReturn(t *testing.T) {
	f := newFleet(36)
	f.bad = at("b", 1, 5000, 10000)
	var seen []string
	for f.now < 40000 {
		f.run(f.now + 100)
		z := f.book.EffectiveZones()[1]
		if text := fmt.Sprintf("%s %.2f", z.State, z.Share); len(seen) == 0 || seen[len(seen)-1] != text {
			seen = append(seen, text)
		}
	}
	assert.Equal(t, []string{"home 1.00", "emptied 0.00", "returning 0.05", "returning 0.20", "returning 0.50",
		"home 1.00"}, seen)
	last := f.book.History[len(f.book.History)-1]
	first := f.judge.health["b"].returnWait
	f.bad = at("b", 1, 41000, 43000)
	f.run(46000)
	assert.Equal(t, "b emptied", f.states())
	assert.Equal(t, 2*first, f.judge.health["b"].returnWait)
	assert.Greater(t, f.book.Number, last.Number)
}

// What a zone has no room for goes near, then further; what nobody has room for is left.
func TestRoom(t *testing.T) {
	f := newFleet(36)
	f.load = func(now float64, zone string) float64 {
		if zone == "a" && now > 5000 {
			return 16
		}
		return 4
	}
	f.run(9000)
	z := f.book.EffectiveZones()[0]
	assert.Equal(t, Spilling, z.State)
	assert.InDelta(t, 0.5, z.Share, 0.03)
	assert.Equal(t, []string{"b", "c"}, []string{z.Diversions[0].Zone, z.Diversions[1].Zone}, "near, as that has room")
	assert.InDelta(t, 0.5, z.Diversions[0].Fraction+z.Diversions[1].Fraction+z.Unserved, 0.03)
	f.load = func(now float64, zone string) float64 {
		if zone == "a" {
			return 16
		}
		return 7.5
	}
	f.run(14000)
	f.load = func(now float64, zone string) float64 { return 5 }
	f.run(20000)
	assert.Empty(t, f.states(), "home again as there is room")

	zones := []Zone{{Name: "a", Region: "n", State: Emptied}, {Name: "b", Region: "n", State: Home, Share: 1},
		{Name: "d", Region: "s", State: Home, Share: 1}}
	demand := map[string]float64{"a": 10, "b": 5, "d": 2}
	divert(zones, demand, map[string]float64{"b": 10, "d": 10})
	assert.InDelta(t, 0.3, zones[0].Diversions[0].Fraction, 1e-9)
	assert.Equal(t, "d", zones[0].Diversions[1].Zone)
	assert.InDelta(t, 0.6, zones[0].Diversions[1].Fraction, 1e-9)
	assert.InDelta(t, 0.1, zones[0].Unserved, 1e-9)
	divert(zones, nil, nil)
	assert.Equal(t, []TrafficShare{{"b", 1}}, zones[0].Diversions, "near, as nothing is known")
}

func TestOrders(t *testing.T) {
	f := newFleet(12)
	f.run(3000)
	give := func(id, zone, do string, force bool) string {
		return f.apply(Command{Order: &OperatorOrder{ID: id, Zone: zone, Action: do, ExpiresAt: 9000, Reason: "work", IssuedBy: "x",
			Force: force},
			Cause: "order"}).Rejection
	}
	before := f.book.Number
	assert.Empty(t, give("1", "b", "empty", false))
	assert.Equal(t, "b emptied", f.states())
	assert.Equal(t, before+1, f.book.Number)
	assert.Empty(t, give("1", "b", "empty", false), "given twice")
	f.run(6000)
	assert.Equal(t, "b emptied", f.states(), "goes before what is judged")
	assert.Equal(t, "a", f.book.EffectiveZones()[1].Diversions[0].Zone)
	assert.Empty(t, give("2", "b", "return", false))
	assert.Empty(t, f.states(), "the later holds")
	assert.Contains(t, give("3", "x", "empty", false), "no such zone")
	assert.Contains(t, give("4", "b", "burn", false), "expected")
	assert.Contains(t, give("", "b", "empty", false), "id")
	assert.Empty(t, give("5", "b", "hold", false))
	f.bad = at("b", 1, 0, 1e9)
	f.run(12000)
	assert.Empty(t, f.states(), "held, though it is bad")
	for _, z := range []string{"a", "c", "d", "e"} {
		assert.Empty(t, give("e"+z, z, "empty", false))
	}
	assert.Empty(t, give("eb", "b", "empty", false))
	assert.Contains(t, give("ef", "f", "empty", false), "no other zone serves")
	assert.Empty(t, give("ef!", "f", "empty", true), "by name")
	assert.Equal(t, f.number, f.book.Number)
	e, there := f.book.DecisionOnOrder("ef")
	assert.True(t, there)
	assert.NotEmpty(t, e.Rejection)
	assert.Len(t, f.book.ExpiredOrderIDs(9000), 6)
	for _, id := range f.book.ExpiredOrderIDs(9000) {
		assert.Empty(t, f.apply(Command{ExpiredOrderID: id}).Rejection)
	}
	assert.NotEmpty(t, f.apply(Command{ExpiredOrderID: "1"}).Rejection)
	assert.Equal(t, "b emptied", f.states(), "as it was judged")
	f.book.Apply(999, []byte("{"))
	assert.Equal(t, "unreadable", f.book.History[len(f.book.History)-1].Rejection)
}

// Whatever is seen: never more than one region or a third of the zones is emptied, one always serves, all
// parts are within the whole, and the same entries make the same book.
func TestAnyEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(12)
		other := &DecisionLog{}
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		var entries [][]byte
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			for i := range 12 {
				e := Observations{Relay: fmt.Sprint("r", i), Zone: six[i%6].Name, ByZone: map[string]Observation{},
					Demand: 30 * chance.Float64()}
				for _, z := range six {
					tries := 20 * chance.Float64()
					e.ByZone[z.Name] = Observation{Attempts: tries, FailedAttempts: tries * float64(chance.Intn(2)),
						Load: 20 * chance.Float64(), Capacity: 10}
				}
				f.judge.AddObservations(f.now, e)
			}
			f.now += 500
			var c Command
			changed := true
			if rapid.IntRange(0, 5).Draw(t, "order") == 0 {
				c.Order = &OperatorOrder{ID: fmt.Sprint(f.now), Zone: rapid.SampledFrom(six).Draw(t, "zone").Name,
					Action: rapid.SampledFrom([]string{"empty", "return", "hold"}).Draw(t, "do")}
			} else {
				c, changed = f.judge.Evaluate(f.now, f.book)
			}
			if changed {
				data, err := json.Marshal(c)
				require.NoError(t, err)
				require.Less(t, len(data), 8000)
				f.number++
				f.book.Apply(f.number, data)
				entries = append(entries, data)
			}
			judged, open := 0, 0
			for _, z := range f.book.PolicyZones {
				if z.State == Emptied {
					judged++
				}
			}
			for _, z := range f.book.EffectiveZones() {
				if z.Share > 0 {
					open++
				}
				sum := z.Share + z.Unserved
				for _, p := range z.Diversions {
					sum += p.Fraction
				}
				require.InDelta(t, 1, sum, 0.02, "%+v", z)
			}
			require.LessOrEqual(t, judged, 3)
			require.True(t, open > 0 || len(f.book.PolicyZones) == 0)
		}
		for i, data := range entries {
			other.Apply(uint64(i+1), data)
			if i == len(entries)/2 {
				again := &DecisionLog{}
				require.NoError(t, again.Restore(other.Snapshot()))
				other = again
			}
		}
		require.JSONEq(t, string(f.book.Snapshot()), string(other.Snapshot()))
	})
}

// Drawn schedules of grey and flapping zones, broken ways, slow stores and relays that lie: no zone is
// emptied that was not bad just before.
func TestNoWrongFailover(t *testing.T) {
	for seed := range int64(drawn) {
		f, chance := newFleet(12), rand.New(rand.NewSource(seed))
		f.near = chance.Intn(2) == 0
		type spell struct {
			zone           string
			from, to, part float64
		}
		var spells []spell
		for range 1 + chance.Intn(3) {
			s := spell{zone: six[chance.Intn(6)].Name, from: 3000 + 15000*chance.Float64(),
				part: 0.3 + 0.7*chance.Float64()}
			on, off := 200+4000*chance.Float64(), 500+4000*chance.Float64()
			for range 1 + chance.Intn(5) {
				s.to = s.from + on
				spells = append(spells, s)
				s.from = s.to + off
			}
		}
		slow, base := 3000+20000*chance.Float64(), 0.07*chance.Float64()
		from, at := six[chance.Intn(6)].Name, six[chance.Intn(6)].Name
		f.bad = func(now float64, by, zone string) float64 {
			worst := base
			for _, s := range spells {
				if s.zone == zone && now >= s.from && now < s.to {
					worst = max(worst, s.part)
				}
			}
			if (now > slow && now < slow+3000) || (by == from && zone == at && from != at) {
				worst = max(worst, 0.5)
			}
			return worst
		}
		liar := chance.Intn(12)
		f.lies = func(relay int) bool { return relay == liar && !f.near }
		f.run(30000)
		for i, e := range f.book.History {
			for k, z := range e.Zones {
				if z.State != Emptied || (i > 0 && f.book.History[i-1].Zones[k].State == Emptied) {
					continue
				}
				just := false
				for _, s := range spells {
					just = just || (s.zone == z.Name && e.ProposedAt > s.from && e.ProposedAt < s.to+4000)
				}
				require.True(t, just, "seed %d: %s emptied at %.0f: %s; %+v", seed, z.Name, e.ProposedAt, z.Reason, spells)
			}
		}
	}
}
