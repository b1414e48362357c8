package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The lines do not depend on how the stream is split into pieces.
func TestLineSplitterInAnyPieces(t *testing.T) {
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
				piece[i] = '#' // the caller reuses its buffer, so the splitter must have copied this
			}
		}
		assert.Equal(t, []string{"one\r\n", "\r\n", "two\n", "three\r\n"}, got, "pieces of %d", size)
		assert.True(t, s.HasPending())
	}
}

func TestLineSplitterBound(t *testing.T) {
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
