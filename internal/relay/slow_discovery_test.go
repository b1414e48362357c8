package relay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// slowDiscovery answers each call after a wait, unless the call is stopped before or its connection was lost.
type slowDiscovery struct {
	waitMillis float64
	lostUntil  float64            // calls that begin before are never answered
	answerAt   map[uint64]float64 // by the ID of an open call
	mostOpen   int
}

// follow opens and stops calls as the relay's effects say.
func (d *slowDiscovery) follow(now float64, effects string) {
	for _, effect := range strings.Split(effects, "; ") {
		words := strings.Fields(effect)
		switch {
		case strings.HasPrefix(effect, "watch "):
			d.keepOnly(numbersAfter(words, "beside"))
			id := numbersAfter(words, "watch")[0]
			d.answerAt[id] = now + d.waitMillis
			if now < d.lostUntil {
				d.answerAt[id] = 1e9
			}
		case strings.HasPrefix(effect, "stop-watch"):
			d.keepOnly(numbersAfter(words, "stop-watches-but"))
		}
	}
	d.mostOpen = max(d.mostOpen, len(d.answerAt))
}

func (d *slowDiscovery) keepOnly(ids []uint64) {
	for id := range d.answerAt {
		if !slices.Contains(ids, id) {
			delete(d.answerAt, id)
		}
	}
}

// numbersAfter returns the numbers that follow the word.
func numbersAfter(words []string, word string) (numbers []uint64) {
	index := slices.Index(words, word)
	if index < 0 {
		return nil
	}
	for _, w := range words[index+1:] {
		if number, err := strconv.ParseUint(w, 10, 64); err == nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// heardAt lets the relay run until discovery has answered a call, and returns when that was.
func (d *slowDiscovery) heardAt(t *testing.T, s *harness, until float64) float64 {
	t.Helper()
	d.answerAt[1] = d.waitMillis // the call of the start
	if d.lostUntil > 0 {
		d.answerAt[1] = 1e9
	}
	for now := 10.0; now <= until; now += 10 {
		d.follow(now, s.handle(now, "tick"))
		for id, at := range d.answerAt {
			if now >= at {
				d.follow(now, s.handle(now, fmt.Sprintf("news %d 1 whole b1=leaving", id)))
				return now
			}
		}
	}
	require.Fail(t, "discovery was never heard")
	return 0
}

// TestSlowDiscoveryIsHeard guards against a relay that never learns of a drain: where each call to discovery waited over
// 3.3 s for its turn, every call was given up and lost its turn. A call whose connection is lost is still noticed: what
// discovery has is known 6 s after it can be reached.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	const told = 6000.0
	for _, fleet := range []struct{ relays, backends int }{{1, 20}, {30, 20}, {30, 5000}} {
		for _, c := range []struct {
			waitMillis, lostUntil, heardBy float64
		}{
			{0, 0, 10}, {3000, 0, 3000}, {4000, 0, 4000}, {5900, 0, 5900}, {8000, 0, 8000}, {15000, 0, 15000}, {30000, 0, 30000},
			{0, 1, told}, {100, 3000, 3000 + told}, {100, 10000, 10000 + told}, {100, 60000, 60000 + told},
			{4000, 1, 4000 + told}, {4000, 5000, 5000 + 4000 + told}, // a call is lost, and the next one has to wait for its turn as well
		} {
			t.Run(fmt.Sprintf("%+v %+v", fleet, c), func(t *testing.T) {
				s := newHarnessOfFleet(t, fleet.relays, fleet.backends)
				discovery := &slowDiscovery{waitMillis: c.waitMillis, lostUntil: c.lostUntil, answerAt: map[uint64]float64{}}
				heardAt := discovery.heardAt(t, s, 100000)
				assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
				assert.LessOrEqual(t, heardAt, c.heardBy)
				assert.LessOrEqual(t, discovery.mostOpen, 1+maxWaitingCalls, "calls in discovery's queue")
				assert.Len(t, discovery.answerAt, 1, "the call that was answered first is kept")
			})
		}
	}
}

// newHarnessOfFleet returns one of that many relays, which knows backends b1, b2 and so on.
func newHarnessOfFleet(t *testing.T, relays, backends int) *harness {
	t.Helper()
	var names []string
	for i := range backends {
		names = append(names, fmt.Sprintf("b%d=active", i+1))
	}
	count := func(text string) string {
		return strings.Replace(text, `"replicas-of-me": 1,`, fmt.Sprintf(`"replicas-of-me": %d, `, relays), 1)
	}
	return newHarness(t, count, 0, names...)
}
