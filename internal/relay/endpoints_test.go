package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEndpointUpdates(t *testing.T) {
	for _, c := range []struct{ text, bad, err string }{
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"1.2.3.4:5","status":"active"}]}`, "", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"left"}]}`, "", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"host:5","status":"active"}]}`, "address",
			""},
		{`{"index":1,"snapshot":true,"endpoints":[{"address":"1.2.3.4:5","status":"active"}]}`, "name", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"1.2.3.4:5","status":"new"}]}`, "status",
			""},
		{`{"index":1,"snapshot":true}`, "", "endpoints expected"},
		{`{"index":1,"snapshot":true,"endpoints":[`, "", "list"},
	} {
		update, err := parseEndpointUpdate([]byte(c.text))
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			continue
		}
		require.NoError(t, err, c.text)
		assert.Contains(t, update.Endpoints[0].Invalid, c.bad, c.text)
		assert.Equal(t, c.bad == "", update.Endpoints[0].Invalid == "", c.text)
	}
}

// TestSupersededBackend: a backend that appears at another's address supersedes it, even if discovery has not reported
// that the other left. The other's sessions are migrated, and its name gets no new ones.
func TestSupersededBackend(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("sessions are migrated as from a backend that leaves", step{200, "news 1 2 delta c1=leaving",
		"write 1 MOVE|; end 1; end s1"})
	assert.Contains(t, s.logs, "backend superseded at its address[backend b1 by c1]")
	s.play("no new session under the old name", step{300, "open 2", ""},
		step{300, "came 2 OPEN b 1f c=feed,t=one,d=2000|", ""})

	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("both backends stay if one list has both",
		step{200, "news 1 2 whole b1=active c1=active", ""}, step{201, "tick", ""})
	assert.Empty(t, s.logs)
	s.play("a backend that left supersedes none", step{300, "news 1 3 delta c1=left", ""}, step{301, "tick", ""})
	assert.Equal(t, 1, s.Established)
}
