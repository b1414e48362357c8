package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// applyEntry applies a committed entry. An entry that can't be decoded is skipped, by all voters alike.
func (v *Voter) applyEntry(entry raftpb.Entry) {
	v.log.appliedIndex = entry.Index
	if entry.Type != raftpb.EntryNormal {
		change, err := decodeMembershipChange(entry)
		if err == nil {
			v.applyMembershipChange(change)
		}
		return
	}
	if len(entry.Data) > 0 { // a new leader's first entry is empty
		v.stateMachine.Apply(entry.Index, entry.Data)
	}
}

// decodeMembershipChange decodes a membership change in either of Raft's encodings (ConfChange, ConfChangeV2).
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

// applyMembershipChange applies a membership change. Its context is the added member, in JSON.
func (v *Voter) applyMembershipChange(change raftpb.ConfChangeV2) {
	var added Member
	if len(change.Context) > 0 && json.Unmarshal(change.Context, &added) == nil && added.Disk != "" {
		v.log.members[added.ID()] = added
	}
	v.log.confState = *v.log.node.ApplyConfChange(change)
	maps.DeleteFunc(v.log.members, func(id uint64, _ Member) bool { return !v.isMember(id) })
	v.compactLog(0) // a snapshot that is sent to a new learner must include that learner
}

// isMember reports whether a Raft ID is that of a voter, a learner or an outgoing voter.
func (v *Voter) isMember(id uint64) bool {
	return slices.Contains(v.log.confState.Voters, id) ||
		slices.Contains(v.log.confState.Learners, id) ||
		slices.Contains(v.log.confState.VotersOutgoing, id)
}
