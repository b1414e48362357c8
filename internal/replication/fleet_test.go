package replication

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// This file is a simulated fleet in virtual time: relays with disks, and a network that delays, loses and doubles
// datagrams. Times are ms.

const (
	timeStep       = 0.5
	replicateLimit = 50.0 // of an operation in the tests
)

// testRelay is a relay with a disk.
type testRelay struct {
	*Replicator
	name          string
	zone          string
	format        byte // of its messages; 0: the usual one
	starts        uint64
	down          bool
	paused        bool
	inbox         []datagram
	disk          map[string][]byte
	pendingWrites []*Write // in order, synced as one group
	syncsAt       float64
	wipes         int // times that its disk was lost

	losesSyncedWrites bool // its disk acknowledges a sync, and loses it when the relay is killed
	diskAtStart       map[string][]byte
}

type datagram struct {
	from   string
	data   []byte
	format byte
}

type datagramInFlight struct {
	datagram
	arrivesAt float64
	to        int
}

// route is the way from one relay to another, by their numbers.
type route struct{ from, to int }

// recordHistory is a record, and what came of it.
type recordHistory struct {
	record       Record
	startedAt    float64
	replicatedAt float64 // 0: not yet, or never
	wipesBefore  []int   // of its replicas, as it was replicated
	operations   []porcupine.Operation
	pendingSince map[uint64]float64 // acquisitions without an outcome, by token
	uses         int
	missed       bool // an acquisition failed, and may have used the record

	// Of a marker:
	owner      int
	ownerStart uint64 // the owner's number of starts
	token      uint64
	revoked    bool
}

func newHistory(now float64) *recordHistory {
	return &recordHistory{startedAt: now, pendingSince: map[uint64]float64{}}
}

// testFleet is all relays with the network between them.
type testFleet struct {
	t        *testing.T
	now      float64
	rng      *rand.Rand
	copies   int
	faults   injectedFaults
	relays   []*testRelay
	inFlight []datagramInFlight
	blocked  map[route]bool
	lossRate float64

	histories    map[string]*recordHistory // by key
	replications map[uint64]string         // keys of those under way, by token
	lookups      map[uint64]string         // keys of those under way, by token
	violations   []string
	onOutcome    func(o *Outcome)
}

func newTestFleet(t *testing.T, count, zones, copies int, seed int64, faults injectedFaults) *testFleet {
	t.Helper()
	f := &testFleet{
		t:            t,
		now:          1e6,
		rng:          rand.New(rand.NewSource(seed)),
		copies:       copies,
		faults:       faults,
		blocked:      map[route]bool{},
		histories:    map[string]*recordHistory{},
		replications: map[uint64]string{},
		lookups:      map[uint64]string{},
	}
	for i := range count {
		f.relays = append(f.relays, &testRelay{
			name: fmt.Sprint("n", i),
			zone: fmt.Sprint("z", i%zones),
			disk: map[string][]byte{},
		})
	}
	for i := range count {
		f.startRelay(i)
	}
	f.updateMembers()
	return f
}

func (f *testFleet) startRelay(i int) {
	r := f.relays[i]
	r.starts++
	incarnation := uint64(i+1)*1000 + r.starts
	r.Replicator = New(r.name, incarnation, f.copies, 100000, rand.New(rand.NewSource(f.rng.Int63())))
	r.faults = f.faults
	for name, body := range r.disk {
		r.LoadRecord(f.now, name, body)
	}
	r.down = false
	r.pendingWrites = nil
	r.inbox = nil
}

func (f *testFleet) startAllDown() {
	for i, r := range f.relays {
		r.paused = false
		if r.down {
			f.startRelay(i)
		}
	}
}

// killRelay loses what was not synced.
func (f *testFleet) killRelay(i int) {
	r := f.relays[i]
	r.down = true
	r.pendingWrites = nil
	r.inbox = nil
	if r.losesSyncedWrites {
		r.disk = r.diskAtStart
	}
}

// wipeRelay kills a relay and loses its disk.
func (f *testFleet) wipeRelay(i int) {
	f.killRelay(i)
	f.relays[i].disk = map[string][]byte{}
	f.relays[i].wipes++
}

// losePower kills all relays, and starts them again after a while.
func (f *testFleet) losePower() {
	for i := range f.relays {
		f.killRelay(i)
	}
	f.runUntil(f.now + 100)
	for i := range f.relays {
		f.startRelay(i)
	}
}

// isolate blocks all routes to and from a relay.
func (f *testFleet) isolate(i int) {
	for j := range f.relays {
		f.blocked[route{i, j}] = true
		f.blocked[route{j, i}] = true
	}
}

func (f *testFleet) healNetwork() {
	f.blocked = map[route]bool{}
	f.lossRate = 0
}

// updateMembers tells all relays which are up.
func (f *testFleet) updateMembers() {
	var up []Member
	for i, r := range f.relays {
		if !r.down {
			up = append(up, Member{Name: r.name, Zone: r.zone, Address: fmt.Sprint(i), Incarnation: r.incarnation})
		}
	}
	for _, r := range f.relays {
		if !r.down {
			r.UpdateMembers(up)
		}
	}
}

