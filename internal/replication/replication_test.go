package replication

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testRelay is a relay with a disk and a way to each other.
type testRelay struct {
	*Replicator
	name, zone        string
	disk              map[string][]byte
	pendingWrites     []*Write // on their way there, in order
	syncsAt           float64
	down, paused      bool
	wipes             int // times
	starts            uint64
	inbox             []datagram
	losesSyncedWrites bool // its disk says that it has synced, and has not
	diskAtStart       map[string][]byte
	earlierRecords    map[uint64]*storedRecord
	format            byte // of its messages; 0: the usual one
}

type datagram struct {
	from   string
	data   []byte
	format byte
}

type datagramInFlight struct {
	at float64
	to int
	datagram
}

// recordHistory is one that was given to a client, and what came of it.
type recordHistory struct {
	record       Record
	startedAt    float64
	replicatedAt float64 // 0: not yet, or without a place
	wipesBefore  []int   // of its holders, as it was made
	uses         int
	missed       bool
	owner        int // of a mark: who put it, in which of its lives, and whether it was taken back
	ownerStart   uint64
	token        uint64
	revoked      bool
	operations   []porcupine.Operation
	pendingSince map[uint64]float64
}

type testFleet struct {
	t                 *testing.T
	now               float64
	rng               *rand.Rand
	relays            []*testRelay
	inFlight          []datagramInFlight
	blocked           map[[2]int]bool
	lossRate          float64
	histories         map[string]*recordHistory // by key
	replications      map[uint64]string
	lookups           map[uint64]string
	faults            injectedFaults
	copies            int
	violations        []string
	replicationMillis []float64 // ms that it took
	onOutcome         func(o *Outcome)
}

func newTestFleet(t *testing.T, count, zones, copies int, seed int64, faults injectedFaults) *testFleet {
	w := &testFleet{t: t, now: 1e6, rng: rand.New(rand.NewSource(seed)), blocked: map[[2]int]bool{},
		histories:    map[string]*recordHistory{},
		replications: map[uint64]string{}, lookups: map[uint64]string{}, copies: copies, faults: faults}
	for i := range count {
		w.relays = append(w.relays, &testRelay{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones),
			disk: map[string][]byte{}})
	}
	for i := range count {
		w.startRelay(i)
	}
	w.updateMembers()
	return w
}

func (w *testFleet) startRelay(i int) {
	n := w.relays[i]
	n.starts++
	n.Replicator = New(n.name, uint64(i+1)*1000+n.starts, w.copies, 100000, rand.New(rand.NewSource(w.rng.Int63())))
	n.faults = w.faults
	for name, body := range n.disk {
		n.LoadRecord(w.now, name, body)
	}
	n.down, n.pendingWrites, n.inbox = false, nil, nil
}

// killRelay loses what was not synced.
func (w *testFleet) killRelay(i int) {
	n := w.relays[i]
	if n.down, n.pendingWrites, n.inbox = true, nil, nil; n.losesSyncedWrites {
		n.disk = n.diskAtStart
	}
}

func (w *testFleet) wipeRelay(i int) {
	w.killRelay(i)
	w.relays[i].disk = map[string][]byte{}
	w.relays[i].wipes++
}

// losePower is lost for all, and back.
func (w *testFleet) losePower() {
	for i := range w.relays {
		w.killRelay(i)
	}
	w.runUntil(w.now + 100)
	for i := range w.relays {
		w.startRelay(i)
	}
}

// updateMembers has all know who is up.
func (w *testFleet) updateMembers() {
	var all []Member
	for i, n := range w.relays {
		if !n.down {
			all = append(all, Member{n.name, n.zone, fmt.Sprint(i), n.incarnation, false})
		}
	}
	for _, n := range w.relays {
		if !n.down {
			n.UpdateMembers(all)
		}
	}
}

func (w *testFleet) perform(i int, acts []Action) {
	n := w.relays[i]
	for _, a := range acts {
		switch {
		case a.Write != nil:
			if len(n.pendingWrites) == 0 {
				n.syncsAt = w.now + 1 + 2*w.rng.Float64()
			}
			n.pendingWrites = append(n.pendingWrites, a.Write)
		case a.Outcome != nil:
			w.handleOutcome(i, a.Outcome)
		case a.Data != nil:
			var to int
			fmt.Sscan(a.To, &to)
			for range 1 + w.rng.Intn(15)/14 {
				if !w.blocked[[2]int{i, to}] && w.rng.Float64() >= w.lossRate {
					late := 0.2 + 0.4*w.rng.Float64()
					if w.lossRate > 0 && w.rng.Intn(10) == 0 {
						late *= 200
					}
					w.inFlight = append(w.inFlight, datagramInFlight{w.now + late, to, datagram{fmt.Sprint(i), a.Data, n.format}})
				}
			}
		}
	}
}

