package consensus

import (
	"errors"
	"fmt"
)

const (
	maxEntryBytes     = 8000
	maxPendingEntries = 64 // proposed here and not decided, each of maxEntryBytes
)

// Errors of Propose.
var (
	ErrNotLeader = errors.New("this voter is not the leader")
	ErrBusy      = errors.New("too many proposals await a decision")
	ErrEntrySize = fmt.Errorf("an entry has 1 to %d bytes", maxEntryBytes)
)

// Propose has an entry decided, where this voter has the lease. Its being applied tells that it was. The
// errors are ErrNotLeader, ErrBusy and ErrEntrySize.
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
