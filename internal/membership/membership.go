// Package membership tracks by gossip which relays of a fleet are alive, suspected or gone, under which
// incarnation each runs, and what each last said of itself.
//
// Every period a relay sends a few datagrams, each with its own state and as many states of others as fit. Of
// two states of one relay the later one counts (by boot, then by heartbeat), so datagrams that are lost,
// delayed, duplicated or reordered take nothing back. Nobody waits for an answer.
//
// The package does no I/O and reads no clock: callers pass the time and received datagrams in and send the
// datagrams that they get back. All times are milliseconds of the caller's clock. A View is not safe for
// concurrent use.
package membership

import (
	"container/list"
	"errors"
	"math"
	"math/rand"
	"slices"
)

const (
	gossipPeriod = 200.0 // milliseconds between two rounds of gossip, on average
	periodJitter = 0.2   // of the period: it is drawn from this range around its mean

	// A gap between two ticks that is longer than the period by this much means that this process was stopped:
	// the silence of the others meanwhile does not count against them.
	stoppedAfter = 1000.0
)

// Counts are the datagrams that were sent and received.
type Counts struct {
	Sent            uint64 `json:"Sent"`
	SentBytes       uint64 `json:"SentBytes"`
	Received        uint64 `json:"Heard"`
	ReceivedBytes   uint64 `json:"HeardBytes"`
	Unauthenticated uint64 `json:"Refused"` // sealed with another key, or changed on the way
	Malformed       uint64 `json:"Strange"` // of another version, or not readable
}

// Datagram is a packet to be sent to an address.
type Datagram struct {
	To   string
	Data []byte
}

// View is what one relay knows of the fleet, and its side of the gossip.
type View struct {
	// Counts are the datagrams up to now.
	Counts Counts
	// ClockOffset is what the machine's clock is ahead of the times that are passed in, in milliseconds.
	// Others learn it from this relay's datagrams.
	ClockOffset float64
	// SeedsOnly has others reached by the seeds' addresses alone, not by those that they announce.
	SeedsOnly bool
	// DuplicateSeenAt is when another process under this relay's name was last heard; 0: never.
	DuplicateSeenAt float64

	local     MemberState
	key       []byte
	rng       *rand.Rand
	startedAt float64
	nextTick  float64
	lastTick  float64

	seeds       []string          // addresses
	namesBySeed map[string]string // the member that answered from a seed's address

	members     map[string]*Member
	names       []string   // of the members, sorted
	newestFirst *list.List // of *Member, by when their state was last news

	answers answerBudget
}

// New returns the view of a relay that starts now with a state of its own. Seeds are addresses where others may
// be; the key is shared by the whole fleet.
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
		answers:     answerBudget{left: maxAnswersPerSecond, updatedAt: now},
	}
}

// LocalState returns this relay's state as it stands.
func (v *View) LocalState() MemberState { return v.local }

// SetLocalState changes what this relay says of itself from the next datagram on. Name, boot, incarnation and
// heartbeat stay as they are, and an operators' order that is later than the given one does too.
func (v *View) SetLocalState(s MemberState) {
	s.Name = v.local.Name
	s.Boot = v.local.Boot
	s.Incarnation = v.local.Incarnation
	s.Heartbeat = v.local.Heartbeat
	s.OrderNumber, s.Draining = laterOrder(s, v.local)
	v.local = s
}

// RestoreBoot takes the boot number that the disk had, and counts this start above it. The disk may be read
// only after the first datagrams have gone out.
func (v *View) RestoreBoot(boot uint64) {
	if boot >= v.local.Boot {
		v.local.Boot = boot + 1
		v.local.Heartbeat = 0
	}
}

// NextTick returns when Tick is due.
func (v *View) NextTick() float64 { return v.nextTick }

// Tick returns the datagrams to be sent now. It returns none before NextTick.
func (v *View) Tick(now float64) (out []Datagram) {
	if now < v.nextTick {
		return nil
	}
	v.forgiveOwnStop(now)
	v.lastTick = now
	v.nextTick = now + gossipPeriod*(1-periodJitter/2+periodJitter*v.rng.Float64())
	v.local.Heartbeat++
	for _, to := range v.selectTargets(now) {
		out = append(out, v.composeDatagram(now, to, true))
	}
	v.expire(now)
	return out
}

// forgiveOwnStop counts the time in which this process was stopped as no silence of the others.
func (v *View) forgiveOwnStop(now float64) {
	gap := now - v.lastTick - gossipPeriod
	if gap <= stoppedAfter {
		return
	}
	for _, m := range v.members {
		m.HeardAt += gap
	}
}

// Receive handles a datagram that came from an address and returns the answer to it, if it asks for one. A
// datagram that is sealed with another key, of another version or malformed changes nothing but the counts.
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
		m.ClockOffset = received.clock - now // the time on the way, which is short, is neglected
	}
	if slices.Contains(v.seeds, from) {
		v.bindSeed(from, sender)
	}
	if !received.asksForAnswer || !v.answers.take(now) {
		return nil
	}
	return []Datagram{v.composeDatagram(now, from, false)}
}

// countRejected counts a datagram that was not taken in.
func (v *View) countRejected(err error) {
	if errors.Is(err, errUnauthenticated) {
		v.Counts.Unauthenticated++
	} else {
		v.Counts.Malformed++
	}
}
