package replication

import (
	"encoding/hex"
	"encoding/json"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The files of testdata/golden were written by a build from before the struct fields got their tags and current names.
// The formats must stay the same, as relays of both builds run in one fleet and a new build reads what an old one has
// stored.

// readGoldenFile returns the contents of a golden file without the trailing newline.
func readGoldenFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return strings.TrimSpace(string(text))
}

// goldenRecord returns a record in which every field is set.
func goldenRecord(kind Kind) Record {
	return Record{Kind: kind, Key: "00000000deadbeef", ID: 0x0123456789abcdef, Version: 300, Owner: "relay-1",
		ValidFrom: 1700000000123.5, ExpiresAt: 1700000060000, Body: []byte("s1\x00\xff"),
		Replicas: []Replica{{"relay-1", 7}, {"relay-2", 1 << 40}, {"relay-3", 9}}}
}

// goldenMessage returns a message in which every field is set.
func goldenMessage(msgType messageType, recordKind Kind) message {
	return message{Type: msgType, Token: 0xfedcba9876543211, From: "relay-2", Incarnation: 1 << 40, Ballot: ballot{5, 11},
		AcceptedBallot: ballot{4, 13}, Claimant: 0x8000000000000001,
		Records: []Record{goldenRecord(recordKind), {Kind: AttemptMarker, Key: "k", ID: 77}}}
}

// Messages of every type, with records of every kind, are decoded and encoded as in the golden file.
func TestGoldenMessages(t *testing.T) {
	golden := map[string]string{}
	for _, line := range strings.Split(readGoldenFile(t, "messages.hex"), "\n") {
		name, digits, _ := strings.Cut(line, " ")
		golden[name] = digits
	}
	cases := map[string]message{
		"store":         goldenMessage(messageStore, Reservation),
		"stored":        goldenMessage(messageStored, OperatorOrder),
		"reject":        goldenMessage(messageReject, AttemptMarker),
		"lookup":        goldenMessage(messageLookup, Affinity),
		"found":         goldenMessage(messageFound, Reservation),
		"prepare":       goldenMessage(messagePrepare, Reservation),
		"promise":       goldenMessage(messagePromise, Reservation),
		"accept":        goldenMessage(messageAccept, Reservation),
		"accepted":      goldenMessage(messageAccepted, Reservation),
		"discard":       goldenMessage(messageDiscard, AttemptMarker),
		"publish":       goldenMessage(messagePublish, OperatorOrder),
		"reject-sealed": {Type: messageReject, Token: 1, From: "relay-3", Ballot: ballot{Round: math.MaxUint64}},
		"found-nothing": {Type: messageFound, Token: 2, From: "relay-3", Incarnation: 9},
		"found-revoked-marker": {Type: messageFound, Token: 3, From: "relay-3", Incarnation: 9,
			Records: []Record{{Kind: AttemptMarker, Key: "k", ID: 5}}},
	}
	assert.Len(t, golden, len(cases))
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := hex.DecodeString(golden[name])
			require.NoError(t, err)
			read, err := decodeMessage(data)
			require.NoError(t, err)
			assert.Equal(t, message, read)
			assert.Equal(t, golden[name], hex.EncodeToString(message.encode()))
		})
	}
}

// loadGoldenRecord returns a replica that has loaded the stored record of the golden file, with the record's name on
// disk and its encoding as hex digits.
func loadGoldenRecord(t *testing.T) (r *Replicator, name, digits string) {
	t.Helper()
	name, digits, _ = strings.Cut(readGoldenFile(t, "stored-record.hex"), " ")
	body, err := hex.DecodeString(digits)
	require.NoError(t, err)
	r = New("relay-2", 1<<40, 3, 10, rand.New(rand.NewSource(1)))
	require.True(t, r.LoadRecord(1700000000000, name, body))
	return r, name, digits
}

