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

// TestGoldenPlatformFileIsRead checks that every field of the platform's configuration file keeps its key.
func TestGoldenPlatformFileIsRead(t *testing.T) {
	env := map[string]string{"RELAY_CONFIG": "testdata/golden/platform.json", "RELAY_SOCKET_FD": "7",
		"TMPDIR": "/shared"}
	got, err := LoadConfig(func(name string) string { return env[name] })
	require.NoError(t, err)
	assert.Equal(t, &Config{Name: "relay-1", Listen: "127.0.0.1:8000", Discovery: "127.0.0.1:8001",
		AdminAddress: "127.0.0.1:8002", SocketFD: 7, SharedDir: "/shared", Seed: 0x5eed, Cores: 1.5, MemoryMB: 256, MaxSockets: 300,
		InitialEndpoints: &EndpointUpdate{Index: 41, Complete: true, Endpoints: listEndpoints(t)},
		Settings: map[string]string{"zone": "2", "fees.probe": "0.002", "categories.count": "1",
			"categories.0.name": "feed"}}, got)
	for name, field := range map[string]func(*Config) string{
		"RELAY_NAME":      func(c *Config) string { return c.Name },
		"RELAY_LISTEN":    func(c *Config) string { return c.Listen },
		"RELAY_DISCOVERY": func(c *Config) string { return c.Discovery },
		"RELAY_OPS":       func(c *Config) string { return c.AdminAddress },
	} {
		got, err := LoadConfig(func(asked string) string {
			if asked == name {
				return "127.0.0.1:9"
			}
			return env[asked]
		})
		require.NoError(t, err, name)
		assert.Equal(t, "127.0.0.1:9", field(got), name)
	}
}

func listEndpoints(t *testing.T) []Endpoint {
	t.Helper()
	return []Endpoint{
		{Name: "b1", Address: "127.0.0.1:9001", Zone: "west", Status: "leaving", Group: 2, Weight: 0.5, StartedAt: 1234},
		{Name: "b2", Address: "nowhere", Zone: "east", Status: "active", Group: 3, Weight: 1, StartedAt: 5,
			Invalid: `address:port expected, got "nowhere"`},
	}
}

// TestGoldenListIsRead checks that the endpoint list in discovery's format keeps its keys.
func TestGoldenListIsRead(t *testing.T) {
	got, err := parseEndpointUpdate(readGoldenText(t, "list.json"))
	require.NoError(t, err)
	assert.Equal(t, &EndpointUpdate{Index: 41, Complete: true, Endpoints: listEndpoints(t)}, got)
}

// TestGoldenNewsIsReadAndWrittenBack checks that an endpoint list in the format between two processes of the relay is
// decoded, and encoded to the same bytes.
func TestGoldenNewsIsReadAndWrittenBack(t *testing.T) {
	text := readGoldenText(t, "list-news.json")
	var got EndpointUpdate
	require.NoError(t, json.Unmarshal(text, &got))
	assert.Equal(t, EndpointUpdate{Index: 41, Complete: true, Endpoints: listEndpoints(t)}, got)
	back, err := json.Marshal(got)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(back)+"\n")
}
