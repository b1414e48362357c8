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

// node is a relay with a disk and a way to each other.
type node struct {
	*Replicator
	name, zone string
	disk       map[string][]byte
	writes     []*Write // on their way there, in order
	syncsAt    float64
	down, stop bool
	wiped      int // times
	lives      uint64
	inbox      []sent
	lies       bool // its disk says that it has synced, and has not
	lied       map[string][]byte
	former     map[uint64]*holding
	form       byte // of its messages; 0: the usual one
}

type sent struct {
	from string
	data []byte
	form byte
}

type flying struct {
	at float64
	to int
	sent
}

// word is one that was given to a client, and what came of it.
type word struct {
	record  Record
	at      float64
	given   float64 // 0: not yet, or without a place
	wiped   []int   // of its holders, as it was made
	used    int
	missed  bool
	owner   int // of a mark: who put it, in which of its lives, and whether it was taken back
	life    uint64
	token   uint64
	over    bool
	ops     []porcupine.Operation
	pending map[uint64]float64
}

type world struct {
	t       *testing.T
	now     float64
	chance  *rand.Rand
	nodes   []*node
	flight  []flying
	cut     map[[2]int]bool
	loss    float64
	words   map[string]*word // by key
	putBy   map[uint64]string
	takenBy map[uint64]string
	faults  Faults
	copies  int
	wrong   []string
	promise []float64 // ms that it took
	told    func(o *Outcome)
}

func newWorld(t *testing.T, count, zones, copies int, seed int64, faults Faults) *world {
	w := &world{t: t, now: 1e6, chance: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{},
		words: map[string]*word{},
		putBy: map[uint64]string{}, takenBy: map[uint64]string{}, copies: copies, faults: faults}
	for i := range count {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones),
			disk: map[string][]byte{}})
	}
	for i := range count {
		w.start(i)
	}
	w.views()
	return w
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.lives++
	n.Replicator = New(n.name, uint64(i+1)*1000+n.lives, w.copies, 100000, rand.New(rand.NewSource(w.chance.Int63())))
	n.faults = w.faults
	for name, body := range n.disk {
		n.LoadRecord(w.now, name, body)
	}
	n.down, n.writes, n.inbox = false, nil, nil
}

// kill loses what was not synced.
func (w *world) kill(i int) {
	n := w.nodes[i]
	if n.down, n.writes, n.inbox = true, nil, nil; n.lies {
		n.disk = n.lied
	}
}

func (w *world) wipe(i int) {
	w.kill(i)
	w.nodes[i].disk = map[string][]byte{}
	w.nodes[i].wiped++
}

// power is lost for all, and back.
func (w *world) power() {
	for i := range w.nodes {
		w.kill(i)
	}
	w.run(w.now + 100)
	for i := range w.nodes {
		w.start(i)
	}
}

// views has all know who is up.
func (w *world) views() {
	var all []Member
	for i, n := range w.nodes {
		if !n.down {
			all = append(all, Member{n.name, n.zone, fmt.Sprint(i), n.life, false})
		}
	}
	for _, n := range w.nodes {
		if !n.down {
			n.UpdateMembers(all)
		}
	}
}

func (w *world) do(i int, acts []Action) {
	n := w.nodes[i]
	for _, a := range acts {
		switch {
		case a.Write != nil:
			if len(n.writes) == 0 {
				n.syncsAt = w.now + 1 + 2*w.chance.Float64()
			}
			n.writes = append(n.writes, a.Write)
		case a.Outcome != nil:
			w.done(i, a.Outcome)
		case a.Data != nil:
			var to int
			fmt.Sscan(a.To, &to)
			for range 1 + w.chance.Intn(15)/14 {
				if !w.cut[[2]int{i, to}] && w.chance.Float64() >= w.loss {
					late := 0.2 + 0.4*w.chance.Float64()
					if w.loss > 0 && w.chance.Intn(10) == 0 {
						late *= 200
					}
					w.flight = append(w.flight, flying{w.now + late, to, sent{fmt.Sprint(i), a.Data, n.form}})
				}
			}
		}
	}
}

