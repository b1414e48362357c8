// Package membership tracks by gossip which relays of a fleet are alive, suspected or gone, the incarnation of each,
// and the state that each last announced.
//
// In every period a relay sends a few datagrams, each with its own state and as many states of other relays as fit.
// Of two states of one relay the later one counts (by boot, then by heartbeat), so that lost, delayed, duplicated or
// reordered datagrams never revert a state. Nothing waits for an answer.
//
// The package does no I/O and reads no clock: callers pass in the time and the received datagrams, and send the
// datagrams that they get back. All times are milliseconds of the caller's clock. A View is not safe for concurrent
// use.
package membership

import (
	"container/list"
	"errors"
	"math"
	"math/rand"
	"slices"
)

const (
	gossipPeriod = 200.0 // mean milliseconds between two rounds of gossip
	periodJitter = 0.2   // width of the range around the mean from which each period is drawn, as a share of the mean

	// suspensionThreshold is by how many milliseconds a gap between two ticks must exceed the period for this process
	// to count as having been suspended. The silence of other relays during that time does not count against them.
	suspensionThreshold = 1000.0
)

// Counts are the numbers of datagrams sent and received since the start, and of their bytes.
type Counts struct {
	Sent            uint64 `json:"Sent"`
	SentBytes       uint64 `json:"SentBytes"`
	Received        uint64 `json:"Heard"`
	ReceivedBytes   uint64 `json:"HeardBytes"`
	Unauthenticated uint64 `json:"Refused"` // datagrams sealed with another key or changed on the way
	Malformed       uint64 `json:"Strange"` // datagrams of another version or that can't be decoded
}

// Datagram is a packet to be sent to an address.
type Datagram struct {
	To   string
	Data []byte
}

// View is one relay's view of the fleet and its part in the gossip.
type View struct {
	// Counts are the numbers of datagrams so far.
	Counts Counts
	// ClockOffset is by how many milliseconds the machine's clock is ahead of the times that are passed in.
	// Other relays learn it from this relay's datagrams.
	ClockOffset float64
	// SeedsOnly makes other relays reachable only at the seed addresses, not at those that they announce.
	SeedsOnly bool
	// DuplicateSeenAt is when another process with this relay's name was last heard; 0 if never.
	DuplicateSeenAt float64

	local     MemberState
	key       []byte
	rng       *rand.Rand
	startedAt float64
	nextTick  float64
	lastTick  float64

	seeds       []string          // seed addresses
	namesBySeed map[string]string // name of the member that answered from each seed address

	members     map[string]*Member // members by name
	names       []string           // names of the members, sorted
	newestFirst *list.List         // members (*Member), the most recently updated first

	answers answerBudget
}

// New returns the view of a relay that starts now with the given state. Seeds are addresses at which other relays may
// be found. The key is shared by the whole fleet.
func New(now float64, local MemberState, seeds []string, key []byte, rng *rand.Rand) *View {
	local.Boot = max(local.Boot, 1)
	return &View{
		local:       local,
		key:         key,
		rng:         rng,
		startedAt:   now,
		nextTick:    now,
		lastTick:    now,
		seeds:       seeds,
		namesBySeed: map[string]string{},
		members:     map[string]*Member{},
		newestFirst: list.New(),
		answers:     answerBudget{tokens: maxAnswersPerSecond, updatedAt: now},
	}
}

// LocalState returns this relay's current state.
func (v *View) LocalState() MemberState { return v.local }

// SetLocalState changes the state that this relay announces from the next datagram on. The name, boot, incarnation and
// heartbeat stay as they are, and so does an operator order that is later than the given one.
func (v *View) SetLocalState(s MemberState) {
	s.Name = v.local.Name
	s.Boot = v.local.Boot
	s.Incarnation = v.local.Incarnation
	s.Heartbeat = v.local.Heartbeat
	s.OrderNumber, s.Draining = laterOrder(s, v.local)
	v.local = s
}

// RestoreBoot makes this start's boot number higher than the given one, which was stored on the disk or is known to
// other relays. It may be called after the first datagrams have been sent.
func (v *View) RestoreBoot(boot uint64) {
	if boot >= v.local.Boot {
		v.local.Boot = boot + 1
		v.local.Heartbeat = 0
	}
}

// NextTick returns when Tick is due.
func (v *View) NextTick() float64 { return v.nextTick }

// Tick returns the datagrams to send now. It returns none before NextTick.
func (v *View) Tick(now float64) (out []Datagram) {
	if now < v.nextTick {
		return nil
	}
	v.discountOwnSuspension(now)
	v.lastTick = now
	v.nextTick = now + gossipPeriod*(1-periodJitter/2+periodJitter*v.rng.Float64())
	v.local.Heartbeat++
	for _, to := range v.selectTargets(now) {
		out = append(out, v.composeDatagram(now, to, true))
	}
	v.expire(now)
	return out
}

// discountOwnSuspension leaves the time during which this process was suspended out of the other relays' silence.
func (v *View) discountOwnSuspension(now float64) {
	gap := now - v.lastTick - gossipPeriod
	if gap <= suspensionThreshold {
		return
	}
	for _, m := range v.members {
		m.HeardAt += gap
	}
}

// Receive handles a datagram from an address and returns the answer, if the datagram asks for one. A datagram that is
// sealed with another key, of another version or malformed changes only the counts.
func (v *View) Receive(now float64, from string, data []byte) []Datagram {
	v.Counts.Received++
	v.Counts.ReceivedBytes += uint64(len(data))
	body, err := openDatagram(v.key, data)
	if err != nil {
		v.countRejected(err)
		return nil
	}
	received, err := decodeDatagram(body)
	if err != nil {
		v.countRejected(err)
		return nil
	}
	for i, s := range received.states {
		v.merge(now, s, i == 0)
	}
	sender := received.states[0].Name
	if m := v.members[sender]; m != nil && !math.IsNaN(received.clock) && !math.IsInf(received.clock, 0) {
		m.ClockOffset = received.clock - now // ignores the network delay, which is short
	}
	if slices.Contains(v.seeds, from) {
		v.bindSeed(from, sender)
	}
	if !received.asksForAnswer || !v.answers.take(now) {
		return nil
	}
	return []Datagram{v.composeDatagram(now, from, false)}
}

// countRejected counts a datagram that was rejected with the given error.
func (v *View) countRejected(err error) {
	if errors.Is(err, errUnauthenticated) {
		v.Counts.Unauthenticated++
	} else {
		v.Counts.Malformed++
	}
}
