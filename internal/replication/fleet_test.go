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

// This file simulates a fleet in virtual time: relays with disks, and a network that delays, loses and duplicates
// datagrams. Times are in ms.

const (
	timeStep         = 0.5
	operationTimeout = 50.0 // timeout of replications and lookups in the tests
)

// testRelay is a relay with a simulated disk.
type testRelay struct {
	*Replicator
	name          string
	zone          string
	format        byte // format of its messages; only relays with the same value understand each other
	starts        uint64
	down          bool
	paused        bool
	inbox         []datagram
	disk          map[string][]byte
	pendingWrites []*Write // writes to be synced together, in order
	syncsAt       float64
	wipes         int // how many times its disk was lost

	losesSyncedWrites bool // its disk acknowledges syncs, but loses the data when the relay is killed
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

// route is the network path from one relay to another, by their indexes.
type route struct{ from, to int }

// recordHistory is what the tests know about one record and the operations on it.
type recordHistory struct {
	record             Record
	startedAt          float64
	replicatedAt       float64 // 0 if the replication has not succeeded
	wipesAtReplication []int   // wipes of each of its replicas when it was replicated
	operations         []porcupine.Operation
	pendingSince       map[uint64]float64 // start times of acquisitions without an outcome, by token
	uses               int                // successful acquisitions
	inconclusive       bool               // an acquisition failed in a way that may still have used the record

	// These fields are set for markers only.
	owner      int    // index of the relay that owns it
	ownerStart uint64 // the owner's number of starts when it replicated the marker
	token      uint64 // token of its replication
	revoked    bool
}

func newHistory(now float64) *recordHistory {
	return &recordHistory{startedAt: now, pendingSince: map[uint64]float64{}}
}

// testFleet is a simulated fleet: all relays and the network between them.
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

	histories    map[string]*recordHistory // histories of the records, by key
	replications map[uint64]string         // keys of the replications under way, by token
	lookups      map[uint64]string         // keys of the lookups and acquisitions under way, by token
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

// resumeAllRelays starts the relays that are down and resumes those that are paused.
func (f *testFleet) resumeAllRelays() {
	for i, r := range f.relays {
		r.paused = false
		if r.down {
			f.startRelay(i)
		}
	}
}

// killRelay kills a relay, which loses its unsynced writes.
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

// losePower kills all relays and starts them again 100 ms later.
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

// updateMembers gives all relays that are up the list of those that are up.
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

// relayNumber returns the index of the relay with that name.
func (f *testFleet) relayNumber(name string) int {
	return slices.IndexFunc(f.relays, func(r *testRelay) bool { return r.name == name })
}

func (f *testFleet) relayNamed(name string) *testRelay { return f.relays[f.relayNumber(name)] }

// replicasOf returns the indexes of a record's replicas.
func (f *testFleet) replicasOf(record Record) []int {
	var numbers []int
	for _, replica := range record.Replicas {
		numbers = append(numbers, f.relayNumber(replica.Name))
	}
	return numbers
}

// perform carries out the actions of relay i.
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

// send sends a datagram with a delay, unless it is lost. One in 15 datagrams is duplicated. If the network is lossy,
// one in ten is delayed 200 times as long.
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
		history.wipesAtReplication = append(history.wipesAtReplication, f.relayNamed(replica.Name).wipes)
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
			f.violations = append(f.violations, key+" was acquired twice")
		}
		if history.replicatedAt > 0 && o.Record.ID != history.record.ID {
			f.violations = append(f.violations, key+": another record than the replicated one was acquired")
		}
	}
	outcome, until := unknown, math.Inf(1)
	switch {
	case found:
		outcome, until = acquired, f.now
	case errors.Is(o.Err, errAlreadyUsed):
		outcome, until = alreadyUsed, f.now
	default:
		history.inconclusive = true
	}
	history.operations = append(history.operations, newAcquisition(len(history.operations), outcome, since, until))
}

// runUntil runs the simulation up to a point in time.
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

// deliver moves the datagrams that have arrived into the inboxes of relays that are up.
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
		otherFormat := append([]byte{formatVersion + 1}, d.data[1:]...)
		_, err := r.HandleMessage(f.now, d.from, otherFormat)
		require.ErrorIs(f.t, err, errMalformed)
		return
	}
	actions, err := r.HandleMessage(f.now, d.from, d.data)
	require.NoError(f.t, err)
	f.perform(i, actions)
}

