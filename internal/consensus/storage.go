package consensus

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	durableVersion       = 1
	compactionThreshold  = 64      // number of applied entries above which a snapshot replaces them
	maxStateMachineBytes = 8 << 20 // limit of a state machine's snapshot, uncompressed
)

var errDurableVersion = errors.New("unknown version")

// durableState is all that a voter stores, in JSON. Raft's own data is in Raft's encoding.
type durableState struct {
	Version     int                      `json:"Version"`
	Self        Member                   `json:"Me"`
	Boot        uint64                   `json:"Boot"`
	Founders    []Member                 `json:"Founders"` // empty if the voter belongs to no cluster yet
	HardState   []byte                   `json:"Hard"`
	Snapshot    []byte                   `json:"Snapshot"`
	Entries     [][]byte                 `json:"Entries"`
	KnownClaims map[uint64]identityClaim `json:"Known"`
}

// snapshotData is the content of a snapshot, which replaces the entries up to the snapshot's index.
type snapshotData struct {
	Members []Member `json:"Members"`
	// CompressedState is the state machine's snapshot, compressed by DEFLATE as it has to fit into a datagram.
	CompressedState []byte `json:"Machine"`
}

// decodeDurable decodes the contents of a disk. An empty disk gives the zero state.
func decodeDurable(disk []byte) (state durableState, err error) {
	if len(disk) == 0 {
		return state, nil
	}
	if err := json.Unmarshal(disk, &state); err != nil {
		return state, fmt.Errorf("decode state: %w", err)
	}
	if state.Version != durableVersion {
		return state, fmt.Errorf("decode state: %w: %d expected, got %d", errDurableVersion, durableVersion,
			state.Version)
	}
	return state, nil
}

// encodeDurable encodes all that this voter stores. It ignores errors, as everything is in memory and can't fail.
func (v *Voter) encodeDurable() []byte {
	state := durableState{
		Version:     durableVersion,
		Self:        v.self,
		Boot:        v.boot,
		Founders:    v.founders,
		KnownClaims: v.identity.known,
	}
	hardState, _, _ := v.log.storage.InitialState()
	state.HardState, _ = hardState.Marshal()
	snapshot, _ := v.log.storage.Snapshot()
	state.Snapshot, _ = snapshot.Marshal()
	first, _ := v.log.storage.FirstIndex()
	last, _ := v.log.storage.LastIndex()
	if last >= first {
		entries, _ := v.log.storage.Entries(first, last+1, math.MaxUint64)
		for i := range entries {
			entry, _ := entries[i].Marshal()
			state.Entries = append(state.Entries, entry)
		}
	}
	data, _ := json.Marshal(state)
	return data
}

// restoreDurable continues from the contents of this voter's disk, as another start of the same member.
func (v *Voter) restoreDurable(state durableState) error {
	v.self.Disk = state.Self.Disk
	v.boot = state.Boot + 1
	v.founders = state.Founders
	v.output.dirty = true
	if state.KnownClaims != nil {
		v.identity.known = state.KnownClaims
	}
	v.log.storage = raft.NewMemoryStorage()
	var snapshot raftpb.Snapshot
	if err := snapshot.Unmarshal(state.Snapshot); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	var hardState raftpb.HardState
	if err := hardState.Unmarshal(state.HardState); err != nil {
		return fmt.Errorf("decode hard state: %w", err)
	}
	entries, err := decodeEntries(state.Entries)
	if err != nil {
		return err
	}
	hasSnapshot := !raft.IsEmptySnap(snapshot)
	if !hasSnapshot && raft.IsEmptyHardState(hardState) && len(entries) == 0 {
		return nil // the voter belonged to no cluster
	}
	if hasSnapshot {
		if err := v.log.storage.ApplySnapshot(snapshot); err != nil {
			return fmt.Errorf("store snapshot: %w", err)
		}
		if err := v.restoreSnapshot(snapshot); err != nil {
			return err
		}
	}
	v.log.storage.SetHardState(hardState) // doesn't fail, as the storage is in memory
	if err := v.log.storage.Append(entries); err != nil {
		return fmt.Errorf("store entries: %w", err)
	}
	return v.startRaft()
}

func decodeEntries(encoded [][]byte) (entries []raftpb.Entry, err error) {
	for _, data := range encoded {
		var entry raftpb.Entry
		if err := entry.Unmarshal(data); err != nil {
			return nil, fmt.Errorf("decode entry: %w", err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// encodeSnapshot encodes the current state of the state machine, together with these members.
func (v *Voter) encodeSnapshot(members []Member) []byte {
	// Marshal doesn't fail for plain values.
	data, _ := json.Marshal(snapshotData{Members: members, CompressedState: v.compressState()})
	return data
}

// restoreSnapshot replaces the members and the state of the state machine by those of a snapshot.
func (v *Voter) restoreSnapshot(snapshot raftpb.Snapshot) error {
	var data snapshotData
	if err := json.Unmarshal(snapshot.Data, &data); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	v.log.members = map[uint64]Member{}
	for _, m := range data.Members {
		v.log.members[m.ID()] = m
	}
	compressed := flate.NewReader(bytes.NewReader(data.CompressedState))
	state, err := io.ReadAll(io.LimitReader(compressed, maxStateMachineBytes))
	if err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	v.log.appliedIndex = snapshot.Metadata.Index
	v.log.confState = snapshot.Metadata.ConfState
	if err := v.stateMachine.Restore(state); err != nil {
		return fmt.Errorf("restore state machine: %w", err)
	}
	return nil
}

// compressState encodes and compresses the state of the state machine for a snapshot.
func (v *Voter) compressState() []byte {
	var compressed bytes.Buffer
	writer, _ := flate.NewWriter(&compressed, flate.BestCompression) // fails only for an unknown level
	writer.Write(v.stateMachine.Snapshot())                          // doesn't fail, as it writes to memory
	writer.Close()
	return compressed.Bytes()
}

// compactLog replaces the applied entries by a snapshot if there are more of them than the threshold, so that
// memory and disk usage stay bounded.
func (v *Voter) compactLog(threshold uint64) {
	first, err := v.log.storage.FirstIndex()
	if err != nil || v.log.appliedIndex < first+threshold {
		return
	}
	var members []Member
	for _, id := range slices.Sorted(maps.Keys(v.log.members)) {
		members = append(members, v.log.members[id])
	}
	data := v.encodeSnapshot(members)
	if _, err := v.log.storage.CreateSnapshot(v.log.appliedIndex, &v.log.confState, data); err != nil {
		return
	}
	v.log.storage.Compact(v.log.appliedIndex) // doesn't fail, as the entries are present
	v.output.dirty = true
}
