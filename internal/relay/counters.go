package relay

import "log/slog"

// Counters is what the relay has counted since its start. The state machine alone counts; no decision goes by them.
type Counters struct {
	// What came in.
	Accepted         uint64 // clients' connections
	Pings            uint64
	Requests         uint64 // first lines of clients
	Reestablished    uint64 // requests that named the backend of an earlier session
	SessionsReceived uint64 // from the parent process
	AcceptPauses     uint64
	ClientChunks     uint64 // of data in established sessions
	Reloads          uint64
	FailedReloads    uint64
	RequestErrors    [len(requestErrorNames)]uint64 // by RequestError

	// What was sent.
	Attempts     uint64
	RequestsSent uint64 // to backends
	Polls        uint64 // of backends' load
	Watches      uint64 // of the endpoint list
	BackendLines uint64 // passed to clients in established sessions

	// How clients were answered.
	Succeeded uint64 // UP
	Rejected  uint64 // BUSY
	Failed    uint64 // ERR
	Abandoned uint64 // the client left first
	Migrated  uint64 // MOVE

	// Records at other relays.
	RejectionsReplicated   uint64 // rejections that other relays have a reservation of
	RejectionsUnreplicated uint64 // those that they should have one of, and don't
	AttemptsMarked         uint64 // requests sent with an attempt marker
	AttemptsUnmarked       uint64 // those sent without one
	RepeatsDetected        uint64 // retries of clients whose earlier attempt had a marker
	AffinityHits           uint64 // clients of whom others knew where they were established

	EndReasons [len(endReasonNames)]uint64 // by EndReason

	// Gauges of connections.
	OpenConns    int
	Established  int // sessions
	MaxOpenConns int // the most at a time
}

// Log logs all counters as one record. Those of reasons and request errors are left out where they are 0.
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
			"returned", c.AffinityHits),
		slog.Group("endings", endReasons...),
		slog.Group("bad clients", requestErrors...),
		slog.Group("sockets",
			"open", c.OpenConns,
			"standing", c.Established,
			"most", c.MaxOpenConns))
}

// nonZero returns the counts that are not 0, as log attributes by their names.
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
