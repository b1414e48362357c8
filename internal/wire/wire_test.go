package wire

import (
	"bytes"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A malformed frame is an error that has the offset of what is wrong.
func TestMalformedFrames(t *testing.T) {
	for _, c := range []struct{ name, frame, want string }{
		{"short header", "0000000014", "offset 5: a batch header of 20 bytes expected"},
		{"length under the header", "00000000050000000000000000000000" + "01000000", "offset 4: a frame length"},
		{"frame cut short", "0100000040000000" + "0000000000000000" + "01000000" + "0701",
			"offset 22: a frame of 64"},
		{"huge length", "01000000ffffffff" + "0000000000000000" + "01000000" + "0701", "offset 22: a frame of"},
		{"more records than fit", "ff00000016000000" + "0000000000000000" + "01000000" + "0701", "offset 0"},
		{"clock not a number", "0000000014000000" + "000000000000f87f" + "01000000", "offset 8: a finite clock"},
	} {
		in, err := hex.DecodeString(c.frame)
		require.NoError(t, err)
		assert.ErrorContains(t, NewReader(bytes.NewReader(in)).ReadBatch(), c.want, c.name)
	}
}

// Fields that are written can be read again, and a read past the end sets the reader's error.
func TestFieldsRoundTrip(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Begin(Assign).Uint32(7).Uint8(3).Float64(1.5).Text("ok")
	require.NoError(t, w.SendReply(9))
	assert.Equal(t, "1f0000000100000009000000"+"4001"+"07000000"+"03"+"000000000000f83f"+"02006f6b",
		hex.EncodeToString(out.Bytes()))
	r := NewFieldReader(out.Bytes()[12:])
	assert.Equal(t, Assign, ActionCode(r.Uint16()))
	assert.Equal(t, uint32(7), r.Uint32())
	assert.Equal(t, uint8(3), r.Uint8())
	assert.Equal(t, 1.5, r.Float64())
	assert.Equal(t, "ok", string(r.Bytes(int(r.Uint16()))))
	assert.NoError(t, r.CheckEnd())
	assert.Zero(t, r.Uint64())
	assert.ErrorContains(t, r.Err, "8 bytes of a record expected, 0 are left")
}

func TestParseSettings(t *testing.T) {
	assert.Equal(t, map[string]string{"a.b": "1", "c": "x=y", "d": ""}, ParseSettings("a.b=1\r\nc=x=y\nnothing\nd="))
}