// A stored record is loaded with its register, and written again with the same bytes.
func TestGoldenStoredRecord(t *testing.T) {
	r, name, digits := loadGoldenRecord(t)
	stored := r.records.byID[0x0123456789abcdef]
	assert.Equal(t, &storedRecord{
		Record:   goldenRecord(Reservation),
		register: register{Promised: ballot{6, 17}, Accepted: ballot{5, 11}, Claimant: 0x8000000000000001},
	}, stored)
	rewritten := r.newWrite(stored)
	assert.Equal(t, name, rewritten.Name)
	assert.Equal(t, digits, hex.EncodeToString(rewritten.Body))
}

// The numbers of the kinds, and their names in /_holdings and /_fleet, stay the same.
func TestGoldenKinds(t *testing.T) {
	var names []string
	require.NoError(t, json.Unmarshal([]byte(readGoldenFile(t, "kinds.json")), &names))
	for i, kind := range []Kind{Reservation, OperatorOrder, AttemptMarker, Affinity} {
		assert.Equal(t, i+1, int(kind))
		assert.Equal(t, names[i], kind.String())
	}
	assert.Len(t, names, int(kindLimit)-1)
}

// goldenSnapshot returns a snapshot in which every field is set.
func goldenSnapshot(kind, id string, state RecordState) RecordSnapshot {
	return RecordSnapshot{Kind: kind, Key: "00000000deadbeef", ID: id, Owner: "relay-1", Version: 300,
		ValidFrom: 1700000000123.5, ExpiresAt: 1700000060000, State: state, Body: []byte("s1\x00\xff"),
		Replicas: []Replica{{"relay-1", 7}, {"relay-2", 1 << 40}}}
}

func goldenPage() *Page {
	return &Page{Relay: "relay-2", Now: 1700000000500.25, Records: []RecordSnapshot{
		goldenSnapshot("places", "0123456789abcdef", StateUsed),
		goldenSnapshot("orders", "1123456789abcdef", StateOpen),
		goldenSnapshot("marks", "2123456789abcdef", StateOver),
		{Kind: "affinities", ID: "3123456789abcdef", Replicas: []Replica{}},
	}}
}

// The JSON of a page of /_holdings, of a kind's status and counts in /_fleet, and of Verify's report stays the same.
func TestGoldenJSON(t *testing.T) {
	for name, c := range map[string]struct{ value, read any }{
		"empty-page.json":  {&Page{Relay: "relay-2", Now: 1, Records: []RecordSnapshot{}}, new(Page)},
		"page.json":        {goldenPage(), new(Page)},
		"kind-status.json": {&KindStatus{Stored: 9, Open: 8, UnderReplicated: 7, BelowQuorum: 6}, new(KindStatus)},
		"counts.json": {&Counts{Stored: 1, RejectedFull: 2, Replicated: 3, NotReplicated: 4, Lookups: 5, Found: 6,
			AlreadyUsed: 7, Missed: 8, Accepted: 9}, new(Counts)},
		"report.json": {&Report{Records: 1, FullyReplicated: 2, UnderReplicated: 3, BelowQuorum: 4, Unknown: 5,
			Inconsistencies: []string{"w"}}, new(Report)},
	} {
		t.Run(name, func(t *testing.T) {
			golden := readGoldenFile(t, name)
			require.NoError(t, json.Unmarshal([]byte(golden), c.read))
			assert.Equal(t, c.value, c.read)
			text, err := json.Marshal(c.value)
			require.NoError(t, err)
			assert.Equal(t, golden, string(text))
		})
	}
}

// A record loaded from disk has the same JSON in a page as with the earlier build.
func TestGoldenPageOfLoadedRecord(t *testing.T) {
	r, _, _ := loadGoldenRecord(t)
	text, err := json.Marshal(r.Page(1700000000000, 0x0123456789abcdef%Partitions))
	require.NoError(t, err)
	assert.Equal(t, readGoldenFile(t, "page-of-stored-record.json"), string(text))
}