func (w *world) done(i int, o *Outcome) {
	if w.told != nil {
		w.told(o)
	}
	if key, put := w.putBy[o.Token]; put {
		delete(w.putBy, o.Token)
		if x := w.words[key]; o.OK {
			x.record, x.given = o.Record, w.now
			w.promise = append(w.promise, w.now-x.at)
			for _, h := range o.Record.Replicas {
				x.wiped = append(x.wiped, w.node(h.Name).wiped)
			}
		}
		return
	}
	key, take := w.takenBy[o.Token]
	if !take {
		return
	}
	x := w.words[key]
	from := x.pending[o.Token]
	delete(x.pending, o.Token)
	delete(w.takenBy, o.Token)
	if o.Record.Kind == AttemptMarker || o.Record.Kind == Affinity {
		if o.OK {
			x.record = o.Record
		}
		return
	}
	if o.OK && !o.Record.Kind.once() {
		x.record = o.Record
	} else if o.OK {
		if x.used++; x.used > 1 {
			w.wrong = append(w.wrong, key+" is used twice")
		}
		if x.given > 0 && o.Record.ID != x.record.ID {
			w.wrong = append(w.wrong, key+" is another record")
		}
	}
	if o.OK || o.Reason == used {
		x.ops = append(x.ops, porcupine.Operation{ClientId: len(x.ops), Input: "take", Output: o.OK,
			Call: int64(from * 1000), Return: int64(w.now*1000) + 1})
	}
	x.missed = x.missed || !o.OK && o.Reason != used
}

func (w *world) node(name string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

func (w *world) run(until float64) {
	for ; w.now < until; w.now += 0.5 {
		flight := w.flight
		w.flight = nil
		for _, f := range flight {
			if f.at > w.now {
				w.flight = append(w.flight, f)
			} else if !w.nodes[f.to].down {
				w.nodes[f.to].inbox = append(w.nodes[f.to].inbox, f.sent)
			}
		}
		for i, n := range w.nodes {
			if n.down || n.stop {
				continue
			}
			inbox := n.inbox
			n.inbox = nil
			for _, m := range inbox {
				if m.form != n.form {
					other := append([]byte{formVersion + 1}, m.data[1:]...)
					_, err := n.HandleMessage(w.now, m.from, other)
					require.Error(w.t, err)
					continue
				}
				acts, err := n.HandleMessage(w.now, m.from, m.data)
				require.NoError(w.t, err)
				w.do(i, acts)
			}
			if len(n.writes) > 0 && w.now >= n.syncsAt { // as one group
				group := n.writes
				n.writes = nil
				for _, s := range group {
					if s.Body == nil {
						delete(n.disk, s.Name)
					} else {
						n.disk[s.Name] = s.Body
					}
				}
				for _, s := range group {
					w.do(i, n.CompleteWrite(w.now, s))
				}
			}
			w.do(i, n.Tick(w.now))
		}
	}
}

// gives has relay i tell a client to come again.
func (w *world) gives(i int, key string, end float64) {
	w.words[key] = &word{at: w.now, pending: map[uint64]float64{}}
	token, acts := w.nodes[i].Replicate(w.now, Record{Kind: Reservation, Key: key, ValidFrom: w.now, ExpiresAt: end}, 50)
	w.putBy[token] = key
	w.do(i, acts)
}

// comes has the client of that key come to relay i.
func (w *world) comes(i int, key string) {
	token, acts := w.nodes[i].Acquire(w.now, Reservation, key)
	w.takenBy[token] = key
	w.words[key].pending[token] = w.now
	w.do(i, acts)
}

// claims is what each record's history is held against: taken once, and whoever is told so afterwards is told
// the truth.
var claims = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		if output == true {
			return state == false, true
		}
		return state == true, true
	},
}

