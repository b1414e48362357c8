// Package settings reads the settings of the balancer and builds one from them. Settings are values by path, which
// come as pairs on the wire or from flattened JSON, so that the relay and the simulation build the same balancer. The
// package has no state of its own.
package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const maxCount = 1e6 // above any valid count; limits the memory that a wrong setting makes the reader allocate

// Reader reads settings by path, and records the first error: a required setting that is missing or wrong. Methods
// return the zero value for a setting that can't be read; the caller checks Err once it has read all settings.
type Reader struct {
	values map[string]string
	err    error
}

// NewReader returns a reader of values by path.
func NewReader(values map[string]string) *Reader { return &Reader{values: values} }

// Error reports a setting that is missing or not a valid value of its type.
type Error struct {
	Path     string
	Expected string
	Got      string // the setting's text; empty if the setting is missing
}

// Error returns a message with the setting's path.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s expected, got %q", e.Path, e.Expected, e.Got)
}

// Err returns an *Error for the first setting that was missing or wrong; nil if there is none.
func (r *Reader) Err() error { return r.err }

func (r *Reader) fail(path, expected string) {
	if r.err == nil {
		r.err = &Error{Path: path, Expected: expected, Got: r.values[path]}
	}
}

// Text returns a setting's text; empty if the setting is missing.
func (r *Reader) Text(path string) string { return r.values[path] }

// Float reads a finite number that is not negative.
func (r *Reader) Float(path string) float64 {
	value, err := strconv.ParseFloat(r.values[path], 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		r.fail(path, "a number")
		return 0
	}
	return value
}

// FloatOr is like Float, but returns the fallback if the setting is missing.
func (r *Reader) FloatOr(path string, fallback float64) float64 {
	if _, ok := r.values[path]; !ok {
		return fallback
	}
	return r.Float(path)
}

// Count reads a whole number from 0 to maxCount.
func (r *Reader) Count(path string) int {
	value := r.Float(path)
	if value != math.Trunc(value) || value > maxCount {
		r.fail(path, "a count")
		return 0
	}
	return int(value)
}

// Bool reads true or false.
func (r *Reader) Bool(path string) bool {
	switch r.values[path] {
	case "true":
		return true
	case "false":
		return false
	default:
		r.fail(path, "true or false")
		return false
	}
}

// Enum reads one of the words and returns its index.
func (r *Reader) Enum(path string, words ...string) int {
	for i, word := range words {
		if r.values[path] == word {
			return i
		}
	}
	r.fail(path, "one of "+strings.Join(words, ", "))
	return 0
}

// RecordIndexes reads the names in a list of objects, and returns the index of each name, which is the object's number
// in the balancer.
func (r *Reader) RecordIndexes(path string) map[string]int {
	names := make([]string, r.countOrZero(path+".count"))
	for i := range names {
		names[i] = r.values[fmt.Sprintf("%s.%d.name", path, i)]
	}
	return indexes(names)
}

// ListIndexes reads a list of names separated by commas, and returns the index of each.
func (r *Reader) ListIndexes(path string) map[string]int {
	return indexes(strings.Split(r.values[path], ","))
}

// countOrZero reads the length of an optional list: 0 if it is missing, and at most maxCount.
func (r *Reader) countOrZero(path string) int {
	return int(min(r.FloatOr(path, 0), maxCount))
}

func indexes(names []string) map[string]int {
	indexByName := make(map[string]int, len(names))
	for i, name := range names {
		indexByName[name] = i
	}
	return indexByName
}

// ReportFields returns the names of the fields of a load report; nil if backends send no load reports.
func (r *Reader) ReportFields() []string {
	const noReports = 0
	if r.Enum("stats.how", "none", "answers", "probe") == noReports {
		return nil
	}
	return strings.Split(r.values["stats.fields"], ",")
}

// MaxRetryAfter returns the longest Retry-After that clients follow, in milliseconds; 0 if they follow none.
func (r *Reader) MaxRetryAfter() float64 {
	if !r.Bool("limits.retry-after") {
		return 0
	}
	return r.Float("limits.max-retry-after-ms")
}
