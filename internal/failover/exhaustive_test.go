package failover

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Every order of six entries: each leaves a picture that serves, whose parts come to the whole, and a book
// that was restored anywhere says the same.
func TestAllSmallBooks(t *testing.T) {
	zones := func(bState State, bShare float64) []Zone {
		all := []Zone{{Name: "a", State: Home, Share: 1}, {Name: "b", State: bState, Share: bShare}}
		divert(all, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 2, "b": 2})
		return all
	}
	order := func(id, zone, do string, force bool) Command {
		return Command{Order: &OperatorOrder{ID: id, Zone: zone, Action: do, Force: force}}
	}
	commands := []Command{{Zones: zones(Home, 1)}, {Zones: zones(Emptied, 0)}, order("1", "a", "empty", false),
		order("2", "b", "empty", false), order("3", "a", "return", false), order("4", "a", "hold", false),
		{ExpiredOrderID: "1"},
		{Zones: []Zone{{Name: "a", State: Emptied}}}}
	var entries [][]byte
	for _, c := range commands {
		data, err := json.Marshal(c)
		require.NoError(t, err)
		entries = append(entries, data)
	}
	books := 0
	var walk func(disk []byte, number uint64)
	walk = func(disk []byte, number uint64) {
		for k, data := range entries {
			b := &DecisionLog{}
			require.NoError(t, b.Restore(disk))
			was := b.Number
			b.Apply(number, data)
			if books++; b.Number < was || (b.Number != was && b.Number != number) {
				assert.Fail(t, "its number goes back", "%+v", b)
			}
			open := len(b.PolicyZones) == 0
			for _, z := range b.EffectiveZones() {
				sum := z.Share + z.Unserved
				for _, p := range z.Diversions {
					sum += p.Fraction
				}
				open = open || z.Share > 0
				if math.Abs(sum-1) > 0.02 {
					assert.Fail(t, "parts", "%+v", b.History)
				}
			}
			if !open {
				assert.Fail(t, "no zone serves, and nobody forced it", "by %d: %+v", k, b.History)
			}
			if number < 5 && !t.Failed() {
				walk(b.Snapshot(), number+1)
			}
		}
	}
	walk([]byte("{}"), 1)
	assert.Greater(t, books, 30000)
}

// Every order of words, kept or not, of time that goes by and starts anew: a relay never goes back in number,
// goes by nothing that is not on its disk, and by nothing for longer than two lives.
func TestAllSmallFollowers(t *testing.T) {
	zones := []Zone{{Name: "a", State: Home, Share: 1}}
	type relay struct {
		f      Follower
		now    float64
		disk   []byte             // durable
		writes []byte             // on its way there
		number uint64             // gone by, in all lives
		told   map[uint64]float64 // when the latest word of each number was true
	}
	for name, faulty := range map[string]bool{"as it is": false, "acts before it is kept": true} {
		wrong, plays := "", 0
		check := func(r *relay) {
			zones, number := r.f.Current(r.now)
			if zones == nil {
				return
			}
			var k persistedDecision
			json.Unmarshal(r.disk, &k)
			switch {
			case number < r.number:
				wrong = fmt.Sprintf("back from %d to %d", r.number, number)
			case number > k.Number:
				wrong = fmt.Sprintf("by %d, which is on no disk", number)
			case r.now > r.told[number]+2*DecisionTTL:
				wrong = fmt.Sprintf("by %d for too long", number)
			}
			r.number = max(r.number, number)
		}
		var walk func(r relay, left int)
		walk = func(r relay, left int) {
			if plays++; left == 0 || wrong != "" {
				return
			}
			for k := range 9 {
				n := r
				n.f.rng = rand.New(rand.NewSource(1))
				n.told = map[uint64]float64{}
				maps.Copy(n.told, r.told)
				switch number := uint64(k%3 + 1); {
				case k < 6: // a word of one of three numbers, new or nearly run out
					age := 4500 * float64(k/3)
					if n.f.pending != nil { // a copy, as the follower changes it
						next := *n.f.pending
						n.f.pending = &next
					}
					n.told[number] = max(n.told[number], n.now-age)
					if data := n.f.Receive(n.now, Announcement{Number: number, Zones: zones, AgeMillis: age}); data != nil {
						n.writes = data
						if faulty {
							n.f.ConfirmPersisted(n.now, number)
						}
					}
				case k == 6: // the disk has it
					if n.writes == nil {
						continue
					}
					var d persistedDecision
					json.Unmarshal(n.writes, &d)
					n.disk, n.writes = n.writes, nil
					n.f.ConfirmPersisted(n.now, d.Number)
				case k == 7:
					n.now += 3000
				case k == 8: // power is lost, what was on its way with it
					n.f, n.writes = *NewFollower(n.f.rng), nil
					n.f.Restore(n.disk)
				}
				check(&n)
				walk(n, left-1)
			}
		}
		walk(relay{f: *NewFollower(nil), now: 1, told: map[uint64]float64{}}, 5)
		t.Logf("%s: %d orders, %s", name, plays, wrong)
		assert.Equal(t, faulty, wrong != "", "%s: %s", name, wrong)
	}
}