func (w *world) check() []string {
	for _, key := range slices.Sorted(func(yield func(string) bool) {
		for k := range w.words {
			if !yield(k) {
				return
			}
		}
	}) {
		x := w.words[key]
		ops := slices.Clone(x.ops)
		for _, from := range x.pending { // no answer: it may have been taken at any time
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: "take", Output: true,
				Call: int64(from * 1000), Return: math.MaxInt64})
		}
		if x.missed {
			continue // one that gave up half-way may have used it
		}
		if len(x.pending) == 0 && !porcupine.CheckOperations(claims, ops) {
			w.wrong = append(w.wrong, fmt.Sprintf("%s: %+v", key, ops))
		}
	}
	return w.wrong
}

// What a promise names holds: any f of its machines lost with their disks, at once and in the instant after;
// a zone; all power; ways cut; others dying meanwhile.
func TestPromises(t *testing.T) {
	holders := func(w *world) (all []int) {
		for _, h := range w.words["k"].record.Replicas {
			all = append(all, slices.Index(w.nodes, w.node(h.Name)))
		}
		return all
	}
	for name, c := range map[string]struct {
		copies int
		breaks func(w *world)
		lost   bool // beyond what is promised: it may not be found, and is not used twice
	}{
		"nothing": {3, func(*world) {}, false},
		"whoever gave the word is lost with its disk in the instant after": {3, func(w *world) { w.wipe(0) },
			false},
		"one of three holders": {3, func(w *world) { w.wipe(holders(w)[1]) }, false},
		"two of five, at once": {5, func(w *world) { w.wipe(holders(w)[0]); w.wipe(holders(w)[3]) }, false},
		"two of five, and a third starts anew": {5, func(w *world) {
			w.wipe(holders(w)[0])
			w.wipe(holders(w)[3])
			w.kill(holders(w)[1])
			w.run(w.now + 100)
			w.start(holders(w)[1])
		}, false},
		"two of three are beyond it": {3, func(w *world) { w.wipe(holders(w)[0]); w.wipe(holders(w)[1]) }, true},
		"a zone's machines and disks": {3, func(w *world) {
			for i, n := range w.nodes {
				if n.zone == "z1" {
					w.wipe(i)
				}
			}
		}, false},
		"all power": {3, (*world).power, false},
		"a wiped one that returns": {3, func(w *world) {
			i := holders(w)[2]
			w.wipe(i)
			w.run(w.now + 100)
			w.start(i)
		}, false},
		"one cut off": {3, func(w *world) {
			for j := range w.nodes {
				w.cut[[2]int{holders(w)[0], j}], w.cut[[2]int{j, holders(w)[0]}] = true, true
			}
		}, false},
		"a third of all datagrams": {3, func(w *world) { w.loss = 0.33 }, false},
	} {
		for seed := range int64(20) {
			w := newWorld(t, 9, 3, c.copies, seed, Faults{})
			w.gives(0, "k", w.now+5000)
			w.run(w.now + 60)
			require.Positive(t, w.words["k"].given, name)
			c.breaks(w)
			w.run(w.now + 50)
			w.views()
			var up []int
			for i, n := range w.nodes {
				if !n.down && (len(holders(w)) == 0 || name != "one cut off" || i != holders(w)[0]) {
					up = append(up, i)
				}
			}
			w.comes(up[w.chance.Intn(len(up))], "k")
			w.run(w.now + 1100)
			w.comes(up[w.chance.Intn(len(up))], "k") // and again
			w.run(w.now + 1100)
			if !c.lost {
				assert.Equal(t, 1, w.words["k"].used, "%s, seed %d", name, seed)
			}
			assert.Empty(t, w.check(), "%s, seed %d", name, seed)
		}
	}
}

// gone counts a record's holders that were wiped since it was promised.
func (w *world) gone(x *word) (n int) {
	for k, h := range x.record.Replicas {
		if w.node(h.Name).wiped != x.wiped[k] {
			n++
		}
	}
	return n
}

// marks has relay i mark a try of that key's.
func (w *world) marks(i int, key string, end float64) {
	n := w.nodes[i]
	token, acts := n.Replicate(w.now, Record{Kind: AttemptMarker, Key: key, ExpiresAt: end, Body: []byte("s")}, 50)
	w.words[key] = &word{at: w.now, pending: map[uint64]float64{}, owner: i, life: n.lives, token: token}
	w.putBy[token] = key
	w.do(i, acts)
}

