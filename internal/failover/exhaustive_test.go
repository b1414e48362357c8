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

// Tries all sequences of five commands, drawn from eight, and restores the log from its snapshot before each
// command. A zone must always serve, as no order is forced, the shares of each zone must add up to 1, and the
// number must never go back.
func TestAllShortCommandSequences(t *testing.T) {
	commands := exhaustiveCommands(t)
	const length = 5
	logs := 0
	var walk func(snapshot []byte, number uint64)
	walk = func(snapshot []byte, number uint64) {
		for k, data := range commands {
			log := &DecisionLog{}
			require.NoError(t, log.Restore(snapshot))
			numberBefore := log.Number
			log.Apply(number, data)
			logs++
			if log.Number < numberBefore || (log.Number != numberBefore && log.Number != number) {
				assert.Fail(t, "the log's number goes back or is not that of the command", "%+v", log)
			}
			checkZones(t, log, k)
			if number < length && !t.Failed() {
				walk(log.Snapshot(), number+1)
			}
		}
	}
	walk([]byte("{}"), 1)
	assert.Greater(t, logs, 30000)
}

// exhaustiveCommands returns the encoded commands: valid proposals, orders, the removal of an order, and a
// proposal that must be rejected, as no zone would serve.
func exhaustiveCommands(t *testing.T) (encoded [][]byte) {
	t.Helper()
	proposal := func(state State, share float64) Command {
		zones := []Zone{{Name: "a", State: Home, Share: 1}, {Name: "b", State: state, Share: share}}
		divert(zones, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 2, "b": 2})
		return Command{Zones: zones}
	}
	order := func(id, zone string, action OrderAction) Command {
		return Command{Order: &OperatorOrder{ID: id, Zone: zone, Action: action}}
	}
	for _, command := range []Command{
		proposal(Home, 1),
		proposal(Emptied, 0),
		order("1", "a", ActionEmpty),
		order("2", "b", ActionEmpty),
		order("3", "a", ActionReturn),
		order("4", "a", ActionHold),
		{ExpiredOrderID: "1"},
		{Zones: []Zone{{Name: "a", State: Emptied}}},
	} {
		data, err := json.Marshal(command)
		require.NoError(t, err)
		encoded = append(encoded, data)
	}
	return encoded
}

// checkZones fails the test unless a zone serves and the shares of each zone add up to 1.
func checkZones(t *testing.T, log *DecisionLog, command int) {
	t.Helper()
	serves := len(log.PolicyZones) == 0
	for _, zone := range log.EffectiveZones() {
		sum := zone.Share + zone.Unserved
		for _, diversion := range zone.Diversions {
			sum += diversion.Fraction
		}
		serves = serves || zone.Share > 0
		if math.Abs(sum-1) > 0.02 {
			assert.Fail(t, "the shares of a zone don't add up to 1", "%+v", log.History)
		}
	}
	if !serves {
		assert.Fail(t, "no zone serves, although no order is forced", "after command %d: %+v", command, log.History)
	}
}

// Tries all sequences of five steps of a follower, drawn from nine: announcements, finished disk writes, time
// that passes, and restarts. A relay must never go back to a lower number, follow a decision that is not on its
// disk, or follow one for longer than twice DecisionTTL. The test must find the fault of a follower that follows
// a decision before its number is on disk.
func TestAllShortFollowerSequences(t *testing.T) {
	for name, followsUnpersisted := range map[string]bool{"as it is": false, "follows before it is persisted": true} {
		w := followerWalk{followsUnpersisted: followsUnpersisted}
		w.walk(relayState{
			follower:    *NewFollower(nil),
			now:         1,
			confirmedAt: map[uint64]float64{},
		}, 5)
		t.Logf("%s: %d sequences, %s", name, w.sequences, w.violation)
		assert.Equal(t, followsUnpersisted, w.violation != "", "%s: %s", name, w.violation)
	}
}

// relayState is the state of a relay with a follower after a sequence of steps.
type relayState struct {
	follower     Follower
	now          float64
	disk         []byte             // data that is durable
	pendingWrite []byte             // data that is being written to the disk; nil if there is none
	number       uint64             // highest number followed so far, over all restarts
	confirmedAt  map[uint64]float64 // latest time at which each number was confirmed, by the announcements' ages
}

