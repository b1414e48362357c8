package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestClaimsAreCompared(t *testing.T) {
	known := identityClaim{Boot: 3, Incarnation: 1, Term: 5, Index: 10}
	for name, test := range map[string]struct {
		claim             identityClaim
		isBehind, isNewer bool
	}{
		"the same start":                    {known, true, false},
		"an earlier start":                  {identityClaim{Boot: 2, Term: 6, Index: 11}, true, false},
		"a later start, nothing lost":       {identityClaim{Boot: 4, Term: 5, Index: 10}, false, true},
		"a later start, a term lost":        {identityClaim{Boot: 4, Term: 4, Index: 12}, true, true},
		"a later start, an entry lost":      {identityClaim{Boot: 4, Term: 5, Index: 9}, true, true},
		"a later start, a later term":       {identityClaim{Boot: 4, Term: 6, Index: 1}, false, true},
		"the same start, a later term":      {identityClaim{Boot: 3, Term: 6, Index: 1}, true, true},
		"the same start and term, an entry": {identityClaim{Boot: 3, Term: 5, Index: 11}, true, true},
		"the same start, an earlier term":   {identityClaim{Boot: 3, Term: 4, Index: 20}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.isBehind, test.claim.isBehind(known))
			assert.Equal(t, test.isNewer, test.claim.isNewerThan(known))
		})
	}
}
