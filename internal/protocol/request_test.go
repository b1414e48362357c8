package protocol

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRequestIsForwardedUnchangedButForTheTimeout(t *testing.T) {
	line := []byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c,h=2.5,again=1,at=s-1\r\n")
	request, err := ParseRequest(line)
	require.NoError(t, err)
	assert.Equal(t, "chat acme s-1", string(request.Class)+" "+string(request.Tenant)+" "+string(request.StickyBackend))
	assert.Equal(t, []uint64{0x7f3a, 0x5c}, []uint64{request.Key, request.AffinityGroup})
	assert.Equal(t, []float64{2000, 2.5}, []float64{request.Timeout, request.LoadHint})
	assert.Equal(t, "OPEN 9b1f 7f3a c=chat,t=acme,d=1499,g=5c,h=2.5,again=1,at=s-1\r\n",
		string(bytes.Join(request.EncodeWithTimeout(1499.7), nil)))
	assert.Same(t, &line[0], &request.EncodeWithTimeout(1)[0][0], "must share memory with the line")

	request, err = ParseRequest([]byte("OPEN a b c=chat,at=s-1\r\n"))
	require.NoError(t, err, "a request with a sticky backend needs no timeout")
	assert.Equal(t, "OPEN a b c=chat,at=s-1\r\n", string(bytes.Join(request.EncodeWithTimeout(7), nil)))
}

func TestMalformedRequests(t *testing.T) {
	for _, c := range []struct{ name, line string }{
		{"empty", ""},
		{"no verb", "\r\n"},
		{"no ID", "OPEN\r\n"},
		{"no key", "OPEN a\r\n"},
		{"no fields", "OPEN a b\r\n"},
		{"empty fields", "OPEN a b \r\n"},
		{"empty ID", "OPEN  b c=x,d=1\r\n"},
		{"another verb", "open a b c=x,d=1\r\n"},
		{"one word more", "OPEN a b c=x,d=1 z\r\n"},
		{"comma at the end", "OPEN a b c=x,d=1,\r\n"},
		{"field without value", "OPEN a b c=x,d\r\n"},
		{"field without name", "OPEN a b c=x,=1,d=1\r\n"},
		{"no class", "OPEN a b d=1\r\n"},
		{"no timeout", "OPEN a b c=x\r\n"},
		{"field twice", "OPEN a b c=x,c=x,d=1\r\n"},
		{"timeout too long", "OPEN a b c=x,d=1e99\r\n"},
		{"endless timeout", "OPEN a b c=x,d=Inf\r\n"},
		{"negative timeout", "OPEN a b c=x,d=-0.1\r\n"},
		{"tab", "OPEN a\tz b c=x,d=1\r\n"},
		{"carriage return", "OPEN a b c=x,d=1\r\r\n"},
		{"no ASCII", "OPEN a b c=x,d=1,t=\xff\r\n"},
		{"ID too long", "OPEN " + strings.Repeat("a", 65) + " b c=x,d=1\r\n"},
		{"key too long", "OPEN a " + strings.Repeat("b", 65) + " c=x,d=1\r\n"},
		{"hint is no number", "OPEN a b c=x,d=1,h=no\r\n"},
		{"no carriage return", "OPEN a b c=x,d=1\n"},
	} {
		_, err := ParseRequest([]byte(c.line))
		assert.ErrorIs(t, err, ErrMalformedRequest, c.name)
	}
}

// Any line that is accepted is forwarded as exactly one line, with the same ID, class, tenant and sticky backend.
func FuzzParseRequest(f *testing.F) {
	for _, line := range []string{"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c\r\n",
		"OPEN a b c=x,d=1e3,h=2\r\nOPEN a b c=x,d=1\r\n",
		"OPEN a b at=s,c=x\r\n", "OPEN a b c=,d=,=\r\n", "\x00\r\n", "OPEN  \n"} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s LineSplitter
		for {
			line, rest, err := s.Next(data)
			if line == nil || err != nil {
				return
			}
			data = rest
			request, err := ParseRequest(line)
			if err != nil {
				continue
			}
			require.False(t, !(request.Timeout >= 0) || math.IsInf(request.Timeout, 0) || len(request.Class) == 0 || len(request.ID) == 0)
			out := bytes.Join(request.EncodeWithTimeout(request.Timeout), nil)
			require.Equal(t, 1, bytes.Count(out, []byte("\n")))
			second, err := ParseRequest(out)
			require.NoError(t, err, "%q", out)
			require.Equal(t, [][]byte{request.ID, request.Class, request.Tenant, request.StickyBackend},
				[][]byte{second.ID, second.Class, second.Tenant, second.StickyBackend})
		}
	})
}

func TestHash(t *testing.T) {
	assert.Equal(t, uint64(0x7f3a9c21e0b4d655), Hash([]byte("7f3a9c21e0b4d655")))
	assert.Equal(t, Hash([]byte("no number")), Hash([]byte("no number")))
	assert.NotEqual(t, Hash([]byte("no number")), Hash([]byte("no numbers")))
}