func (w *testFleet) handleOutcome(i int, o *Outcome) {
	if w.onOutcome != nil {
		w.onOutcome(o)
	}
	if key, put := w.replications[o.Token]; put {
		delete(w.replications, o.Token)
		if x := w.histories[key]; o.OK {
			x.record, x.replicatedAt = o.Record, w.now
			w.replicationMillis = append(w.replicationMillis, w.now-x.startedAt)
			for _, h := range o.Record.Replicas {
				x.wipesBefore = append(x.wipesBefore, w.relayNamed(h.Name).wipes)
			}
		}
		return
	}
	key, take := w.lookups[o.Token]
	if !take {
		return
	}
	x := w.histories[key]
	from := x.pendingSince[o.Token]
	delete(x.pendingSince, o.Token)
	delete(w.lookups, o.Token)
	if o.Record.Kind == AttemptMarker || o.Record.Kind == Affinity {
		if o.OK {
			x.record = o.Record
		}
		return
	}
	if o.OK && !o.Record.Kind.isSingleUse() {
		x.record = o.Record
	} else if o.OK {
		if x.uses++; x.uses > 1 {
			w.violations = append(w.violations, key+" is used twice")
		}
		if x.replicatedAt > 0 && o.Record.ID != x.record.ID {
			w.violations = append(w.violations, key+" is another record")
		}
	}
	if o.OK || o.Reason == reasonUsed {
		x.operations = append(x.operations, porcupine.Operation{ClientId: len(x.operations), Input: "take", Output: o.OK,
			Call: int64(from * 1000), Return: int64(w.now*1000) + 1})
	}
	x.missed = x.missed || !o.OK && o.Reason != reasonUsed
}

func (w *testFleet) relayNamed(name string) *testRelay {
	return w.relays[slices.IndexFunc(w.relays, func(n *testRelay) bool { return n.name == name })]
}

func (w *testFleet) runUntil(until float64) {
	for ; w.now < until; w.now += 0.5 {
		flight := w.inFlight
		w.inFlight = nil
		for _, f := range flight {
			if f.at > w.now {
				w.inFlight = append(w.inFlight, f)
			} else if !w.relays[f.to].down {
				w.relays[f.to].inbox = append(w.relays[f.to].inbox, f.datagram)
			}
		}
		for i, n := range w.relays {
			if n.down || n.paused {
				continue
			}
			inbox := n.inbox
			n.inbox = nil
			for _, m := range inbox {
				if m.format != n.format {
					other := append([]byte{formatVersion + 1}, m.data[1:]...)
					_, err := n.HandleMessage(w.now, m.from, other)
					require.Error(w.t, err)
					continue
				}
				acts, err := n.HandleMessage(w.now, m.from, m.data)
				require.NoError(w.t, err)
				w.perform(i, acts)
			}
			if len(n.pendingWrites) > 0 && w.now >= n.syncsAt { // as one group
				group := n.pendingWrites
				n.pendingWrites = nil
				for _, s := range group {
					if s.Body == nil {
						delete(n.disk, s.Name)
					} else {
						n.disk[s.Name] = s.Body
					}
				}
				for _, s := range group {
					w.perform(i, n.CompleteWrite(w.now, s))
				}
			}
			w.perform(i, n.Tick(w.now))
		}
	}
}

// reserve has relay i tell a client to come again.
func (w *testFleet) reserve(i int, key string, end float64) {
	w.histories[key] = &recordHistory{startedAt: w.now, pendingSince: map[uint64]float64{}}
	token, acts := w.relays[i].Replicate(w.now, Record{Kind: Reservation, Key: key, ValidFrom: w.now, ExpiresAt: end}, 50)
	w.replications[token] = key
	w.perform(i, acts)
}

// acquire has the client of that key come to relay i.
func (w *testFleet) acquire(i int, key string) {
	token, acts := w.relays[i].Acquire(w.now, Reservation, key)
	w.lookups[token] = key
	w.histories[key].pendingSince[token] = w.now
	w.perform(i, acts)
}

// singleUse is what each record's history is held against: taken once, and whoever is told so afterwards is told
// the truth.
var singleUse = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		if output == true {
			return state == false, true
		}
		return state == true, true
	},
}

