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
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is all that the file can say. Later parts add sections.
type File struct {
	Log Log `toml:"log"`
}

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
