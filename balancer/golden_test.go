package balancer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The files under testdata/golden were written by the program before its fields were renamed. Other processes
// and older versions write and read the same bytes, so that a renamed field must not change them.

func goldenRecord() *Record {
	return &Record{
		At:      1700000001500.5,
		Servers: []ServerRecord{goldenServer(1), goldenServer(2)},
		Loads:   []float64{1200.5, 3400.25}, Weighed: []float64{12, 34},
		LoadMean: 2100.75,
		Known:    46,
		Guessed:  4000000.5,
		Listed:   24,
		Stood:    17.5, Over: 9000.25,
		AsOf:  1700000001400.25,
		Width: 6.5, CutAt: 1700000001200.125,
		Asked: 1700000001300.5,
		Slot:  21762557,
		Taken: []float64{3, 1, 4}, More: []float64{1, 5, 9},
		Ended: map[uint64]float64{7: 900.5, 18446744073709551615: 1100.25},
	}
}

func goldenServer(id uint32) ServerRecord {
	return ServerRecord{
		ID:      id,
		Started: 1700000000000.5,
		Load:    0.25 + float64(id), HeardAt: 1700000001450.5, AskedAt: 1700000001440.25, WarmFrom: 1700000000100.125,
		Failed:  3,
		Lost:    true,
		Against: 0.375,
		Placed:  []PlacedRecord{{At: 1700000001460.5, Load: 910.5}, {At: 1700000001470.5, Load: 920.25}},
	}
}

func goldenLearnt() *Learnt {
	return &Learnt{
		Capacity: 4000000.5,
		LoadMean: 2100.75,
		Loads:    []float64{1200.5, 3400.25}, Weighed: []float64{12, 34},
		Own: 56000.125, Figures: 0.875,
	}
}

func TestGoldenForms(t *testing.T) {
	for _, c := range []struct {
		file        string
		want, empty any
	}{
		{"record.json", goldenRecord(), &Record{}},
		{"learnt.json", goldenLearnt(), &Learnt{}},
		{"zonelook.json", &ZoneLook{Tries: 11, Failed: 2, Probes: 33, Silent: 4, Load: 5.5, Room: 6.25}, &ZoneLook{}},
		{"direction.json", &Direction{Zone: 3, Part: 0.625, Open: true}, &Direction{}},
	} {
		t.Run(c.file, func(t *testing.T) {
			path := filepath.Join("testdata", "golden", c.file)
			stored, err := os.ReadFile(path)
			require.NoError(t, err)
			decoder := json.NewDecoder(bytes.NewReader(stored))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(c.empty))
			assert.Equal(t, c.want, c.empty, "read")
			text, err := json.Marshal(c.want)
			require.NoError(t, err)
			assert.Equal(t, string(stored), string(text)+"\n", "written")
		})
	}
}
