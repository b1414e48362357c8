package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// replacement is the admission of a voter on a new disk, in place of the member that it was on its former
// one.
type replacement struct {
	candidates map[string]identityAnswer // at a leader: queries of voters on new disks, by name
	sponsor    Member                    // at a candidate: the leader that admits it
}

// replaceMembers has the leader admit voters on new disks, one at a time and in steps, each an entry of the
// log: first as a learner, then, once it has caught up, in place of its former disk.
func (v *Voter) replaceMembers(now float64) {
	isChanging := len(v.log.confState.VotersOutgoing) > 0
	if len(v.replacement.candidates) == 0 || !v.HasLease(now) || isChanging {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(v.replacement.candidates)) {
		candidate := v.replacement.candidates[name]
		isStale := now > candidate.receivedAt+answerFreshMillis
		if isStale || slices.Contains(v.log.confState.Voters, candidate.message.From.ID()) {
			delete(v.replacement.candidates, name)
			continue
		}
		v.admit(candidate.message.From)
		return
	}
}

// admit proposes the candidate's next step.
func (v *Voter) admit(candidate Member) {
	id := candidate.ID()
	learners := v.log.confState.Learners
	switch {
	case slices.Contains(learners, id):
		if v.hasCaughtUp(id) {
			v.promote(candidate)
		}
	case len(learners) > 0: // a former candidate that didn't get any further
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

// hasCaughtUp tells whether a learner lacks one decided entry at most.
func (v *Voter) hasCaughtUp(learner uint64) bool {
	status := v.log.node.Status()
	return status.Progress[learner].Match+1 >= status.Commit
}

// promote proposes that a learner votes, and that the members of its name on other disks go.
func (v *Voter) promote(learner Member) {
	changes := []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode, NodeID: learner.ID()}}
	for _, id := range v.log.confState.Voters {
		if v.log.members[id].Name == learner.Name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	v.proposeMembershipChange(learner, changes...)
}

// proposeMembershipChange proposes changes with the member that they add, if any. Raft drops them while
// another change is under way; the next tick tries again.
func (v *Voter) proposeMembershipChange(added Member, changes ...raftpb.ConfChangeSingle) {
	data, _ := json.Marshal(added) // of plain values
	v.log.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: data})
}
