package config

import (
	"fmt"
	"time"
)

// Milliseconds is a length of time, written like "250ms" in the file.
type Milliseconds float64

const maxLength = time.Minute

// UnmarshalText reads a length from 0 to a minute.
func (m *Milliseconds) UnmarshalText(text []byte) error {
	milliseconds, ok := ParseMilliseconds(text, maxLength)
	if !ok {
		return fmt.Errorf("a length from 0 to %s expected, such as \"250ms\", got %q", maxLength, text)
	}
	*m = Milliseconds(milliseconds)
	return nil
}

// ParseMilliseconds reads a length of time such as "250ms". It reports false where the text is no length from 0
// to the limit.
func ParseMilliseconds(text []byte, limit time.Duration) (milliseconds float64, ok bool) {
	length, err := time.ParseDuration(string(text))
	if err != nil || length < 0 || length > limit {
		return 0, false
	}
	return float64(length) / float64(time.Millisecond), true
}

// Format is the form of the log's records.
type Format uint8

// The formats, in the file "text" and "json".
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
