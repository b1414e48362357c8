package coordinator

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"valeshift/internal/config"
	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

// Config is a voter's file, in TOML.
type Config struct {
	Name         string        `toml:"name"`     // of this voter, one of those below
	AdminAddress string        `toml:"ops"`      // address:port where operators call
	KeyFile      string        `toml:"key-file"` // the relays' and the voters'
	Folder       string        `toml:"folder"`
	Voters       []VoterConfig `toml:"voter"`
	Zones        []ZoneConfig  `toml:"zone"`
}

// VoterConfig is one of them.
type VoterConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // address:port, UDP, as the others and the relays reach it
}

// ZoneConfig is one that is decided on.
type ZoneConfig struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

const (
	maxVoters    = 7
	maxZones     = 64
	maxNameBytes = 64
)

// LoadConfig reads a voter's file. Its errors name the field.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &Config{}
	if err := config.DecodeStrict(text, f); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Reload reads the file again, for its zones: all else needs a restart, and is named.
func (f *Config) Reload(path string) (*Config, error) {
	next, err := LoadConfig(path)
	if err != nil {
		return nil, err
	}
	for _, field := range []struct {
		name string
		same bool
	}{{"name", f.Name == next.Name}, {"ops", f.AdminAddress == next.AdminAddress}, {"key-file", f.KeyFile == next.KeyFile},
		{"folder", f.Folder == next.Folder}, {"voter", slices.Equal(f.Voters, next.Voters)}} {
		if !field.same {
			return nil, fmt.Errorf("%s: %s: another takes a restart", path, field.name)
		}
	}
	return next, nil
}

func (f *Config) check() error {
	if n := len(f.Voters); n%2 == 0 || n > maxVoters {
		return fmt.Errorf("voter: 1, 3, 5 or %d expected, got %d", maxVoters, n)
	}
	if n := len(f.Zones); n == 0 || n > maxZones {
		return fmt.Errorf("zone: 1 to %d expected, got %d", maxZones, n)
	}
	own, voters, zones := false, map[string]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		if at, err := netip.ParseAddrPort(v.Address); err != nil || at.Port() == 0 {
			return fmt.Errorf("voter.%d.address: address:port expected, got %q", i, v.Address)
		}
		if v.Name == "" || len(v.Name) > maxNameBytes || voters[v.Name] {
			return fmt.Errorf("voter.%d.name: a name of its own expected, got %q", i, v.Name)
		}
		voters[v.Name], own = true, own || v.Name == f.Name
	}
	for i, z := range f.Zones {
		if z.Name == "" || len(z.Name) > maxNameBytes || len(z.Region) > maxNameBytes || zones[z.Name] {
			return fmt.Errorf("zone.%d.name: a name of its own expected, got %q", i, z.Name)
		}
		zones[z.Name] = true
	}
	if at, err := netip.ParseAddrPort(f.AdminAddress); err != nil {
		return fmt.Errorf("ops: address:port expected, got %q", f.AdminAddress)
	} else if !at.IsValid() || !own {
		return fmt.Errorf("name: one of the voters expected, got %q", f.Name)
	}
	if f.Folder == "" {
		return errors.New("folder: where votes are kept expected, got nothing")
	}
	if f.KeyFile == "" {
		return errors.New("key-file: the path of a file expected, got nothing")
	}
	return nil
}

// Topology is who this voter is, who all are, and which zones are decided on.
func (f *Config) Topology() (me consensus.Member, voters []consensus.Member, zones []failover.Zone) {
	for _, v := range f.Voters {
		m := consensus.Member{Name: v.Name, Address: v.Address}
		if voters = append(voters, m); v.Name == f.Name {
			me = m
		}
	}
	for _, z := range f.Zones {
		zones = append(zones, failover.Zone{Name: z.Name, Region: z.Region})
	}
	return me, voters, zones
}
