package relay

// This file owns the counters: what the relay took in, sent and answered. They only grow, are counted by the
// reducer alone, and must never be read to decide anything.

import "log/slog"

// Counters is what was counted since the start.
type Counters struct {
	Accepted, Pings, Heads, BadHeads, Resumed      uint64 // taken in
	Reloads, BadReloads                            uint64
	Tries, Probes, Watches                         uint64 // sent
	Satisfied, Rejected, Errored, Unwanted, Pushed uint64 // answered: UP, BUSY, ERR; client gone first; MOVE
	Pieces, Lines                                  uint64 // of what standing clients said; passed to them
	Endings                                        [len(endingNames)]uint64
	Open, Standing, Most                           int // now, now, and the most sockets at once
}

// Log writes them as one record.
func (c Counters) Log(log *slog.Logger, why string) {
	endings := make([]any, 0, len(c.Endings))
	for e, n := range c.Endings {
		if n > 0 {
			endings = append(endings, slog.Uint64(Ending(e).String(), n))
		}
	}
	log.Info("counters", "why", why,
		slog.Group("in", "accepted", c.Accepted, "pings", c.Pings, "heads", c.Heads, "bad heads", c.BadHeads,
			"resumed", c.Resumed, "pieces", c.Pieces,
			"reloads", c.Reloads, "bad reloads", c.BadReloads),
		slog.Group("sent", "tries", c.Tries, "probes", c.Probes, "watches", c.Watches, "lines", c.Lines),
		slog.Group("answered", "satisfied", c.Satisfied, "rejected", c.Rejected, "errored", c.Errored,
			"unwanted", c.Unwanted, "moved", c.Pushed),
		slog.Group("endings", endings...),
		slog.Group("sockets", "open", c.Open, "standing", c.Standing, "most", c.Most))
}
