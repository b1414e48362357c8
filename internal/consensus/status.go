package consensus

// Role is the name of a voter's state in Raft, or RoleAwaitingAdmission.
type Role string

// The roles of a voter.
const (
	RoleAwaitingAdmission Role = "waiting to be let in"
	RoleFollower          Role = "StateFollower"
	RolePreCandidate      Role = "StatePreCandidate"
	RoleCandidate         Role = "StateCandidate"
	RoleLeader            Role = "StateLeader"
)

// String returns the role as operators see it.
func (r Role) String() string { return string(r) }

// Status is the state of a voter as operators see it.
type Status struct {
	Self         Member   `json:"Me"`
	Boot         uint64   `json:"Boot"` // number of starts on its disk
	Role         Role     `json:"Role"`
	Leader       string   `json:"Leader"` // name of the leader; empty if none is known
	Term         uint64   `json:"Term"`
	AppliedIndex uint64   `json:"Applied"`
	Voters       []Member `json:"Voters"`
	Learners     []Member `json:"Learners"`
	// DiskConfirmed is set once the voter may take part: a majority knows no more of it than its disk holds.
	DiskConfirmed bool `json:"Vouched"`
	// OversizedMessages counts messages that were dropped because they are too long for a datagram. Where a
	// snapshot is among them, a voter on a new disk may not be admitted.
	OversizedMessages int `json:"Unsaid"`
	// DiskDiscardedReason is why this process has discarded the disk that it started on; empty if it has not.
	DiskDiscardedReason string `json:"Aside"`
}

// Status returns this voter's current state.
func (v *Voter) Status() Status {
	status := Status{
		Self:                v.self,
		Boot:                v.boot,
		Role:                RoleAwaitingAdmission,
		Leader:              v.leader().Name,
		AppliedIndex:        v.log.appliedIndex,
		DiskConfirmed:       v.identity.confirmed,
		OversizedMessages:   v.output.oversized,
		DiskDiscardedReason: v.identity.discardedReason,
	}
	if v.log.node != nil {
		basic := v.log.node.BasicStatus()
		status.Role = Role(basic.RaftState.String())
		status.Term = basic.Term
	}
	for _, id := range v.log.confState.Voters {
		status.Voters = append(status.Voters, v.log.members[id])
	}
	for _, id := range v.log.confState.Learners {
		status.Learners = append(status.Learners, v.log.members[id])
	}
	return status
}
