package replication

// messageType is the type of a message between relays. The numbers are sent and stored.
type messageType uint8

const (
	messageStore    messageType = iota + 1 // request: store this record
	messageStored                          // reply: it is stored, on disk where its kind is durable
	messageReject                          // reply: not stored; or a higher ballot (Ballot) was promised
	messageLookup                          // request: which records of this kind and key do you know?
	messageFound                           // reply: these. A marker without replicas was revoked
	messagePrepare                         // request, Paxos phase 1: promise this ballot for the record
	messagePromise                         // reply: promised, with what was accepted before. Also a stored record's form
	messageAccept                          // request, Paxos phase 2: the record goes to Claimant
	messageAccepted                        // reply: accepted
	messageDiscard                         // from the owner, without a reply: the record is over
	messagePublish                         // from a replica, without a reply: these relays store the record

	messageTypeLimit // one past the last type
)

// isRequest reports whether the message is for a replica, not for the relay that began the operation.
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

// message is what relays send each other. All types have the same fields; those that a type doesn't need are
// zero.
type message struct {
	Type           messageType
	Token          uint64 // of the operation
	From           string // name of the sender
	Incarnation    uint64 // of the sender
	Ballot         ballot
	AcceptedBallot ballot   // zero: the replica has accepted no claim
	Claimant       uint64   // token of the operation that the record goes to: proposed, or accepted before
	Records        []Record // one in a request
}