func (w *testFleet) checkHistories() []string {
	for _, key := range slices.Sorted(func(yield func(string) bool) {
		for k := range w.histories {
			if !yield(k) {
				return
			}
		}
	}) {
		x := w.histories[key]
		ops := slices.Clone(x.operations)
		for _, from := range x.pendingSince { // no answer: it may have been taken at any time
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: "take", Output: true,
				Call: int64(from * 1000), Return: math.MaxInt64})
		}
		if x.missed {
			continue // one that gave up half-way may have used it
		}
		if len(x.pendingSince) == 0 && !porcupine.CheckOperations(singleUse, ops) {
			w.violations = append(w.violations, fmt.Sprintf("%s: %+v", key, ops))
		}
	}
	return w.violations
}

// What a promise names holds: any f of its machines lost with their disks, at once and in the instant after;
// a zone; all power; ways cut; others dying meanwhile.
func TestDurableRecordSurvivesLosses(t *testing.T) {
	holders := func(w *testFleet) (all []int) {
		for _, h := range w.histories["k"].record.Replicas {
			all = append(all, slices.Index(w.relays, w.relayNamed(h.Name)))
		}
		return all
	}
	for name, c := range map[string]struct {
		copies int
		breaks func(w *testFleet)
		lost   bool // beyond what is promised: it may not be found, and is not used twice
	}{
		"nothing": {3, func(*testFleet) {}, false},
		"whoever gave the word is lost with its disk in the instant after": {3, func(w *testFleet) { w.wipeRelay(0) },
			false},
		"one of three holders": {3, func(w *testFleet) { w.wipeRelay(holders(w)[1]) }, false},
		"two of five, at once": {5, func(w *testFleet) { w.wipeRelay(holders(w)[0]); w.wipeRelay(holders(w)[3]) }, false},
		"two of five, and a third starts anew": {5, func(w *testFleet) {
			w.wipeRelay(holders(w)[0])
			w.wipeRelay(holders(w)[3])
			w.killRelay(holders(w)[1])
			w.runUntil(w.now + 100)
			w.startRelay(holders(w)[1])
		}, false},
		"two of three are beyond it": {3, func(w *testFleet) { w.wipeRelay(holders(w)[0]); w.wipeRelay(holders(w)[1]) }, true},
		"a zone's machines and disks": {3, func(w *testFleet) {
			for i, n := range w.relays {
				if n.zone == "z1" {
					w.wipeRelay(i)
				}
			}
		}, false},
		"all power": {3, (*testFleet).losePower, false},
		"a wiped one that returns": {3, func(w *testFleet) {
			i := holders(w)[2]
			w.wipeRelay(i)
			w.runUntil(w.now + 100)
			w.startRelay(i)
		}, false},
		"one cut off": {3, func(w *testFleet) {
			for j := range w.relays {
				w.blocked[[2]int{holders(w)[0], j}], w.blocked[[2]int{j, holders(w)[0]}] = true, true
			}
		}, false},
		"a third of all datagrams": {3, func(w *testFleet) { w.lossRate = 0.33 }, false},
	} {
		for seed := range int64(20) {
			w := newTestFleet(t, 9, 3, c.copies, seed, injectedFaults{})
			w.reserve(0, "k", w.now+5000)
			w.runUntil(w.now + 60)
			require.Positive(t, w.histories["k"].replicatedAt, name)
			c.breaks(w)
			w.runUntil(w.now + 50)
			w.updateMembers()
			var up []int
			for i, n := range w.relays {
				if !n.down && (len(holders(w)) == 0 || name != "one cut off" || i != holders(w)[0]) {
					up = append(up, i)
				}
			}
			w.acquire(up[w.rng.Intn(len(up))], "k")
			w.runUntil(w.now + 1100)
			w.acquire(up[w.rng.Intn(len(up))], "k") // and again
			w.runUntil(w.now + 1100)
			if !c.lost {
				assert.Equal(t, 1, w.histories["k"].uses, "%s, seed %d", name, seed)
			}
			assert.Empty(t, w.checkHistories(), "%s, seed %d", name, seed)
		}
	}
}

// lostReplicas counts a record's holders that were wiped since it was promised.
func (w *testFleet) lostReplicas(x *recordHistory) (n int) {
	for k, h := range x.record.Replicas {
		if w.relayNamed(h.Name).wipes != x.wipesBefore[k] {
			n++
		}
	}
	return n
}

// storeMarker has relay i mark a try of that key's.
func (w *testFleet) storeMarker(i int, key string, end float64) {
	n := w.relays[i]
	token, acts := n.Replicate(w.now, Record{Kind: AttemptMarker, Key: key, ExpiresAt: end, Body: []byte("s")}, 50)
	w.histories[key] = &recordHistory{startedAt: w.now, pendingSince: map[uint64]float64{}, owner: i, ownerStart: n.starts, token: token}
	w.replications[token] = key
	w.perform(i, acts)
}

