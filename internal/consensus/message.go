package consensus

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

const maxMessageBytes = 60000 // of a datagram, less what the caller puts around it

// Errors of a message that can't be used.
var (
	errTooLong      = errors.New("longer than a datagram holds")
	errNoDisk       = errors.New("its sender names no disk")
	errOtherSender  = errors.New("the Raft message has another sender")
	errRaftEncoding = errors.New("its Raft message is malformed")
)

// message is what goes between voters, in JSON: a Raft message, a query about the sender's identity, or the
// answer to one. A message without RaftMessage and IsIdentityQuery is an answer.
type message struct {
	From            Member        `json:"From"`
	RaftMessage     []byte        `json:"Raft,omitempty"`
	IsIdentityQuery bool          `json:"Asks,omitempty"`
	Claim           identityClaim `json:"Claim"`  // the sender's own
	HasCluster      bool          `json:"Formed"` // the sender belongs to a cluster
	// Members are those that founded the sender's cluster or, where it belongs to none, the voters on new
	// disks as it sees them.
	Members        []Member                 `json:"Members,omitempty"`
	KnownClaim     identityClaim            `json:"Known"`         // in an answer: what is known of who asked
	ClaimsByMember map[uint64]identityClaim `json:"All,omitempty"` // from a leader: what it knows of each member
}

// OutgoingMessage is an encoded message and the address that it goes to.
type OutgoingMessage struct {
	To   string
	Data []byte
}

// decodeMessage decodes and checks a message of whatever sender.
func decodeMessage(data []byte) (message, error) {
	var m message
	if len(data) > maxMessageBytes {
		return m, fmt.Errorf("decode message: %w", errTooLong)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("decode message: %w", err)
	}
	if m.From.Disk == "" {
		return m, fmt.Errorf("decode message: %w", errNoDisk)
	}
	return m, nil
}

// decodeRaft returns the Raft message within a message.
func (m message) decodeRaft() (raftpb.Message, error) {
	var raftMessage raftpb.Message
	if err := raftMessage.Unmarshal(m.RaftMessage); err != nil {
		return raftMessage, fmt.Errorf("%w: %w", errRaftEncoding, err)
	}
	if raftMessage.From != m.From.ID() {
		return raftMessage, errOtherSender
	}
	return raftMessage, nil
}

// send queues a message, completed by what each message tells of its sender. One that is too long for a
// datagram is dropped and counted.
func (v *Voter) send(to string, m message) {
	m.From = v.self
	m.Claim = v.ownClaim()
	m.HasCluster = len(v.founders) > 0
	if m.HasCluster {
		m.Members = v.founders
	} else {
		m.Members = v.newcomers()
	}
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxMessageBytes {
		v.output.oversized++
		return
	}
	v.output.messages = append(v.output.messages, OutgoingMessage{To: to, Data: data})
}

// sendRaft queues a Raft message. One to nobody who is known is dropped.
func (v *Voter) sendRaft(raftMessage raftpb.Message) {
	to, isMember := v.log.members[raftMessage.To]
	if !isMember {
		if raftMessage.To != v.replacement.sponsor.ID() {
			return
		}
		to = v.replacement.sponsor // it admits this voter, which knows no member yet
	}
	data, err := raftMessage.Marshal()
	if err != nil {
		return
	}
	m := message{RaftMessage: data}
	if raftMessage.Type == raftpb.MsgApp || raftMessage.Type == raftpb.MsgHeartbeat {
		m.ClaimsByMember = v.identity.known
	}
	v.send(v.addressOf(to), m)
}
