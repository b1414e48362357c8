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

// goldenEndpoints returns an endpoint list without zero fields, which several of the golden values contain.
func goldenEndpoints() *EndpointUpdate {
	return &EndpointUpdate{Index: 4711, Complete: true, Endpoints: []Endpoint{
		{Name: "b1", Address: "10.0.0.1:9000", Zone: "hall", Status: "active", Group: 2, Weight: 1.5,
			StartedAt: 1700000000123.5, Invalid: "a name expected"},
		{Name: "b2", Address: "10.0.0.2:9000", Zone: "yard", Status: "leaving", Group: 3, Weight: 0.25,
			StartedAt: 1700000000456, Invalid: "status \"x\" is not known"},
	}}
}

// goldenCases lists every type of this package that is stored or sent from one process to another, with the value that its
// golden file contains. The files were written by the program before its fields were renamed.
var goldenCases = []struct {
	file  string
	value any
}{
	{"kept.json", &Snapshot{
		Version: 1, Endpoints: goldenEndpoints(), ConfirmedAt: 1700000001000.25, Capacity: 910000.5, MeanLoad: 41000.25,
		Classes: map[string]ClassLoad{
			"feed":  {Load: 39000.5, Weight: 12.5},
			"order": {Load: 43000.5, Weight: 7.25},
		},
		RetryAt: map[uint64]float64{31: 1700000002000.5, 18446744073709551615: 1700000003000},
	}},
	{"handover.json", &Handoff{
		Version: 1, CreatedAt: 1700000004000.5, Endpoints: goldenEndpoints(),
		Balancer: balancer.Snapshot{
			TakenAt: 1700000004000.5,
			Backends: []balancer.BackendSnapshot{{ID: 77, StartedAt: 1700000000123.5, Load: 0.5, ReportedAt: 1700000003000,
				PolledAt: 1700000003100, SlowStartAt: 1700000000200, ConsecutiveFailures: 2, SessionsLost: true, OutlierEvidence: 0.75,
				RecentAssignments: []balancer.AssignmentSnapshot{{At: 1700000003900, Load: 40000.5}}}},
			SessionLoadSnapshot: balancer.SessionLoadSnapshot{
				ClassLoads: []float64{39000.5, 43000.5}, ClassSamples: []float64{12.5, 7.25}, MeanSessionLoad: 41000.25,
				LoadSamples: 900000.5,
			},
			EstimatedCapacity: 0.125, ListedBackends: 1700000001000,
			AttemptSnapshot: balancer.AttemptSnapshot{
				EstablishedSessions: 11.5, EstablishedSpan: 10.25, EstablishedAsOf: 1700000003500,
				ConcurrencyLimit: 1.75, ConcurrencyReducedAt: 1700000002500,
			},
			SlowStartRequestedAt: 1700000000300,
			RetryBudgetSnapshot: balancer.RetryBudgetSnapshot{
				BudgetSlot: 17000000, BudgetSessions: []float64{1.5, 2.5}, BudgetRetries: []float64{3.5, 4.5},
			},
			EndedSessionLoads: map[uint64]float64{31: 41000.5},
		},
		BackendNames: []string{"b1"}, Descriptors: 512, Sessions: 128,
	}},
	{"passed.json", &TransferredSession{
		Version: 1, ID: "session-1", Class: "feed", Tenant: "one", Key: 31, Group: 42, Backend: "b1",
		Load: 40000.5, LoadMeasured: true, PartialLine: []byte("half a li"), AwaitsReply: true,
		LeavesInMillis: 250.5, Descriptors: 510, Sessions: 127,
		ConfirmsRelease: true,
		ReplyInMillis:   3000.5, IdleInMillis: 19000.5, BackendDataAgoMillis: 700.5,
	}},
	{"news.json", goldenEndpoints()},
	{"toward.json", &[]ZoneWeight{
		{Zone: "hall", Share: 0.75, AcceptsOverflow: true},
		{Zone: "yard", Share: 0.25, AcceptsOverflow: true},
	}},
}

// TestStoredFormsKeepTheirBytes checks that every stored or sent type decodes from its golden file to the expected value,
// and encodes to the same bytes. So a field that is renamed in the code keeps its name on disk and between processes.
func TestStoredFormsKeepTheirBytes(t *testing.T) {
	for _, form := range goldenCases {
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

// TestGoldenValuesAreFull checks that no encoded field of a golden value is zero, so that a renamed or omitted field can't
// go unnoticed.
func TestGoldenValuesAreFull(t *testing.T) {
	for _, form := range goldenCases {
		requireNoZeroFields(t, form.file, reflect.ValueOf(form.value))
	}
}

func requireNoZeroFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is zero", path)
	switch v.Kind() {
	case reflect.Pointer:
		requireNoZeroFields(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			requireNoZeroFields(t, path, v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireNoZeroFields(t, path, v.MapIndex(key))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Tag.Get("json") != "-" {
				requireNoZeroFields(t, path+"."+field.Name, v.Field(i))
			}
		}
	}
}

// TestGoldenFilesAreRead checks that the golden snapshot and the golden handoff also pass the program's validation.
func TestGoldenFilesAreRead(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/kept.json")
	require.NoError(t, err)
	snapshot, err := ParseSnapshot(text)
	require.NoError(t, err)
	written, err := snapshot.Encode()
	require.NoError(t, err)
	assert.Equal(t, string(text), string(written))

	text, err = os.ReadFile("testdata/golden/handover.json")
	require.NoError(t, err)
	handoff, err := ParseHandoff(text, 1700000005000)
	require.NoError(t, err)
	assert.Equal(t, 128, handoff.Sessions)
	assert.Equal(t, uint32(77), handoff.Balancer.Backends[0].ID)
}
