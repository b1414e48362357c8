// Package audit checks what relays do against the rules, by what clients, backends and discovery saw: one final
// answer in time, no effect twice, drains respected, no cold backend pushed over, no line lost, duplicated or
// held back. It sees no relay from the inside, so that a relay that is broken in any way is caught.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Rule is what can be broken.
type Rule uint8

// The rules.
const (
	FinalAnswer  Rule = iota // exactly one, before the hard limit
	AtMostOnce               // no effect twice, one attempt out at a time
	Drain                    // nothing new to a backend that is said to leave or to be gone
	SlowStart                // no cold backend pushed over
	LineDelivery             // passed on once, in order, at once; no session cut off without a MOVE
	ruleCount
)

// ruleNames are the rules as reports have them.
var ruleNames = [ruleCount]string{
	FinalAnswer:  "final answer",
	AtMostOnce:   "twice",
	Drain:        "drain",
	SlowStart:    "cold",
	LineDelivery: "lines",
}

// String returns the rule as reports have it.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one broken rule.
type Violation struct {
	Rule      Rule
	At        float64 // time in milliseconds
	SessionID string
	Detail    string
}

// String returns the violation as reports have it.
func (v Violation) String() string {
	return fmt.Sprintf("%.1f %s: %s (session %s)", v.At, v.Rule, v.Detail, v.SessionID)
}

const (
	grace         = 50.0 // milliseconds that each time limit is longer
	maxViolations = 200  // that are kept; all are counted
	forgetAfter   = 30000.0
)

// Auditor is a model.Observer that checks the rules. Its times are milliseconds. It is not safe for concurrent
// use.
type Auditor struct {
	// IsSameZone, where set, tells whether a relay and a backend are in one zone. LocatedAttempts counts the
	// attempts from LocalityFrom on, and LocalAttempts those of them within a zone.
	IsSameZone      func(relay int, backend string) bool
	LocalityFrom    float64
	LocalAttempts   int
	LocatedAttempts int

	Violations []Violation // the first ones
	Counts     [ruleCount]int

	Requests              int
	Attempts              int
	Lines                 int
	RepeatedEffects       int // single-use effects begun again by a client's retry: no rule, but what markers are for
	Reconnects            int // clients that lost a session before they left, and have one again
	AffineReconnects      int // of those, at the backend where they had it
	ReplacementRejections int // clients that a relay did not let in while it was replaced

	slack            float64
	overloadMultiple float64
	overloadWindow   float64

	sessions map[string]*session
	errands  map[string]*errand
	clients  map[string]*client
	relays   map[int]*relayState
	backends map[string]*backendState
	sweptAt  float64
}

// New returns an auditor. Slack is how much later than it happens a thing may be seen. A cold backend may be
// sent a multiple of its present capacity within a window of milliseconds.
func New(slack, overloadMultiple, overloadWindow float64) *Auditor {
	return &Auditor{
		slack:            slack,
		overloadMultiple: overloadMultiple,
		overloadWindow:   overloadWindow,
		sessions:         map[string]*session{},
		errands:          map[string]*errand{},
		clients:          map[string]*client{},
		relays:           map[int]*relayState{},
		backends:         map[string]*backendState{},
	}
}

// report counts a violation, and keeps it where there is room.
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

// Finish checks what is still out at the end of a run, in the order in which it was asked for.
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
			if s.attempts[i].isOut() {
				s.attempts[i].finishedAt = now
				a.checkOverlap(id, s, i)
			}
		}
	}
}

// sweep forgets sessions and errands that are long over.
func (a *Auditor) sweep(now float64) {
	if now < a.sweptAt+forgetAfter {
		return
	}
	a.sweptAt = now
	maps.DeleteFunc(a.sessions, func(_ string, s *session) bool {
		return s.isOver && now > s.dueAt+forgetAfter && !slices.ContainsFunc(s.attempts, attempt.isOut)
	})
	maps.DeleteFunc(a.errands, func(_ string, e *errand) bool {
		return now > e.lastRequestAt+2*forgetAfter
	})
}
