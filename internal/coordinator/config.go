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
	Name         string        `toml:"name"`     // name of this voter, one of Voters
	AdminAddress string        `toml:"ops"`      // address:port on which the HTTP API for operators listens
	KeyFile      string        `toml:"key-file"` // path of the file with the key that relays and voters share
	Folder       string        `toml:"folder"`   // folder in which this voter stores its votes
	Voters       []VoterConfig `toml:"voter"`
	Zones        []ZoneConfig  `toml:"zone"`
}

// VoterConfig is one of the voters.
type VoterConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // UDP address:port at which other voters and relays reach it
}

// ZoneConfig is one of the zones that the coordinators decide on.
type ZoneConfig struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// FieldError reports an invalid value in a field of the configuration file.
type FieldError struct {
	Field    string // name of the field in the file, with the index if it is in a list
	Expected string
	Got      string
}

// Error returns the name of the field, what it may contain and what it contains.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s expected, got %s", e.Field, e.Expected, e.Got)
}

// LoadConfig reads a configuration file. The error for an invalid value is a *FieldError; other errors in the
// contents name the position in the file.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &Config{}
	if err := config.DecodeStrict(text, c); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err) // the error begins with line and column
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again for changes to the zones. A change to any other field needs a restart, and is an
// error that names the field.
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

// validate checks the values of all fields. Its error is a *FieldError.
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

// Topology returns this voter, all voters, and the zones to decide on.
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
