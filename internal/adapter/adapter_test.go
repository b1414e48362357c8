package adapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/wire"
)

// profile has the settings of an instance. The last is one that the adapter does not know, and ignores.
const profile = `replicas-of-me=1
zone=0
categories.count=1
categories.0.promised-time-ms=300
categories.0.hard-limit-ms=2000
categories.0.gain=1
categories.0.effect=idempotent
discovery=automatic
stats.how=none
contract.cold-from=0.2
contract.cold-ms=9000
contract.fall-ms=2000
contract.tip-multiple=3
limits.probes=false
limits.retry-after=true
limits.max-retry-after-ms=900
limits.most-setup-tries=3
never.heard.of=1
`

// batch encodes a batch of records, whose bodies are in hex.
func batch(clock float64, number uint32, records int, body ...string) []byte {
	raw, err := hex.DecodeString(strings.ReplaceAll(strings.Join(body, ""), " ", ""))
	if err != nil {
		panic(err)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(records))
	b = binary.LittleEndian.AppendUint32(b, uint32(20+len(raw)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(binary.LittleEndian.AppendUint32(b, number), raw...)
}

// hello returns a Hello record with seed 5 and the settings, in hex.
func hello(text string) string {
	n := binary.LittleEndian.AppendUint32(nil, uint32(len(text)))
	return "0b01 0500000000000000" + hex.EncodeToString(n) + hex.EncodeToString([]byte(text))
}

// Records in hex.
const (
	about  = "0701 0300"
	page   = "0c01 00000000 01000000 00 01 0000 0000000000000000 00 0000803f 09000000"
	cached = "0301 02 00000000 0100000000000000"
)

// incoming returns an Incoming record in hex; id is the session's, in hex too.
func incoming(id string) string {
	limit := binary.LittleEndian.AppendUint64(nil, math.Float64bits(3000))
	return "0001" + id + "00 00000000 0000000000000000" + hex.EncodeToString(limit) +
		"0000000000000000 0000000000000000 0000"
}

// A session is assigned; records for unknown sessions and timers, and for sessions from before a crash, are ignored.
func TestConversation(t *testing.T) {
	in := bytes.Join([][]byte{
		batch(900, 1, 0),
		batch(1000, 2, 6, about, hello(profile), page, cached, incoming("01000000"), "0201 01000000 0000 09000000 "+
			"0000000000000000"),
		// The outcome of an unknown session, a timer that was not set, and the disconnect of an unknown client.
		batch(1100, 3, 4, about, "0d01 63000000 00 0000 09000000 0000000000000000 04 00", "0401 63000000",
			"0101 63000000"),
		batch(1200, 4, 2, about, "0d01 01000000 01 0000 09000000 0000000000000000 0a 00"),
		// A crash and a new start in one batch. The outcome of the old session, in the next batch, is ignored.
		batch(1300, 5, 5, about, "0901", hello(profile), page, cached),
		batch(1400, 6, 2, about, "0d01 01000000 00 0000 09000000 0000000000000000 04 00"),
	}, nil)
	var out bytes.Buffer
	require.NoError(t, Run(bytes.NewReader(in), &out))
	empty := func(n int) string { return fmt.Sprintf("0c00000000000000%02x000000", n) }
	assert.Equal(t, empty(1)+"220000000200000002000000"+"4d010300"+"4001"+"0100000009000000"+
		"0000000000409f40"+empty(3)+empty(4)+empty(5)+empty(6), hex.EncodeToString(out.Bytes()))
}

// goldenConversation returns batches that contain each kind of event at least once.
func goldenConversation() []byte {
	f64 := func(v float64) string {
		return hex.EncodeToString(binary.LittleEndian.AppendUint64(nil, math.Float64bits(v)))
	}
	f32 := func(v float32) string {
		return hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, math.Float32bits(v)))
	}
	u32 := func(v uint32) string { return hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, v)) }
	settings := strings.NewReplacer("limits.probes=false", "limits.probes=true", "idempotent", "at_most_once",
		"stats.how=none", "stats.how=probe\nstats.fields=x0,queue", "automatic", "subscribe").Replace(profile) +
		"fees.probe=0.001\ncontract.ask-within-ms=10000\n"
	row := func(id uint32, weight float32) string { // zone, condition, cell, start, flags, weight, id
		return "00 01 0000" + f64(0) + "00" + f32(weight) + u32(id)
	}
	page := "0c01 00000000" + u32(3) + row(9, 1) + row(10, 2) + row(11, 1)
	update := func(how string) string { return "0301" + how + "00000000 0100000000000000" }
	arrival := func(code string, id uint32, limit, hint float64) string {
		return code + u32(id) + "00" + u32(7) + "1100000000000000" + f64(limit) + f64(hint) + "2200000000000000 0100"
	}
	report := "02" + f32(0.25) + f32(3)
	health := func(backend uint32, reason string) string { return "0601" + u32(backend) + f64(4) + reason + report }
	completed := func(id uint32, last, reason string) string {
		return "0d01" + u32(id) + last + "0000" + u32(9) + f64(5) + reason + report
	}
	return bytes.Join([][]byte{
		batch(900, 1, 0),
		batch(1000, 2, 4, about, hello(settings), page, update("00")),
		batch(1010, 3, 4, about, health(9, "00"), health(10, "00"), health(11, "04")),
		batch(1020, 4, 6, about, arrival("0001", 1, 3000, 0), arrival("0001", 2, 3000, 0.5), arrival("0001", 3, 3000, 0),
			arrival("0001", 4, 1000, 0), arrival("0501", 5, 1e9, 0)+u32(10)),
		batch(1040, 5, 4, about, "0201"+u32(1)+"0000"+u32(9)+f64(20), "0801"+u32(1)+"0000"+u32(9)+"01"+f32(850),
			completed(2, "00", "04")),
		batch(1060, 6, 5, about, completed(3, "01", "08"), "0101"+u32(4), "0101"+u32(2), completed(5, "01", "0a")),
		batch(1100, 7, 4, about, update("03"), "0401"+u32(1), "0a01"+u32(4)+"0200 aabb"),
		batch(5000, 8, 4, about, "0401"+u32(2), update("01"), arrival("0001", 6, 8000, 0)),
		batch(5100, 9, 2, about, "0901"),
		batch(15000, 10, 5, about, hello(settings), page, update("02"), arrival("0001", 7, 18000, 0)),
	}, nil)
}

