// Package config reads the operators' file: what an installation wants of the relay beyond what its platform
// says. The file is TOML, optional, and taken whole or not at all. Each section is a type here, whose zero value
// or default holds where the file is silent. Errors name line, column and field. The package neither acts on
// what it reads nor keeps it; it also has the logger that follows the file's log section.
package config

import (
	"fmt"
	"log/slog"
	"os"
)

// File is all that the operators' file can say.
type File struct {
	Log          Log          `toml:"log"`
	Backends     Backends     `toml:"servers"`
	Peers        Peers        `toml:"peers"`
	Disk         Disk         `toml:"disk"`
	Coordinators Coordinators `toml:"council"`
	Replication  Replication  `toml:"holdings"`
}

// Log says what is logged to standard error, and how.
type Log struct {
	Format Format     `toml:"format"`
	Level  slog.Level `toml:"level"`  // debug, info, warn or error, optionally followed by +N or -N
	Source bool       `toml:"source"` // whether a record names its line of code
}

// Backends says what is known of the backends in general.
type Backends struct {
	// MaxReportAge is how old a load report may be as it arrives; 0 where that is not known.
	MaxReportAge Milliseconds `toml:"report-age"`
}

// Peers says how this relay and the others of its fleet reach each other. Without an address it knows of none.
type Peers struct {
	Listen    string   `toml:"listen"` // address:port for UDP and TCP, as the others reach it
	Seeds     []string `toml:"seeds"`  // addresses of some relays that are usually there
	Zone      string   `toml:"zone"`
	Region    string   `toml:"region"`
	SeedsOnly bool     `toml:"seeds-only"` // others are reached by the seeds' addresses, never by those they announce
	KeyFile   string   `toml:"key-file"`   // path of the file whose text all relays of the fleet share
}

// Disk says where this relay stores its state. Without a folder it stores none.
type Disk struct {
	Folder       string `toml:"folder"`
	MaxMegabytes int    `toml:"most-mb"`
}

// Coordinators says which coordinators decide on zones for all relays. Without any, each relay decides alone.
type Coordinators struct {
	Voters []string `toml:"voters"` // address:port of each
}

// Replication says on how many relays the records lie that a relay answers for.
type Replication struct {
	// Copies of each record, this relay's included; 0: on this relay alone.
	Copies int `toml:"copies"`
	// MarkerRetention is how long attempt markers are held beyond the hard limits of their sessions; 0: no
	// attempts are marked.
	MarkerRetention Milliseconds `toml:"remember"`
	// Affinity says whether other relays are told, best effort, at which backends clients and groups are.
	Affinity bool `toml:"stood"`
}

const defaultMarkerRetention Milliseconds = 10000

// Default returns what holds where no file is named.
func Default() *File {
	return &File{Replication: Replication{MarkerRetention: defaultMarkerRetention}}
}

// Load reads the file at the path; an empty path gives the defaults.
func Load(path string) (*File, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operators' file: %w", err)
	}
	file, err := Parse(text)
	if err != nil {
		return nil, atPath(path, err)
	}
	return file, nil
}

// Parse reads the file's text. Its errors are a PositionError or a FieldError.
func Parse(text []byte) (*File, error) {
	file := Default()
	if err := DecodeStrict(text, file); err != nil {
		return nil, err
	}
	if err := file.validate(); err != nil {
		return nil, err
	}
	file.fillIn()
	return file, nil
}