// checkMarker holds a mark against what was promised, all being whole: it is found unless it was taken back, or
// more of its holders were wiped than it bears; and is not where anybody knows that it is over.
func (w *testFleet) checkMarker(i int, key string) {
	x := w.histories[key]
	known := false
	for _, n := range w.relays {
		for _, id := range n.byKey[indexKey(AttemptMarker, key)] {
			known = known || !n.records[id].isOpen()
		}
	}
	found := w.lookUpMarker(i, key).record.ID != 0
	switch {
	case x.replicatedAt > 0 && !x.revoked && 2*w.lostReplicas(x) < len(x.record.Replicas) && !found:
		w.violations = append(w.violations, key+" is lost")
	case x.revoked && (known || w.faults.forgetRevoked) && found:
		w.violations = append(w.violations, key+" is over, and found")
	}
}

// playRandomSchedule plays a schedule that a seed draws: words given, clients that come to two relays at one instant,
// machines killed, stopped, wiped one at a time, ways cut and lossy. At the end all is whole again, and what
// was promised and is neither used nor had more of its machines wiped than it bears is found.
func playRandomSchedule(t *testing.T, count int, seed int64, faults injectedFaults, lies bool) []string {
	chance := rand.New(rand.NewSource(seed))
	w := newTestFleet(t, count, 3, 3+2*int(seed%2), seed, faults)
	if lies {
		for _, n := range w.relays {
			n.losesSyncedWrites, n.diskAtStart = true, map[string][]byte{}
		}
	}
	var keys, marks []string
	end := w.now + 20000
	up := func() int {
		for {
			if i := chance.Intn(count); !w.relays[i].down && !w.relays[i].paused {
				return i
			}
		}
	}
	for range 25 {
		for range 4 {
			key := fmt.Sprint("k", len(keys))
			keys = append(keys, key)
			w.reserve(up(), key, end)
		}
		for range 2 {
			key := fmt.Sprint("m", len(marks))
			marks = append(marks, key)
			w.storeMarker(up(), key, end)
		}
		if x := w.histories[marks[chance.Intn(len(marks))]]; chance.Intn(2) == 0 && !w.relays[x.owner].down {
			if n := w.relays[x.owner]; n.starts == x.ownerStart && !n.paused {
				x.revoked = true
				w.perform(x.owner, n.Revoke(w.now, x.token))
			}
		}
		for range 4 {
			key := keys[chance.Intn(len(keys))]
			w.acquire(up(), key)
			if chance.Intn(2) == 0 {
				w.acquire(up(), key)
			}
		}
		i := chance.Intn(count)
		away := 0
		for _, n := range w.relays {
			if n.down || n.paused {
				away++
			}
		}
		switch n := w.relays[i]; chance.Intn(9) {
		case 0:
			if away < count/2 {
				w.killRelay(i)
			}
		case 1:
			if away < count/2 {
				n.paused = true
			}
		case 2:
			for j := range w.relays {
				if chance.Intn(2) == 0 {
					w.blocked[[2]int{i, j}] = true
				}
			}
		case 3:
			w.lossRate = 0.4 * chance.Float64()
		case 4:
			if away == 0 && chance.Intn(3) == 0 {
				w.wipeRelay(i)
			}
		case 5:
			w.blocked, w.lossRate = map[[2]int]bool{}, 0
		case 6: // all power
			if chance.Intn(3) == 0 {
				for j := range w.relays {
					w.killRelay(j)
				}
				for j := range w.relays {
					w.startRelay(j)
				}
			}
		default:
			for j, n := range w.relays {
				if n.paused = false; n.down {
					w.startRelay(j)
				}
			}
		}
		w.runUntil(w.now + 5 + 100*chance.Float64())
		if chance.Intn(2) == 0 {
			w.updateMembers()
		}
	}
	w.blocked, w.lossRate = map[[2]int]bool{}, 0
	for j, n := range w.relays {
		if n.paused = false; n.down {
			w.startRelay(j)
		}
	}
	w.runUntil(w.now + 1100)
	w.updateMembers()
	for _, key := range marks {
		w.checkMarker(up(), key)
	}
	for _, key := range keys {
		x := w.histories[key]
		if x.replicatedAt == 0 || x.uses > 0 || x.missed || len(x.operations)+len(x.pendingSince) > 0 {
			continue // without a place; or somebody gave up or died half-way and may have used it
		}
		if 2*w.lostReplicas(x) >= len(x.record.Replicas) {
			continue
		}
		w.acquire(up(), key)
		w.runUntil(w.now + 30)
		if x.uses == 0 {
			w.violations = append(w.violations, key+" is lost")
		}
	}
	return w.checkHistories()
}

