package config

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		text string
		want Log
		err  string
	}{
		{"", Log{}, ""},
		{"[log]\nformat = \"json\"\nlevel = \"warn+1\"\nsource = true\n", Log{FormatJSON, slog.LevelWarn + 1, true}, ""},
		{"[log]\nlevel = \"debug\"\n", Log{Level: slog.LevelDebug}, ""},
		{"[log]\n  levle = \"debug\"\n", Log{}, "2:3: log.levle: no such field"},
		{"[lgo]\nlevel = \"debug\"\n", Log{}, "1:2: lgo: no such field"},
		{"[log]\nformat = \"xml\"\n", Log{}, "2:10: log.format: text or json expected, got \"xml\""},
		{"[log]\nlevel = \"loud\"\n", Log{}, "2:9: log.level: "},
		{"[log]\nlevel = \"info\"\nsource = 3\n", Log{}, "3:10: log.source: "},
		{"[log\n", Log{}, "1:5: "},
		{"[peers]\nlisten = \"127.0.0.1:7000\"\nkey-file = \"k\"\n[disk]\nfolder = \"d\"\n", Log{}, ""},
		{"[peers]\nlisten = \"here\"\n", Log{}, "peers.listen: address:port expected, got \"here\""},
		{"[peers]\nlisten = \"127.0.0.1:7000\"\n", Log{}, "peers.key-file: the path of a file expected"},
		{"[peers]\nseeds = [\"127.0.0.1:7000\"]\n", Log{}, "peers.listen: address:port expected, as"},
		{"[peers]\nlisten = \"127.0.0.1:7000\"\nkey-file = \"k\"\nseeds = [\"127.0.0.1:1\", \"x\"]\n", Log{},
			"peers.seeds.1: address:port expected, got \"x\""},
		{"[servers]\nreport-age = \"2h\"\n", Log{}, "servers.report-age"},
		{"[holdings]\ncopies = 4\n", Log{}, "holdings.copies: 0, 1, 3, 5 or 7 expected, got 4"},
		{"[holdings]\ncopies = 3\n", Log{}, "holdings.copies: peers.listen and disk.folder expected"},
		{"[holdings]\nremember = \"2h\"\n", Log{}, "holdings.remember"},
		{"[holdings]\nstood = 1\n", Log{}, "holdings.stood"},
		{"[council]\nvoters = [\"x\"]\n", Log{}, "council.voters.0: address:port expected, got \"x\""},
		{"[council]\nvoters = [\"127.0.0.1:7\"]\n", Log{}, "council.voters: peers.listen and peers.zone expected"},
		{"[disk]\nmost-mb = -1\n", Log{}, "disk.most-mb: no less than 0 expected, got -1"},
	} {
		f, err := Parse([]byte(c.text))
		if c.err != "" {
			assert.ErrorContains(t, err, c.err, c.text)
			assert.Nil(t, f)
			continue
		}
		require.NoError(t, err, c.text)
		assert.Equal(t, c.want, f.Log)
	}
}

// The file in the repository can be used, and names the defaults.
func TestRead(t *testing.T) {
	f, err := Load("../../deploy/operator.toml")
	require.NoError(t, err)
	f.Peers.Seeds, f.Coordinators.Voters = nil, nil // empty ones in the file
	assert.Equal(t, Default(), f)
	f, err = Load("")
	require.NoError(t, err)
	assert.Equal(t, Default(), f)
	_, err = Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorContains(t, err, "operator file:")
	path := filepath.Join(t.TempDir(), "some.toml")
	require.NoError(t, os.WriteFile(path, []byte("x = 1"), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, path+":1:1: x: no such field")
}

// A log in use follows a change, with what was put on it before.
func TestLogChanges(t *testing.T) {
	var out bytes.Buffer
	g := NewLogger(&out, Log{})
	log := g.Slog().With("relay", 7).WithGroup("sub")
	log.Info("one", "k", 1)
	log.Debug("unsaid")
	g.Configure(Log{Format: FormatJSON, Level: slog.LevelDebug})
	log.Debug("two", "k", 2)
	assert.Regexp(t, `^time=\S+ level=INFO msg=one relay=7 sub.k=1\n`+
		`\{"time":"[^"]+","level":"DEBUG","msg":"two","relay":7,"sub":\{"k":2\}\}\n$`, out.String())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[log]\nformat = \"json\"\n"))
	f.Add([]byte("[log]\nlevel = 1\n"))
	f.Add([]byte("[[log]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse(text); (file == nil) == (err == nil) {
			t.Fatal("one of file and error expected")
		}
	})
}
