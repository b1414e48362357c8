package failover

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A follower accepts only valid announcements, follows a decision once it is persisted, drops it when it is no
// longer renewed, and never goes back to a lower number.
func TestFollower(t *testing.T) {
	home := []Zone{{Name: "a", State: Home, Share: 1}, {Name: "b", State: Home, Share: 1}}
	emptied := []Zone{{Name: "a", State: Emptied}, {Name: "b", State: Home, Share: 1}}
	f := NewFollower(rand.New(rand.NewSource(1)))
	// followed is the decision's number and the state of its first zone, which is empty if the follower knows a
	// number but follows no decision.
	type followed struct {
		number uint64
		state  State
	}
	current := func(now float64) followed {
		zones, number := f.Current(now)
		if zones == nil {
			return followed{number: number}
		}
		return followed{number, zones[0].State}
	}
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: -1}), "the sender knows no decision")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: DecisionTTL}), "the announcement expired")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: []Zone{{Name: "a", Share: 2}}}), "a share is greater than 1")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3}), "the announcement has no zones")
	persisted := f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: 100})
	require.NotNil(t, persisted)
	assert.Equal(t, followed{0, ""}, current(10), "not followed before it is persisted")
	f.ConfirmPersisted(20, 2)
	assert.Equal(t, followed{0, ""}, current(20), "the persisted number is not the pending one")
	f.ConfirmPersisted(20, 3)
	assert.Equal(t, followed{3, Home}, current(20))
	assert.Nil(t, f.Receive(30, Announcement{Number: 2, Zones: emptied}), "a lower number is ignored")
	assert.Nil(t, f.Receive(1000, Announcement{Number: 3, Zones: home, AgeMillis: 50}), "the followed decision is renewed")
	isCurrent, until := f.Renewal(5900)
	assert.True(t, isCurrent)
	assert.Equal(t, 5950.0, until)
	isCurrent, _ = f.Renewal(5951)
	assert.False(t, isCurrent)
	assert.Equal(t, followed{3, Home}, current(5951), "an expired decision is dropped at a random time")
	assert.Equal(t, followed{3, ""}, current(5951+DecisionTTL))

	require.NotNil(t, f.Receive(20000, Announcement{Number: 5, Zones: emptied, AgeMillis: 1}))
	assert.Nil(t, f.Receive(20010, Announcement{Number: 4, Zones: home, AgeMillis: 1}), "a higher number is pending")
	assert.Equal(t, followed{3, ""}, current(20020))
	assert.Equal(t, followed{3, ""}, current(22000), "nothing is followed while the disk is slow")
	assert.Nil(t, f.Receive(22000, Announcement{Number: 5, Zones: emptied, AgeMillis: 1}))
	f.ConfirmPersisted(22001, 5)
	assert.Equal(t, followed{5, Emptied}, current(22010))

	none := []Zone{{Name: "a", State: Emptied}, {Name: "b", State: Emptied}}
	require.NotNil(t, f.Receive(30000, Announcement{Number: 6, Zones: none}),
		"a decision without a serving zone is followed, as a forced order can cause it")
	f.ConfirmPersisted(30010, 6)
	assert.Equal(t, followed{6, Emptied}, current(30010))

	f = NewFollower(rand.New(rand.NewSource(2))) // after a restart
	f.Restore([]byte("{"))
	f.Restore(persisted)
	assert.Nil(t, f.Receive(0, Announcement{Number: 2, Zones: emptied}), "a lower number is ignored after a restart too")
	assert.Equal(t, followed{3, ""}, current(0), "a decision must be announced again after a restart")
	assert.Nil(t, f.Receive(10, Announcement{Number: 3, Zones: home, AgeMillis: 1}))
	assert.Equal(t, followed{3, Home}, current(10))
}
