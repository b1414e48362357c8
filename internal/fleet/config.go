package fleet

import (
	"fmt"
	"os"
)

// minKeyBytes is the minimum length of the fleet's key.
const minKeyBytes = 16

// Config is the part of the operators' file about the fleet: the other relays, the coordinators and replication.
type Config struct {
	Listen    string   // address:port of this relay, for UDP and TCP
	Zone      string   // name of the zone that this relay is in
	Region    string   // name of the region that this relay is in
	KeyFile   string   // path of the file with the fleet's key
	Seeds     []string // addresses of some other relays
	SeedsOnly bool     // other relays are reached only by the seeds' addresses, not by those that they announce
	Voters    []string // addresses of the coordinators; empty if there are none
	// Copies is how many relays store each record of this relay; this relay may be one of them. 0 disables
	// replication.
	Copies int
	// ReplicateAffinity has other relays store which backend each client or affinity group is assigned to.
	ReplicateAffinity bool
	// MarkerRetentionMillis is how long attempt markers are kept past the session's hard limit; 0: there are no
	// attempt markers.
	MarkerRetentionMillis float64
}

// ReadKey reads the key that all relays of a fleet share. It fails if the key is shorter than minKeyBytes.
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
