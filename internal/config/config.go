// Package config reads the operators' file: the configuration of a relay that its operators choose, in addition to
// what the platform provides. The file is TOML and optional. If any of it is invalid, all of it is rejected. Each
// section is a type of this package, with its zero value or default for fields that the file does not have. Errors name
// line, column and field. The package does not apply or store the configuration, except for Logger, which follows the
// file's log section.
package config

import (
	"fmt"
	"log/slog"
	"os"
)

// File is the content of the operators' file.
type File struct {
	Log          Log          `toml:"log"`
	Backends     Backends     `toml:"servers"`
	Peers        Peers        `toml:"peers"`
	Disk         Disk         `toml:"disk"`
	Coordinators Coordinators `toml:"council"`
	Replication  Replication  `toml:"holdings"`
}

// Log configures the log, which is written to standard error.
type Log struct {
	Format Format     `toml:"format"`
	Level  slog.Level `toml:"level"`  // lowest level that is logged: debug, info, warn or error, optionally with +N or -N
	Source bool       `toml:"source"` // whether each record has the line of source code that it comes from
}

// Backends describes properties that all backends have.
type Backends struct {
	// MaxReportAge is the maximum age of a load report on arrival; 0 if it is unknown.
	MaxReportAge Milliseconds `toml:"report-age"`
}

// Peers configures how this relay and the others of its fleet reach each other. Without Listen, the relay has no
// contact with other relays.
type Peers struct {
	Listen    string   `toml:"listen"`     // address:port of this relay for UDP and TCP, as other relays reach it
	Seeds     []string `toml:"seeds"`      // address:port of some relays that usually run
	Zone      string   `toml:"zone"`       // name of the zone that this relay is in
	Region    string   `toml:"region"`     // name of the region that this relay is in
	SeedsOnly bool     `toml:"seeds-only"` // reach other relays only by the seeds' addresses, not by those they announce
	KeyFile   string   `toml:"key-file"`   // path of the file with the key that all relays of the fleet share
}

// Disk configures where this relay stores its state. Without a folder it stores none.
type Disk struct {
	Folder       string `toml:"folder"`
	MaxMegabytes int    `toml:"most-mb"` // size limit of the stored state; 0: defaultDiskMegabytes
}

// Coordinators lists the coordinators that decide on zones for all relays. Without any, each relay decides alone.
type Coordinators struct {
	Voters []string `toml:"voters"` // address:port of each coordinator
}

// Replication configures on how many relays the records of a relay are stored.
type Replication struct {
	// Copies is the number of relays that store each record of this relay, which may be one of them; 0 disables
	// replication.
	Copies int `toml:"copies"`
	// MarkerRetention is how long attempt markers are kept past the hard limits of their sessions; 0: there are no
	// attempt markers.
	MarkerRetention Milliseconds `toml:"remember"`
	// Affinity says whether other relays store, best effort, which backends clients and affinity groups are assigned to.
	Affinity bool `toml:"stood"`
}

const defaultMarkerRetention Milliseconds = 10000

// Default returns the configuration that applies if there is no operators' file.
func Default() *File {
	return &File{Replication: Replication{MarkerRetention: defaultMarkerRetention}}
}

// Load reads the operators' file at the path, or returns Default if the path is empty.
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
		return nil, withPath(path, err)
	}
	return file, nil
}

// Parse decodes and validates the text of an operators' file. Errors are a *PositionError or a *FieldError.
func Parse(text []byte) (*File, error) {
	file := Default()
	if err := DecodeStrict(text, file); err != nil {
		return nil, err
	}
	if err := file.validate(); err != nil {
		return nil, err
	}
	file.setDerivedDefaults()
	return file, nil
}