// The input that goldenConversation builds and the replies to it are those of the golden files, byte for byte, which
// were written before identifiers of the code were renamed.
func TestGoldenConversation(t *testing.T) {
	in, err := os.ReadFile("testdata/golden/conversation.in")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/golden/conversation.out")
	require.NoError(t, err)
	assert.Equal(t, hex.EncodeToString(in), hex.EncodeToString(goldenConversation()))
	var out bytes.Buffer
	require.NoError(t, Run(bytes.NewReader(in), &out))
	assert.Equal(t, hex.EncodeToString(want), hex.EncodeToString(out.Bytes()))
}

// A malformed record ends the run with an error that has its offset, and without a reply to the batch.
func TestMalformedRecords(t *testing.T) {
	for _, c := range []struct {
		name, want string
		frame      []byte
	}{
		{"unknown code", "offset 24: a code of the wire expected, got 999", batch(1, 1, 2, about, "e703")},
		{"no instance named", "offset 20: an About record expected", batch(1, 1, 1, "0401 01000000")},
		{"record cut short", "offset 26: 4 bytes of a record expected, 2 are left", batch(1, 1, 2, about,
			"0401 0100")},
		{"count past the frame", "offset 32: 65535 bytes of a record expected",
			batch(1, 1, 2, about, "0a01 01000000 ffff 00")},
		{"rows past the frame", "elements of 21 bytes expected", batch(1, 1, 1, "0c01 00000000 ffffff7f")},
		{"bytes left over", "the end of the frame expected, 2 bytes are left", batch(1, 1, 1, about, "0000")},
		{"page out of range", "a page number under 16", batch(1, 1, 1, "0c01 10000000 00000000")},
	} {
		var out bytes.Buffer
		assert.ErrorContains(t, Run(bytes.NewReader(c.frame), &out), c.want, c.name)
		assert.Zero(t, out.Len(), "no partial reply: "+c.name)
	}
}

// Invalid settings are answered with an InternalError action whose text names the setting.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{"contract.cold-ms=9000\n", "", "contract.cold-ms"},
		{"effect=idempotent", "effect=perhaps", "categories.0.effect"},
		{"tries=3", "tries=three", "limits.most-setup-tries"},
		{"gain=1", "gain=NaN", "categories.0.gain"},
		{"discovery=automatic", "discovery=subscribe", "contract.ask-within-ms"},
	} {
		var out bytes.Buffer
		text := strings.Replace(profile, c.old, c.new, 1)
		require.NotEqual(t, profile, text)
		in := batch(1000, 1, 5, about, hello(text), page, cached, incoming("01000000"))
		require.NoError(t, Run(bytes.NewReader(in), &out))
		r := wire.NewFieldReader(out.Bytes()[12+4:])
		assert.Equal(t, wire.InternalError, wire.ActionCode(r.Uint16()))
		assert.Contains(t, string(r.Bytes(int(r.Uint16()))), c.key)
	}
}