const randomSchedules = 60 // a thousand were by hand

func TestRandomSchedules(t *testing.T) {
	for seed := range int64(randomSchedules) {
		require.Empty(t, playRandomSchedule(t, 9, seed, injectedFaults{}, false), "seed %d", seed)
	}
	require.Empty(t, playRandomSchedule(t, 60, 1, injectedFaults{}, false))
	if !testing.Short() {
		require.Empty(t, playRandomSchedule(t, 300, 1, injectedFaults{}, false))
	}
}

// losePowerAtReply has all power go in the instant in which a client is told.
func losePowerAtReply(t *testing.T, seed int64, faults injectedFaults) []string {
	w := newTestFleet(t, 9, 3, 3, seed, faults)
	w.reserve(0, "k", w.now+5000)
	for until := w.now + 60; w.now < until && w.histories["k"].replicatedAt == 0; {
		w.runUntil(w.now + 0.5)
	}
	for i := range w.relays {
		w.killRelay(i)
	}
	for i := range w.relays {
		w.startRelay(i)
	}
	w.updateMembers()
	w.acquire(1, "k")
	w.runUntil(w.now + 1100)
	if w.histories["k"].uses != 1 {
		return []string{"lost"}
	}
	return w.checkHistories()
}

// A check that a planted fault does not trip is none.
func TestInjectedFaultsAreDetected(t *testing.T) {
	drawn := func(lies bool) func(*testing.T, int64, injectedFaults) []string {
		return func(t *testing.T, seed int64, faults injectedFaults) []string {
			return playRandomSchedule(t, 9, seed, faults, lies)
		}
	}
	for name, c := range map[string]struct {
		faults injectedFaults
		play   func(t *testing.T, seed int64, faults injectedFaults) []string
	}{
		"nothing":                                           {injectedFaults{}, losePowerAtReply},
		"acknowledged before the sync":                      {injectedFaults{ackBeforeSync: true}, losePowerAtReply},
		"a copy counted twice":                              {injectedFaults{countDuplicates: true}, drawn(false)},
		"a used record forgotten too early":                 {injectedFaults{forgetUsed: true}, drawn(false)},
		"a mark that is over forgotten too early":           {injectedFaults{forgetRevoked: true}, drawn(false)},
		"disks that say they synced, and lose it at a kill": {injectedFaults{}, drawn(true)},
	} {
		seen := int64(-1)
		for seed := range int64(100) {
			if len(c.play(t, seed, c.faults)) > 0 {
				seen = seed
				break
			}
		}
		assert.Equal(t, name != "nothing", seen >= 0, name)
	}
}

// What holds by its version is read as it was promised last, by any relay, with holders lost.
func TestLatestOrderIsRead(t *testing.T) {
	w := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	for version := uint64(1); version <= 3; version++ {
		_, acts := w.relays[int(version)].Replicate(w.now, Record{Kind: OperatorOrder, Key: "relay-1", Version: version,
			ExpiresAt: w.now + 1e6,
			Body:      []byte{byte(version)}}, 50)
		w.perform(int(version), acts)
		w.runUntil(w.now + 60)
	}
	held := 0
	for _, n := range w.relays {
		for _, h := range n.records {
			assert.Equal(t, uint64(3), h.Version, "older ones make room")
			held++
		}
	}
	assert.Equal(t, 3, held)
	for i, n := range w.relays[:3] {
		w.wipeRelay(8 - i)
		token, acts := n.Lookup(w.now, OperatorOrder, "relay-1", 1000)
		w.histories["order"] = &recordHistory{pendingSince: map[uint64]float64{}}
		w.lookups[token] = "order"
		w.perform(i, acts)
		w.runUntil(w.now + 1100)
		assert.Equal(t, uint64(3), w.histories["order"].record.Version, "relay %d", i)
	}
}

// lookUpMarker has relay i seek a mark, and gives what became of it.
func (w *testFleet) lookUpMarker(i int, key string) *recordHistory {
	x := &recordHistory{pendingSince: map[uint64]float64{}}
	w.histories["sought"] = x
	token, acts := w.relays[i].Lookup(w.now, AttemptMarker, key, 50)
	w.lookups[token] = "sought"
	w.perform(i, acts)
	w.runUntil(w.now + 60)
	return x
}

