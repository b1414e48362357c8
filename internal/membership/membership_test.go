package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDeathIsDetectedByAll(t *testing.T) {
	for _, c := range []struct {
		name     string
		relays   int
		lossRate float64
		joined   float64 // milliseconds within which every relay must know all others
		detected float64 // milliseconds within which all relays must see a stopped relay as gone
	}{
		{"three relays", 3, 0, 2000, 4000},
		{"twelve relays", 12, 0, 2000, 4000},
		{"twelve relays, a fifth of the datagrams lost", 12, 0.2, 3000, 6000},
		{"sixty relays, a fifth of the datagrams lost", 60, 0.2, 8000, 16000},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(int64(c.relays))
			n.lossRate = c.lossRate
			n.duplicationRate = 0.1
			n.startAll(c.relays)
			n.run(c.joined)
			for at, v := range n.relays {
				counts := countByLiveness(v, n.now)
				require.Equal(t, c.relays-1, counts[Alive]+counts[Suspected], at)
			}
			falseDetections := 0
			for range 100 {
				n.run(200)
				for _, v := range n.relays {
					falseDetections += countByLiveness(v, n.now)[Gone]
				}
			}
			assert.Zero(t, falseDetections, "false detections in 20 s")
			dead := c.relays - 1
			delete(n.relays, address(dead))
			n.run(c.detected)
			for at, v := range n.relays {
				assert.Equal(t, 1, countByLiveness(v, n.now)[Gone], at)
				assert.Equal(t, Gone, find(v, n.now, name(dead)).Liveness)
			}
		})
	}
}

// A relay whose process was suspended sees no other relay as gone when it resumes, and the others soon see it as alive
// again.
func TestStoppedProcessResumes(t *testing.T) {
	n := newNetwork(3)
	n.startAll(9)
	n.run(3000)
	n.stopped[address(4)] = true
	n.run(8000)
	assert.Equal(t, Gone, find(n.relays[address(0)], n.now, name(4)).Liveness)
	n.stopped[address(4)] = false
	n.run(300)
	assert.Equal(t, [3]int{8, 0, 0}, countByLiveness(n.relays[address(4)], n.now))
	n.run(1500)
	assert.Equal(t, Alive, find(n.relays[address(0)], n.now, name(4)).Liveness)
}

// The members of two network partitions see each other as gone, and rejoin afterwards without the help of a seed.
func TestSeparatedIslandsMeetAgain(t *testing.T) {
	n := newNetwork(4)
	n.startAll(12)
	n.run(3000)
	isOnFirstSide := func(at string) bool { return at < address(6) && len(at) == len(address(1)) }
	n.isCut = func(from, to string) bool { return isOnFirstSide(from) != isOnFirstSide(to) }
	n.run(8000)
	assert.NotZero(t, countByLiveness(n.relays[address(11)], n.now)[Gone])
	n.isCut = func(string, string) bool { return false }
	n.run(8000)
	for _, v := range n.relays {
		assert.Equal(t, [3]int{11, 0, 0}, countByLiveness(v, n.now))
	}
}

// setOrder gives a relay an operator order.
func setOrder(v *View, number uint64, draining bool) {
	s := v.LocalState()
	s.OrderNumber = number
	s.Draining = draining
	v.SetLocalState(s)
}

// A relay that has lost its stored state learns from other relays the operator order that it had, and a boot higher
// than those of its former incarnations.
func TestForgottenStateIsLearnedFromOthers(t *testing.T) {
	n := newNetwork(5)
	n.startAll(5)
	setOrder(n.relays[address(4)], 7, true)
	n.run(3000)
	var v *View
	for range 3 {
		oldBoot := n.relays[address(4)].LocalState().Boot
		delete(n.relays, address(4))
		n.run(1000)
		v = n.start(4, 1) // the disk was wiped
		n.run(1000)
		assert.Greater(t, v.LocalState().Boot, oldBoot)
		assert.Equal(t, uint64(7), v.LocalState().OrderNumber)
		assert.True(t, v.LocalState().Draining)
	}
	setOrder(v, 8, false)
	n.run(1000)
	delete(n.relays, address(4))
	v = n.start(4, 1)
	v.local.OrderNumber = 7 // the disk is an older copy
	v.local.Draining = true
	n.run(2000)
	assert.Equal(t, uint64(8), v.LocalState().OrderNumber)
	assert.False(t, v.LocalState().Draining)
}

