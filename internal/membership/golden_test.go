package membership

import (
	"encoding/json"
	"flag"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files with the output of the present code")

// golden returns the content of a golden file. With -update it first writes now to the file.
func golden(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.WriteFile(path, now, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

const (
	goldenTime = 90000.0 // milliseconds at which the datagrams of the golden files are sent
	goldenFrom = "10.0.0.1:7000"
)

// goldenStates returns a sender's own state and two states that it passes on. Every encoded field is non-zero in one of
// them at least.
func goldenStates() (own, second, third MemberState) {
	own = MemberState{Name: "relay-1", Zone: "a", Region: "north", Address: goldenFrom, Boot: 7, Incarnation: 0x0102030405060708,
		Phase: 2, EndpointsVersion: 314, PlacedLoad: 123456, WaitingClients: 21, Sessions: 1999, OrderNumber: 5, Draining: true}
	second = MemberState{Name: "relay-2", Zone: "b", Region: "south", Address: "10.0.0.2:7000", Boot: 300,
		Incarnation: 0xf1f2f3f4f5f6f7f8, Heartbeat: 70000, AgeMillis: 5400000, Phase: 1, EndpointsVersion: 313, PlacedLoad: 9, WaitingClients: 4294967295,
		Sessions: 1, OrderNumber: 4, Draining: true}
	third = MemberState{Name: "relay-3", Zone: "c", Region: "south", Address: "[::1]:7000", Boot: 1, Incarnation: 3, Heartbeat: 12,
		AgeMillis: 2400, Phase: 3, EndpointsVersion: 312, PlacedLoad: 1 << 40, WaitingClients: 17, Sessions: 40000, OrderNumber: 6}
	return own, second, third
}

// goldenSender returns the view of a relay that knows two other members and sends at goldenTime.
func goldenSender() *View {
	own, second, third := goldenStates()
	v := New(1000, own, []string{"10.0.0.9:7000"}, key, rand.New(rand.NewSource(1)))
	v.local.Heartbeat = 44
	v.ClockOffset = 1700000000000
	v.merge(89200, third, false)
	v.merge(89500, second, true)
	return v
}

// Datagrams are decoded into the states that the golden files were written from, and encoded as the same bytes.
func TestGoldenDatagrams(t *testing.T) {
	for _, c := range []struct {
		name string
		file string
		asks bool
	}{
		{"gossip that asks for an answer", "datagram-asks.bin", true},
		{"answer", "datagram-answer.bin", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := goldenSender().composeDatagram(goldenTime, "10.0.0.4:7000", c.asks)
			want := golden(t, c.file, sent.Data)
			assert.Equal(t, want, sent.Data)

			receiver := New(0, MemberState{Name: "relay-4", Address: "10.0.0.4:7000", Incarnation: 9}, []string{goldenFrom}, key,
				rand.New(rand.NewSource(1)))
			answers := receiver.Receive(50, goldenFrom, want)
			assert.Equal(t, c.asks, len(answers) == 1)
			own, second, third := goldenStates()
			own.Heartbeat, own.AgeMillis = 44, goldenTime-1000
			second.AgeMillis += 500
			third.AgeMillis += 800
			got := receiver.Members(50)
			require.Len(t, got, 3)
			for i, state := range []MemberState{own, second, third} {
				assert.Equal(t, state, got[i].MemberState)
			}
			assert.Equal(t, 1700000000000+goldenTime-50, got[0].ClockOffset)
			assert.Equal(t, goldenFrom, receiver.Address(got[0]))
		})
	}
}

// The states of a datagram without its header and tag are encoded as in the golden file, and decoded from it.
func TestGoldenStates(t *testing.T) {
	own, second, third := goldenStates()
	own.Heartbeat, own.AgeMillis = 44, 89000
	var plain []byte
	for _, s := range []MemberState{own, second, third} {
		plain = appendState(plain, s)
	}
	want := golden(t, "states.bin", plain)
	assert.Equal(t, want, plain)
	states, err := decodeStates(want, 3)
	require.NoError(t, err)
	assert.Equal(t, []MemberState{own, second, third}, states)
}

// A sealed message to another relay has the bytes of the golden file, and can be opened.
func TestGoldenSealed(t *testing.T) {
	body := []byte("question: what do you hold?")
	want := golden(t, "sealed.bin", Seal(key, body))
	assert.Equal(t, want, Seal(key, body))
	opened, err := Open(key, want)
	require.NoError(t, err)
	assert.Equal(t, body, opened)
}

// The counts of datagrams have the JSON form that the status of the fleet contains.
func TestGoldenCounts(t *testing.T) {
	counts := Counts{Sent: 1, SentBytes: 2, Received: 3, ReceivedBytes: 4, Unauthenticated: 5, Malformed: 6}
	text, err := json.Marshal(counts)
	require.NoError(t, err)
	want := golden(t, "counts.json", text)
	assert.Equal(t, string(want), string(text))
	var read Counts
	require.NoError(t, json.Unmarshal(want, &read))
	assert.Equal(t, counts, read)
}
