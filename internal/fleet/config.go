package fleet

import (
	"fmt"
	"os"
)

// minKeyBytes is the least length of the fleet's key.
const minKeyBytes = 16

// Config is what the operators' file says of the other relays.
type Config struct {
	Listen    string // address:port, for UDP and TCP
	Zone      string
	Region    string
	KeyFile   string
	Seeds     []string // addresses of some other relays
	SeedsOnly bool     // others are reached by the seeds' addresses alone
	Voters    []string // addresses of the coordinators; none: there are none
	// Copies is how many relays hold each record of this one, itself included where it is drawn; 0: none.
	Copies int
	// ReplicateAffinity has others hold at which backend clients and groups are.
	ReplicateAffinity bool
	// MarkerRetentionMillis is how long attempt markers are held beyond the session's hard limit; 0: none are.
	MarkerRetentionMillis float64
}

// ReadKey reads the key that all relays of a fleet share.
func ReadKey(path string) ([]byte, error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("peers.key-file: %w", err)
	}
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("peers.key-file: %d bytes or more expected, got %d", minKeyBytes, len(key))
	}
	return key, nil
}
