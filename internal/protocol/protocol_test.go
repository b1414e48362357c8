package protocol

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The same bytes in any pieces are the same lines.
func TestSplitterInAnyPieces(t *testing.T) {
	text := "one\r\n\r\ntwo\nthree\r\nrest"
	for size := 1; size <= len(text); size++ {
		var s LineSplitter
		var got []string
		for at := 0; at < len(text); at += size {
			piece := []byte(text[at:min(at+size, len(text))])
			for {
				line, rest, err := s.Next(piece)
				require.NoError(t, err)
				if line == nil {
					break
				}
				got, piece = append(got, string(line)), rest
			}
			for i := range piece {
				piece[i] = '#' // against keeping a piece of a buffer that is read into again
			}
		}
		assert.Equal(t, []string{"one\r\n", "\r\n", "two\n", "three\r\n"}, got, "pieces of %d", size)
		assert.True(t, s.HasPending())
	}
}

func TestSplitterBound(t *testing.T) {
	for _, c := range []struct {
		name   string
		pieces []string
		fits   bool
	}{
		{"as long as may be", []string{strings.Repeat("x", MaxLineBytes-1) + "\n"}, true},
		{"one more", []string{strings.Repeat("x", MaxLineBytes) + "\n"}, false},
		{"no end in sight", []string{strings.Repeat("x", MaxLineBytes)}, false},
		{"in pieces", []string{strings.Repeat("x", 3000), strings.Repeat("x", 1095) + "\n"}, true},
		{"too long in pieces", []string{strings.Repeat("x", 3000), strings.Repeat("x", 1096) + "\n"}, false},
	} {
		var s LineSplitter
		var err error
		for _, p := range c.pieces {
			_, _, err = s.Next([]byte(p))
		}
		if c.fits {
			assert.NoError(t, err, c.name)
		} else {
			assert.ErrorIs(t, err, ErrLineTooLong, c.name)
		}
	}
}

func TestHeadGoesOnUnchangedButForTheWait(t *testing.T) {
	line := []byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c,h=2.5,again=1,at=s-1\r\n")
	h, err := ParseRequest(line)
	require.NoError(t, err)
	assert.Equal(t, "chat acme s-1", string(h.Class)+" "+string(h.Tenant)+" "+string(h.StickyBackend))
	assert.Equal(t, []uint64{0x7f3a, 0x5c}, []uint64{h.Key, h.AffinityGroup})
	assert.Equal(t, []float64{2000, 2.5}, []float64{h.Timeout, h.LoadHint})
	assert.Equal(t, "OPEN 9b1f 7f3a c=chat,t=acme,d=1499,g=5c,h=2.5,again=1,at=s-1\r\n",
		string(bytes.Join(h.EncodeWithTimeout(1499.7), nil)))
	assert.Same(t, &line[0], &h.EncodeWithTimeout(1)[0][0], "read in place")

	h, err = ParseRequest([]byte("OPEN a b c=chat,at=s-1\r\n"))
	require.NoError(t, err, "one that stood before need not wait")
	assert.Equal(t, "OPEN a b c=chat,at=s-1\r\n", string(bytes.Join(h.EncodeWithTimeout(7), nil)))
}

func TestBadHeads(t *testing.T) {
	for _, line := range []string{"", "\r\n", "OPEN\r\n", "OPEN a\r\n", "OPEN a b\r\n", "OPEN a b \r\n",
		"OPEN  b c=x,d=1\r\n",
		"open a b c=x,d=1\r\n", "OPEN a b c=x,d=1 z\r\n", "OPEN a b c=x,d=1,\r\n", "OPEN a b c=x,d\r\n",
		"OPEN a b c=x,=1,d=1\r\n",
		"OPEN a b d=1\r\n", "OPEN a b c=x\r\n", "OPEN a b c=x,c=x,d=1\r\n", "OPEN a b c=x,d=1e99\r\n",
		"OPEN a b c=x,d=Inf\r\n",
		"OPEN a b c=x,d=-0.1\r\n", "OPEN a\tz b c=x,d=1\r\n", "OPEN a b c=x,d=1\r\r\n",
		"OPEN a b c=x,d=1,t=\xff\r\n",
		"OPEN " + strings.Repeat("a", 65) + " b c=x,d=1\r\n", "OPEN a " + strings.Repeat("b", 65) + " c=x,d=1\r\n",
		"OPEN a b c=x,d=1,h=no\r\n", "OPEN a b c=x,d=1\n"} {
		_, err := ParseRequest([]byte(line))
		assert.Error(t, err, "%q", line)
	}
}

// Whatever comes, a head that is taken goes on as it came but for the wait, and is one line.
func FuzzHead(f *testing.F) {
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
			h, err := ParseRequest(line)
			if err != nil {
				continue
			}
			require.False(t, !(h.Timeout >= 0) || math.IsInf(h.Timeout, 0) || len(h.Class) == 0 || len(h.ID) == 0)
			out := bytes.Join(h.EncodeWithTimeout(h.Timeout), nil)
			require.Equal(t, 1, bytes.Count(out, []byte("\n")))
			again, err := ParseRequest(out)
			require.NoError(t, err, "%q", out)
			require.Equal(t, [][]byte{h.ID, h.Class, h.Tenant, h.StickyBackend},
				[][]byte{again.ID, again.Class, again.Tenant, again.StickyBackend})
		}
	})
}

func TestMark(t *testing.T) {
	assert.Equal(t, uint64(0x7f3a9c21e0b4d655), Hash([]byte("7f3a9c21e0b4d655")))
	assert.Equal(t, Hash([]byte("no number")), Hash([]byte("no number")))
	assert.NotEqual(t, Hash([]byte("no number")), Hash([]byte("no numbers")))
}

func TestReport(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		text string
		want []float64
	}{
		{"inflight=7,queue=2,util=0.61", []float64{0.61, 7, nan}},
		{"cpu=0.5,x0=1,odd=3", []float64{0.5, nan, 1}},
		{"util=much,odd=3", nil},
		{"", nil},
	} {
		got := ParseReport([]byte(c.text), []string{"cpu", "active", "x0"})
		assert.Equal(t, len(c.want), len(got), c.text)
		assert.InDeltaSlice(t, c.want, got, 0, c.text)
	}
	for text, want := range map[string]float64{"7": 7, "0.5": 0.5, "-1": -1, "x": -1, "": -1, "NaN": -1} {
		got, ok := ParseLoad([]byte(text))
		assert.Equal(t, want >= 0, ok, text)
		if ok {
			assert.Equal(t, want, got)
		}
	}
}