// sync makes all pending writes of a relay durable together.
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

// reserve makes relay i replicate a reservation.
func (f *testFleet) reserve(i int, key string, expiresAt float64) {
	f.histories[key] = newHistory(f.now)
	token, actions := f.relays[i].Replicate(f.now, Record{Kind: Reservation, Key: key, ValidFrom: f.now,
		ExpiresAt: expiresAt}, operationTimeout)
	f.replications[token] = key
	f.perform(i, actions)
}

// acquire makes relay i start to acquire the reservation of that key.
func (f *testFleet) acquire(i int, key string) {
	token, actions := f.relays[i].Acquire(f.now, Reservation, key)
	f.lookups[token] = key
	f.histories[key].pendingSince[token] = f.now
	f.perform(i, actions)
}

// storeMarker makes relay i replicate a marker.
func (f *testFleet) storeMarker(i int, key string, expiresAt float64) {
	r := f.relays[i]
	token, actions := r.Replicate(f.now, Record{Kind: AttemptMarker, Key: key, ExpiresAt: expiresAt,
		Body: []byte("s")}, operationTimeout)
	history := newHistory(f.now)
	history.owner = i
	history.ownerStart = r.starts
	history.token = token
	f.histories[key] = history
	f.replications[token] = key
	f.perform(i, actions)
}

// lookUpMarker makes relay i look up a marker, and returns the one that it found.
func (f *testFleet) lookUpMarker(i int, key string) Record {
	f.t.Helper()
	return f.lookUp(i, AttemptMarker, key, operationTimeout, 60)
}

// lookUp makes relay i look up a record, and returns the one that it has found after wait ms. It is zero if there is
// none.
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

// lostReplicas returns how many of a record's replicas have lost their disks since it was replicated.
func (f *testFleet) lostReplicas(history *recordHistory) int {
	lost := 0
	for i, replica := range history.record.Replicas {
		if f.relayNamed(replica.Name).wipes != history.wipesAtReplication[i] {
			lost++
		}
	}
	return lost
}

// isWithinGuarantee reports whether a record was replicated and so few replicas were lost that it must have survived.
func (f *testFleet) isWithinGuarantee(history *recordHistory) bool {
	return history.replicatedAt > 0 && 2*f.lostReplicas(history) < len(history.record.Replicas)
}

// checkMarker looks up a marker in a healthy fleet. It must be found unless it was revoked or too many replicas were
// lost, and must not be found if any relay knows that it was revoked.
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
		f.violations = append(f.violations, key+" was lost")
	case history.revoked && (isKnownRevoked || f.faults.forgetRevoked) && found:
		f.violations = append(f.violations, key+" was found after it was revoked")
	}
}

// Outcomes of an acquisition in a history.
const (
	acquired    = "acquired"
	alreadyUsed = "already used"
	unknown     = "unknown" // it has not ended, or has failed: it may take effect at any time, or never
)

// singleUseModel is the model for the linearizability check of each record's history: one operation acquires the
// record, and every later one finds it used. An operation whose outcome is unknown may have acquired it; if it has not,
// it counts as the last one.
var singleUseModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(isUsed, _, outcome any) (bool, any) {
		switch outcome {
		case acquired:
			return isUsed == false, true
		case alreadyUsed:
			return isUsed == true, true
		default:
			return true, true
		}
	},
}

// checkHistories checks the history of each record against singleUseModel, and returns all violations so far.
func (f *testFleet) checkHistories() []string {
	for _, key := range slices.Sorted(maps.Keys(f.histories)) {
		history := f.histories[key]
		operations := slices.Clone(history.operations)
		for _, since := range history.pendingSince {
			operations = append(operations, newAcquisition(len(operations), unknown, since, math.Inf(1)))
		}
		if !porcupine.CheckOperations(singleUseModel, operations) {
			f.violations = append(f.violations, fmt.Sprintf("%s: history is not linearizable: %+v", key, operations))
		}
	}
	return f.violations
}

// newAcquisition returns an acquisition for a history. It takes effect from one time to the other, in milliseconds.
func newAcquisition(client int, outcome string, from, to float64) porcupine.Operation {
	last := int64(math.MaxInt64)
	if !math.IsInf(to, 1) {
		last = int64(to*1000) + 1
	}
	return porcupine.Operation{ClientId: client, Input: "acquire", Output: outcome, Call: int64(from * 1000), Return: last}
}
