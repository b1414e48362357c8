package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// PositionError reports what the text of a TOML file can't be: a line and column, both from 1 on, a field where
// there is one, and the problem.
type PositionError struct {
	Line    int
	Column  int
	Field   string
	Problem string
}

// Error returns "line:column: field: problem".
func (e *PositionError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Field, e.Problem)
}

// DecodeStrict decodes TOML into a struct. An unknown field is an error: a mistyped name would otherwise be
// without effect, and unnoticed. Its errors are a PositionError wherever the decoder names a position.
func DecodeStrict(text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
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

// atPath puts the file's path before the error, as compilers do: "path:line:column: ...".
func atPath(path string, err error) error {
	var positioned *PositionError
	if errors.As(err, &positioned) {
		return fmt.Errorf("%s:%w", path, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}
