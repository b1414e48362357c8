package config

import (
	"fmt"
	"time"
)

// Milliseconds is a duration in milliseconds, written like "250ms" in the file.
type Milliseconds float64

const maxDuration = time.Minute

// UnmarshalText reads a duration from 0 to maxDuration.
func (m *Milliseconds) UnmarshalText(text []byte) error {
	milliseconds, ok := ParseMilliseconds(text, maxDuration)
	if !ok {
		return fmt.Errorf("a duration from 0 to %s expected, such as \"250ms\", got %q", maxDuration, text)
	}
	*m = Milliseconds(milliseconds)
	return nil
}

// ParseMilliseconds reads a duration such as "250ms". ok is false if the text is not a duration from 0 to the limit.
func ParseMilliseconds(text []byte, limit time.Duration) (milliseconds float64, ok bool) {
	duration, err := time.ParseDuration(string(text))
	if err != nil || duration < 0 || duration > limit {
		return 0, false
	}
	return float64(duration) / float64(time.Millisecond), true
}

// Format is the format of log records.
type Format uint8

// The formats, written "text" and "json" in the file.
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