// A mark is found at any relay until its owner takes it back, whoever is lost or cut off meanwhile within the
// promise; and one that was taken back is never found, whatever of it comes late, twice or never.
func TestMarkerIsFoundUntilRevoked(t *testing.T) {
	for name, c := range map[string]struct {
		copies int
		over   bool // it is taken back
		breaks func(w *testFleet, holders []int)
	}{
		"nothing":                   {3, false, func(*testFleet, []int) {}},
		"its owner lost":            {3, false, func(w *testFleet, _ []int) { w.wipeRelay(0) }},
		"one of three holders":      {3, false, func(w *testFleet, h []int) { w.wipeRelay(h[1]) }},
		"two of five":               {5, false, func(w *testFleet, h []int) { w.wipeRelay(h[0]); w.wipeRelay(h[4]) }},
		"all power":                 {3, false, func(w *testFleet, _ []int) { w.losePower() }},
		"taken back":                {3, true, func(*testFleet, []int) {}},
		"taken back, and all power": {3, true, func(w *testFleet, _ []int) { w.losePower() }},
		"taken back, unheard by two": {3, true, func(w *testFleet, h []int) {
			w.relays[h[0]].records, w.relays[h[2]].records = w.relays[h[0]].earlierRecords, w.relays[h[2]].earlierRecords
		}},
	} {
		for seed := range int64(20) {
			w := newTestFleet(t, 9, 3, c.copies, seed, injectedFaults{})
			token, acts := w.relays[0].Replicate(w.now, Record{Kind: AttemptMarker, Key: "k", ExpiresAt: w.now + 5000, Body: []byte("s")},
				50)
			r := w.relays[0].revocable[token]
			w.histories["mark"] = &recordHistory{pendingSince: map[uint64]float64{}}
			w.replications[token] = "mark"
			w.perform(0, acts)
			w.runUntil(w.now + 60)
			require.Positive(t, w.histories["mark"].replicatedAt, name)
			var holders []int
			for _, h := range r.Replicas {
				i := slices.Index(w.relays, w.relayNamed(h.Name))
				holders = append(holders, i)
				w.relays[i].earlierRecords = map[uint64]*storedRecord{r.ID: {Record: r}}
			}
			if c.over {
				w.perform(0, w.relays[0].Revoke(w.now, token))
				w.runUntil(w.now + 60)
			}
			c.breaks(w, holders)
			w.updateMembers()
			i := 1
			for w.relays[i].down {
				i++
			}
			x := w.lookUpMarker(i, "k")
			assert.Equal(t, !c.over, x.record.ID == r.ID, "%s, seed %d", name, seed)
		}
	}
}

// What has it held may come after what takes it back: then it is over as well.
func TestMarkerRevokedBeforeItIsStored(t *testing.T) {
	w := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	token, acts := w.relays[0].Replicate(w.now, Record{Kind: AttemptMarker, Key: "k", ExpiresAt: w.now + 5000}, 50)
	w.perform(0, w.relays[0].Revoke(w.now, token))
	w.runUntil(w.now + 60)
	w.perform(0, acts)
	w.runUntil(w.now + 60)
	assert.Zero(t, w.lookUpMarker(3, "k").record.ID)
	w.runUntil(w.now + 5000 + retentionMillis + 2000)
	for i, n := range w.relays {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Empty(t, n.revocable, "relay %d", i)
	}
}

// Hints lie in memory, the latest is found at any relay, and a flood neither washes them out nor takes more
// than one owner's part, nor room from what is promised.
func TestBestEffortRecords(t *testing.T) {
	w := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	hint := func(i int, key, where string) uint64 {
		token, acts := w.relays[i].Replicate(w.now, Record{Kind: Affinity, Key: key, Version: uint64(w.now), ValidFrom: w.now,
			ExpiresAt: w.now + 60000, Body: []byte(where)}, 50)
		w.perform(i, acts)
		return token
	}
	for _, n := range w.relays {
		n.maxRecords = 72 // so 18 hints, 8 of one owner
	}
	hint(0, "k", "s1")
	w.runUntil(w.now + 60)
	token := hint(1, "k", "s2")
	w.runUntil(w.now + 60)
	for i := range 200 {
		hint(2, fmt.Sprint("flood", i), "s")
		w.runUntil(w.now + 2)
	}
	w.runUntil(w.now + 60)
	for i, n := range w.relays {
		assert.LessOrEqual(t, n.bestEffortByOwner["n2"], 8, "relay %d", i)
		assert.Equal(t, len(n.records), n.bestEffortCount, "relay %d", i)
		assert.Empty(t, n.disk, "relay %d", i)
	}
	seek := func() string {
		x := &recordHistory{pendingSince: map[uint64]float64{}}
		w.histories["sought"] = x
		token, acts := w.relays[5].Lookup(w.now, Affinity, "k", 8)
		w.lookups[token] = "sought"
		w.perform(5, acts)
		w.runUntil(w.now + 20)
		return string(x.record.Body)
	}
	assert.Equal(t, "s2", seek())
	w.perform(1, w.relays[1].Revoke(w.now, token))
	w.runUntil(w.now + 20)
	assert.Empty(t, seek())
	w.runUntil(w.now + 60000 + retentionMillis + 2000)
	for i, n := range w.relays {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Zero(t, n.bestEffortCount+len(n.bestEffortByOwner), "relay %d", i)
	}
}

