package experiment

import (
	"fmt"
	"math"
	"time"

	"valeshift/internal/config"
)

const maxLength = 24 * time.Hour // longest duration that an experiment file may give

// Millis is a duration in milliseconds. Experiment files write it like "1.5s".
type Millis float64

// UnmarshalText reads a duration such as "250ms".
func (m *Millis) UnmarshalText(text []byte) error {
	millis, ok := config.ParseMilliseconds(text, maxLength)
	if !ok {
		return fmt.Errorf("a length from 0 to 24h expected, such as \"250ms\", got %q", text)
	}
	*m = Millis(millis)
	return nil
}

// MarshalText writes the duration in the format that UnmarshalText reads.
func (m Millis) MarshalText() ([]byte, error) {
	duration := time.Duration(math.Round(float64(m) * float64(time.Millisecond)))
	return []byte(duration.String()), nil
}
