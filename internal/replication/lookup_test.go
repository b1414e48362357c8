package replication

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAbsenceNeedsEnoughReplies guards against a second run of a request: a lookup that asked nobody, or that too few
// members had answered, was taken for one that found no marker.
func TestAbsenceNeedsEnoughReplies(t *testing.T) {
	const now, timeout = 1e12, 50.0
	for _, c := range []struct {
		name                     string
		copies, members, replies int
		suspended                bool
		want                     error
	}{
		{"no member is known", 3, 0, 0, false, ErrNobodyAsked},
		{"only one of three replicas can be known", 3, 1, 1, false, ErrNobodyAsked},
		{"just started: two are known", 3, 2, 2, true, ErrNobodyAsked},
		{"just started: all that are known reply", 3, 6, 6, true, ErrNobodyAsked},
		{"one of three relays is gone", 3, 2, 2, false, ErrNotFound},
		{"all reply", 3, 6, 6, false, ErrNotFound},
		{"one does not reply", 3, 6, 5, false, ErrNotFound},
		{"two do not", 3, 6, 4, false, ErrMissingReplies},
		{"nobody replies", 3, 6, 0, false, ErrMissingReplies},
		{"two of five copies", 5, 8, 6, false, ErrNotFound},
		{"three of five copies", 5, 8, 5, false, ErrMissingReplies},
		{"one copy", 1, 4, 4, false, ErrNotFound},
		{"one copy, and one does not reply", 1, 4, 3, false, ErrMissingReplies},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New("own", 1, c.copies, 100, rand.New(rand.NewSource(1)))
			r.SetSuspended(c.suspended)
			var members []Member
			for i := range c.members {
				members = append(members, Member{Name: fmt.Sprint("r", i), Address: fmt.Sprint("a", i), Incarnation: 1})
			}
			r.UpdateMembers(members)
			token, actions := r.Lookup(now, AttemptMarker, "k", timeout)
			for _, member := range members[:c.replies] {
				reply := message{Type: messageFound, Token: token, From: member.Name, Incarnation: 1}
				actions = append(actions, r.handleReply(now+1, reply)...)
			}
			actions = append(actions, r.Tick(now+timeout)...)
			last := actions[len(actions)-1]
			require.NotNil(t, last.Outcome)
			assert.ErrorIs(t, last.Outcome.Err, c.want)
		})
	}
}
