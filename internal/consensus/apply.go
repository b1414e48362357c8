package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// applyEntry applies a decided entry. One that can't be decoded is passed over, at all voters alike.
func (v *Voter) applyEntry(entry raftpb.Entry) {
	v.log.appliedIndex = entry.Index
	if entry.Type != raftpb.EntryNormal {
		change, err := decodeMembershipChange(entry)
		if err == nil {
			v.applyMembershipChange(change)
		}
		return
	}
	if len(entry.Data) > 0 { // a leader's first entry is empty
		v.stateMachine.Apply(entry.Index, entry.Data)
	}
}

// decodeMembershipChange decodes an entry of either form that Raft has for changes of members.
func decodeMembershipChange(entry raftpb.Entry) (raftpb.ConfChangeV2, error) {
	if entry.Type == raftpb.EntryConfChange {
		var simple raftpb.ConfChange
		if err := simple.Unmarshal(entry.Data); err != nil {
			return raftpb.ConfChangeV2{}, fmt.Errorf("decode membership change: %w", err)
		}
		return simple.AsV2(), nil
	}
	var change raftpb.ConfChangeV2
	if err := change.Unmarshal(entry.Data); err != nil {
		return change, fmt.Errorf("decode membership change: %w", err)
	}
	return change, nil
}

// applyMembershipChange applies a change of members, whose context is the member that comes.
func (v *Voter) applyMembershipChange(change raftpb.ConfChangeV2) {
	var added Member
	if len(change.Context) > 0 && json.Unmarshal(change.Context, &added) == nil && added.Disk != "" {
		v.log.members[added.ID()] = added
	}
	v.log.confState = *v.log.node.ApplyConfChange(change)
	maps.DeleteFunc(v.log.members, func(id uint64, _ Member) bool { return !v.isMember(id) })
	v.compactLog(0) // a new learner must not get a snapshot that doesn't know of it
}

// isMember tells whether Raft counts that number among voters and learners, the outgoing ones included.
func (v *Voter) isMember(id uint64) bool {
	return slices.Contains(v.log.confState.Voters, id) ||
		slices.Contains(v.log.confState.Learners, id) ||
		slices.Contains(v.log.confState.VotersOutgoing, id)
}