// Many places lie under one key, and its clients come at one instant, at any relay: each place is used once,
// and all of them have one.
func TestManyReservationsOfOneKey(t *testing.T) {
	for seed := range int64(10) {
		w := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		ids, taken := map[uint64]bool{}, 0
		for i := range 30 {
			w.histories[fmt.Sprint("word", i)] = &recordHistory{pendingSince: map[uint64]float64{}}
			token, acts := w.relays[i%9].Replicate(w.now, Record{Kind: Reservation, Key: "hot", ValidFrom: w.now, ExpiresAt: w.now + 5000}, 50)
			w.replications[token] = fmt.Sprint("word", i)
			w.perform(i%9, acts)
		}
		w.runUntil(w.now + 60)
		w.histories["hot"] = &recordHistory{pendingSince: map[uint64]float64{}}
		w.onOutcome = func(o *Outcome) {
			if o.OK && w.lookups[o.Token] == "hot" {
				assert.False(t, ids[o.Record.ID], "used twice")
				ids[o.Record.ID] = true
				taken++
			}
		}
		for range 4 {
			for range 10 {
				w.acquire(w.rng.Intn(9), "hot")
			}
			w.runUntil(w.now + 300)
		}
		assert.Equal(t, 30, taken, "seed %d", seed)
	}
}

// A relay that says that it holds what it does not, or tells of what nobody was promised, is one of f: what
// is promised is found and used once, and what it makes up is nobody's.
func TestFaultyReplica(t *testing.T) {
	for seed := range int64(20) {
		w := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		w.reserve(0, "k", w.now+5000)
		w.runUntil(w.now + 60)
		require.Positive(t, w.histories["k"].replicatedAt)
		liar := w.relayNamed(w.histories["k"].record.Replicas[seed%3].Name)
		liar.DiscardAll()
		made := Record{Kind: Reservation, Key: "made", ID: 7, ValidFrom: w.now, ExpiresAt: w.now + 5000, Owner: liar.name,
			Replicas: []Replica{{liar.name, liar.incarnation}}}
		if seed%2 == 0 {
			made.Replicas = append(made.Replicas, Replica{"n0", w.relays[0].incarnation}, Replica{"n1", w.relays[1].incarnation})
		}
		for _, n := range w.relays { // it says so to whoever asks
			if n == liar || seed%4 > 1 {
				n.locations[indexKey(Reservation, "made")] = made
			}
		}
		liar.insert(&storedRecord{Record: made})
		w.histories["made"] = &recordHistory{pendingSince: map[uint64]float64{}}
		w.acquire(4, "k")
		w.acquire(5, "made")
		w.runUntil(w.now + 1100)
		assert.Equal(t, 1, w.histories["k"].uses, "seed %d", seed)
		assert.Zero(t, w.histories["made"].uses, "seed %d", seed)
	}
}

// Two forms of messages in one fleet, as relays are replaced one after the other by a build that speaks
// another: no promise is made between them, none that was made is used twice, and once all are replaced all
// is as before.
func TestTwoMessageFormats(t *testing.T) {
	for seed := range int64(10) {
		w := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		alone := 0
		for i := range 9 {
			for k := range 4 {
				key := fmt.Sprint("k", i, k)
				w.reserve(w.rng.Intn(9), key, w.now+3000)
				w.runUntil(w.now + 60)
				if w.histories[key].replicatedAt == 0 {
					alone++
				}
				w.acquire(w.rng.Intn(9), key)
				w.acquire(w.rng.Intn(9), key)
			}
			w.killRelay(i)
			w.runUntil(w.now + 100)
			w.relays[i].format = 2
			w.startRelay(i)
			w.updateMembers()
		}
		w.runUntil(w.now + 1100)
		assert.Empty(t, w.checkHistories(), "seed %d", seed)
		assert.Positive(t, alone, "seed %d", seed)
		w.reserve(1, "last", w.now+3000)
		w.runUntil(w.now + 60)
		w.acquire(7, "last")
		w.runUntil(w.now + 60)
		assert.Equal(t, 1, w.histories["last"].uses, "seed %d", seed)
	}
}

