package relay

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readGoldenText(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/golden/" + name)
	require.NoError(t, err)
	return text
}

// Every field of the platform's file keeps its key.
func TestGoldenPlatformFileIsRead(t *testing.T) {
	env := map[string]string{"RELAY_CONFIG": "testdata/golden/platform.json", "RELAY_SOCKET_FD": "7",
		"TMPDIR": "/shared"}
	got, err := ReadTold(func(name string) string { return env[name] })
	require.NoError(t, err)
	assert.Equal(t, &Told{Name: "relay-1", Listen: "127.0.0.1:8000", Discovery: "127.0.0.1:8001",
		Ops: "127.0.0.1:8002", SocketFD: 7, Dir: "/shared", Seed: 0x5eed, Cores: 1.5, MemoryMB: 256, Sockets: 300,
		Known: &News{Index: 41, Whole: true, Entries: goldenEntries(t)},
		Settings: map[string]string{"zone": "2", "fees.probe": "0.002", "categories.count": "1",
			"categories.0.name": "feed"}}, got)
	for name, field := range map[string]func(*Told) string{
		"RELAY_NAME":      func(c *Told) string { return c.Name },
		"RELAY_LISTEN":    func(c *Told) string { return c.Listen },
		"RELAY_DISCOVERY": func(c *Told) string { return c.Discovery },
		"RELAY_OPS":       func(c *Told) string { return c.Ops },
	} {
		got, err := ReadTold(func(asked string) string {
			if asked == name {
				return "127.0.0.1:9"
			}
			return env[asked]
		})
		require.NoError(t, err, name)
		assert.Equal(t, "127.0.0.1:9", field(got), name)
	}
}

func goldenEntries(t *testing.T) []Entry {
	t.Helper()
	return []Entry{
		{Name: "b1", Address: "127.0.0.1:9001", Zone: "west", Status: "leaving", Group: 2, Weight: 0.5, Since: 1234},
		{Name: "b2", Address: "nowhere", Zone: "east", Status: "active", Group: 3, Weight: 1, Since: 5,
			Bad: `address:port expected, got "nowhere"`},
	}
}

// A list as discovery sends it keeps its keys.
func TestGoldenListIsRead(t *testing.T) {
	got, err := readNews(readGoldenText(t, "list.json"))
	require.NoError(t, err)
	assert.Equal(t, &News{Index: 41, Whole: true, Entries: goldenEntries(t)}, got)
}

// A list as one process of the relay passes it to the other is read, and written back as the same bytes.
func TestGoldenNewsIsReadAndWrittenBack(t *testing.T) {
	text := readGoldenText(t, "list-news.json")
	var got News
	require.NoError(t, json.Unmarshal(text, &got))
	assert.Equal(t, News{Index: 41, Whole: true, Entries: goldenEntries(t)}, got)
	back, err := json.Marshal(got)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(back)+"\n")
}
