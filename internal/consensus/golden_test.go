package consensus

import (
	"encoding/json"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// golden reads a file that an earlier build has written. The files are never regenerated, as data in the same
// form is stored on disks and sent by voters of that build.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return data
}

var (
	goldenNorth = Member{Name: "north", Disk: "0123456789abcdef", Address: "10.0.0.4:7100"}
	goldenSouth = Member{Name: "south", Disk: "fedcba9876543210", Address: "10.0.0.5:7100"}
)

// TestGoldenJSON decodes each type that is stored or sent, with every field filled in, and encodes it to the same
// bytes.
func TestGoldenJSON(t *testing.T) {
	for name, c := range map[string]struct {
		want any
		into any
	}{
		"member.json": {want: &goldenNorth, into: &Member{}},
		"durable.json": {into: &durableState{}, want: &durableState{
			Version:     durableVersion,
			Self:        goldenNorth,
			Boot:        3,
			Founders:    []Member{goldenNorth, goldenSouth},
			HardState:   []byte{1, 2},
			Snapshot:    []byte{3, 4},
			Entries:     [][]byte{{5, 6}, {7, 8}},
			KnownClaims: map[uint64]identityClaim{17: {Boot: 4, Incarnation: 5, Term: 6, Index: 7}},
		}},
		"frame.json": {into: &message{}, want: &message{
			From:            goldenSouth,
			RaftMessage:     []byte{9, 10},
			IsIdentityQuery: true,
			Claim:           identityClaim{Boot: 1, Incarnation: 2, Term: 3, Index: 4},
			HasCluster:      true,
			Members:         []Member{goldenSouth, goldenNorth},
			KnownClaim:      identityClaim{Boot: 5, Incarnation: 6, Term: 7, Index: 8},
			ClaimsByMember:  map[uint64]identityClaim{18: {Boot: 9, Incarnation: 10, Term: 11, Index: 12}},
		}},
		"snapshot.json": {into: &snapshotData{}, want: &snapshotData{
			Members:         []Member{goldenNorth, goldenSouth},
			CompressedState: []byte{11, 12},
		}},
		"status.json": {into: &Status{}, want: &Status{
			Self:                goldenNorth,
			Boot:                3,
			Role:                RoleLeader,
			Leader:              "north",
			Term:                4,
			AppliedIndex:        5,
			Voters:              []Member{goldenNorth, goldenSouth},
			Learners:            []Member{goldenSouth},
			DiskConfirmed:       true,
			OversizedMessages:   6,
			DiskDiscardedReason: "south knows of start 4, term 5, entry 6; the disk has 3, 4, 5",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			data := golden(t, name)
			require.NoError(t, json.Unmarshal(data, c.into))
			assert.Equal(t, c.want, c.into)
			written, err := json.Marshal(c.want)
			require.NoError(t, err)
			assert.Equal(t, string(data), string(written))
		})
	}
}

func TestRolesAreRafts(t *testing.T) {
	for role, state := range map[Role]raft.StateType{
		RoleFollower:     raft.StateFollower,
		RolePreCandidate: raft.StatePreCandidate,
		RoleCandidate:    raft.StateCandidate,
		RoleLeader:       raft.StateLeader,
	} {
		assert.Equal(t, state.String(), role.String())
	}
}

func TestMemberIDIsStable(t *testing.T) {
	assert.Equal(t, uint64(3304909486640518328), goldenNorth.ID())
}

// TestGoldenMessages decodes messages that voters of an earlier build exchanged, and encodes them to the same bytes.
func TestGoldenMessages(t *testing.T) {
	for name, raftType := range map[string]raftpb.MessageType{
		"frame-MsgPreVote.json":       raftpb.MsgPreVote,
		"frame-MsgPreVoteResp.json":   raftpb.MsgPreVoteResp,
		"frame-MsgVote.json":          raftpb.MsgVote,
		"frame-MsgVoteResp.json":      raftpb.MsgVoteResp,
		"frame-MsgApp.json":           raftpb.MsgApp,
		"frame-MsgAppResp.json":       raftpb.MsgAppResp,
		"frame-MsgHeartbeat.json":     raftpb.MsgHeartbeat,
		"frame-MsgHeartbeatResp.json": raftpb.MsgHeartbeatResp,
		"frame-MsgSnap.json":          raftpb.MsgSnap,
		"frame-learner-added.json":    raftpb.MsgApp,
		"frame-member-replaced.json":  raftpb.MsgApp,
	} {
		t.Run(name, func(t *testing.T) {
			data := golden(t, name)
			var m message
			require.NoError(t, json.Unmarshal(data, &m))
			assert.NotEmpty(t, m.From.Disk)
			assert.NotZero(t, m.Claim.Boot)
			assert.NotZero(t, m.Claim.Incarnation)
			var raftMessage raftpb.Message
			require.NoError(t, raftMessage.Unmarshal(m.RaftMessage))
			assert.Equal(t, raftType, raftMessage.Type)
			assert.Equal(t, m.From.ID(), raftMessage.From)
			if raftType == raftpb.MsgSnap {
				var s snapshotData
				require.NoError(t, json.Unmarshal(raftMessage.Snapshot.Data, &s))
				assert.Len(t, s.Members, 4, "three voters and a learner that is being admitted")
				assert.NotEmpty(t, s.CompressedState)
			}
			written, err := json.Marshal(m)
			require.NoError(t, err)
			assert.Equal(t, string(data), string(written))
		})
	}
}

