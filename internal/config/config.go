// Package config reads the operators' own file: what an installation wants of this program beyond what its
// platform tells. It is TOML, optional, and read whole or not at all. Each section is a type here, with the
// values that hold where the file is silent. The package says where the file is wrong, by line, column and
// field; it must never act on what it reads, nor keep it.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is all that the file can say. Later parts add sections.
type File struct {
	Log          Log          `toml:"log"`
	Backends     Backends     `toml:"servers"`
	Peers        Peers        `toml:"peers"`
	Disk         Disk         `toml:"disk"`
	Coordinators Coordinators `toml:"council"`

	Replication Replication `toml:"holdings"`
}

// Replication says on how many machines lies what one has given its word for; 0: on its own alone. Marks of
// setup tries that may run are held for so long beyond their links' hard limits; 0: none are. Where clients
// and their groups stand is held as a hint where that is wanted.
type Replication struct {
	Copies          int          `toml:"copies"`
	MarkerRetention Milliseconds `toml:"remember"`
	Affinity        bool         `toml:"stood"`
}

const maxCopies = 7

// Coordinators says which voters decide in common on zones; without any each relay decides alone.
type Coordinators struct {
	Voters []string `toml:"voters"` // address:port of each
}

// Peers says where this relay hears the others of its fleet; without an address it knows of none.
type Peers struct {
	Listen    string   `toml:"listen"` // address:port, UDP and TCP, as the others reach it
	Seeds     []string `toml:"seeds"`  // of some that are there as a rule
	Zone      string   `toml:"zone"`
	Region    string   `toml:"region"`
	SeedsOnly bool     `toml:"seeds-only"` // others are reached by the seeds' addresses alone, never by those they tell
	KeyFile   string   `toml:"key-file"`   // whose text all relays of the fleet share
}

// Backends says what is known of them in general.
type Backends struct {
	MaxReportAge Milliseconds `toml:"report-age"` // that a report may have as it arrives, at the most; 0: not known
}

// Milliseconds is milliseconds, written like "250ms".
type Milliseconds float64

const maxLength = time.Minute

// UnmarshalText reads an age.
func (a *Milliseconds) UnmarshalText(text []byte) error {
	ms, ok := ParseMilliseconds(text, maxLength)
	if !ok {
		return fmt.Errorf("a length from 0 to %s expected, such as \"250ms\", got %q", maxLength, text)
	}
	*a = Milliseconds(ms)
	return nil
}

// ParseMilliseconds reads a length of time such as "250ms" as milliseconds; false where it is none from 0 to the most.
func ParseMilliseconds(text []byte, most time.Duration) (ms float64, ok bool) {
	d, err := time.ParseDuration(string(text))
	return float64(d) / float64(time.Millisecond), err == nil && d >= 0 && d <= most
}

// Disk says where this relay keeps what outlives it; without a folder it keeps nothing.
type Disk struct {
	Folder       string `toml:"folder"`
	MaxMegabytes int    `toml:"most-mb"`
}

const defaultDiskMegabytes = 64

// validate fills in and checks what the sections say, field by field.
func (f *File) validate() error {
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
		if len(name.value) > maxNameBytes {
			return fmt.Errorf("%s: %d bytes at the most expected, got %d", name.field, maxNameBytes, len(name.value))
		}
	}
	for i, address := range f.Coordinators.Voters {
		if at, err := netip.ParseAddrPort(address); err != nil || at.Port() == 0 {
			return fmt.Errorf("council.voters.%d: address:port expected, got %q", i, address)
		}
	}
	if len(f.Coordinators.Voters) > 0 && (p.Listen == "" || p.Zone == "") {
		return errors.New("council.voters: peers.listen and peers.zone expected beside it, got nothing")
	}
	if n := f.Replication.Copies; n < 0 || n > maxCopies || (n > 0 && n%2 == 0) {
		return fmt.Errorf("holdings.copies: 0, 1, 3, 5 or %d expected, got %d", maxCopies, n)
	} else if n > 0 && (p.Listen == "" || f.Disk.Folder == "") {
		return errors.New("holdings.copies: peers.listen and disk.folder expected beside it, got nothing")
	}
	if f.Disk.MaxMegabytes < 0 {
		return fmt.Errorf("disk.most-mb: no less than 0 expected, got %d", f.Disk.MaxMegabytes)
	}
	if f.Disk.Folder != "" && f.Disk.MaxMegabytes == 0 {
		f.Disk.MaxMegabytes = defaultDiskMegabytes
	}
	return nil
}

const maxNameBytes = 64

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
	FormatText Format = iota
	FormatJSON
)

// UnmarshalText reads a format's name.
func (f *Format) UnmarshalText(text []byte) error {
	switch string(text) {
	case "text":
		*f = FormatText
	case "json":
		*f = FormatJSON
	default:
		return fmt.Errorf("text or json expected, got %q", text)
	}
	return nil
}

// Default is what holds where no file is named.
func Default() *File { return &File{Replication: Replication{MarkerRetention: 10000}} }

// Load reads the file at the path; an empty path gives the defaults.
func Load(path string) (*File, error) {
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
	if err := DecodeStrict(text, f); err != nil {
		return nil, err
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf(" %w", err)
	}
	return f, nil
}

// DecodeStrict reads TOML into a struct and lets no unknown field pass: against a slip of the pen that is silently
// without effect. Its errors begin with line:column and the field, where the text has one.
func DecodeStrict(text []byte, into any) error {
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
