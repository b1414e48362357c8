// Package replication stores a relay's records at several relays. A durable record counts as replicated once it is on
// the disks of all its replicas, which are chosen when the record is created and never change. It then survives the
// loss of fewer than half of its replicas together with their disks. Best-effort records are held in memory only.
//
// A single-use record is acquired with the agreement of more than half of its replicas, by a single-decree Paxos
// register per record. No relay therefore needs to know which others are gone, not even during a network partition.
//
// The package is a state machine without disk, socket or clock. Its inputs are messages, times and members; its outputs
// are actions: writes, messages and outcomes. Replies that depend on a write are held back until it is durable. Times
// are Unix milliseconds of the fleet's clock. A Replicator is not safe for concurrent use.
package replication

import (
	"math"
	"math/rand"
)

// Replicator is one relay's part in replication: it stores records for other relays, and replicates its own records to
// them.
type Replicator struct {
	name        string
	incarnation uint64
	copies      int
	rng         *rand.Rand
	suspended   bool

	members   memberList
	records   recordTable   // records stored here, for this relay and others
	locations locationCache // records that other relays store, as they have published them
	publisher publisher     // progress of publishing the locations of the records stored here
	scanner   statusScanner // counts the records stored here for Status

	operations        map[uint64]*operation // operations under way, by token
	revocable         map[uint64]Record     // this relay's records that it may revoke, by the token of Replicate
	scheduledDiscards []scheduledDiscard    // discard messages to send again, by time
	nextDeadline      float64               // the result of NextDeadline
	lastTickAt        float64

	counts [kindLimit]Counts
	faults injectedFaults
}

// injectedFaults are deliberate bugs: tests enable them to show that the test checks detect them.
type injectedFaults struct {
	ackBeforeSync   bool // sends replies before the write that they depend on is durable
	countDuplicates bool // counts duplicate replies from one replica
	forgetUsed      bool // resets a record's register in memory as soon as it has accepted a claim
	forgetRevoked   bool // removes a discarded reservation or marker at once
}

// New returns a replicator without records. incarnation identifies this start of the relay, copies is the number of
// replicas of each record (1, 3, 5 or 7), and maxRecords is the maximum number of records stored here.
func New(name string, incarnation uint64, copies, maxRecords int, rng *rand.Rand) *Replicator {
	return &Replicator{
		name:         name,
		incarnation:  incarnation,
		copies:       copies,
		rng:          rng,
		records:      newRecordTable(maxRecords),
		locations:    newLocationCache(maxRecords),
		operations:   map[uint64]*operation{},
		revocable:    map[uint64]Record{},
		nextDeadline: math.Inf(1),
	}
}

// Action is something that the caller has to do. Exactly one of Data, Write and Outcome is set.
type Action struct {
	To      string // destination address of Data
	Data    []byte
	Write   *Write
	Outcome *Outcome
}

// Write is a write to be made durable: Body is stored under Name, or Name is deleted if Body is nil. The caller calls
// CompleteWrite with it afterwards.
type Write struct {
	Name string
	Body []byte

	replies      []Action  // replies to other relays, to be sent once the write is durable
	localReplies []message // replies to this relay itself, to be handled once the write is durable
}

// Outcome is the result of Replicate, Acquire or Lookup.
type Outcome struct {
	Token  uint64
	Record Record
	Err    error // nil if the record was stored at all replicas, acquired, or found
}

// SetSuspended makes this relay ignore all requests and start no round of publishing, or ends that. A relay is
// suspended while its disk is not known to be the latest that it has replied from, or while another process uses its
// name.
func (r *Replicator) SetSuspended(suspended bool) { r.suspended = suspended }

// IsSuspended reports whether this relay is suspended.
func (r *Replicator) IsSuspended() bool { return r.suspended }

// HandleMessage handles a message that came from an address. It returns an error if the message can't be decoded.
func (r *Replicator) HandleMessage(now float64, from string, data []byte) ([]Action, error) {
	m, err := decodeMessage(data)
	if err != nil {
		return nil, err
	}
	if m.Type.isRequest() {
		return r.handleRequest(now, from, m), nil
	}
	return r.handleReply(now, m), nil
}

// CompleteWrite is called once a write is durable, and returns the actions that depend on it. It must not be called for
// a write that failed, as the replies that depend on it must not be sent.
func (r *Replicator) CompleteWrite(now float64, write *Write) []Action {
	actions := write.replies
	for _, reply := range write.localReplies {
		actions = append(actions, r.handleReply(now, reply)...)
	}
	return actions
}

// newMessage returns a message from this relay.
func (r *Replicator) newMessage(msgType messageType, token uint64, records ...Record) message {
	return message{Type: msgType, Token: token, From: r.name, Incarnation: r.incarnation, Records: records}
}