// TestGoldenMembershipChange decodes the entries by which a leader of an earlier build admitted a voter on a new
// disk.
func TestGoldenMembershipChange(t *testing.T) {
	for name, changes := range map[string][]raftpb.ConfChangeType{
		"frame-learner-added.json":   {raftpb.ConfChangeAddLearnerNode},
		"frame-member-replaced.json": {raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode},
	} {
		t.Run(name, func(t *testing.T) {
			var m message
			require.NoError(t, json.Unmarshal(golden(t, name), &m))
			var raftMessage raftpb.Message
			require.NoError(t, raftMessage.Unmarshal(m.RaftMessage))
			require.Len(t, raftMessage.Entries, 1)
			var change raftpb.ConfChangeV2
			require.Equal(t, raftpb.EntryConfChangeV2, raftMessage.Entries[0].Type)
			require.NoError(t, change.Unmarshal(raftMessage.Entries[0].Data))
			require.Len(t, change.Changes, len(changes))
			for i, want := range changes {
				assert.Equal(t, want, change.Changes[i].Type)
			}
			var admitted Member
			require.NoError(t, json.Unmarshal(change.Context, &admitted))
			assert.Equal(t, "v2", admitted.Name)
			assert.Equal(t, "2", admitted.Address)
			assert.Equal(t, change.Changes[0].NodeID, admitted.ID())
			written, err := json.Marshal(admitted)
			require.NoError(t, err)
			assert.Equal(t, string(change.Context), string(written))
		})
	}
}

// TestFirstMessageIsStable checks the first state and the first query of a voter on a new disk whose identity is
// drawn from a fixed seed.
func TestFirstMessageIsStable(t *testing.T) {
	configured := []Member{{Name: "north", Address: "10.0.0.4:7100"}, {Name: "south", Address: "10.0.0.5:7100"}}
	c := &cluster{t: t, committedEntries: map[uint64]string{}, highestApplied: map[int]uint64{}}
	v, err := New(1000, configured[0], configured, nil, &register{cluster: c}, rand.New(rand.NewSource(7)))
	require.NoError(t, err)
	v.Tick(1000)
	ready := v.Ready()
	require.Len(t, ready.Messages, 1)
	assert.Equal(t, "10.0.0.5:7100", ready.Messages[0].To)
	assert.Equal(t, string(golden(t, "first-frame.json")), string(ready.Messages[0].Data))
	assert.Equal(t, string(golden(t, "first-disk.json")), string(ready.DurableState))
}

// TestStartOnGoldenDisk starts a voter on a disk that an earlier build has written. The disk holds a snapshot,
// after which a voter with a wiped disk was admitted again, and later entries, the last of which is not known to
// be committed.
func TestStartOnGoldenDisk(t *testing.T) {
	configured := []Member{{Name: "v0", Address: "0"}, {Name: "v1", Address: "1"}, {Name: "v2", Address: "2"}}
	c := &cluster{t: t, committedEntries: map[uint64]string{}, highestApplied: map[int]uint64{}}
	state := &register{cluster: c}
	v, err := New(1000, configured[0], configured, golden(t, "disk-v0.json"), state, rand.New(rand.NewSource(7)))
	require.NoError(t, err)
	for ready := v.Ready(); ready.DurableState != nil; ready = v.Ready() {
		v.Advance()
	}
	assert.Equal(t, "195 by 1", state.last)
	assert.Equal(t, 195, state.count, "the entries in the snapshot and the later ones that were known to be committed")
	s := v.Status()
	assert.Equal(t, uint64(2), s.Boot, "one start more than the disk has recorded")
	assert.Equal(t, Member{Name: "v0", Disk: "194992241c49ae86", Address: "0"}, s.Self)
	assert.Equal(t, []Member{
		{Name: "v1", Disk: "e4a28581c49dc226", Address: "1"},
		{Name: "v0", Disk: "194992241c49ae86", Address: "0"},
		{Name: "v2", Disk: "8b8c6ec608832026", Address: "2"},
	}, s.Voters)
	assert.Equal(t, uint64(214), s.AppliedIndex)
	assert.Equal(t, uint64(2), s.Term)
	assert.Len(t, v.identity.known, 3)
	index, err := v.log.storage.LastIndex()
	require.NoError(t, err)
	assert.Equal(t, uint64(215), index)
	assert.Empty(t, c.violations)
}
