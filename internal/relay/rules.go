package relay

import (
	"math"
	"strconv"

	"valeshift/internal/settings"
)

// sessionRules are what the settings say of sessions. They don't change while the relay runs. Times are milliseconds.
type sessionRules struct {
	classes          map[string]int // numbers by name
	tenants          map[string]int // numbers by name
	zones            map[string]int // numbers by name, of those that the settings name
	hardLimits       []float64      // by class
	longestHardLimit float64
	nonIdempotent    []bool  // by class: an attempt that may have run may not simply be made again
	maxRetryAfter    float64 // the longest wait that a client follows
	connectTimeout   float64 // for a connection to a backend to come up
	canCancel        bool    // an attempt whose client has gone is ended
	maxSessions      int     // at once
	reportFields     []string
	reportsInAnswers bool // load reports come with answers
}

// newSessionRules reads the rules. The reader's error says which setting can't be used: the first, in this order.
func newSessionRules(reader *settings.Reader) sessionRules {
	r := sessionRules{
		classes:          reader.RecordIndexes("categories"),
		tenants:          reader.RecordIndexes("parties"),
		zones:            reader.ListIndexes("localities"),
		reportFields:     reader.ReportFields(),
		reportsInAnswers: reader.Text("stats.how") == "answers",
		canCancel:        reader.Text("limits.may-cancel") != "false",
		maxRetryAfter:    reader.MaxRetryAfter(),
		connectTimeout:   reader.Float("limits.connect-timeout-ms"),
		maxSessions:      int(reader.FloatOr("limits.most-held", math.MaxInt32)),
	}
	for i := range reader.Count("categories.count") {
		class := "categories." + strconv.Itoa(i)
		limit := reader.Float(class + ".hard-limit-ms")
		r.hardLimits = append(r.hardLimits, limit)
		r.longestHardLimit = max(r.longestHardLimit, limit)
		r.nonIdempotent = append(r.nonIdempotent, reader.Text(class+".effect") != "idempotent")
	}
	return r
}

// tenant is the number of a tenant; one that the settings don't name shares the number behind the last. known is whether
// they name it.
func (r *sessionRules) tenant(name string) (number int, known bool) {
	number, known = r.tenants[name]
	if !known {
		number = len(r.tenants)
	}
	return number, known
}

// nameOf is the name that has the number; empty where none has.
func nameOf(names map[string]int, number int) string {
	for name, n := range names {
		if n == number {
			return name
		}
	}
	return ""
}
