package relay

// This file reads what a relay is told at its start and at a reload: a JSON file, and the environment before
// it. It owns the names of those fields and says which of them is missing or wrong. It must never act on what
// it reads, nor keep it.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"valeshift/internal/settings"
)

// Config is what a relay is told at its start.
type Config struct {
	Name, Listen, Discovery string
	AdminAddress            string // where operators call; none where empty
	SocketFD                int    // of the clients' socket, where the platform holds it; else 0
	SharedDir               string // that the relay's processes share then
	Seed                    uint64
	Cores, MemoryMB         float64
	MaxSockets              int
	MaxReportAgeMillis      float64          // ms that a server's report may be old; 0: nobody says
	Clock                   func() time.Time // the machine's
	ReservedDescriptors     int              // descriptors needed besides, for the disk and other relays
	InitialEndpoints        *EndpointUpdate
	Settings                map[string]string

	// Found out at the start of a process beside another: that there is one, and what it left.
	HasParent bool
	Handoff   *Handoff
}

// ReloadConfig reads the file for a reload. Against staying with a discovery that is gone: the environment names
// that of the start, so the file's goes before it now.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == "RELAY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// LoadConfig reads the file that RELAY_CONFIG names. What the environment says goes before the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("RELAY_CONFIG: the path of a file expected, got nothing")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Ops       string `json:"ops"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, AdminAddress: file.Ops,
		Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, MaxSockets: file.Limits.Sockets}
	for _, over := range []struct {
		name string
		to   *string
	}{
		{"RELAY_NAME", &t.Name}, {"RELAY_LISTEN", &t.Listen}, {"RELAY_DISCOVERY", &t.Discovery},
		{"RELAY_OPS", &t.AdminAddress},
	} {
		if v := getenv(over.name); v != "" {
			*over.to = v
		}
	}
	if t.Name == "" {
		return nil, fmt.Errorf("name: a name expected, got nothing")
	}
	for _, address := range []struct{ field, value string }{{"listen", t.Listen}, {"discovery", t.Discovery}} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return nil, fmt.Errorf("%s: address:port expected, got %q", address.field, address.value)
		}
	}
	if _, err := netip.ParseAddrPort(t.AdminAddress); t.AdminAddress != "" && err != nil {
		return nil, fmt.Errorf("ops: address:port or nothing expected, got %q", t.AdminAddress)
	}
	if t.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: up to 16 hexadecimal digits expected, got %q", file.Seed)
	}
	for _, limit := range []struct {
		field string
		value float64
	}{{"cores", t.Cores}, {"memory_mb", t.MemoryMB}, {"sockets", float64(t.MaxSockets)}} {
		if limit.value < 0 {
			return nil, fmt.Errorf("limits.%s: no less than 0 expected, got %v", limit.field, limit.value)
		}
	}
	if fd := getenv("RELAY_SOCKET_FD"); fd != "" {
		if t.SocketFD, err = strconv.Atoi(fd); err != nil || t.SocketFD < 3 {
			return nil, fmt.Errorf("RELAY_SOCKET_FD: a descriptor from 3 on expected, got %q", fd)
		}
		t.SharedDir = getenv("TMPDIR")
	}
	t.InitialEndpoints = &EndpointUpdate{Complete: true}
	if len(file.Known) > 0 {
		if t.InitialEndpoints, err = parseEndpointUpdate(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		t.InitialEndpoints.Complete = true
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("settings: an object expected, got nothing")
	}
	if t.Settings, err = settings.Flatten(file.Settings); err != nil {
		return nil, err
	}
	return t, nil
}
