package audit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

var _ model.Observer = (*Auditor)(nil)

// If a backend in slow start is sent too much, only relays that were told of this start of it are to blame. Load
// from relays that know of an earlier start, or of none, must not count as a violation.
func TestSlowStartRuleIgnoresRelaysNotToldOfThisStart(t *testing.T) {
	for _, c := range []struct {
		name       string
		since      float64 // as the relay was told; 0: never
		violations int
	}{
		{"never told", 0, 0},
		{"told of a former start", 100, 0},
		{"told of this start", 5000, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New(0, 2, 1000)
			a.BackendStarted(100, "s")
			a.BackendStarted(5000, "s")
			if c.since > 0 {
				a.EndpointUpdated(5010, 0, "s", statusActive, c.since)
			}
			for i := range 12 {
				id, now := fmt.Sprint("session-", i), 5100+float64(i)
				a.RequestSent(now, id, id, 0, experiment.EffectReplayable, 1000)
				a.AttemptReceived(now, id, "s", true, 0.5, 0.1)
			}
			assert.Equal(t, c.violations, a.Counts[SlowStart], "%v", a.Violations)
		})
	}
}

// Each case lists what is seen of one session that was requested at 1000 ms with a limit of 1 s.
func TestRules(t *testing.T) {
	establish := func(a *Auditor) {
		a.AttemptReceived(1001, "id", "s", false, 1, 0.1)
		a.EffectApplied(1002, "id", "s")
		a.AttemptFinished(1002, "id", "s")
		a.ResponseReceived(1003, "id", answerUp)
	}
	for _, c := range []struct {
		name string
		seen func(a *Auditor)
		want map[Rule]int
	}{
		{"established and closed by the client", func(a *Auditor) {
			establish(a)
			a.ClosedByClient(5000, "id")
		}, nil},
		{"rejected in time", func(a *Auditor) {
			a.ResponseReceived(1900, "id", answerBusy)
			a.ClosedByClient(1901, "id")
		}, nil},
		{"answered too late", func(a *Auditor) { a.ResponseReceived(2100, "id", answerBusy) },
			map[Rule]int{FinalAnswer: 1}},
		{"answered too late by a frozen relay", func(a *Auditor) {
			a.RelayFrozen(1100, 0, true)
			a.ResponseReceived(2100, "id", answerBusy)
		}, nil},
		{"not answered at the end", func(*Auditor) {}, map[Rule]int{FinalAnswer: 1}},
		{"not answered by a relay that died", func(a *Auditor) { a.RelayChanged(1100, 0, false) }, nil},
		{"an answer after an answer", func(a *Auditor) {
			establish(a)
			a.NoticeReceived(1004, "id", answerBusy)
		}, map[Rule]int{FinalAnswer: 1}},
		{"an unknown answer", func(a *Auditor) { a.ResponseReceived(1100, "id", "WHAT") },
			map[Rule]int{FinalAnswer: 1}},
		{"UP that no backend said", func(a *Auditor) { a.ResponseReceived(1100, "id", answerUp) },
			map[Rule]int{FinalAnswer: 1}},
		{"rejected though the effect was applied", func(a *Auditor) {
			a.EffectApplied(1002, "id", "s")
			a.ResponseReceived(1003, "id", answerBusy)
		}, map[Rule]int{AtMostOnce: 1}},
		{"the effect twice", func(a *Auditor) {
			a.EffectApplied(1002, "id", "s")
			a.EffectApplied(1003, "id", "t")
			a.ResponseReceived(1004, "id", answerUp)
		}, map[Rule]int{AtMostOnce: 1}},
		{"two attempts out at once", func(a *Auditor) {
			a.AttemptReceived(1001, "id", "s", false, 1, 0.1)
			a.AttemptReceived(1101, "id", "t", false, 1, 0.1)
			a.AttemptFinished(1201, "id", "s")
			a.AttemptFinished(1301, "id", "t")
			a.ResponseReceived(1302, "id", answerBusy)
		}, map[Rule]int{AtMostOnce: 1}},
		{"two attempts out at once, the later one shorter", func(a *Auditor) {
			a.AttemptReceived(1001, "id", "s", false, 1, 0.1)
			a.AttemptReceived(1101, "id", "t", false, 1, 0.1)
			a.AttemptFinished(1201, "id", "t")
			a.AttemptFinished(1301, "id", "s")
			a.ResponseReceived(1302, "id", answerBusy)
		}, map[Rule]int{AtMostOnce: 1}},
		{"an attempt on a backend that drains", func(a *Auditor) {
			a.EndpointUpdated(100, 0, "s", "leaving", 0)
			establish(a)
		}, map[Rule]int{Drain: 1}},
		{"an attempt on a backend that drains since just now", func(a *Auditor) {
			a.EndpointUpdated(900, 0, "s", "leaving", 0)
			establish(a)
		}, nil},
		{"a line lost, one again and one held back", func(a *Auditor) {
			establish(a)
			a.LineReceived(1100, "id", true, 1, 1099)
			a.LineReceived(1200, "id", true, 3, 1199)
			a.LineReceived(1300, "id", true, 3, 1299)
			a.LineReceived(5000, "id", true, 4, 1399)
			a.LineReceived(5000, "id", false, 1, 4999)
		}, map[Rule]int{LineDelivery: 3}},
		{"cut off", func(a *Auditor) {
			establish(a)
			a.ClosedByRelay(2000, "id", true)
		}, map[Rule]int{LineDelivery: 1}},
		{"told to reconnect", func(a *Auditor) {
			establish(a)
			a.NoticeReceived(1999, "id", noticeMove)
			a.ClosedByRelay(2000, "id", false)
		}, nil},
		{"still held by a drained relay", func(a *Auditor) {
			establish(a)
			a.RelayDrained(2000, 0)
		}, map[Rule]int{LineDelivery: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New(0, 2, 1000)
			a.RequestSent(1000, "id", "client/0", 0, experiment.EffectSingleUse, 1000)
			c.seen(a)
			a.Finish(10000)
			for rule := range ruleCount {
				assert.Equal(t, c.want[rule], a.Counts[rule], "%s: %v", rule, a.Violations)
			}
		})
	}
}

// The names of the rules are keys of reports and must not change.
func TestTextOfRulesAndViolations(t *testing.T) {
	for rule, want := range map[Rule]string{
		FinalAnswer:  "final answer",
		AtMostOnce:   "twice",
		Drain:        "drain",
		SlowStart:    "cold",
		LineDelivery: "lines",
	} {
		assert.Equal(t, want, rule.String())
		v := Violation{Rule: rule, At: 12.5, SessionID: "7f", Detail: "what was seen"}
		assert.Equal(t, "12.5 "+want+": what was seen (session 7f)", v.String())
	}
}
