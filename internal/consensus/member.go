package consensus

import (
	"fmt"
	"hash/fnv"
)

// Member is a voter together with the disk on which it stores its votes. The same voter on another disk is
// another member, as it may have lost votes that it cast.
type Member struct {
	Name    string `json:"Name"`
	Disk    string `json:"Disk"`    // random ID, drawn when the disk is first used
	Address string `json:"Address"` // UDP address, as host:port
}

// ID returns the member's ID in Raft.
func (m Member) ID() uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\x00%s", m.Name, m.Disk)
	return max(sum.Sum64(), 1) // Raft uses 0 for "no member"
}
