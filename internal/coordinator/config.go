package coordinator

import (
	"fmt"
	"net/netip"
	"os"
	"slices"

	"valeshift/internal/config"
	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

const (
	maxVoters    = 7
	maxZones     = 64
	maxNameBytes = 64
)

// Config is a coordinator's configuration file, in TOML.
type Config struct {
	Name         string        `toml:"name"`     // of this voter, one of those below
	AdminAddress string        `toml:"ops"`      // address:port of the HTTP API for operators
	KeyFile      string        `toml:"key-file"` // whose text relays and voters share
	Folder       string        `toml:"folder"`   // where this voter stores its votes
	Voters       []VoterConfig `toml:"voter"`
	Zones        []ZoneConfig  `toml:"zone"`
}

// VoterConfig is one of the voters.
type VoterConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // address:port, UDP, as the others and the relays reach it
}

// ZoneConfig is one of the zones that are decided on.
type ZoneConfig struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// FieldError is a value that a field of the configuration file can't have.
type FieldError struct {
	Field    string // as the file spells it, with the index in a list
	Expected string
	Got      string
}

// Error names the field, what it may hold and what it holds.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s expected, got %s", e.Field, e.Expected, e.Got)
}

// LoadConfig reads a configuration file. A field with a wrong value is a *FieldError; other errors name the
// place in the file.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &Config{}
	if err := config.DecodeStrict(text, c); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err) // it begins with line and column
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again, for its zones: a change of any other field takes a restart, and is an error
// that names it.
func (c *Config) Reload(path string) (*Config, error) {
	next, err := LoadConfig(path)
	if err != nil {
		return nil, err
	}
	for _, field := range []struct {
		name   string
		isSame bool
	}{
		{"name", c.Name == next.Name},
		{"ops", c.AdminAddress == next.AdminAddress},
		{"key-file", c.KeyFile == next.KeyFile},
		{"folder", c.Folder == next.Folder},
		{"voter", slices.Equal(c.Voters, next.Voters)},
	} {
		if !field.isSame {
			return nil, fmt.Errorf("%s: %s: a change takes a restart", path, field.name)
		}
	}
	return next, nil
}

// validate checks the values; its error is a *FieldError.
func (c *Config) validate() error {
	if n := len(c.Voters); n%2 == 0 || n > maxVoters {
		return &FieldError{"voter", fmt.Sprintf("1, 3, 5 or %d", maxVoters), fmt.Sprint(n)}
	}
	if n := len(c.Zones); n == 0 || n > maxZones {
		return &FieldError{"zone", fmt.Sprintf("1 to %d", maxZones), fmt.Sprint(n)}
	}
	if err := c.validateVoters(); err != nil {
		return err
	}
	if err := c.validateZones(); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(c.AdminAddress); err != nil {
		return &FieldError{"ops", "address:port", fmt.Sprintf("%q", c.AdminAddress)}
	}
	isOwn := func(v VoterConfig) bool { return v.Name == c.Name }
	if !slices.ContainsFunc(c.Voters, isOwn) {
		return &FieldError{"name", "one of the voters", fmt.Sprintf("%q", c.Name)}
	}
	if c.Folder == "" {
		return &FieldError{"folder", "where votes are kept", "nothing"}
	}
	if c.KeyFile == "" {
		return &FieldError{"key-file", "the path of a file", "nothing"}
	}
	return nil
}

func (c *Config) validateVoters() error {
	names := map[string]bool{}
	for i, v := range c.Voters {
		address, err := netip.ParseAddrPort(v.Address)
		if err != nil || address.Port() == 0 {
			return &FieldError{fmt.Sprintf("voter.%d.address", i), "address:port", fmt.Sprintf("%q", v.Address)}
		}
		if v.Name == "" || len(v.Name) > maxNameBytes || names[v.Name] {
			return &FieldError{fmt.Sprintf("voter.%d.name", i), "a name of its own", fmt.Sprintf("%q", v.Name)}
		}
		names[v.Name] = true
	}
	return nil
}

func (c *Config) validateZones() error {
	names := map[string]bool{}
	for i, z := range c.Zones {
		if z.Name == "" || len(z.Name) > maxNameBytes || len(z.Region) > maxNameBytes || names[z.Name] {
			return &FieldError{fmt.Sprintf("zone.%d.name", i), "a name of its own", fmt.Sprintf("%q", z.Name)}
		}
		names[z.Name] = true
	}
	return nil
}

// Topology returns who this voter is, who all voters are, and which zones are decided on.
func (c *Config) Topology() (self consensus.Member, voters []consensus.Member, zones []failover.Zone) {
	for _, v := range c.Voters {
		member := consensus.Member{Name: v.Name, Address: v.Address}
		voters = append(voters, member)
		if v.Name == c.Name {
			self = member
		}
	}
	for _, z := range c.Zones {
		zones = append(zones, failover.Zone{Name: z.Name, Region: z.Region})
	}
	return self, voters, zones
}
