package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// PositionError reports a problem at a position in a TOML file.
type PositionError struct {
	Line    int    // line number, from 1
	Column  int    // column number, from 1
	Field   string // dotted path of the field; empty if the problem is not in a field
	Problem string // what is wrong there
}

// Error returns "line:column: field: problem".
func (e *PositionError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Field, e.Problem)
}

// DecodeStrict decodes TOML into a struct. An unknown field is an error, as a mistyped name would otherwise be ignored
// and go unnoticed. The error is a *PositionError if the decoder reports a position.
func DecodeStrict(text []byte, target any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var unknownFields *toml.StrictMissingError
	if errors.As(err, &unknownFields) && len(unknownFields.Errors) > 0 {
		return newPositionError(&unknownFields.Errors[0], "no such field")
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		return newPositionError(invalid, strings.TrimPrefix(invalid.Error(), "toml: "))
	}
	return err
}

func newPositionError(err *toml.DecodeError, problem string) *PositionError {
	line, column := err.Position()
	return &PositionError{Line: line, Column: column, Field: strings.Join(err.Key(), "."), Problem: problem}
}

// withPath prefixes the error with the file's path, in the format of compilers: "path:line:column: ...".
func withPath(path string, err error) error {
	var positioned *PositionError
	if errors.As(err, &positioned) {
		return fmt.Errorf("%s:%w", path, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}
