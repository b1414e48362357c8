package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// replacement tracks the admission of a voter on a new disk, in place of the member that it was on its former
// disk.
type replacement struct {
	candidates map[string]receivedMessage // on a leader: the last query of each voter on a new disk, by its name
	sponsor    Member                     // on a candidate: the leader that admits it
}

// replaceMembers lets the leader admit voters on new disks, one at a time. Each step of an admission is an entry
// of the log: the voter is first added as a learner, and replaces the member on its former disk once it has
// caught up.
func (v *Voter) replaceMembers(now float64) {
	isChanging := len(v.log.confState.VotersOutgoing) > 0
	if len(v.replacement.candidates) == 0 || !v.HasLease(now) || isChanging {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(v.replacement.candidates)) {
		candidate := v.replacement.candidates[name]
		isStale := now > candidate.receivedAt+maxAnswerAgeMillis
		if isStale || slices.Contains(v.log.confState.Voters, candidate.message.From.ID()) {
			delete(v.replacement.candidates, name)
			continue
		}
		v.admit(candidate.message.From)
		return
	}
}

// admit proposes the next step of a candidate's admission.
func (v *Voter) admit(candidate Member) {
	id := candidate.ID()
	learners := v.log.confState.Learners
	switch {
	case slices.Contains(learners, id):
		if v.hasCaughtUp(id) {
			v.promote(candidate)
		}
	case len(learners) > 0: // an earlier candidate, whose admission was not completed
		v.proposeMembershipChange(Member{}, raftpb.ConfChangeSingle{
			Type:   raftpb.ConfChangeRemoveNode,
			NodeID: learners[0],
		})
	default:
		v.proposeMembershipChange(candidate, raftpb.ConfChangeSingle{
			Type:   raftpb.ConfChangeAddLearnerNode,
			NodeID: id,
		})
	}
}

// hasCaughtUp reports whether a learner lacks at most one committed entry.
func (v *Voter) hasCaughtUp(learner uint64) bool {
	status := v.log.node.Status()
	return status.Progress[learner].Match+1 >= status.Commit
}

// promote proposes to make a learner a voter, and to remove the voters of the same name on other disks.
func (v *Voter) promote(learner Member) {
	changes := []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode, NodeID: learner.ID()}}
	for _, id := range v.log.confState.Voters {
		if v.log.members[id].Name == learner.Name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	v.proposeMembershipChange(learner, changes...)
}

// proposeMembershipChange proposes changes, with the member that they add (or the zero Member) as their context.
// Raft drops them while another change is in progress; the next tick tries again.
func (v *Voter) proposeMembershipChange(added Member, changes ...raftpb.ConfChangeSingle) {
	data, _ := json.Marshal(added) // doesn't fail for plain values
	v.log.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: data})
}
