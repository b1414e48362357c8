package relay

import "log/slog"

// Counters counts what has happened since the relay's start. Only the state machine updates them, and no decision depends
// on them.
type Counters struct {
	// Incoming events.
	Accepted         uint64                         // client connections accepted
	Pings            uint64                         // pings from clients
	Requests         uint64                         // valid requests from clients
	Reestablished    uint64                         // requests that name the backend of an earlier session
	SessionsReceived uint64                         // sessions received from the parent process
	AcceptPauses     uint64                         // times that accepting clients was paused
	ClientChunks     uint64                         // chunks of client data in established sessions
	Reloads          uint64                         // successful configuration reloads
	FailedReloads    uint64                         // rejected configuration reloads
	RequestErrors    [len(requestErrorNames)]uint64 // request errors of clients, by RequestError

	// Outgoing requests and data.
	Attempts     uint64 // attempts started
	RequestsSent uint64 // requests sent to backends
	Polls        uint64 // load polls of backends
	Watches      uint64 // watches of the endpoint list started
	BackendLines uint64 // backend lines forwarded to clients in established sessions

	// Outcomes for clients.
	Succeeded uint64 // clients answered UP
	Rejected  uint64 // clients answered BUSY
	Failed    uint64 // clients answered ERR
	Abandoned uint64 // clients that disconnected before their answers
	Migrated  uint64 // clients sent MOVE

	// Records held by other relays.
	RejectionsReplicated   uint64 // rejections whose reservation other relays hold
	RejectionsUnreplicated uint64 // rejections whose reservation could not be replicated
	AttemptsMarked         uint64 // requests sent with an attempt marker
	AttemptsUnmarked       uint64 // requests sent without an attempt marker although one was needed
	RepeatsDetected        uint64 // client retries whose earlier attempt had a marker
	LookupsUndecided       uint64 // client retries for which no relay could tell whether their earlier attempt ran
	AffinityHits           uint64 // clients whose backend was found in an affinity record

	EndReasons [len(endReasonNames)]uint64 // ended attempts and sessions, by EndReason

	// Gauges.
	OpenConns    int // connections that are open or being dialed
	Established  int // established sessions
	MaxOpenConns int // highest value of OpenConns so far
}

// Log logs all counters as one record. End reasons and request errors with a count of 0 are omitted.
func (c Counters) Log(log *slog.Logger, why string) {
	endReasons := nonZero[EndReason](c.EndReasons[:])
	requestErrors := nonZero[RequestError](c.RequestErrors[:])
	log.Info("counters", "why", why,
		slog.Group("in",
			"accepted", c.Accepted,
			"pings", c.Pings,
			"heads", c.Requests,
			"resumed", c.Reestablished,
			"handed", c.SessionsReceived,
			"holds", c.AcceptPauses,
			"pieces", c.ClientChunks,
			"reloads", c.Reloads,
			"bad reloads", c.FailedReloads),
		slog.Group("sent",
			"tries", c.Attempts,
			"written", c.RequestsSent,
			"probes", c.Polls,
			"watches", c.Watches,
			"lines", c.BackendLines),
		slog.Group("answered",
			"satisfied", c.Succeeded,
			"rejected", c.Rejected,
			"errored", c.Failed,
			"unwanted", c.Abandoned,
			"moved", c.Migrated,
			"entrusted", c.RejectionsReplicated,
			"alone", c.RejectionsUnreplicated,
			"marked", c.AttemptsMarked,
			"unmarked", c.AttemptsUnmarked,
			"repeats", c.RepeatsDetected,
			"undecided", c.LookupsUndecided,
			"returned", c.AffinityHits),
		slog.Group("endings", endReasons...),
		slog.Group("bad clients", requestErrors...),
		slog.Group("sockets",
			"open", c.OpenConns,
			"standing", c.Established,
			"most", c.MaxOpenConns))
}

// nonZero returns the counts other than 0 as log attributes, named after their kinds.
func nonZero[Kind interface {
	~uint8
	String() string
}](counts []uint64) []any {
	var attributes []any
	for kind, count := range counts {
		if count > 0 {
			attributes = append(attributes, slog.Uint64(Kind(kind).String(), count))
		}
	}
	return attributes
}