// Two processes with the same name detect each other. A third relay, which only receives states that were passed on,
// doesn't detect a duplicate of itself.
func TestDuplicateProcessIsSeen(t *testing.T) {
	n := newNetwork(6)
	n.startAll(5)
	local := MemberState{Name: name(4), Address: address(9), Boot: 1, Incarnation: 99}
	seeds := []string{address(0), address(4)}
	duplicate := New(n.now, local, seeds, key, rand.New(rand.NewSource(1)))
	n.relays[address(9)] = duplicate
	n.scheduleTick(address(9), duplicate)
	n.run(4000)
	assert.NotZero(t, duplicate.DuplicateSeenAt)
	assert.NotZero(t, n.relays[address(4)].DuplicateSeenAt)
	assert.Zero(t, n.relays[address(1)].DuplicateSeenAt)
}

func TestBadDatagramsAreRejected(t *testing.T) {
	n := newNetwork(7)
	v := n.start(0, 1)
	otherKeySender := New(n.now, MemberState{Name: "x", Address: address(1), Incarnation: 5}, nil,
		[]byte("another key"), n.rng)
	sender := New(n.now, MemberState{Name: "y", Address: address(2), Incarnation: 6}, nil, key, n.rng)
	good := sender.composeDatagram(n.now, address(0), true).Data
	withByte := func(at int, value byte) []byte {
		data := slices.Clone(good)
		data[at] = value
		return data
	}
	for _, c := range []struct {
		name string
		data []byte
		want Counts // expected increase of the counts of rejected datagrams
	}{
		{"another key", otherKeySender.composeDatagram(n.now, "", true).Data, Counts{Unauthenticated: 1}},
		{"nothing", nil, Counts{Malformed: 1}},
		{"another version", withByte(3, 9), Counts{Malformed: 1}},
		{"one bit flipped", withByte(30, good[30]^1), Counts{Unauthenticated: 1}},
		{"too long", make([]byte, 3000), Counts{Malformed: 1}},
		{"cut short", good[:len(good)-1], Counts{Unauthenticated: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := v.Counts
			assert.Empty(t, v.Receive(n.now, address(1), c.data))
			assert.Empty(t, v.Members(n.now))
			assert.Equal(t, c.want.Unauthenticated, v.Counts.Unauthenticated-before.Unauthenticated)
			assert.Equal(t, c.want.Malformed, v.Counts.Malformed-before.Malformed)
		})
	}
}

// A flood of datagrams gets no more answers than the budget allows.
func TestAnswersAreLimited(t *testing.T) {
	n := newNetwork(7)
	v := n.start(0, 1)
	sender := New(n.now, MemberState{Name: "y", Address: address(2), Incarnation: 6}, nil, key, n.rng)
	good := sender.composeDatagram(n.now, address(0), true).Data
	assert.NotEmpty(t, v.Receive(n.now, address(2), good))
	answers := 0
	for range 1000 {
		answers += len(v.Receive(n.now, address(2), good))
	}
	assert.Less(t, answers, maxAnswersPerSecond)
}

