package relay

// This file owns the counters: what the relay took in, sent and answered. They only grow, are counted by the
// reducer alone, and must never be read to decide anything.

import "log/slog"

// Counters is what was counted since the start.
type Counters struct {
	Accepted, Pings, Requests, Reestablished, AcceptPauses, SessionsReceived uint64 // taken in; Handed: by the elder process
	Reloads, FailedReloads                                                   uint64
	RequestErrors                                                            [len(requestErrorNames)]uint64
	Attempts, RequestsSent, Polls, Watches                                   uint64 // sent; Written: heads
	Succeeded, Rejected, Failed, Abandoned, Migrated                         uint64 // answered: UP, BUSY, ERR; client gone first; MOVE
	// BUSY that other relays hold as well; or that they should
	RejectionsReplicated, RejectionsUnreplicated uint64
	// heads sent with a mark and without; further tries marked
	AttemptsMarked, AttemptsUnmarked, RepeatsDetected uint64
	AffinityHits                                      uint64 // clients of whom others knew where they stood
	ClientChunks, BackendLines                        uint64 // of what standing clients said; passed to them
	EndReasons                                        [len(endReasonNames)]uint64
	OpenConns, Established, MaxOpenConns              int // now, now, and the most sockets at once
}

// Log writes them as one record.
func (c Counters) Log(log *slog.Logger, why string) {
	endings, bad := nonZero[EndReason](c.EndReasons[:]), nonZero[RequestError](c.RequestErrors[:])
	log.Info("counters", "why", why,
		slog.Group("in", "accepted", c.Accepted, "pings", c.Pings, "heads", c.Requests,
			"resumed", c.Reestablished, "handed", c.SessionsReceived, "holds", c.AcceptPauses, "pieces", c.ClientChunks,
			"reloads", c.Reloads, "bad reloads", c.FailedReloads),
		slog.Group("sent", "tries", c.Attempts, "written", c.RequestsSent, "probes", c.Polls, "watches", c.Watches,
			"lines", c.BackendLines),
		slog.Group("answered", "satisfied", c.Succeeded, "rejected", c.Rejected, "errored", c.Failed,
			"unwanted", c.Abandoned, "moved", c.Migrated,
			"entrusted", c.RejectionsReplicated, "alone", c.RejectionsUnreplicated,
			"marked", c.AttemptsMarked, "unmarked", c.AttemptsUnmarked, "repeats", c.RepeatsDetected, "returned", c.AffinityHits),
		slog.Group("endings", endings...),
		slog.Group("bad clients", bad...),
		slog.Group("sockets", "open", c.OpenConns, "standing", c.Established, "most", c.MaxOpenConns))
}

// nonZero are those of the counts that are not 0, under their names.
func nonZero[K interface {
	~uint8
	String() string
}](counts []uint64) (all []any) {
	for k, n := range counts {
		if n > 0 {
			all = append(all, slog.Uint64(K(k).String(), n))
		}
	}
	return all
}
