package consensus

import (
	"errors"
	"fmt"
)

const (
	maxEntryBytes     = 8000
	maxPendingEntries = 64 // most entries, of maxEntryBytes each, that are proposed here and not committed yet
)

// Errors of Propose.
var (
	ErrNotLeader = errors.New("this voter is not the leader")
	ErrBusy      = errors.New("too many proposals are not committed yet")
	ErrEntrySize = fmt.Errorf("an entry must have 1 to %d bytes", maxEntryBytes)
)

// Propose proposes an entry to the voters; only the voter that has the lease can. The entry is known to be
// committed once it is applied to the state machine. The errors are ErrNotLeader, ErrBusy and ErrEntrySize.
func (v *Voter) Propose(now float64, data []byte) error {
	if len(data) == 0 || len(data) > maxEntryBytes {
		return fmt.Errorf("propose entry of %d bytes: %w", len(data), ErrEntrySize)
	}
	if !v.HasLease(now) {
		return fmt.Errorf("propose entry: %w", ErrNotLeader)
	}
	if err := v.log.node.Propose(data); err != nil {
		return fmt.Errorf("propose entry: %w: %w", ErrBusy, err)
	}
	return nil
}
