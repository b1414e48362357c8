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
		news, err := parseEndpointUpdate([]byte(c.text))
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			continue
		}
		require.NoError(t, err, c.text)
		assert.Contains(t, news.Endpoints[0].Invalid, c.bad, c.text)
		assert.Equal(t, c.bad == "", news.Endpoints[0].Invalid == "", c.text)
	}
}

// TestSupersededBackend: a backend that appears at another's address supersedes it, also where the list has not said that
// the other is gone. Its sessions are migrated, and no new ones go to the address under the old name.
func TestSupersededBackend(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("moved as for a backend that goes", step{200, "news 1 2 delta c1=leaving",
		"write 1 MOVE|; end 1; end s1"})
	assert.Contains(t, s.logs, "backend superseded at its address[backend b1 by c1]")
	s.play("nothing new", step{300, "open 2", ""}, step{300, "came 2 OPEN b 1f c=feed,t=one,d=2000|", ""})

	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("both in one list stay", step{200, "news 1 2 whole b1=active c1=active", ""}, step{201, "tick", ""})
	assert.Empty(t, s.logs)
	s.play("one that is gone takes nothing", step{300, "news 1 3 delta c1=left", ""}, step{301, "tick", ""})
	assert.Equal(t, 1, s.Established)
}