// Who comes too early has its place when it comes again, and who comes after its end has none.
func TestReservationIsForItsTime(t *testing.T) {
	w := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	token, acts := w.relays[0].Replicate(w.now, Record{Kind: Reservation, Key: "k", ValidFrom: w.now + 1000, ExpiresAt: w.now + 1700}, 50)
	w.histories["k"], w.replications[token] = &recordHistory{startedAt: w.now, pendingSince: map[uint64]float64{}}, "k"
	w.perform(0, acts)
	for _, c := range []struct{ after, used float64 }{{400, 0}, {400, 1}, {1500, 1}} {
		w.runUntil(w.now + c.after)
		w.acquire(5, "k")
		w.runUntil(w.now + 50)
		assert.Equal(t, int(c.used), w.histories["k"].uses)
	}
	w.runUntil(w.now + retentionMillis + 2000)
	for i, n := range w.relays {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Empty(t, n.disk, "relay %d", i)
	}
}

func FuzzHandleMessage(f *testing.F) {
	m := message{Type: messageStore, Token: 1, From: "x", Incarnation: 2, Ballot: ballot{1, 2}, AcceptedBallot: ballot{3, 4},
		Records: []Record{{
			Kind: Reservation, Key: "k", ID: 7, Version: 1, Owner: "o", ValidFrom: 5, ExpiresAt: 6, Body: []byte("b"),
			Replicas: []Replica{{"h", 1}, {"i", 2}}}}}
	f.Add(m.encode())
	f.Add([]byte{formatVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := New("h", 1, 3, 10, rand.New(rand.NewSource(1)))
		acts, err := c.HandleMessage(1, "x", data)
		if err != nil {
			require.Empty(t, acts)
			return
		}
		again, err := decodeMessage(data)
		require.NoError(t, err)
		same, err := decodeMessage(again.encode())
		require.NoError(t, err)
		require.Equal(t, again, same)
		c.LoadRecord(1, recordName(7), data)
		c.Tick(2)
	})
}

// BenchmarkReplicaOperations is what a holder spends on one place: to hold it, to be bound and to accept, without the
// disk.
func BenchmarkReplicaOperations(b *testing.B) {
	c := New("h", 1, 3, 1<<30, rand.New(rand.NewSource(1)))
	now, bytes := 1e6, 0
	saved := func(acts []Action) {
		for _, a := range acts {
			if a.Write != nil {
				bytes += len(a.Write.Body)
				for _, back := range c.CompleteWrite(now, a.Write) {
					bytes += len(back.Data)
				}
			}
		}
	}
	for i := range b.N {
		r := Record{Kind: Reservation, Key: fmt.Sprintf("%016x", i), ID: uint64(i + 1), Owner: "relay-17", ValidFrom: now + 500,
			ExpiresAt: now + 1200, Replicas: []Replica{{"h", 1}, {"relay-203", 1 << 60}, {"relay-77", 1 << 61}}}
		for _, w := range []messageType{messageStore, messagePrepare, messageAccept} {
			m := message{Type: w, Token: 9, From: "relay-17", Incarnation: 1 << 60, Ballot: ballot{1, 9}, Claimant: 9,
				Records: []Record{r}}
			acts, err := c.HandleMessage(now, "x", m.encode())
			if err != nil {
				b.Fatal(err)
			}
			saved(acts)
		}
		if now += 0.02; i%1000 == 999 {
			c.Tick(now)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/place")
}

// BenchmarkManyRecords is what a place takes in a holder's memory, with very many of them there; and what one look
// over all costs.
func BenchmarkManyRecords(b *testing.B) {
	const many = 1000000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, now := New("h", 1, 3, 1<<30, rand.New(rand.NewSource(1))), 1e6
		for i := range many {
			r := Record{Kind: Reservation, Key: fmt.Sprintf("%016x", i), ID: uint64(i + 1), Owner: "relay-17", ValidFrom: now + 5e5,
				ExpiresAt: now + 5e5 + float64(i%1000), Replicas: []Replica{{"h", 1}, {"relay-203", 1 << 60}, {"relay-77",
					1 << 61}}}
			m := message{Type: messageStore, Token: 9, From: "relay-17", Incarnation: 1 << 60, Records: []Record{r}}
			c.HandleMessage(now, "x", m.encode())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/many, "bytes/record")
		began := time.Now()
		c.Status(now)
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/status")
		began = time.Now()
		c.Page(now, 7)
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/page")
		began = time.Now()
		c.scan(now, 7, c.memberNames())
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/look")
		began = time.Now()
		c.Tick(now + 1)
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/tick")
	}
}
