package replication

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A lookup at any relay returns the latest version of an order, even if replicas were lost, and earlier versions are
// removed.
func TestLatestOrderIsRead(t *testing.T) {
	f := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	for version := uint64(1); version <= 3; version++ {
		i := int(version)
		_, actions := f.relays[i].Replicate(f.now, Record{Kind: OperatorOrder, Key: "relay-1", Version: version,
			ExpiresAt: f.now + 1e6, Body: []byte{byte(version)}}, operationTimeout)
		f.perform(i, actions)
		f.runUntil(f.now + 60)
	}
	stored := 0
	for _, r := range f.relays {
		for _, record := range r.records.byID {
			assert.Equal(t, uint64(3), record.Version, "earlier versions must be removed")
			stored++
		}
	}
	assert.Equal(t, 3, stored)
	for i := range 3 {
		f.wipeRelay(8 - i)
		found := f.lookUp(i, OperatorOrder, "relay-1", 1000, 1100)
		assert.Equal(t, uint64(3), found.Version, "relay %d", i)
	}
}

// A marker is found at any relay until its owner revokes it, whichever relays are lost within the guarantee. A revoked
// marker is never found, even if messages were duplicated, some replicas missed the discard message, or all relays were
// restarted.
func TestMarkerIsFoundUntilRevoked(t *testing.T) {
	for _, c := range []struct {
		name    string
		copies  int
		revoked bool
		damage  func(f *testFleet, replicas []int)
	}{
		{"no loss", 3, false, func(*testFleet, []int) {}},
		{"the owner lost", 3, false, func(f *testFleet, _ []int) { f.wipeRelay(0) }},
		{"one of three replicas lost", 3, false, func(f *testFleet, replicas []int) { f.wipeRelay(replicas[1]) }},
		{"two of five lost", 5, false, func(f *testFleet, replicas []int) {
			f.wipeRelay(replicas[0])
			f.wipeRelay(replicas[4])
		}},
		{"all power lost", 3, false, func(f *testFleet, _ []int) { f.losePower() }},
		{"revoked", 3, true, func(*testFleet, []int) {}},
		{"revoked, and all power lost", 3, true, func(f *testFleet, _ []int) { f.losePower() }},
		{"revoked, which two have not heard", 3, true, func(f *testFleet, replicas []int) {
			record := f.histories["k"].record
			for _, i := range []int{replicas[0], replicas[2]} {
				f.relays[i].records.byID = map[uint64]*storedRecord{record.ID: {Record: record}}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range int64(20) {
				f := newTestFleet(t, 9, 3, c.copies, seed, injectedFaults{})
				f.storeMarker(0, "k", f.now+5000)
				f.runUntil(f.now + 60)
				history := f.histories["k"]
				require.Positive(t, history.replicatedAt)
				if c.revoked {
					f.perform(0, f.relays[0].Revoke(f.now, history.token))
					f.runUntil(f.now + 60)
				}
				c.damage(f, f.replicasOf(history.record))
				f.updateMembers()
				i := 1
				for f.relays[i].down {
					i++
				}
				found := f.lookUpMarker(i, "k")
				assert.Equal(t, !c.revoked, found.ID == history.record.ID, "seed %d", seed)
			}
		})
	}
}

// A marker is revoked even if the request to store it arrives after the discard message that revokes it.
func TestMarkerRevokedBeforeItIsStored(t *testing.T) {
	f := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	token, stores := f.relays[0].Replicate(f.now, Record{Kind: AttemptMarker, Key: "k", ExpiresAt: f.now + 5000},
		operationTimeout)
	f.perform(0, f.relays[0].Revoke(f.now, token))
	f.runUntil(f.now + 60)
	f.perform(0, stores)
	f.runUntil(f.now + 60)
	assert.Zero(t, f.lookUpMarker(3, "k").ID)
	f.runUntil(f.now + 5000 + retentionMillis + 2000)
	for i, r := range f.relays {
		assert.Empty(t, r.records.byID, "relay %d", i)
		assert.Empty(t, r.revocable, "relay %d", i)
	}
}

// Best-effort records are held in memory only, and the latest version is found at any relay. A flood of them from one
// owner doesn't evict others and takes no more than that owner's share, so that capacity is left for durable records.
func TestBestEffortRecords(t *testing.T) {
	f := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	replicate := func(i int, key, backend string) uint64 {
		token, actions := f.relays[i].Replicate(f.now, Record{Kind: Affinity, Key: key, Version: uint64(f.now),
			ValidFrom: f.now, ExpiresAt: f.now + 60000, Body: []byte(backend)}, operationTimeout)
		f.perform(i, actions)
		return token
	}
	lookUp := func() string { return string(f.lookUp(5, Affinity, "k", 8, 20).Body) }
	for _, r := range f.relays {
		r.records.maxRecords = 72 // allows 18 best-effort records, 8 of them from one owner
		r.locations.maxRecords = 72
	}
	replicate(0, "k", "s1")
	f.runUntil(f.now + 60)
	token := replicate(1, "k", "s2")
	f.runUntil(f.now + 60)
	for i := range 200 {
		replicate(2, fmt.Sprint("flood", i), "s")
		f.runUntil(f.now + 2)
	}
	f.runUntil(f.now + 60)
	for i, r := range f.relays {
		assert.LessOrEqual(t, r.records.bestEffortByOwner["n2"], 8, "relay %d", i)
		assert.Equal(t, len(r.records.byID), r.records.bestEffortCount, "relay %d", i)
		assert.Empty(t, r.disk, "relay %d", i)
	}
	assert.Equal(t, "s2", lookUp())
	f.perform(1, f.relays[1].Revoke(f.now, token))
	f.runUntil(f.now + 20)
	assert.Empty(t, lookUp())
	f.runUntil(f.now + 60000 + retentionMillis + 2000)
	for i, r := range f.relays {
		assert.Empty(t, r.records.byID, "relay %d", i)
		assert.Zero(t, r.records.bestEffortCount+len(r.records.bestEffortByOwner), "relay %d", i)
	}
}

// When many reservations have the same key and their clients come at once, at any relay, each reservation is used
// exactly once.
func TestManyReservationsOfOneKey(t *testing.T) {
	for seed := range int64(10) {
		f := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		for i := range 30 {
			key := fmt.Sprint("reservation", i)
			f.histories[key] = newHistory(f.now)
			token, actions := f.relays[i%9].Replicate(f.now, Record{Kind: Reservation, Key: "hot", ValidFrom: f.now,
				ExpiresAt: f.now + 5000}, operationTimeout)
			f.replications[token] = key
			f.perform(i%9, actions)
		}
		f.runUntil(f.now + 60)
		f.histories["hot"] = newHistory(f.now)
		acquired := map[uint64]bool{}
		f.onOutcome = func(o *Outcome) {
			if o.Err == nil && f.lookups[o.Token] == "hot" {
				assert.False(t, acquired[o.Record.ID], "a reservation was acquired twice")
				acquired[o.Record.ID] = true
			}
		}
		for range 4 {
			for range 10 {
				f.acquire(f.rng.Intn(9), "hot")
			}
			f.runUntil(f.now + 300)
		}
		assert.Len(t, acquired, 30, "seed %d", seed)
	}
}

// A faulty relay that has lost records it acknowledged, or publishes records that nobody replicated, counts as one lost
// replica: a replicated record is still found and used once, and nobody can acquire a forged one.
func TestFaultyReplica(t *testing.T) {
	for seed := range int64(20) {
		f := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		f.reserve(0, "k", f.now+5000)
		f.runUntil(f.now + 60)
		require.Positive(t, f.histories["k"].replicatedAt)
		faulty := f.relayNamed(f.histories["k"].record.Replicas[seed%3].Name)
		faulty.DiscardAll()
		madeUp := Record{Kind: Reservation, Key: "made up", ID: 7, ValidFrom: f.now, ExpiresAt: f.now + 5000,
			Owner: faulty.name, Replicas: []Replica{{faulty.name, faulty.incarnation}}}
		if seed%2 == 0 {
			madeUp.Replicas = append(madeUp.Replicas, Replica{"n0", f.relays[0].incarnation},
				Replica{"n1", f.relays[1].incarnation})
		}
		for _, r := range f.relays {
			if r == faulty || seed%4 > 1 { // in half of the seeds all relays know the forged record
				r.locations.byKey[madeUp.lookupKey()] = madeUp
			}
		}
		faulty.records.insert(&storedRecord{Record: madeUp})
		f.histories["made up"] = newHistory(f.now)
		f.acquire(4, "k")
		f.acquire(5, "made up")
		f.runUntil(f.now + 1100)
		assert.Equal(t, 1, f.histories["k"].uses, "seed %d", seed)
		assert.Zero(t, f.histories["made up"].uses, "seed %d", seed)
	}
}

// While relays are replaced one by one with a build that has another message format, nothing is replicated between the
// two builds and no record is used twice. Once all relays are replaced, replication works as before.
func TestTwoMessageFormats(t *testing.T) {
	for seed := range int64(10) {
		f := newTestFleet(t, 9, 3, 3, seed, injectedFaults{})
		notReplicated := 0
		for i := range 9 {
			for k := range 4 {
				key := fmt.Sprint("k", i, k)
				f.reserve(f.rng.Intn(9), key, f.now+3000)
				f.runUntil(f.now + 60)
				if f.histories[key].replicatedAt == 0 {
					notReplicated++
				}
				f.acquire(f.rng.Intn(9), key)
				f.acquire(f.rng.Intn(9), key)
			}
			f.killRelay(i)
			f.runUntil(f.now + 100)
			f.relays[i].format = 2
			f.startRelay(i)
			f.updateMembers()
		}
		f.runUntil(f.now + 1100)
		assert.Empty(t, f.checkHistories(), "seed %d", seed)
		assert.Positive(t, notReplicated, "seed %d", seed)
		f.reserve(1, "last", f.now+3000)
		f.runUntil(f.now + 60)
		f.acquire(7, "last")
		f.runUntil(f.now + 60)
		assert.Equal(t, 1, f.histories["last"].uses, "seed %d", seed)
	}
}

// A client that comes too early can use its reservation when it comes again, and one that comes too late can't. Nothing
// is left in memory or on disk after the reservation has expired and its retention has ended.
func TestReservationIsForItsTime(t *testing.T) {
	f := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
	token, actions := f.relays[0].Replicate(f.now, Record{Kind: Reservation, Key: "k", ValidFrom: f.now + 1000,
		ExpiresAt: f.now + 1700}, operationTimeout)
	f.histories["k"] = newHistory(f.now)
	f.replications[token] = "k"
	f.perform(0, actions)
	for _, c := range []struct {
		name  string
		after float64
		uses  int
	}{{"too early", 400, 0}, {"in time", 400, 1}, {"too late", 1500, 1}} {
		f.runUntil(f.now + c.after)
		f.acquire(5, "k")
		f.runUntil(f.now + 50)
		assert.Equal(t, c.uses, f.histories["k"].uses, c.name)
	}
	f.runUntil(f.now + retentionMillis + 2000)
	for i, r := range f.relays {
		assert.Empty(t, r.records.byID, "relay %d", i)
		assert.Empty(t, r.disk, "relay %d", i)
	}
}

func FuzzHandleMessage(f *testing.F) {
	seed := message{
		Type:           messageStore,
		Token:          1,
		From:           "x",
		Incarnation:    2,
		Ballot:         ballot{1, 2},
		AcceptedBallot: ballot{3, 4},
		Records: []Record{{Kind: Reservation, Key: "k", ID: 7, Version: 1, Owner: "o", ValidFrom: 5, ExpiresAt: 6,
			Body: []byte("b"), Replicas: []Replica{{"h", 1}, {"i", 2}}}},
	}
	f.Add(seed.encode())
	f.Add([]byte{formatVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New("h", 1, 3, 10, rand.New(rand.NewSource(1)))
		actions, err := r.HandleMessage(1, "x", data)
		if err != nil {
			require.Empty(t, actions)
			return
		}
		decoded, err := decodeMessage(data)
		require.NoError(t, err)
		roundTripped, err := decodeMessage(decoded.encode())
		require.NoError(t, err)
		require.Equal(t, decoded, roundTripped)
		r.LoadRecord(1, recordName(7), data)
		r.Tick(2)
	})
}
