package failover

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFollower(t *testing.T) {
	home := []Zone{{Name: "a", State: Home, Share: 1}, {Name: "b", State: Home, Share: 1}}
	empty := []Zone{{Name: "a", State: Emptied}, {Name: "b", State: Home, Share: 1}}
	f := NewFollower(rand.New(rand.NewSource(1)))
	held := func(now float64) any {
		zones, number := f.Current(now)
		if zones == nil {
			return number
		}
		return []any{number, zones[0].State}
	}
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: -1}), "of a voter that does not know")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: DecisionTTL}), "too old")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3, Zones: []Zone{{Name: "a", Share: 2}}}), "more than all")
	assert.Nil(t, f.Receive(0, Announcement{Number: 3}), "no zones at all")
	disk := f.Receive(0, Announcement{Number: 3, Zones: home, AgeMillis: 100})
	require.NotNil(t, disk)
	assert.Equal(t, uint64(0), held(10), "not before it is kept")
	f.ConfirmPersisted(20, 2)
	assert.Equal(t, uint64(0), held(20), "another")
	f.ConfirmPersisted(20, 3)
	assert.Equal(t, []any{uint64(3), Home}, held(20))
	assert.Nil(t, f.Receive(30, Announcement{Number: 2, Zones: empty}), "lower")
	assert.Nil(t, f.Receive(1000, Announcement{Number: 3, Zones: home, AgeMillis: 50}), "renewed")
	on, until := f.Renewal(5900)
	assert.True(t, on)
	assert.Equal(t, 5950.0, until)
	on, _ = f.Renewal(5951)
	assert.False(t, on)
	assert.Equal(t, []any{uint64(3), Home}, held(5951), "let go of at a moment of its own")
	assert.Equal(t, uint64(3), held(5951+DecisionTTL))

	require.NotNil(t, f.Receive(20000, Announcement{Number: 5, Zones: empty, AgeMillis: 1}))
	assert.Nil(t, f.Receive(20010, Announcement{Number: 4, Zones: home, AgeMillis: 1}), "a higher one waits to be kept")
	assert.Equal(t, uint64(3), held(20020))
	assert.Equal(t, uint64(3), held(22000), "nor while its disk is slow: it decides alone")
	assert.Nil(t, f.Receive(22000, Announcement{Number: 5, Zones: empty, AgeMillis: 1}))
	f.ConfirmPersisted(22001, 5)
	assert.Equal(t, []any{uint64(5), Emptied}, held(22010))
	none := []Zone{{Name: "a", State: Emptied}, {Name: "b", State: Emptied}}
	require.NotNil(t, f.Receive(30000, Announcement{Number: 6, Zones: none}),
		"an order by force leaves no zone, and is followed")
	f.ConfirmPersisted(30010, 6)
	assert.Equal(t, []any{uint64(6), Emptied}, held(30010))
	f = NewFollower(rand.New(rand.NewSource(2))) // the next life
	f.Restore([]byte("{"))
	f.Restore(disk)
	assert.Nil(t, f.Receive(0, Announcement{Number: 2, Zones: empty}), "it does not go back over its starts")
	assert.Equal(t, uint64(3), held(0), "and goes by none that nobody renews")
	assert.Nil(t, f.Receive(10, Announcement{Number: 3, Zones: home, AgeMillis: 1}))
	assert.Equal(t, []any{uint64(3), Home}, held(10))
}