// States that arrive in any order, and twice, lead to the same result as in order: the latest state of each relay.
func TestOrderOfStatesDoesNotMatter(t *testing.T) {
	drawState := rapid.Custom(func(t *rapid.T) MemberState {
		boot := rapid.Uint64Range(1, 3).Draw(t, "boot")
		return MemberState{
			Name:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			Boot:        boot,
			Incarnation: boot,
			Heartbeat:   rapid.Uint64Range(1, 5).Draw(t, "heartbeat"),
		}
	})
	mergeAll := func(states []MemberState) (merged []MemberState) {
		v := New(0, MemberState{Name: "self", Incarnation: 1}, nil, key, rand.New(rand.NewSource(1)))
		for _, s := range states {
			v.merge(0, s, false)
		}
		for _, m := range v.Members(0) {
			merged = append(merged, m.MemberState)
		}
		return merged
	}
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOfN(drawState, 1, 20).Draw(t, "states")
		shuffled := rapid.Permutation(append(slices.Clone(states), states...)).Draw(t, "order")
		assert.Equal(t, mergeAll(states), mergeAll(shuffled))
	})
}

func TestOpen(t *testing.T) {
	body := []byte("what do you hold?")
	sealed := Seal(key, body)
	changed := slices.Clone(sealed)
	changed[0] ^= 1
	for _, c := range []struct {
		name   string
		key    []byte
		sealed []byte
		want   error
	}{
		{"intact", key, sealed, nil},
		{"another key", []byte("another key"), sealed, ErrWrongKey},
		{"changed", key, changed, ErrWrongKey},
		{"too short", key, sealed[:10], ErrNotSealed},
	} {
		t.Run(c.name, func(t *testing.T) {
			opened, err := Open(c.key, c.sealed)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, body, opened)
		})
	}
}

func FuzzReceive(f *testing.F) {
	local := MemberState{Name: "a", Address: "1.1.1.1:1", Incarnation: 3}
	v := New(0, local, nil, key, rand.New(rand.NewSource(1)))
	f.Add(v.composeDatagram(0, "", true).Data[headerBytes:])
	f.Add([]byte{1, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		states, err := decodeStates(data, 1+len(data)%3)
		if err == nil {
			for _, s := range states {
				back, err := decodeStates(appendState(nil, s), 1)
				if err != nil || back[0] != s {
					t.Fatal(back, s, err)
				}
			}
		}
		datagram := append(slices.Clone(magic[:]), 1, 1, 0)
		v.Receive(1, "x", sealDatagram(key, append(datagram, data...)))
	})
}

// The benchmark measures the traffic of gossip for one relay, and the time until all relays detect that one has
// stopped. The figures are in docs/design/recovery.md.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		relays   int
		lossRate float64
	}{{10, 0}, {100, 0}, {300, 0}, {300, 0.2}} {
		b.Run(fmt.Sprint(c.relays, " loss ", c.lossRate), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1)
				n.lossRate = c.lossRate
				n.startAll(c.relays)
				observer := n.relays[address(9)]
				joined := 0.0
				for joined < 60000 && countByLiveness(observer, n.now)[Alive] < c.relays-1 {
					n.run(100)
					joined += 100
				}
				n.run(5000)
				before := observer.Counts
				falseDetections := 0
				for range 20 {
					n.run(500)
					for i := range 10 {
						falseDetections += countByLiveness(n.relays[address(i)], n.now)[Gone]
					}
				}
				after := observer.Counts
				b.ReportMetric(float64(after.SentBytes-before.SentBytes)/10000, "kB/s")
				b.ReportMetric(float64(after.Received-before.Received)/10, "heard/s")
				b.ReportMetric(float64(falseDetections), "false")
				b.ReportMetric(joined/1000, "s/join")
				delete(n.relays, address(5))
				b.ReportMetric(detectionTime(n, name(5))/1000, "s/death")
			}
		})
	}
}

// detectionTime runs the network until all relays see a relay as gone, for 90 s at most, and returns how many
// milliseconds it took.
func detectionTime(n *network, name string) (took float64) {
	for took < 90000 {
		n.run(200)
		took += 200
		known := true
		for _, v := range n.relays {
			known = known && find(v, n.now, name).Liveness == Gone
		}
		if known {
			break
		}
	}
	return took
}
