// Package operator reads the operators' own file: what an installation wants of this program beyond what its
// platform tells. It is TOML, optional, and read whole or not at all. Each section is a type here, with the
// values that hold where the file is silent. The package says where the file is wrong, by line, column and
// field; it must never act on what it reads, nor keep it.
package operator

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is all that the file can say. Later parts add sections.
type File struct {
	Log   Log   `toml:"log"`
	Peers Peers `toml:"peers"`
	Disk  Disk  `toml:"disk"`
}

// Peers says where this relay hears the others of its fleet; without an address it knows of none.
type Peers struct {
	Listen  string   `toml:"listen"` // address:port, UDP and TCP, as the others reach it
	Seeds   []string `toml:"seeds"`  // of some that are there as a rule
	Zone    string   `toml:"zone"`
	Region  string   `toml:"region"`
	Only    bool     `toml:"seeds-only"` // others are reached by the seeds' addresses alone, never by those they tell
	KeyFile string   `toml:"key-file"`   // whose text all relays of the fleet share
}

// Disk says where this relay keeps what outlives it; without a folder it keeps nothing.
type Disk struct {
	Folder string `toml:"folder"`
	MostMB int    `toml:"most-mb"`
}

const mostMB = 64

// complete fills in and checks what the sections say, field by field.
func (f *File) complete() error {
	p := &f.Peers
	for i, address := range append([]string{p.Listen}, p.Seeds...) {
		field := "peers.listen"
		if i > 0 {
			field = fmt.Sprintf("peers.seeds.%d", i-1)
		}
		at, err := netip.ParseAddrPort(address)
		if address != "" && (err != nil || at.Port() == 0) || address == "" && i > 0 {
			return fmt.Errorf("%s: address:port expected, got %q", field, address)
		}
	}
	if p.Listen == "" && (len(p.Seeds) > 0 || p.KeyFile != "") {
		return errors.New("peers.listen: address:port expected, as other relays are named, got nothing")
	}
	if p.Listen != "" && p.KeyFile == "" {
		return errors.New("peers.key-file: the path of a file expected, got nothing")
	}
	for _, name := range []struct{ field, value string }{{"peers.zone", p.Zone}, {"peers.region", p.Region}} {
		if len(name.value) > mostName {
			return fmt.Errorf("%s: %d bytes at the most expected, got %d", name.field, mostName, len(name.value))
		}
	}
	if f.Disk.MostMB < 0 {
		return fmt.Errorf("disk.most-mb: no less than 0 expected, got %d", f.Disk.MostMB)
	}
	if f.Disk.Folder != "" && f.Disk.MostMB == 0 {
		f.Disk.MostMB = mostMB
	}
	return nil
}

const mostName = 64

// Log says what is logged to standard error, and how.
type Log struct {
	Format Format     `toml:"format"`
	Level  slog.Level `toml:"level"` // debug, info, warn or error, with +N or -N behind where wanted
	Source bool       `toml:"source"`
}

// Format is the form of the log's records.
type Format uint8

// The formats, under the names "text" and "json".
const (
	Text Format = iota
	JSON
)

// UnmarshalText reads a format's name.
func (f *Format) UnmarshalText(text []byte) error {
	switch string(text) {
	case "text":
		*f = Text
	case "json":
		*f = JSON
	default:
		return fmt.Errorf("text or json expected, got %q", text)
	}
	return nil
}

// Default is what holds where no file is named.
func Default() *File { return &File{} }

// Read reads the file at the path; an empty path gives the defaults.
func Read(path string) (*File, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

// Parse reads the file's text. Its errors begin with line:column and the field.
func Parse(text []byte) (*File, error) {
	f := Default()
	if err := Strict(text, f); err != nil {
		return nil, err
	}
	if err := f.complete(); err != nil {
		return nil, fmt.Errorf(" %w", err)
	}
	return f, nil
}

// Strict reads TOML into a struct and lets no unknown field pass: against a slip of the pen that is silently
// without effect. Its errors begin with line:column and the field, where the text has one.
func Strict(text []byte, into any) error {
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	err := in.Decode(into)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		return at(&unknown.Errors[0], "no such field")
	case errors.As(err, &wrong):
		return at(wrong, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return err
}

func at(e *toml.DecodeError, why string) error {
	row, column := e.Position()
	if len(e.Key()) == 0 {
		return fmt.Errorf("%d:%d: %s", row, column, why)
	}
	return fmt.Errorf("%d:%d: %s: %s", row, column, strings.Join(e.Key(), "."), why)
}