// relayNumber returns the number of the relay with that name.
func (f *testFleet) relayNumber(name string) int {
	return slices.IndexFunc(f.relays, func(r *testRelay) bool { return r.name == name })
}

func (f *testFleet) relayNamed(name string) *testRelay { return f.relays[f.relayNumber(name)] }

// replicasOf returns the numbers of the relays that a record was replicated at.
func (f *testFleet) replicasOf(record Record) []int {
	var numbers []int
	for _, replica := range record.Replicas {
		numbers = append(numbers, f.relayNumber(replica.Name))
	}
	return numbers
}

// perform does what relay i wants done.
func (f *testFleet) perform(i int, actions []Action) {
	r := f.relays[i]
	for _, action := range actions {
		switch {
		case action.Write != nil:
			if len(r.pendingWrites) == 0 {
				r.syncsAt = f.now + 1 + 2*f.rng.Float64()
			}
			r.pendingWrites = append(r.pendingWrites, action.Write)
		case action.Outcome != nil:
			f.handleOutcome(action.Outcome)
		case action.Data != nil:
			f.send(i, action)
		}
	}
}

// send delays a datagram. One in 15 is doubled; of a lossy network one in ten is very late.
func (f *testFleet) send(from int, action Action) {
	var to int
	fmt.Sscan(action.To, &to)
	for range 1 + f.rng.Intn(15)/14 {
		if f.blocked[route{from, to}] || f.rng.Float64() < f.lossRate {
			continue
		}
		delay := 0.2 + 0.4*f.rng.Float64()
		if f.lossRate > 0 && f.rng.Intn(10) == 0 {
			delay *= 200
		}
		sent := datagram{from: fmt.Sprint(from), data: action.Data, format: f.relays[from].format}
		f.inFlight = append(f.inFlight, datagramInFlight{datagram: sent, arrivesAt: f.now + delay, to: to})
	}
}

func (f *testFleet) handleOutcome(o *Outcome) {
	if f.onOutcome != nil {
		f.onOutcome(o)
	}
	if key, ok := f.replications[o.Token]; ok {
		delete(f.replications, o.Token)
		f.handleReplicated(f.histories[key], o)
		return
	}
	key, ok := f.lookups[o.Token]
	if !ok {
		return
	}
	delete(f.lookups, o.Token)
	history := f.histories[key]
	since := history.pendingSince[o.Token]
	delete(history.pendingSince, o.Token)
	if o.Record.Kind == AttemptMarker || o.Record.Kind == Affinity {
		if o.Err == nil {
			history.record = o.Record
		}
		return
	}
	f.handleLookedUp(key, history, o, since)
}

func (f *testFleet) handleReplicated(history *recordHistory, o *Outcome) {
	if o.Err != nil {
		return
	}
	history.record = o.Record
	history.replicatedAt = f.now
	for _, replica := range o.Record.Replicas {
		history.wipesBefore = append(history.wipesBefore, f.relayNamed(replica.Name).wipes)
	}
}

func (f *testFleet) handleLookedUp(key string, history *recordHistory, o *Outcome, since float64) {
	found := o.Err == nil
	switch {
	case found && !o.Record.Kind.isSingleUse():
		history.record = o.Record
	case found:
		history.uses++
		if history.uses > 1 {
			f.violations = append(f.violations, key+" is used twice")
		}
		if history.replicatedAt > 0 && o.Record.ID != history.record.ID {
			f.violations = append(f.violations, key+" is another record")
		}
	}
	used := errors.Is(o.Err, errAlreadyUsed)
	if found || used {
		history.operations = append(history.operations, porcupine.Operation{
			ClientId: len(history.operations),
			Input:    "acquire",
			Output:   found,
			Call:     int64(since * 1000),
			Return:   int64(f.now*1000) + 1,
		})
	}
	history.missed = history.missed || !found && !used
}

// runUntil passes time.
func (f *testFleet) runUntil(until float64) {
	f.t.Helper()
	for ; f.now < until; f.now += timeStep {
		f.deliver()
		for i, r := range f.relays {
			if !r.down && !r.paused {
				f.stepRelay(i)
			}
		}
	}
}

// deliver puts the datagrams that have arrived into inboxes.
func (f *testFleet) deliver() {
	var left []datagramInFlight
	for _, d := range f.inFlight {
		if d.arrivesAt > f.now {
			left = append(left, d)
		} else if to := f.relays[d.to]; !to.down {
			to.inbox = append(to.inbox, d.datagram)
		}
	}
	f.inFlight = left
}

func (f *testFleet) stepRelay(i int) {
	r := f.relays[i]
	inbox := r.inbox
	r.inbox = nil
	for _, d := range inbox {
		f.receive(i, d)
	}
	if len(r.pendingWrites) > 0 && f.now >= r.syncsAt {
		f.sync(i)
	}
	f.perform(i, r.Tick(f.now))
}

