package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNamesOfStates(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Idempotent, "idempotent"},
		{NonIdempotent, "non-idempotent"},
		{ScopeAll, "all"},
		{ScopeCell, "cell"},
		{Gone, "gone"},
		{Draining, "draining"},
		{OutcomeSucceeded, "succeeded"},
		{OutcomeNotSent, "not sent"},
		{NoDecision, "none"},
		{Fail, "fail"},
		{ActionWait, "wait"},
		{ActionSubscribe, "subscribe"},
		{ActionKind(9), "unknown (9)"},
	} {
		assert.Equal(t, c.want, c.value.String())
	}
}
