package replication

// messageType is the type of a message between relays. The numbers are sent and stored, so they never change.
type messageType uint8

const (
	messageStore    messageType = iota + 1 // request: store this record
	messageStored                          // reply: the record is stored, and on disk if its kind is durable
	messageReject                          // reply: not stored, or a higher ballot (in Ballot) was promised before
	messageLookup                          // request: return the records of this kind and key
	messageFound                           // reply: the records found; a marker without replicas was revoked
	messagePrepare                         // request, Paxos phase 1: promise this ballot for the record
	messagePromise                         // reply: ballot promised, with any accepted claim; also the form on disk
	messageAccept                          // request, Paxos phase 2: accept that Claimant acquires the record
	messageAccepted                        // reply: the claim is accepted
	messageDiscard                         // from the owner, without a reply: the record is no longer needed
	messagePublish                         // from a replica, without a reply: the record and the relays that store it

	messageTypeLimit // one past the last type
)

// isRequest reports whether a message of this type is handled by a replica, and not by the relay that started the
// operation.
func (t messageType) isRequest() bool {
	switch t {
	case messageStore, messageLookup, messagePrepare, messageAccept, messageDiscard, messagePublish:
		return true
	default:
		return false
	}
}

// isReplyTo reports whether a message of this type answers a request of that type.
func (t messageType) isReplyTo(request messageType) bool {
	switch request {
	case messageStore:
		return t == messageStored || t == messageReject
	case messageLookup:
		return t == messageFound
	case messagePrepare:
		return t == messagePromise || t == messageReject
	case messageAccept:
		return t == messageAccepted || t == messageReject
	default:
		return false
	}
}

// message is a message between relays. All types share the same fields; those that a type doesn't need are zero.
type message struct {
	Type           messageType
	Token          uint64 // token of the operation that the message belongs to; 0 where there is none
	From           string // name of the sending relay
	Incarnation    uint64 // incarnation of the sending relay
	Ballot         ballot
	AcceptedBallot ballot   // ballot of the accepted claim; zero if the replica has accepted none
	Claimant       uint64   // the Paxos value: token of the operation that acquires the record, proposed or accepted
	Records        []Record // exactly one in a request
}
