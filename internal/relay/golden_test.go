package relay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// goldenEndpoints is a full endpoint list, as it stands in several of the stored forms.
func goldenEndpoints() *News {
	return &News{Index: 4711, Whole: true, Entries: []Entry{
		{Name: "b1", Address: "10.0.0.1:9000", Zone: "hall", Status: "active", Group: 2, Weight: 1.5,
			Since: 1700000000123.5, Bad: "a name expected"},
		{Name: "b2", Address: "10.0.0.2:9000", Zone: "yard", Status: "leaving", Group: 3, Weight: 0.25,
			Since: 1700000000456, Bad: "status \"x\" is not known"},
	}}
}

// goldenForms are all forms of this package that are stored, or sent from one process to another, with the values
// that their golden files hold. The files were written by the program before its fields were renamed.
var goldenForms = []struct {
	file  string
	value any
}{
	{"kept.json", &Kept{
		Version: 1, List: goldenEndpoints(), Told: 1700000001000.25, Capacity: 910000.5, LoadMean: 41000.25,
		Categories: map[string]KeptCategory{
			"feed":  {Load: 39000.5, Weighed: 12.5},
			"order": {Load: 43000.5, Weighed: 7.25},
		},
		Back: map[uint64]float64{31: 1700000002000.5, 18446744073709551615: 1700000003000},
	}},
	{"handover.json", &Handover{
		Version: 1, At: 1700000004000.5, List: goldenEndpoints(),
		Module: balancer.Record{
			At: 1700000004000.5,
			Servers: []balancer.ServerRecord{{ID: 77, Started: 1700000000123.5, Load: 0.5, HeardAt: 1700000003000,
				AskedAt: 1700000003100, WarmFrom: 1700000000200, Failed: 2, Lost: true, Against: 0.75,
				Placed: []balancer.PlacedRecord{{At: 1700000003900, Load: 40000.5}}}},
			Loads: []float64{39000.5, 43000.5}, Weighed: []float64{12.5, 7.25}, LoadMean: 41000.25, Known: 900000.5,
			Guessed: 0.125, Listed: 1700000001000, Stood: 11.5, Over: 10.25, AsOf: 1700000003500, Width: 1.75,
			CutAt: 1700000002500, Asked: 1700000000300, Slot: 17000000, Taken: []float64{1.5, 2.5},
			More: []float64{3.5, 4.5}, Ended: map[uint64]float64{31: 41000.5},
		},
		Names: []string{"b1"}, Files: 512, Links: 128,
	}},
	{"passed.json", &Passed{
		Version: 1, ID: "session-1", Category: "feed", Party: "one", Key: 31, Group: 42, Backend: "b1",
		Load: 40000.5, Measured: true, Tail: []byte("half a li"), Waits: true, Leaves: 250.5, Files: 510, Links: 127,
		Frees: true,
	}},
	{"news.json", goldenEndpoints()},
	{"toward.json", &[]Toward{{Zone: "hall", Part: 0.75, Open: true}, {Zone: "yard", Part: 0.25, Open: true}}},
}

// Every stored or sent form reads from its golden file as the values that were written, and is written as the same
// bytes. So a field that is renamed in the code keeps its name on disk and between processes.
func TestStoredFormsKeepTheirBytes(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.file, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "golden", form.file))
			require.NoError(t, err)

			read := reflect.New(reflect.TypeOf(form.value).Elem()).Interface()
			require.NoError(t, json.Unmarshal(golden, read))
			assert.Equal(t, form.value, read)

			written, err := json.Marshal(form.value)
			require.NoError(t, err)
			assert.Equal(t, string(golden), string(written))
		})
	}
}

// The golden values leave no stored field at its zero value, so that none can be renamed or left out unseen.
func TestGoldenValuesAreFull(t *testing.T) {
	for _, form := range goldenForms {
		requireFull(t, form.file, reflect.ValueOf(form.value))
	}
}

func requireFull(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is zero", path)
	switch v.Kind() {
	case reflect.Pointer:
		requireFull(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			requireFull(t, path, v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireFull(t, path, v.MapIndex(key))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Tag.Get("json") != "-" {
				requireFull(t, path+"."+field.Name, v.Field(i))
			}
		}
	}
}

// A golden snapshot and a golden hand-over also pass the checks that the program makes of what it reads.
func TestGoldenFilesAreRead(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/kept.json")
	require.NoError(t, err)
	kept, err := ReadKept(text)
	require.NoError(t, err)
	written, err := kept.Text()
	require.NoError(t, err)
	assert.Equal(t, string(text), string(written))

	text, err = os.ReadFile("testdata/golden/handover.json")
	require.NoError(t, err)
	handover, err := ReadHandover(text, 1700000005000)
	require.NoError(t, err)
	assert.Equal(t, 128, handover.Links)
	assert.Equal(t, uint32(77), handover.Module.Servers[0].ID)
}
