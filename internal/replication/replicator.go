// Package replication stores a relay's records at several relays. A durable record counts as replicated once it
// is on the disks of all its replicas, which are drawn when it is made and never change; fewer than half of them
// may then be lost together with their disks. Best-effort records are held in memory only.
//
// A record that may be used once is acquired by agreement of more than half of its replicas: a Paxos register of
// a single decree for each record. So no relay has to know which others are gone, not even while the network is
// split.
//
// The package is a state machine without disk, socket or clock. Messages, times and members come in; writes,
// messages and outcomes go out as actions, and what depends on a write waits for it. Times are Unix milliseconds
// of the fleet's clock. Calls are not safe for concurrent use.
package replication

import (
	"math"
	"math/rand"
)

// Replicator is one relay's part in replication: it stores replicas for others, and has its own records stored
// by them.
type Replicator struct {
	name        string
	incarnation uint64
	copies      int
	rng         *rand.Rand
	suspended   bool

	members   memberList
	records   recordTable   // stored here, for this relay and others
	locations locationCache // where other relays store theirs
	publisher publisher     // announces to others where records are stored
	scanner   statusScanner // counts records for the status

	operations   map[uint64]*operation // requests to other relays under way, by token
	revocable    map[uint64]Record     // records of this relay that it may revoke, by the token of Replicate
	repeats      []scheduledDiscard    // in the order of their times
	nextDeadline float64               // see NextDeadline
	lastTickAt   float64

	counts [kindLimit]Counts
	faults injectedFaults
}

// injectedFaults are mistakes made on purpose: tests check that the checks notice them.
type injectedFaults struct {
	ackBeforeSync   bool // acknowledges a record before it is durable
	countDuplicates bool // counts one replica's reply twice
	forgetUsed      bool // drops the register's state of a used record at once
	forgetRevoked   bool // drops a revoked marker at once
}

// New returns a replicator that stores nothing yet. incarnation is the number of this start of the relay, copies
// how many replicas a record has (1, 3, 5 or 7), maxRecords how many records are stored here at most.
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

// Action is what the caller is to do. One of Data, Write and Outcome is set.
type Action struct {
	To      string // address that Data is to be sent to
	Data    []byte
	Write   *Write
	Outcome *Outcome
}

// Write is to be made durable: Body under Name, or Name deleted where Body is nil. CompleteWrite is called with it
// afterwards.
type Write struct {
	Name string
	Body []byte

	replies      []Action  // to be sent once it is durable
	localReplies []message // replies to this relay itself
}

// Outcome is the result of Replicate, Acquire or Lookup.
type Outcome struct {
	Token  uint64
	Record Record
	Err    error // nil: all replicas have stored the record; or it is found, and acquired by this relay
}

// SetSuspended makes this relay store nothing new and reply nothing about what it stores: its disk is not known
// to be the latest that the relay has replied from, or another process uses its name.
func (r *Replicator) SetSuspended(suspended bool) { r.suspended = suspended }

// HandleMessage handles a message that came from an address. It fails where the message can't be decoded.
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

// CompleteWrite is called once a write is durable, and returns what waited for that. It is not called for a write
// that failed: nothing that depends on it may be sent.
func (r *Replicator) CompleteWrite(now float64, write *Write) []Action {
	actions := write.replies
	for _, reply := range write.localReplies {
		actions = append(actions, r.handleReply(now, reply)...)
	}
	return actions
}

// newMessage returns a message from this relay.
func (r *Replicator) newMessage(kind messageType, token uint64, records ...Record) message {
	return message{Type: kind, Token: token, From: r.name, Incarnation: r.incarnation, Records: records}
}
