package config

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for _, tt := range []struct {
		name string
		text string
		want Log
		err  string
	}{
		{"empty", "", Log{}, ""},
		{"all of the log", "[log]\nformat = \"json\"\nlevel = \"warn+1\"\nsource = true\n", Log{FormatJSON, slog.LevelWarn + 1, true}, ""},
		{"one field of the log", "[log]\nlevel = \"debug\"\n", Log{Level: slog.LevelDebug}, ""},
		{"unknown field", "[log]\n  levle = \"debug\"\n", Log{}, "2:3: log.levle: no such field"},
		{"unknown section", "[lgo]\nlevel = \"debug\"\n", Log{}, "1:2: lgo: no such field"},
		{"unknown format", "[log]\nformat = \"xml\"\n", Log{}, "2:10: log.format: text or json expected, got \"xml\""},
		{"unknown level", "[log]\nlevel = \"loud\"\n", Log{}, "2:9: log.level: "},
		{"value of another kind", "[log]\nlevel = \"info\"\nsource = 3\n", Log{}, "3:10: log.source: "},
		{"no TOML", "[log\n", Log{}, "1:5: "},
		{"peers with a disk", "[peers]\nlisten = \"127.0.0.1:7000\"\nkey-file = \"k\"\n[disk]\nfolder = \"d\"\n", Log{}, ""},
		{"peers at no address", "[peers]\nlisten = \"here\"\n", Log{}, "peers.listen: address:port expected, got \"here\""},
		{"peers without a key file", "[peers]\nlisten = \"127.0.0.1:7000\"\n", Log{}, "peers.key-file: the path of a file expected"},
		{"seeds without an own address", "[peers]\nseeds = [\"127.0.0.1:7000\"]\n", Log{}, "peers.listen: address:port expected, as"},
		{"seed that is no address", "[peers]\nlisten = \"127.0.0.1:7000\"\nkey-file = \"k\"\nseeds = [\"127.0.0.1:1\", \"x\"]\n", Log{},
			"peers.seeds.1: address:port expected, got \"x\""},
		{"length over the limit", "[servers]\nreport-age = \"2h\"\n", Log{}, "servers.report-age"},
		{"even number of copies", "[holdings]\ncopies = 4\n", Log{}, "holdings.copies: 0, 1, 3, 5 or 7 expected, got 4"},
		{"copies without peers and disk", "[holdings]\ncopies = 3\n", Log{}, "holdings.copies: peers.listen and disk.folder expected"},
		{"retention over the limit", "[holdings]\nremember = \"2h\"\n", Log{}, "holdings.remember"},
		{"affinity that is no flag", "[holdings]\nstood = 1\n", Log{}, "holdings.stood"},
		{"voter that is no address", "[council]\nvoters = [\"x\"]\n", Log{}, "council.voters.0: address:port expected, got \"x\""},
		{"voters without peers", "[council]\nvoters = [\"127.0.0.1:7\"]\n", Log{}, "council.voters: peers.listen and peers.zone expected"},
		{"negative disk size", "[disk]\nmost-mb = -1\n", Log{}, "disk.most-mb: no less than 0 expected, got -1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file, err := Parse([]byte(tt.text))
			if tt.err != "" {
				assert.ErrorContains(t, err, tt.err)
				assertHasPosition(t, err)
				assert.Nil(t, file)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.want, file.Log)
		})
	}
}

// assertHasPosition checks that the error has a line and column, or names a field.
func assertHasPosition(t *testing.T, err error) {
	t.Helper()
	var position *PositionError
	var field *FieldError
	switch {
	case errors.As(err, &position):
		assert.Positive(t, position.Line)
		assert.Positive(t, position.Column)
	case errors.As(err, &field):
		assert.NotEmpty(t, field.Field)
	default:
		assert.Fail(t, "error has neither a position nor a field", "%v", err)
	}
}

// The sample file in the repository, deploy/operator.toml, is valid and equals the defaults.
func TestLoad(t *testing.T) {
	f, err := Load("../../deploy/operator.toml")
	require.NoError(t, err)
	f.Peers.Seeds, f.Coordinators.Voters = nil, nil // these are empty lists in the file, and nil by default
	assert.Equal(t, Default(), f)
	f, err = Load("")
	require.NoError(t, err)
	assert.Equal(t, Default(), f)
	_, err = Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.ErrorContains(t, err, "read operators' file:")
	path := filepath.Join(t.TempDir(), "some.toml")
	require.NoError(t, os.WriteFile(path, []byte("x = 1"), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, path+":1:1: x: no such field")
	require.NoError(t, os.WriteFile(path, []byte("[disk]\nmost-mb = -1\n"), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, path+": disk.most-mb: no less than 0 expected, got -1")
}

// A slog.Logger in use follows a change of the configuration, and keeps the attributes and groups it was given before.
func TestLoggerFollowsItsConfiguration(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, Log{})
	log := logger.Slog().With("relay", 7).WithGroup("sub")
	log.Info("one", "k", 1)
	log.Debug("unsaid")
	logger.Configure(Log{Format: FormatJSON, Level: slog.LevelDebug})
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
			t.Fatal("Parse must return either a file or an error")
		}
	})
}