func (f *testFleet) receive(i int, d datagram) {
	r := f.relays[i]
	if d.format != r.format {
		other := append([]byte{formatVersion + 1}, d.data[1:]...)
		_, err := r.HandleMessage(f.now, d.from, other)
		require.ErrorIs(f.t, err, errMalformed)
		return
	}
	actions, err := r.HandleMessage(f.now, d.from, d.data)
	require.NoError(f.t, err)
	f.perform(i, actions)
}

// sync makes the pending writes durable as one group.
func (f *testFleet) sync(i int) {
	r := f.relays[i]
	group := r.pendingWrites
	r.pendingWrites = nil
	for _, write := range group {
		if write.Body == nil {
			delete(r.disk, write.Name)
		} else {
			r.disk[write.Name] = write.Body
		}
	}
	for _, write := range group {
		f.perform(i, r.CompleteWrite(f.now, write))
	}
}

// reserve has relay i replicate a reservation.
func (f *testFleet) reserve(i int, key string, expiresAt float64) {
	f.histories[key] = newHistory(f.now)
	token, actions := f.relays[i].Replicate(f.now, Record{Kind: Reservation, Key: key, ValidFrom: f.now,
		ExpiresAt: expiresAt}, replicateLimit)
	f.replications[token] = key
	f.perform(i, actions)
}

// acquire has relay i acquire the reservation of that key.
func (f *testFleet) acquire(i int, key string) {
	token, actions := f.relays[i].Acquire(f.now, Reservation, key)
	f.lookups[token] = key
	f.histories[key].pendingSince[token] = f.now
	f.perform(i, actions)
}

// storeMarker has relay i replicate a marker.
func (f *testFleet) storeMarker(i int, key string, expiresAt float64) {
	r := f.relays[i]
	token, actions := r.Replicate(f.now, Record{Kind: AttemptMarker, Key: key, ExpiresAt: expiresAt,
		Body: []byte("s")}, replicateLimit)
	history := newHistory(f.now)
	history.owner = i
	history.ownerStart = r.starts
	history.token = token
	f.histories[key] = history
	f.replications[token] = key
	f.perform(i, actions)
}

// lookUpMarker has relay i look up a marker, and returns what it found.
func (f *testFleet) lookUpMarker(i int, key string) Record {
	f.t.Helper()
	return f.lookUp(i, AttemptMarker, key, replicateLimit, 60)
}

// lookUp has relay i look up a record, and returns what it found after a while.
func (f *testFleet) lookUp(i int, kind Kind, key string, timeout, wait float64) Record {
	f.t.Helper()
	found := newHistory(f.now)
	f.histories["looked up"] = found
	token, actions := f.relays[i].Lookup(f.now, kind, key, timeout)
	f.lookups[token] = "looked up"
	f.perform(i, actions)
	f.runUntil(f.now + wait)
	return found.record
}

// lostReplicas counts a record's replicas that lost their disk since it was replicated.
func (f *testFleet) lostReplicas(history *recordHistory) int {
	lost := 0
	for i, replica := range history.record.Replicas {
		if f.relayNamed(replica.Name).wipes != history.wipesBefore[i] {
			lost++
		}
	}
	return lost
}

// isWithinGuarantee reports whether a replicated record must still be there.
func (f *testFleet) isWithinGuarantee(history *recordHistory) bool {
	return history.replicatedAt > 0 && 2*f.lostReplicas(history) < len(history.record.Replicas)
}

// checkMarker looks a marker up in a healthy fleet. It must be found unless it was revoked or too many replicas
// were lost, and must not be found where any relay knows that it was revoked.
func (f *testFleet) checkMarker(i int, key string) {
	f.t.Helper()
	history := f.histories[key]
	isKnownRevoked := false
	for _, r := range f.relays {
		for _, stored := range r.records.withKey(recordKey{AttemptMarker, key}) {
			isKnownRevoked = isKnownRevoked || !stored.isOpen()
		}
	}
	found := f.lookUpMarker(i, key).ID != 0
	switch {
	case f.isWithinGuarantee(history) && !history.revoked && !found:
		f.violations = append(f.violations, key+" is lost")
	case history.revoked && (isKnownRevoked || f.faults.forgetRevoked) && found:
		f.violations = append(f.violations, key+" is revoked, and found")
	}
}

// singleUse is the model that each record's history is checked against: it is acquired once, and an operation that
// ends afterwards finds it used.
var singleUse = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		if output == true {
			return state == false, true
		}
		return state == true, true
	},
}

// checkHistories returns the violations so far, and those of single use.
func (f *testFleet) checkHistories() []string {
	for _, key := range slices.Sorted(maps.Keys(f.histories)) {
		history := f.histories[key]
		operations := slices.Clone(history.operations)
		for _, since := range history.pendingSince { // no outcome: it may have used the record at any time
			operations = append(operations, porcupine.Operation{
				ClientId: len(operations),
				Input:    "acquire",
				Output:   true,
				Call:     int64(since * 1000),
				Return:   math.MaxInt64,
			})
		}
		if history.missed {
			continue // one that failed may have used it
		}
		if len(history.pendingSince) == 0 && !porcupine.CheckOperations(singleUse, operations) {
			f.violations = append(f.violations, fmt.Sprintf("%s: %+v", key, operations))
		}
	}
	return f.violations
}
