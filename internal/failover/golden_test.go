package failover

import (
	"encoding/json"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The golden files hold every format that this package stores or sends, as written by a build from before the
// struct tags were added. No value in them is zero, so that the tests notice any field whose stored name changes.

func goldenZones() []Zone {
	return []Zone{
		{
			Name: "a", Region: "north", State: Spilling, Share: 0.5,
			Diversions: []TrafficShare{{"b", 0.25}, {"c", 0.125}}, Unserved: 0.125,
			Reason: "it has room for 50% of what is near",
		},
		{Name: "b", Region: "north", State: Home, Share: 1, Reason: "returned"},
		{
			Name: "c", Region: "south", State: Returning, Share: 0.2,
			Diversions: []TrafficShare{{"b", 0.8}}, Reason: "returns by steps",
		},
		{
			Name: "d", Region: "south", State: Emptied,
			Diversions: []TrafficShare{{"b", 1}}, Reason: "97% of tries fail",
		},
	}
}

func goldenOrder() OperatorOrder {
	return OperatorOrder{
		ID: "order-1", Zone: "d", Action: ActionEmpty, ExpiresAt: 1.7e12, Reason: "rack work", IssuedBy: "ana",
		Force: true,
	}
}

func goldenLog() *DecisionLog {
	return &DecisionLog{
		Number:      42,
		PolicyZones: goldenZones(),
		Orders:      []OperatorOrder{goldenOrder()},
		Demand:      map[string]float64{"a": 12.5, "b": 3, "c": 4, "d": 5},
		Capacity:    map[string]float64{"a": 10, "b": 11, "c": 12, "d": 13},
		History: []Decision{{Number: 41, ProposedAt: 1.6e12, Cause: "empty d by ana: rack work", OrderID: "order-1",
			Rejection: "no other zone serves; it is to be forced by name", Zones: goldenZones()}},
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return data
}

func TestGoldenJSON(t *testing.T) {
	order := goldenOrder()
	for name, c := range map[string]struct {
		want any // pointer to the expected value
		into any // pointer to an empty value of the same type
	}{
		"command-zones.json": {
			&Command{Zones: goldenZones(), Demand: map[string]float64{"a": 12.5},
				Capacity: map[string]float64{"a": 10}, Cause: "a spilling: room", ProposedAt: 1.6e12},
			&Command{},
		},
		"command-order.json": {
			&Command{Order: &order, Cause: "empty d by ana: rack work", ProposedAt: 1.6e12},
			&Command{},
		},
		"command-end.json": {
			&Command{ExpiredOrderID: "order-1", Cause: "the order has ended", ProposedAt: 1.6e12},
			&Command{},
		},
		"order.json": {&order, &OperatorOrder{}},
		"entry.json": {&goldenLog().History[0], &Decision{}},
		"announcement.json": {
			&Announcement{Number: 42, Zones: goldenZones(), AgeMillis: 120.5, FromLeader: true},
			&Announcement{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			data := readGolden(t, name)
			require.NoError(t, json.Unmarshal(data, c.into))
			assert.Equal(t, c.want, c.into, "decoded value")
			written, err := json.Marshal(c.want)
			require.NoError(t, err)
			assert.Equal(t, string(data), string(written), "encoded value")
		})
	}
}

func TestGoldenSnapshot(t *testing.T) {
	data := readGolden(t, "snapshot.json")
	restored := &DecisionLog{}
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, goldenLog(), restored)
	assert.Equal(t, string(data), string(goldenLog().Snapshot()))
}

func TestGoldenObservations(t *testing.T) {
	want := Observations{Relay: "relay-1", Zone: "a", Demand: 12.5, ByZone: map[string]Observation{
		"a": {Attempts: 20, FailedAttempts: 3, HealthChecks: 10, FailedHealthChecks: 2, Load: 4.5, Capacity: 8},
		"b": {Attempts: 7, FailedAttempts: 6, HealthChecks: 5, FailedHealthChecks: 4, Load: 3.5, Capacity: 9}}}
	data := readGolden(t, "observations.bin")
	read, err := DecodeObservations(data)
	require.NoError(t, err)
	assert.Equal(t, want, read)
	assert.Equal(t, data, want.Encode())
}

// A restarted relay restores the number that its follower persisted, so that it follows no lower one.
func TestGoldenFollower(t *testing.T) {
	data := readGolden(t, "follower.json")
	f := NewFollower(rand.New(rand.NewSource(1)))
	f.Restore(data)
	_, number := f.Current(0)
	assert.Equal(t, uint64(42), number)
	f = NewFollower(rand.New(rand.NewSource(1)))
	written := f.Receive(1000, Announcement{Number: 42, Zones: goldenZones(), AgeMillis: 120.5, FromLeader: true})
	assert.Equal(t, string(data), string(written))
}
