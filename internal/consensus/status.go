package consensus

// Role is what a voter is to Raft, in Raft's own words, or RoleAwaitingAdmission.
type Role string

// The roles of a voter.
const (
	RoleAwaitingAdmission Role = "waiting to be let in"
	RoleFollower          Role = "StateFollower"
	RolePreCandidate      Role = "StatePreCandidate"
	RoleCandidate         Role = "StateCandidate"
	RoleLeader            Role = "StateLeader"
)

// String returns the role as operators read it.
func (r Role) String() string { return string(r) }

// Status is what operators are told of a voter.
type Status struct {
	Self         Member   `json:"Me"`
	Boot         uint64   `json:"Boot"` // starts on its disk
	Role         Role     `json:"Role"`
	Leader       string   `json:"Leader"` // its name; empty: none is known
	Term         uint64   `json:"Term"`
	AppliedIndex uint64   `json:"Applied"`
	Voters       []Member `json:"Voters"`
	Learners     []Member `json:"Learners"`
	// DiskConfirmed tells that a majority knows no more of this voter than its disk holds.
	DiskConfirmed bool `json:"Vouched"`
	// OversizedMessages counts messages that no datagram holds: a voter on a new disk may not get in.
	OversizedMessages int `json:"Unsaid"`
	// DiskDiscardedReason tells why this process has discarded the disk that it found; empty: it has not.
	DiskDiscardedReason string `json:"Aside"`
}

// Status returns how things stand at this voter.
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
