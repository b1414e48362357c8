package experiment

import (
	"fmt"
	"math"
	"time"

	"valeshift/internal/config"
)

const maxLength = 24 * time.Hour

// Millis is a length of time in milliseconds, written like "1.5s".
type Millis float64

// UnmarshalText reads a length such as "250ms".
func (m *Millis) UnmarshalText(text []byte) error {
	millis, ok := config.ParseMilliseconds(text, maxLength)
	if !ok {
		return fmt.Errorf("a length from 0 to 24h expected, such as \"250ms\", got %q", text)
	}
	*m = Millis(millis)
	return nil
}

// MarshalText writes the length as it is read.
func (m Millis) MarshalText() ([]byte, error) {
	duration := time.Duration(math.Round(float64(m) * float64(time.Millisecond)))
	return []byte(duration.String()), nil
}
