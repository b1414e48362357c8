package consensus

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

const maxMessageBytes = 60000 // leaves room in a UDP datagram for what the caller adds

// Errors of a message that can't be used.
var (
	errTooLong      = errors.New("message is too long for a datagram")
	errNoDisk       = errors.New("sender has no disk ID")
	errOtherSender  = errors.New("message and its Raft message have different senders")
	errRaftEncoding = errors.New("malformed Raft message")
)

// message is what voters send one another, in JSON: a Raft message, a query about the sender's identity, or the
// answer to such a query. A message with neither RaftMessage nor IsIdentityQuery is an answer.
type message struct {
	From            Member        `json:"From"`
	RaftMessage     []byte        `json:"Raft,omitempty"`
	IsIdentityQuery bool          `json:"Asks,omitempty"`
	Claim           identityClaim `json:"Claim"`  // the sender's claim about itself
	HasCluster      bool          `json:"Formed"` // whether the sender belongs to a cluster
	// Members are the founders of the sender's cluster or, if it belongs to none, the voters without a cluster
	// that it knows of.
	Members        []Member                 `json:"Members,omitempty"`
	KnownClaim     identityClaim            `json:"Known"`         // in an answer: what is known of its recipient
	ClaimsByMember map[uint64]identityClaim `json:"All,omitempty"` // from a leader: all that it knows, by Raft ID
}

// OutgoingMessage is an encoded message and its destination address.
type OutgoingMessage struct {
	To   string
	Data []byte
}

// decodeMessage decodes and checks a message from any sender.
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

// decodeRaft returns the Raft message within a message. Both must have the same sender.
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

// send queues a message, after filling in the fields that describe its sender. A message that is too long for
// a datagram is dropped and counted.
func (v *Voter) send(to string, m message) {
	m.From = v.self
	m.Claim = v.ownClaim()
	m.HasCluster = len(v.founders) > 0
	if m.HasCluster {
		m.Members = v.founders
	} else {
		m.Members = v.votersWithoutCluster()
	}
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxMessageBytes {
		v.output.oversized++
		return
	}
	v.output.messages = append(v.output.messages, OutgoingMessage{To: to, Data: data})
}

// sendRaft queues a Raft message. A message to an unknown member is dropped.
func (v *Voter) sendRaft(raftMessage raftpb.Message) {
	to, isMember := v.log.members[raftMessage.To]
	if !isMember {
		if raftMessage.To != v.replacement.sponsor.ID() {
			return
		}
		to = v.replacement.sponsor // the sponsor admits this voter, which knows no members yet
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
