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

// All sequences of five out of eight commands: each leaves a zone that serves, unless by force, all work is
// accounted for, the number never goes back, and the log is restored from its snapshot at each step.
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
				assert.Fail(t, "its number goes back", "%+v", log)
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
			assert.Fail(t, "shares don't add up", "%+v", log.History)
		}
	}
	if !serves {
		assert.Fail(t, "no zone serves, and nobody forced it", "by command %d: %+v", command, log.History)
	}
}

// All sequences of five out of nine steps of a follower: announcements, writes to its disk, time that goes by
// and restarts. A relay never goes back in number, follows nothing that is not on its disk, and nothing for
// longer than twice the TTL. A follower that follows before its disk has the number is found.
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

// relayState is a relay with a follower after some steps.
type relayState struct {
	follower     Follower
	now          float64
	disk         []byte             // durable
	pendingWrite []byte             // on its way to the disk
	number       uint64             // the highest followed, over all restarts
	confirmedAt  map[uint64]float64 // when the latest announcement of each number was true
}

// followerWalk tries all sequences of steps.
type followerWalk struct {
	followsUnpersisted bool
	sequences          int
	violation          string
}

// The steps of a follower: first an announcement of each number, new and nearly expired.
const (
	announcedNumbers    = 3
	stepFinishWrite     = 2 * announcedNumbers
	stepAdvanceTime     = stepFinishWrite + 1
	stepPowerLoss       = stepFinishWrite + 2
	followerStepCount   = stepFinishWrite + 3
	nearlyExpiredMillis = 4500.0
	timeStepMillis      = 3000.0
	maxFollowedMillis   = 2 * DecisionTTL
)

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

// clone copies the relay so that steps of the copy leave the original as it is.
func (r relayState) clone() relayState {
	r.follower.rng = rand.New(rand.NewSource(1))
	r.confirmedAt = maps.Clone(r.confirmedAt)
	if r.follower.pending != nil { // which Receive changes
		pending := *r.follower.pending
		r.follower.pending = &pending
	}
	return r
}

// applyStep has the relay applyStep a step; false if it can't.
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

func (w *followerWalk) check(r *relayState) {
	zones, number := r.follower.Current(r.now)
	if zones == nil {
		return
	}
	switch {
	case number < r.number:
		w.violation = fmt.Sprintf("back from %d to %d", r.number, number)
	case number > persistedNumber(r.disk):
		w.violation = fmt.Sprintf("follows %d, which is not on disk", number)
	case r.now > r.confirmedAt[number]+maxFollowedMillis:
		w.violation = fmt.Sprintf("follows %d for too long", number)
	}
	r.number = max(r.number, number)
}

// persistedNumber is 0 for a disk that holds nothing.
func persistedNumber(disk []byte) uint64 {
	var persisted persistedDecision
	json.Unmarshal(disk, &persisted)
	return persisted.Number
}