// findsMark holds a mark against what was promised, all being whole: it is found unless it was taken back, or
// more of its holders were wiped than it bears; and is not where anybody knows that it is over.
func (w *world) findsMark(i int, key string) {
	x := w.words[key]
	known := false
	for _, n := range w.nodes {
		for _, id := range n.byKey[keyOf(AttemptMarker, key)] {
			known = known || !n.records[id].open()
		}
	}
	found := w.seeks(i, key).record.ID != 0
	switch {
	case x.given > 0 && !x.over && 2*w.gone(x) < len(x.record.Replicas) && !found:
		w.wrong = append(w.wrong, key+" is lost")
	case x.over && (known || w.faults.Drops) && found:
		w.wrong = append(w.wrong, key+" is over, and found")
	}
}

// chaos plays a schedule that a seed draws: words given, clients that come to two relays at one instant,
// machines killed, stopped, wiped one at a time, ways cut and lossy. At the end all is whole again, and what
// was promised and is neither used nor had more of its machines wiped than it bears is found.
func chaos(t *testing.T, count int, seed int64, faults Faults, lies bool) []string {
	chance := rand.New(rand.NewSource(seed))
	w := newWorld(t, count, 3, 3+2*int(seed%2), seed, faults)
	if lies {
		for _, n := range w.nodes {
			n.lies, n.lied = true, map[string][]byte{}
		}
	}
	var keys, marks []string
	end := w.now + 20000
	up := func() int {
		for {
			if i := chance.Intn(count); !w.nodes[i].down && !w.nodes[i].stop {
				return i
			}
		}
	}
	for range 25 {
		for range 4 {
			key := fmt.Sprint("k", len(keys))
			keys = append(keys, key)
			w.gives(up(), key, end)
		}
		for range 2 {
			key := fmt.Sprint("m", len(marks))
			marks = append(marks, key)
			w.marks(up(), key, end)
		}
		if x := w.words[marks[chance.Intn(len(marks))]]; chance.Intn(2) == 0 && !w.nodes[x.owner].down {
			if n := w.nodes[x.owner]; n.lives == x.life && !n.stop {
				x.over = true
				w.do(x.owner, n.Revoke(w.now, x.token))
			}
		}
		for range 4 {
			key := keys[chance.Intn(len(keys))]
			w.comes(up(), key)
			if chance.Intn(2) == 0 {
				w.comes(up(), key)
			}
		}
		i := chance.Intn(count)
		away := 0
		for _, n := range w.nodes {
			if n.down || n.stop {
				away++
			}
		}
		switch n := w.nodes[i]; chance.Intn(9) {
		case 0:
			if away < count/2 {
				w.kill(i)
			}
		case 1:
			if away < count/2 {
				n.stop = true
			}
		case 2:
			for j := range w.nodes {
				if chance.Intn(2) == 0 {
					w.cut[[2]int{i, j}] = true
				}
			}
		case 3:
			w.loss = 0.4 * chance.Float64()
		case 4:
			if away == 0 && chance.Intn(3) == 0 {
				w.wipe(i)
			}
		case 5:
			w.cut, w.loss = map[[2]int]bool{}, 0
		case 6: // all power
			if chance.Intn(3) == 0 {
				for j := range w.nodes {
					w.kill(j)
				}
				for j := range w.nodes {
					w.start(j)
				}
			}
		default:
			for j, n := range w.nodes {
				if n.stop = false; n.down {
					w.start(j)
				}
			}
		}
		w.run(w.now + 5 + 100*chance.Float64())
		if chance.Intn(2) == 0 {
			w.views()
		}
	}
	w.cut, w.loss = map[[2]int]bool{}, 0
	for j, n := range w.nodes {
		if n.stop = false; n.down {
			w.start(j)
		}
	}
	w.run(w.now + 1100)
	w.views()
	for _, key := range marks {
		w.findsMark(up(), key)
	}
	for _, key := range keys {
		x := w.words[key]
		if x.given == 0 || x.used > 0 || x.missed || len(x.ops)+len(x.pending) > 0 {
			continue // without a place; or somebody gave up or died half-way and may have used it
		}
		if 2*w.gone(x) >= len(x.record.Replicas) {
			continue
		}
		w.comes(up(), key)
		w.run(w.now + 30)
		if x.used == 0 {
			w.wrong = append(w.wrong, key+" is lost")
		}
	}
	return w.check()
}

