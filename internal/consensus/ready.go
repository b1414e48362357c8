package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Ready is what the caller has to do: store the state and, once it is durable, send the messages and call
// Advance.
type Ready struct {
	DurableState []byte // replaces the state stored before; nil if there is nothing to store
	Messages     []OutgoingMessage
}

// output is what is waiting to be stored or sent.
type output struct {
	raftReady *raft.Ready // output taken from Raft that is not durable yet
	saving    bool        // the caller is storing the state that Ready returned
	dirty     bool        // the durable state has changed since Ready last returned it
	messages  []OutgoingMessage
	oversized int // number of messages dropped because they are too long for a datagram
}

// Ready returns what is to be done now. It is empty while the caller is still storing a state. A Ready without
// DurableState needs no Advance.
func (v *Voter) Ready() Ready {
	if v.output.saving {
		return Ready{}
	}
	v.takeRaftReady()
	ready := Ready{Messages: v.output.messages}
	v.output.messages = nil
	if v.output.dirty && !v.faults.sendUnsaved {
		ready.DurableState = v.encodeDurable()
		v.output.saving = true
	}
	v.output.dirty = false
	if !v.output.saving {
		v.Advance()
	}
	return ready
}

// takeRaftReady takes from Raft what is to be stored and sent.
func (v *Voter) takeRaftReady() {
	if v.log.node == nil || !v.log.node.HasReady() {
		return
	}
	ready := v.log.node.Ready()
	v.output.raftReady = &ready
	// The storage is in memory. Its only error is for a snapshot older than its own; it then keeps its own.
	if !raft.IsEmptySnap(ready.Snapshot) {
		v.log.storage.ApplySnapshot(ready.Snapshot)
		v.output.dirty = true
	}
	v.log.storage.Append(ready.Entries)
	if !raft.IsEmptyHardState(ready.HardState) {
		v.log.storage.SetHardState(ready.HardState)
	}
	if ready.MustSync {
		v.output.dirty = true
	}
	for _, m := range ready.Messages {
		v.sendRaft(m)
	}
}

// Advance confirms that the state returned by Ready is durable, and applies the entries committed with it.
func (v *Voter) Advance() {
	ready := v.output.raftReady
	v.output.raftReady = nil
	v.output.saving = false
	if ready == nil {
		return
	}
	v.installSnapshot(ready.Snapshot)
	for _, entry := range ready.CommittedEntries {
		v.applyEntry(entry)
	}
	v.lease.confirm(ready.ReadStates, v.log.appliedIndex)
	v.log.node.Advance(*ready)
	v.reportSnapshots(ready.Messages)
	v.compactLog(compactionThreshold)
}

// installSnapshot applies a leader's snapshot. From then on, a voter on a new disk belongs to the cluster.
func (v *Voter) installSnapshot(snapshot raftpb.Snapshot) {
	if raft.IsEmptySnap(snapshot) || v.restoreSnapshot(snapshot) != nil || len(v.founders) > 0 {
		return
	}
	for _, id := range v.log.confState.Voters {
		v.founders = append(v.founders, v.log.members[id])
	}
	v.output.dirty = true
}

// reportSnapshots tells Raft that the snapshots among these messages have arrived, although they may be lost.
// Raft sends a follower nothing more until it is told whether the snapshot arrived, and the loss of a datagram
// is never reported. A follower that did not get its snapshot rejects the next entry, and the snapshot is sent
// again.
func (v *Voter) reportSnapshots(messages []raftpb.Message) {
	for _, m := range messages {
		if m.Type == raftpb.MsgSnap {
			v.log.node.ReportSnapshot(m.To, raft.SnapshotFinish)
		}
	}
}
