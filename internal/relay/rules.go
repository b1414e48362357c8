package relay

import (
	"math"
	"strconv"

	"valeshift/internal/settings"
)

// sessionRules holds the settings that concern sessions. They don't change while the relay runs. All times are in
// milliseconds.
type sessionRules struct {
	classes          map[string]int // class indexes by name
	tenants          map[string]int // tenant indexes by name
	zones            map[string]int // the balancer's zone numbers by name, for the zones named in the settings
	hardLimits       []float64      // hard limit of each class
	longestHardLimit float64        // largest hard limit of any class
	nonIdempotent    []bool         // for each class: an attempt that may have run must not simply be retried
	maxRetryAfter    float64        // longest Retry-After that clients follow; 0: they follow none
	connectTimeout   float64        // limit for establishing a connection to a backend
	canCancel        bool           // an attempt is ended when its client disconnects
	maxSessions      int            // most sessions at a time
	reportFields     []string       // names of the fields of load reports
	reportsInAnswers bool           // backends send load reports with their answers
}

// newSessionRules reads the rules. The reader's error names the first invalid setting, in the order in which they are read.
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

// tenant returns the index of a tenant, and whether the settings name it. All tenants that they don't name share the
// index after the last named one.
func (r *sessionRules) tenant(name string) (index int, known bool) {
	index, known = r.tenants[name]
	if !known {
		index = len(r.tenants)
	}
	return index, known
}

// nameOf returns the name that has the index, or the empty string if there is none.
func nameOf(names map[string]int, index int) string {
	for name, i := range names {
		if i == index {
			return name
		}
	}
	return ""
}