const drawn = 60 // a thousand were by hand

func TestChaos(t *testing.T) {
	for seed := range int64(drawn) {
		require.Empty(t, chaos(t, 9, seed, Faults{}, false), "seed %d", seed)
	}
	require.Empty(t, chaos(t, 60, 1, Faults{}, false))
	if !testing.Short() {
		require.Empty(t, chaos(t, 300, 1, Faults{}, false))
	}
}

// instant has all power go in the instant in which a client is told.
func instant(t *testing.T, seed int64, faults Faults) []string {
	w := newWorld(t, 9, 3, 3, seed, faults)
	w.gives(0, "k", w.now+5000)
	for until := w.now + 60; w.now < until && w.words["k"].given == 0; {
		w.run(w.now + 0.5)
	}
	for i := range w.nodes {
		w.kill(i)
	}
	for i := range w.nodes {
		w.start(i)
	}
	w.views()
	w.comes(1, "k")
	w.run(w.now + 1100)
	if w.words["k"].used != 1 {
		return []string{"lost"}
	}
	return w.check()
}

// A check that a planted fault does not trip is none.
func TestPlantedFaultsAreSeen(t *testing.T) {
	drawn := func(lies bool) func(*testing.T, int64, Faults) []string {
		return func(t *testing.T, seed int64, faults Faults) []string { return chaos(t, 9, seed, faults, lies) }
	}
	for name, c := range map[string]struct {
		faults Faults
		play   func(t *testing.T, seed int64, faults Faults) []string
	}{
		"nothing":                                           {Faults{}, instant},
		"acknowledged before the sync":                      {Faults{Early: true}, instant},
		"a copy counted twice":                              {Faults{Doubled: true}, drawn(false)},
		"a used record forgotten too early":                 {Faults{Forgets: true}, drawn(false)},
		"a mark that is over forgotten too early":           {Faults{Drops: true}, drawn(false)},
		"disks that say they synced, and lose it at a kill": {Faults{}, drawn(true)},
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
func TestOrders(t *testing.T) {
	w := newWorld(t, 9, 3, 3, 1, Faults{})
	for version := uint64(1); version <= 3; version++ {
		_, acts := w.nodes[int(version)].Replicate(w.now, Record{Kind: OperatorOrder, Key: "relay-1", Version: version,
			ExpiresAt: w.now + 1e6,
			Body:      []byte{byte(version)}}, 50)
		w.do(int(version), acts)
		w.run(w.now + 60)
	}
	held := 0
	for _, n := range w.nodes {
		for _, h := range n.records {
			assert.Equal(t, uint64(3), h.Version, "older ones make room")
			held++
		}
	}
	assert.Equal(t, 3, held)
	for i, n := range w.nodes[:3] {
		w.wipe(8 - i)
		token, acts := n.Lookup(w.now, OperatorOrder, "relay-1", 1000)
		w.words["order"] = &word{pending: map[uint64]float64{}}
		w.takenBy[token] = "order"
		w.do(i, acts)
		w.run(w.now + 1100)
		assert.Equal(t, uint64(3), w.words["order"].record.Version, "relay %d", i)
	}
}

// seeks has relay i seek a mark, and gives what became of it.
func (w *world) seeks(i int, key string) *word {
	x := &word{pending: map[uint64]float64{}}
	w.words["sought"] = x
	token, acts := w.nodes[i].Lookup(w.now, AttemptMarker, key, 50)
	w.takenBy[token] = "sought"
	w.do(i, acts)
	w.run(w.now + 60)
	return x
}

// A mark is found at any relay until its owner takes it back, whoever is lost or cut off meanwhile within the
// promise; and one that was taken back is never found, whatever of it comes late, twice or never.
func TestMarks(t *testing.T) {
	for name, c := range map[string]struct {
		copies int
		over   bool // it is taken back
		breaks func(w *world, holders []int)
	}{
		"nothing":                   {3, false, func(*world, []int) {}},
		"its owner lost":            {3, false, func(w *world, _ []int) { w.wipe(0) }},
		"one of three holders":      {3, false, func(w *world, h []int) { w.wipe(h[1]) }},
		"two of five":               {5, false, func(w *world, h []int) { w.wipe(h[0]); w.wipe(h[4]) }},
		"all power":                 {3, false, func(w *world, _ []int) { w.power() }},
		"taken back":                {3, true, func(*world, []int) {}},
		"taken back, and all power": {3, true, func(w *world, _ []int) { w.power() }},
		"taken back, unheard by two": {3, true, func(w *world, h []int) {
			w.nodes[h[0]].records, w.nodes[h[2]].records = w.nodes[h[0]].former, w.nodes[h[2]].former
		}},
	} {
		for seed := range int64(20) {
			w := newWorld(t, 9, 3, c.copies, seed, Faults{})
			token, acts := w.nodes[0].Replicate(w.now, Record{Kind: AttemptMarker, Key: "k", ExpiresAt: w.now + 5000, Body: []byte("s")},
				50)
			r := w.nodes[0].mine[token]
			w.words["mark"] = &word{pending: map[uint64]float64{}}
			w.putBy[token] = "mark"
			w.do(0, acts)
			w.run(w.now + 60)
			require.Positive(t, w.words["mark"].given, name)
			var holders []int
			for _, h := range r.Replicas {
				i := slices.Index(w.nodes, w.node(h.Name))
				holders = append(holders, i)
				w.nodes[i].former = map[uint64]*holding{r.ID: {Record: r}}
			}
			if c.over {
				w.do(0, w.nodes[0].Revoke(w.now, token))
				w.run(w.now + 60)
			}
			c.breaks(w, holders)
			w.views()
			i := 1
			for w.nodes[i].down {
				i++
			}
			x := w.seeks(i, "k")
			assert.Equal(t, !c.over, x.record.ID == r.ID, "%s, seed %d", name, seed)
		}
	}
}

// What has it held may come after what takes it back: then it is over as well.
func TestMarkIsTakenBackFirst(t *testing.T) {
	w := newWorld(t, 9, 3, 3, 1, Faults{})
	token, acts := w.nodes[0].Replicate(w.now, Record{Kind: AttemptMarker, Key: "k", ExpiresAt: w.now + 5000}, 50)
	w.do(0, w.nodes[0].Revoke(w.now, token))
	w.run(w.now + 60)
	w.do(0, acts)
	w.run(w.now + 60)
	assert.Zero(t, w.seeks(3, "k").record.ID)
	w.run(w.now + 5000 + keptPast + 2000)
	for i, n := range w.nodes {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Empty(t, n.mine, "relay %d", i)
	}
}

// Hints lie in memory, the latest is found at any relay, and a flood neither washes them out nor takes more
// than one owner's part, nor room from what is promised.
func TestHints(t *testing.T) {
	w := newWorld(t, 9, 3, 3, 1, Faults{})
	hint := func(i int, key, where string) uint64 {
		token, acts := w.nodes[i].Replicate(w.now, Record{Kind: Affinity, Key: key, Version: uint64(w.now), ValidFrom: w.now,
			ExpiresAt: w.now + 60000, Body: []byte(where)}, 50)
		w.do(i, acts)
		return token
	}
	for _, n := range w.nodes {
		n.most = 72 // so 18 hints, 8 of one owner
	}
	hint(0, "k", "s1")
	w.run(w.now + 60)
	token := hint(1, "k", "s2")
	w.run(w.now + 60)
	for i := range 200 {
		hint(2, fmt.Sprint("flood", i), "s")
		w.run(w.now + 2)
	}
	w.run(w.now + 60)
	for i, n := range w.nodes {
		assert.LessOrEqual(t, n.hinted["n2"], 8, "relay %d", i)
		assert.Equal(t, len(n.records), n.hintSum, "relay %d", i)
		assert.Empty(t, n.disk, "relay %d", i)
	}
	seek := func() string {
		x := &word{pending: map[uint64]float64{}}
		w.words["sought"] = x
		token, acts := w.nodes[5].Lookup(w.now, Affinity, "k", 8)
		w.takenBy[token] = "sought"
		w.do(5, acts)
		w.run(w.now + 20)
		return string(x.record.Body)
	}
	assert.Equal(t, "s2", seek())
	w.do(1, w.nodes[1].Revoke(w.now, token))
	w.run(w.now + 20)
	assert.Empty(t, seek())
	w.run(w.now + 60000 + keptPast + 2000)
	for i, n := range w.nodes {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Zero(t, n.hintSum+len(n.hinted), "relay %d", i)
	}
}

// Many places lie under one key, and its clients come at one instant, at any relay: each place is used once,
// and all of them have one.
func TestHotKey(t *testing.T) {
	for seed := range int64(10) {
		w := newWorld(t, 9, 3, 3, seed, Faults{})
		ids, taken := map[uint64]bool{}, 0
		for i := range 30 {
			w.words[fmt.Sprint("word", i)] = &word{pending: map[uint64]float64{}}
			token, acts := w.nodes[i%9].Replicate(w.now, Record{Kind: Reservation, Key: "hot", ValidFrom: w.now, ExpiresAt: w.now + 5000}, 50)
			w.putBy[token] = fmt.Sprint("word", i)
			w.do(i%9, acts)
		}
		w.run(w.now + 60)
		w.words["hot"] = &word{pending: map[uint64]float64{}}
		w.told = func(o *Outcome) {
			if o.OK && w.takenBy[o.Token] == "hot" {
				assert.False(t, ids[o.Record.ID], "used twice")
				ids[o.Record.ID] = true
				taken++
			}
		}
		for range 4 {
			for range 10 {
				w.comes(w.chance.Intn(9), "hot")
			}
			w.run(w.now + 300)
		}
		assert.Equal(t, 30, taken, "seed %d", seed)
	}
}

// A relay that says that it holds what it does not, or tells of what nobody was promised, is one of f: what
// is promised is found and used once, and what it makes up is nobody's.
func TestLiar(t *testing.T) {
	for seed := range int64(20) {
		w := newWorld(t, 9, 3, 3, seed, Faults{})
		w.gives(0, "k", w.now+5000)
		w.run(w.now + 60)
		require.Positive(t, w.words["k"].given)
		liar := w.node(w.words["k"].record.Replicas[seed%3].Name)
		liar.DiscardAll()
		made := Record{Kind: Reservation, Key: "made", ID: 7, ValidFrom: w.now, ExpiresAt: w.now + 5000, Owner: liar.name,
			Replicas: []Replica{{liar.name, liar.life}}}
		if seed%2 == 0 {
			made.Replicas = append(made.Replicas, Replica{"n0", w.nodes[0].life}, Replica{"n1", w.nodes[1].life})
		}
		for _, n := range w.nodes { // it says so to whoever asks
			if n == liar || seed%4 > 1 {
				n.hints[keyOf(Reservation, "made")] = made
			}
		}
		liar.add(&holding{Record: made})
		w.words["made"] = &word{pending: map[uint64]float64{}}
		w.comes(4, "k")
		w.comes(5, "made")
		w.run(w.now + 1100)
		assert.Equal(t, 1, w.words["k"].used, "seed %d", seed)
		assert.Zero(t, w.words["made"].used, "seed %d", seed)
	}
}

// Two forms of messages in one fleet, as relays are replaced one after the other by a build that speaks
// another: no promise is made between them, none that was made is used twice, and once all are replaced all
// is as before.
func TestTwoForms(t *testing.T) {
	for seed := range int64(10) {
		w := newWorld(t, 9, 3, 3, seed, Faults{})
		alone := 0
		for i := range 9 {
			for k := range 4 {
				key := fmt.Sprint("k", i, k)
				w.gives(w.chance.Intn(9), key, w.now+3000)
				w.run(w.now + 60)
				if w.words[key].given == 0 {
					alone++
				}
				w.comes(w.chance.Intn(9), key)
				w.comes(w.chance.Intn(9), key)
			}
			w.kill(i)
			w.run(w.now + 100)
			w.nodes[i].form = 2
			w.start(i)
			w.views()
		}
		w.run(w.now + 1100)
		assert.Empty(t, w.check(), "seed %d", seed)
		assert.Positive(t, alone, "seed %d", seed)
		w.gives(1, "last", w.now+3000)
		w.run(w.now + 60)
		w.comes(7, "last")
		w.run(w.now + 60)
		assert.Equal(t, 1, w.words["last"].used, "seed %d", seed)
	}
}

// Who comes too early has its place when it comes again, and who comes after its end has none.
func TestPlaceIsForItsTime(t *testing.T) {
	w := newWorld(t, 9, 3, 3, 1, Faults{})
	token, acts := w.nodes[0].Replicate(w.now, Record{Kind: Reservation, Key: "k", ValidFrom: w.now + 1000, ExpiresAt: w.now + 1700}, 50)
	w.words["k"], w.putBy[token] = &word{at: w.now, pending: map[uint64]float64{}}, "k"
	w.do(0, acts)
	for _, c := range []struct{ after, used float64 }{{400, 0}, {400, 1}, {1500, 1}} {
		w.run(w.now + c.after)
		w.comes(5, "k")
		w.run(w.now + 50)
		assert.Equal(t, int(c.used), w.words["k"].used)
	}
	w.run(w.now + keptPast + 2000)
	for i, n := range w.nodes {
		assert.Empty(t, n.records, "relay %d", i)
		assert.Empty(t, n.disk, "relay %d", i)
	}
}

func FuzzHeard(f *testing.F) {
	m := message{What: put, Token: 1, From: "x", Life: 2, Ballot: ballot{1, 2}, Taken: ballot{3, 4},
		Records: []Record{{
			Kind: Reservation, Key: "k", ID: 7, Version: 1, Owner: "o", ValidFrom: 5, ExpiresAt: 6, Body: []byte("b"),
			Replicas: []Replica{{"h", 1}, {"i", 2}}}}}
	f.Add(m.text())
	f.Add([]byte{formVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := New("h", 1, 3, 10, rand.New(rand.NewSource(1)))
		acts, err := c.HandleMessage(1, "x", data)
		if err != nil {
			require.Empty(t, acts)
			return
		}
		again, err := readMessage(data)
		require.NoError(t, err)
		same, err := readMessage(again.text())
		require.NoError(t, err)
		require.Equal(t, again, same)
		c.LoadRecord(1, nameOf(7), data)
		c.Tick(2)
	})
}

// BenchmarkHold is what a holder spends on one place: to hold it, to be bound and to accept, without the
// disk.
func BenchmarkHold(b *testing.B) {
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
		for _, w := range []what{put, bind, accept} {
			m := message{What: w, Token: 9, From: "relay-17", Life: 1 << 60, Ballot: ballot{1, 9}, By: 9,
				Records: []Record{r}}
			acts, err := c.HandleMessage(now, "x", m.text())
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

// BenchmarkHeld is what a place takes in a holder's memory, with very many of them there; and what one look
// over all costs.
func BenchmarkHeld(b *testing.B) {
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
			m := message{What: put, Token: 9, From: "relay-17", Life: 1 << 60, Records: []Record{r}}
			c.HandleMessage(now, "x", m.text())
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
		c.looks(now, 7, c.there())
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/look")
		began = time.Now()
		c.Tick(now + 1)
		b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms/tick")
	}
}
