// Package audit checks whether relays keep their rules, from what clients, backends and discovery see: one final
// answer in time, no effect applied twice, drains respected, no backend overloaded in slow start, and no line lost,
// duplicated or held back. It sees nothing of a relay's inside, so that it catches a relay that is broken in any
// way.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Rule is a rule that relays must keep.
type Rule uint8

// The rules.
const (
	FinalAnswer  Rule = iota // exactly one final answer to each request, before the hard limit
	AtMostOnce               // no effect applied twice, and no two attempts of a session at the same time
	Drain                    // no new attempt on a backend that is listed as leaving or gone
	SlowStart                // no backend overloaded in slow start
	LineDelivery             // lines passed on once, in order and at once; no session ended without a MOVE
	ruleCount
)

// ruleNames are the names of the rules in reports.
var ruleNames = [ruleCount]string{
	FinalAnswer:  "final answer",
	AtMostOnce:   "twice",
	Drain:        "drain",
	SlowStart:    "cold",
	LineDelivery: "lines",
}

// String returns the name of the rule in reports.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one case of a broken rule.
type Violation struct {
	Rule      Rule
	At        float64 // time in milliseconds
	SessionID string
	Detail    string
}

// String returns the violation as a line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%.1f %s: %s (session %s)", v.At, v.Rule, v.Detail, v.SessionID)
}

const (
	grace         = 50.0    // tolerance that is added to each time limit, in ms
	maxViolations = 200     // number of violations that are kept; all are counted
	retentionTime = 30000.0 // time for which a session that is over is kept, in ms; operations are kept twice as long
)

// Auditor is a model.Observer that checks the rules. Its times are in milliseconds. It is not safe for concurrent
// use.
type Auditor struct {
	// IsSameZone, if set, reports whether a relay and a backend are in the same zone. LocatedAttempts counts the
	// attempts from the time LocalityFrom on, and LocalAttempts those of them within one zone.
	IsSameZone      func(relay int, backend string) bool
	LocalityFrom    float64
	LocalAttempts   int
	LocatedAttempts int

	Violations []Violation    // the first maxViolations
	Counts     [ruleCount]int // number of all violations, by rule

	Requests int
	Attempts int
	Lines    int
	// RepeatedEffects counts single-use effects that a client's retry has repeated. No rule forbids them, but
	// attempt markers are there to prevent them.
	RepeatedEffects       int
	Reconnects            int // sessions that clients got after they had lost one, counted once for each operation
	AffineReconnects      int // those of them at the backend of the client's session before
	ReplacementRejections int // clients that a relay did not let in while it was being replaced

	slack            float64 // time by which an event may be seen late, in ms
	overloadMultiple float64 // limit in slow start, as a multiple of the present capacity
	overloadWindow   float64 // time over which load counts for that limit, in ms

	sessions   map[string]*session
	operations map[string]*operation
	clients    map[string]*client
	relays     map[int]*relayState
	backends   map[string]*backendState
	sweptAt    float64 // time of the last sweep
}

// New returns an auditor. Slack is the time in ms by which an event may be seen later than it happens. A backend in
// slow start may be sent overloadMultiple times its present capacity within overloadWindow, in ms.
func New(slack, overloadMultiple, overloadWindow float64) *Auditor {
	return &Auditor{
		slack:            slack,
		overloadMultiple: overloadMultiple,
		overloadWindow:   overloadWindow,
		sessions:         map[string]*session{},
		operations:       map[string]*operation{},
		clients:          map[string]*client{},
		relays:           map[int]*relayState{},
		backends:         map[string]*backendState{},
	}
}

// report counts a violation, and keeps it if there are fewer than maxViolations.
func (a *Auditor) report(rule Rule, now float64, id, format string, args ...any) {
	a.Counts[rule]++
	if len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, Violation{rule, now, id, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount returns the number of all violations.
func (a *Auditor) ViolationCount() (count int) {
	for _, c := range a.Counts {
		count += c
	}
	return count
}

// Finish checks the requests and attempts that are still open at the end of a run, in the order of the requests.
func (a *Auditor) Finish(now float64) {
	ids := slices.SortedFunc(maps.Keys(a.sessions), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.sessions[x].requestedAt, a.sessions[y].requestedAt), cmp.Compare(x, y))
	})
	for _, id := range ids {
		s := a.sessions[id]
		if s.answer == "" && !s.isOver && now > s.dueAt+grace+a.slack && !a.isExcused(s) {
			a.report(FinalAnswer, now, id, "no answer at the end of the run")
		}
		for i := range s.attempts {
			if s.attempts[i].isInProgress() {
				s.attempts[i].finishedAt = now
				a.checkOverlap(id, s, i)
			}
		}
	}
}

// sweep forgets sessions and operations that have been over for long.
func (a *Auditor) sweep(now float64) {
	if now < a.sweptAt+retentionTime {
		return
	}
	a.sweptAt = now
	maps.DeleteFunc(a.sessions, func(_ string, s *session) bool {
		return s.isOver && now > s.dueAt+retentionTime && !slices.ContainsFunc(s.attempts, attempt.isInProgress)
	})
	maps.DeleteFunc(a.operations, func(_ string, op *operation) bool {
		return now > op.lastRequestAt+2*retentionTime
	})
}
