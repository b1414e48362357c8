package audit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A cold server that is sent too much is the fault of relays that were told of this start of its: not of
// those that know a former one, or none.
func TestColdCountsWhoWasToldOfThisStart(t *testing.T) {
	for name, c := range map[string]struct {
		since  float64 // as the relay was told; 0: never
		breaks int
	}{"never told": {0, 0}, "a former start": {100, 0}, "this start": {5000, 1}} {
		a := New(0, 2, 1000)
		a.BackendStarted(100, "s")
		a.BackendStarted(5000, "s")
		if c.since > 0 {
			a.EndpointUpdated(5010, 0, "s", "active", c.since)
		}
		for i := range 12 {
			id, now := fmt.Sprint("link-", i), 5100+float64(i)
			a.RequestSent(now, id, id, 0, "replayable", 1000)
			a.AttemptReceived(now, id, "s", true, 0.5, 0.1)
		}
		assert.Equal(t, c.breaks, a.Counts[SlowStart], "%s: %v", name, a.Violations)
	}
}

// Reports name the rules, and print what broke them, as they always did.
func TestTextOfRulesAndBreaks(t *testing.T) {
	for rule, want := range map[Rule]string{FinalAnswer: "final answer", AtMostOnce: "twice", Drain: "drain",
		SlowStart: "cold", LineDelivery: "lines"} {
		assert.Equal(t, want, rule.String())
		assert.Equal(t, "12.5 "+want+": what was seen (link 7f)",
			Violation{Rule: rule, At: 12.5, SessionID: "7f", Detail: "what was seen"}.String())
	}
}