// followerWalk tries all sequences of steps, until a rule is violated.
type followerWalk struct {
	followsUnpersisted bool   // true for the faulty follower, which follows a decision before it is on disk
	sequences          int    // number of sequences tried
	violation          string // description of the violated rule; empty if there is none
}

// The steps of a follower. The steps below stepFinishWrite are announcements: one of each number with age 0,
// then one of each that has nearly expired.
const (
	announcedNumbers    = 3                    // how many decision numbers are announced
	stepFinishWrite     = 2 * announcedNumbers // step that makes the pending write durable
	stepAdvanceTime     = stepFinishWrite + 1  // step that advances the time by timeStepMillis
	stepPowerLoss       = stepFinishWrite + 2  // step that restarts the relay, which loses the pending write
	followerStepCount   = stepFinishWrite + 3  // number of different steps
	nearlyExpiredMillis = 4500.0               // age in ms of an announcement that has nearly expired
	timeStepMillis      = 3000.0               // ms that pass in stepAdvanceTime
	maxFollowedMillis   = 2 * DecisionTTL      // longest time in ms to follow a decision without renewal
)

// walk tries all continuations of a sequence by up to stepsLeft steps.
func (w *followerWalk) walk(r relayState, stepsLeft int) {
	w.sequences++
	if stepsLeft == 0 || w.violation != "" {
		return
	}
	for step := range followerStepCount {
		next := r.clone()
		if !w.applyStep(&next, step) {
			continue
		}
		w.check(&next)
		w.walk(next, stepsLeft-1)
	}
}

// clone copies the relay, so that steps of the copy don't change the original.
func (r relayState) clone() relayState {
	r.follower.rng = rand.New(rand.NewSource(1))
	r.confirmedAt = maps.Clone(r.confirmedAt)
	if r.follower.pending != nil { // Receive changes the pending announcement in place
		pending := *r.follower.pending
		r.follower.pending = &pending
	}
	return r
}

// applyStep applies a step to the relay, and reports whether the step is possible.
func (w *followerWalk) applyStep(r *relayState, step int) bool {
	switch step {
	case stepFinishWrite:
		if r.pendingWrite == nil {
			return false
		}
		r.disk = r.pendingWrite
		r.pendingWrite = nil
		r.follower.ConfirmPersisted(r.now, persistedNumber(r.disk))
	case stepAdvanceTime:
		r.now += timeStepMillis
	case stepPowerLoss:
		r.follower = *NewFollower(r.follower.rng)
		r.pendingWrite = nil
		r.follower.Restore(r.disk)
	default:
		number := uint64(step%announcedNumbers + 1)
		w.announce(r, number, nearlyExpiredMillis*float64(step/announcedNumbers))
	}
	return true
}

// announce sends an announcement of the given number and age to the relay.
func (w *followerWalk) announce(r *relayState, number uint64, age float64) {
	r.confirmedAt[number] = max(r.confirmedAt[number], r.now-age)
	zones := []Zone{{Name: "a", State: Home, Share: 1}}
	data := r.follower.Receive(r.now, Announcement{Number: number, Zones: zones, AgeMillis: age})
	if data == nil {
		return
	}
	r.pendingWrite = data
	if w.followsUnpersisted {
		r.follower.ConfirmPersisted(r.now, number)
	}
}

// check records a violation if the relay follows a decision that it must not follow.
func (w *followerWalk) check(r *relayState) {
	zones, number := r.follower.Current(r.now)
	if zones == nil {
		return
	}
	switch {
	case number < r.number:
		w.violation = fmt.Sprintf("goes back from %d to %d", r.number, number)
	case number > persistedNumber(r.disk):
		w.violation = fmt.Sprintf("follows %d, which is not on disk", number)
	case r.now > r.confirmedAt[number]+maxFollowedMillis:
		w.violation = fmt.Sprintf("follows %d for too long", number)
	}
	r.number = max(r.number, number)
}

// persistedNumber returns the decision number on the disk; 0 if the disk is empty.
func persistedNumber(disk []byte) uint64 {
	var persisted persistedDecision
	json.Unmarshal(disk, &persisted)
	return persisted.Number
}
