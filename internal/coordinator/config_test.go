package coordinator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validConfig = `name = "v"
ops = "127.0.0.1:0"
key-file = "k"
folder = "f"
[[voter]]
name = "v"
address = "127.0.0.1:7"
[[zone]]
name = "a"
`

func writeConfig(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "coordinator.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadConfig(t *testing.T) {
	_, err := LoadConfig(writeConfig(t, validConfig))
	assert.NoError(t, err)
	_, err = LoadConfig(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestLoadConfigNamesTheField(t *testing.T) {
	for name, test := range map[string]struct {
		from, to  string // text in the valid file, and its replacement
		field     string
		wantsText string
	}{
		"another's name":        {`name = "v"`, `name = "x"`, "name", "name: one of the voters"},
		"no voter's address":    {"127.0.0.1:7", "x", "voter.0.address", "voter.0.address"},
		"no zone":               {"[[zone]]\nname = \"a\"\n", "", "zone", "zone: 1 to"},
		"no folder":             {`folder = "f"`, "", "folder", "folder:"},
		"no key file":           {`key-file = "k"`, "", "key-file", "key-file:"},
		"no admin address":      {"127.0.0.1:0", "x", "ops", "ops:"},
		"a zone without a name": {`name = "a"`, `name = ""`, "zone.0.name", "zone.0.name"},
		"an even number of voters": {"[[zone]]", "[[voter]]\nname = \"w\"\n[[zone]]", "voter",
			"voter: 1, 3"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := LoadConfig(writeConfig(t, strings.Replace(validConfig, test.from, test.to, 1)))
			var fieldError *FieldError
			require.ErrorAs(t, err, &fieldError)
			assert.Equal(t, test.field, fieldError.Field)
			assert.ErrorContains(t, err, test.wantsText)
		})
	}
	_, err := LoadConfig(writeConfig(t, strings.Replace(validConfig, "folder", "folders", 1)))
	assert.ErrorContains(t, err, "no such field")
	assert.False(t, errors.As(err, new(*FieldError)))
}

func TestReloadTakesZonesAlone(t *testing.T) {
	loaded, err := LoadConfig(writeConfig(t, validConfig))
	require.NoError(t, err)
	next, err := loaded.Reload(writeConfig(t, validConfig+"[[zone]]\nname = \"b\"\n"))
	require.NoError(t, err)
	assert.Equal(t, []ZoneConfig{{Name: "a"}, {Name: "b"}}, next.Zones)
	for name, test := range map[string]struct{ from, to, field string }{
		"another admin address": {"127.0.0.1:0", "127.0.0.1:1", "ops"},
		"another key file":      {`"k"`, `"other"`, "key-file"},
		"another folder":        {`"f"`, `"other"`, "folder"},
		"another address":       {"127.0.0.1:7", "127.0.0.1:8", "voter"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loaded.Reload(writeConfig(t, strings.Replace(validConfig, test.from, test.to, 1)))
			assert.ErrorContains(t, err, ": "+test.field+": a change takes a restart")
		})
	}
}
