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

// The golden files hold every form that this package stores or sends, as the build wrote them before its
// fields had tags. No value in them is zero, so that a field whose name changes can't go unnoticed.

func goldenZones() []Zone {
	return []Zone{
		{Name: "a", Region: "north", State: Spilling, Share: 0.5, To: []Part{{"b", 0.25}, {"c", 0.125}},
			Left: 0.125, Why: "it has room for 50% of what is near"},
		{Name: "b", Region: "north", State: Home, Share: 1, Why: "returned"},
		{Name: "c", Region: "south", State: Returning, Share: 0.2, To: []Part{{"b", 0.8}}, Why: "returns by steps"},
		{Name: "d", Region: "south", State: Emptied, To: []Part{{"b", 1}}, Why: "97% of tries fail"},
	}
}

func goldenOrder() Order {
	return Order{ID: "order-1", Zone: "d", Do: "empty", Until: 1.7e12, Reason: "rack work", Who: "ana", Force: true}
}

func goldenBook() *Book {
	return &Book{
		Number: 42,
		Judged: goldenZones(),
		Orders: []Order{goldenOrder()},
		Demand: map[string]float64{"a": 12.5, "b": 3, "c": 4, "d": 5},
		Room:   map[string]float64{"a": 10, "b": 11, "c": 12, "d": 13},
		History: []Entry{{Number: 41, At: 1.6e12, Cause: "empty d by ana: rack work", Who: "order-1",
			Refused: "no other zone serves; it is to be forced by name", Zones: goldenZones()}},
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
		want any // a pointer
		into any // an empty value of the same type
	}{
		"command-zones.json": {&Command{Zones: goldenZones(), Demand: map[string]float64{"a": 12.5},
			Room: map[string]float64{"a": 10}, Cause: "a spilling: room", At: 1.6e12}, &Command{}},
		"command-order.json": {&Command{Order: &order, Cause: "empty d by ana: rack work", At: 1.6e12}, &Command{}},
		"command-end.json":   {&Command{Ends: "order-1", Cause: "the order has ended", At: 1.6e12}, &Command{}},
		"order.json":         {&order, &Order{}},
		"entry.json":         {&goldenBook().History[0], &Entry{}},
		"announcement.json":  {&Word{Number: 42, Zones: goldenZones(), Age: 120.5, Leads: true}, &Word{}},
	} {
		t.Run(name, func(t *testing.T) {
			data := readGolden(t, name)
			require.NoError(t, json.Unmarshal(data, c.into))
			assert.Equal(t, c.want, c.into, "read")
			written, err := json.Marshal(c.want)
			require.NoError(t, err)
			assert.Equal(t, string(data), string(written), "written")
		})
	}
}

func TestGoldenSnapshot(t *testing.T) {
	data := readGolden(t, "snapshot.json")
	restored := &Book{}
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, goldenBook(), restored)
	assert.Equal(t, string(data), string(goldenBook().Snapshot()))
}

func TestGoldenObservations(t *testing.T) {
	want := Evidence{Relay: "relay-1", Zone: "a", Demand: 12.5, Looks: map[string]Look{
		"a": {Tries: 20, Failed: 3, Probes: 10, Silent: 2, Load: 4.5, Room: 8},
		"b": {Tries: 7, Failed: 6, Probes: 5, Silent: 4, Load: 3.5, Room: 9}}}
	data := readGolden(t, "observations.bin")
	read, err := ReadEvidence(data)
	require.NoError(t, err)
	assert.Equal(t, want, read)
	assert.Equal(t, data, want.Text())
}

// What a relay's follower keeps on disk is read by the next start: nothing of a lower number is followed.
func TestGoldenFollower(t *testing.T) {
	data := readGolden(t, "follower.json")
	f := NewFollower(rand.New(rand.NewSource(1)))
	f.Recall(data)
	_, number := f.Held(0)
	assert.Equal(t, uint64(42), number)
	f = NewFollower(rand.New(rand.NewSource(1)))
	written := f.Take(1000, Word{Number: 42, Zones: goldenZones(), Age: 120.5, Leads: true})
	assert.Equal(t, string(data), string(written))
}
