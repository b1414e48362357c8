package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"valeshift/internal/settings"
)

// Environment variables set by the platform.
const (
	configPathVariable = "RELAY_CONFIG" // path of the configuration, a JSON file
	nameVariable       = "RELAY_NAME"
	listenVariable     = "RELAY_LISTEN"
	discoveryVariable  = "RELAY_DISCOVERY"
	adminVariable      = "RELAY_OPS"       // address of the admin API
	socketFDVariable   = "RELAY_SOCKET_FD" // descriptor of the listening socket for clients, if the platform holds it
	sharedDirVariable  = "TMPDIR"          // folder shared by the relay's processes
)

const firstInheritedFD = 3 // first descriptor after standard input, output and error

// Config is the configuration of a relay.
type Config struct {
	Name         string
	Listen       string // address:port on which clients are accepted
	Discovery    string // address:port of discovery, which serves the endpoint list
	AdminAddress string // address:port of the admin API; empty: no admin API
	Seed         uint64 // seed of the balancer's random numbers

	SocketFD  int    // descriptor of the listening socket for clients, if the platform holds it; otherwise 0
	SharedDir string // folder shared by the relay's processes; set along with SocketFD

	Cores      float64 // processor cores that the relay may use; 0: unspecified
	MemoryMB   float64 // memory that the relay may use, in MB; 0: no limit
	MaxSockets int     // file descriptors that the relay may use; 0: no limit

	MaxReportAgeMillis  float64          // greatest age of a backend's load report on arrival; 0: unknown
	Clock               func() time.Time // returns the machine's time
	ReservedDescriptors int              // file descriptors needed for the disk and for other relays
	InitialEndpoints    *EndpointUpdate  // endpoint list known at the start; never nil
	Settings            map[string]string

	// Set when the process starts beside another process of the same relay:

	HasParent bool
	Handoff   *Handoff // nil if there is no parent or its handoff is unusable
}

// configFile is the JSON format of the configuration file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Ops       string `json:"ops"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"` // endpoint list in discovery's format
	Settings json.RawMessage `json:"settings"`
}

// LoadConfig reads the configuration file named by RELAY_CONFIG. Environment variables take precedence over the file. Its
// errors begin with the field or variable that is missing or invalid.
func LoadConfig(getenv func(string) string) (*Config, error) {
	file, err := readConfigFile(getenv(configPathVariable))
	if err != nil {
		return nil, err
	}
	config := &Config{
		Name:         file.Name,
		Listen:       file.Listen,
		Discovery:    file.Discovery,
		AdminAddress: file.Ops,
		Cores:        file.Limits.Cores,
		MemoryMB:     file.Limits.MemoryMB,
		MaxSockets:   file.Limits.Sockets,
	}
	config.applyEnvironment(getenv)
	if err := config.validate(); err != nil {
		return nil, err
	}
	if err := config.parseSeed(file.Seed); err != nil {
		return nil, err
	}
	if err := config.validateLimits(); err != nil {
		return nil, err
	}
	if err := config.parseSocketFD(getenv); err != nil {
		return nil, err
	}
	if err := config.parseInitialEndpoints(file.Known); err != nil {
		return nil, err
	}
	if err := config.parseSettings(file.Settings); err != nil {
		return nil, err
	}
	return config, nil
}

// ReloadConfig reads the configuration file again. This time the file's discovery address takes precedence over the
// environment's, which dates from the start of the process and may no longer exist.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == discoveryVariable {
			return ""
		}
		return getenv(name)
	})
}

func readConfigFile(path string) (*configFile, error) {
	if path == "" {
		return nil, fmt.Errorf("%s: the path of a file expected, got nothing", configPathVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configPathVariable, err)
	}
	file := &configFile{}
	if err := json.Unmarshal(text, file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

func (c *Config) applyEnvironment(getenv func(string) string) {
	for variable, field := range map[string]*string{
		nameVariable:      &c.Name,
		listenVariable:    &c.Listen,
		discoveryVariable: &c.Discovery,
		adminVariable:     &c.AdminAddress,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

func (c *Config) validate() error {
	if c.Name == "" {
		return errors.New("name: a name expected, got nothing")
	}
	if err := validateAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := validateAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.AdminAddress); err != nil {
		return fmt.Errorf("ops: address:port or nothing expected, got %q", c.AdminAddress)
	}
	return nil
}

func validateAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: address:port expected, got %q", field, address)
	}
	return nil
}

func (c *Config) parseSeed(text string) error {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: up to 16 hexadecimal digits expected, got %q", text)
	}
	c.Seed = seed
	return nil
}

func (c *Config) validateLimits() error {
	for _, limit := range []struct {
		field string
		value float64
	}{
		{"cores", c.Cores},
		{"memory_mb", c.MemoryMB},
		{"sockets", float64(c.MaxSockets)},
	} {
		if limit.value < 0 {
			return fmt.Errorf("limits.%s: no less than 0 expected, got %v", limit.field, limit.value)
		}
	}
	return nil
}

func (c *Config) parseSocketFD(getenv func(string) string) error {
	text := getenv(socketFDVariable)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return fmt.Errorf("%s: a descriptor from %d on expected, got %q", socketFDVariable, firstInheritedFD, text)
	}
	c.SocketFD = fd
	c.SharedDir = getenv(sharedDirVariable)
	return nil
}

// parseInitialEndpoints parses the endpoint list known at the start. It is taken as complete even if it doesn't say so.
func (c *Config) parseInitialEndpoints(text []byte) error {
	if len(text) == 0 {
		c.InitialEndpoints = &EndpointUpdate{Complete: true}
		return nil
	}
	update, err := parseEndpointUpdate(text)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	update.Complete = true
	c.InitialEndpoints = update
	return nil
}

func (c *Config) parseSettings(text []byte) error {
	if len(text) == 0 {
		return errors.New("settings: an object expected, got nothing")
	}
	values, err := settings.Flatten(text)
	if err != nil {
		return err
	}
	c.Settings = values
	return nil
}
