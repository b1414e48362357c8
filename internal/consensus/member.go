package consensus

import (
	"fmt"
	"hash/fnv"
)

// Member is one voter on one disk. With another disk it is another member, as it may have lost votes that it
// cast.
type Member struct {
	Name    string `json:"Name"`
	Disk    string `json:"Disk"`    // drawn when the disk is first used
	Address string `json:"Address"` // host:port, UDP
}

// ID returns the member's number in Raft.
func (m Member) ID() uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\x00%s", m.Name, m.Disk)
	return max(sum.Sum64(), 1) // 0 is nobody to Raft
}
