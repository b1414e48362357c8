package coordinator

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/store"
)

// golden reads a file that an earlier build has written. The files are never regenerated, as data in the same
// form is stored on disks and read by operators' programs, relays and voters of that build.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return data
}

// startOnGoldenFolder starts a coordinator that is the only voter on a copy of a folder that an earlier build has
// written, and waits until it leads.
func startOnGoldenFolder(t *testing.T) (node *Node, address string) {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "golden", "folder"))))
	address, err := claimLoopback(t).AssignAddress(0)
	require.NoError(t, err)
	self := consensus.Member{Name: "v", Address: address}
	zones := []failover.Zone{{Name: "a", Region: "r0"}, {Name: "b", Region: "r0"}, {Name: "c", Region: "r1"},
		{Name: "d", Region: "r1"}}
	node, err = Start(self, []consensus.Member{self}, zones, []byte(key), store.DirFS(folder),
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	t.Cleanup(node.Stop)
	require.Eventually(t, func() bool { return status(t, node).HasLease }, 10*time.Second, 10*time.Millisecond)
	return node, address
}

func get(t *testing.T, node *Node, path string) *httptest.ResponseRecorder {
	t.Helper()
	answer := httptest.NewRecorder()
	node.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	require.Equal(t, http.StatusOK, answer.Code)
	assert.Equal(t, "application/json", answer.Header().Get("Content-Type"))
	return answer
}

func status(t *testing.T, node *Node) (s Status) {
	t.Helper()
	require.NoError(t, json.Unmarshal(get(t, node, "/status").Body.Bytes(), &s))
	return s
}

// TestStartOnGoldenFolder checks that a coordinator restores an earlier build's log, decisions, orders and identity.
func TestStartOnGoldenFolder(t *testing.T) {
	var before Status
	require.NoError(t, json.Unmarshal(golden(t, "status-answer.json"), &before))
	node, _ := startOnGoldenFolder(t)
	after := status(t, node)
	assert.Equal(t, before.Self.Disk, after.Self.Disk)
	assert.Equal(t, before.Boot+1, after.Boot)
	assert.Greater(t, after.Term, before.Term)
	assert.Greater(t, after.AppliedIndex, before.AppliedIndex)
	assert.Equal(t, before.DecisionNumber, after.DecisionNumber)
	assert.Equal(t, before.Zones, after.Zones)
	assert.Equal(t, before.Orders, after.Orders)
	assert.Equal(t, before.Voters, after.Voters)
	assert.Equal(t, string(golden(t, "history-answer.json")), get(t, node, "/history").Body.String())
}

// TestGoldenAnswers decodes an earlier build's answers to operators' programs, and encodes them to the same bytes.
func TestGoldenAnswers(t *testing.T) {
	for name, into := range map[string]any{
		"status-answer.json":  &Status{},
		"history-answer.json": &[]failover.Decision{},
	} {
		t.Run(name, func(t *testing.T) {
			data := golden(t, name)
			reader := json.NewDecoder(bytes.NewReader(data))
			reader.DisallowUnknownFields()
			require.NoError(t, reader.Decode(into))
			var written bytes.Buffer
			require.NoError(t, json.NewEncoder(&written).Encode(into))
			assert.Equal(t, string(data), written.String())
		})
	}
}

// TestGoldenStatusValues checks that each name in an earlier build's status is decoded into the right field.
func TestGoldenStatusValues(t *testing.T) {
	self := consensus.Member{Name: "v", Disk: "8b7c8cc158c6a34b", Address: "127.0.11.1:17100"}
	var s Status
	require.NoError(t, json.Unmarshal(golden(t, "status-answer.json"), &s))
	assert.Equal(t, self, s.Self)
	assert.Equal(t, uint64(1), s.Boot)
	assert.Equal(t, consensus.RoleLeader, s.Role)
	assert.Equal(t, "v", s.Leader)
	assert.Equal(t, uint64(2), s.Term)
	assert.Equal(t, uint64(6), s.AppliedIndex)
	assert.Equal(t, []consensus.Member{self}, s.Voters)
	assert.True(t, s.DiskConfirmed)
	assert.True(t, s.HasLease)
	assert.Equal(t, uint64(5), s.DecisionNumber)
	assert.Len(t, s.Zones, 4)
	assert.Len(t, s.Orders, 2)
}

// TestOrderOverHTTP checks the status codes of answers to orders, as operators' programs depend on them.
func TestOrderOverHTTP(t *testing.T) {
	node, _ := startOnGoldenFolder(t)
	for _, test := range []struct {
		name, body string
		code       int
	}{
		{"decided", `{"ID":"ticket-9","Zone":"d","Do":"empty","Reason":"cooling","Who":"jo"}`, http.StatusOK},
		{"given before the restart", `{"ID":"ticket-1","Zone":"b","Do":"empty"}`, http.StatusOK},
		{"rejected", `{"ID":"ticket-10","Zone":"nowhere","Do":"empty"}`, http.StatusConflict},
		{"without an ID", `{"Zone":"b","Do":"empty"}`, http.StatusBadRequest},
		{"no JSON", `{`, http.StatusBadRequest},
		{"too long", `{"ID":"ticket-11","Reason":"` + strings.Repeat("x", maxOrderBytes) + `"}`, http.StatusBadRequest},
		{"an entry too long", `{"ID":"ticket-12","Reason":"` + strings.Repeat("\x7f", maxOrderBytes/2) +
			strings.Repeat("<", maxOrderBytes/3) + `"}`, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(test.body))
			node.Handler().ServeHTTP(answer, request)
			assert.Equal(t, test.code, answer.Code, answer.Body.String())
		})
	}
}

// TestGoldenDatagrams sends a coordinator the datagrams of an earlier build's relays and voters.
func TestGoldenDatagrams(t *testing.T) {
	_, address := startOnGoldenFolder(t)
	for _, test := range []struct {
		name     string
		answered bool
	}{
		{"datagram-message.bin", false}, // its sender is not a member, so it is not answered
		{"datagram-observations.bin", true},
		{"datagram-question.bin", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("udp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write(golden(t, test.name))
			require.NoError(t, err)
			buffer := make([]byte, maxDatagramBytes)
			wait := 5 * time.Second
			if !test.answered {
				wait = 200 * time.Millisecond
			}
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
			n, err := conn.Read(buffer)
			if !test.answered {
				assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
				return
			}
			require.NoError(t, err)
			body, err := membership.Open([]byte(key), buffer[:n])
			require.NoError(t, err)
			assert.Equal(t, byte('w'), body[0])
			var fields map[string]json.RawMessage
			require.NoError(t, json.Unmarshal(body[1:], &fields))
			assert.Equal(t, "5", string(fields["Number"]))
			assert.Equal(t, "true", string(fields["Leads"]))
			assert.NotEmpty(t, fields["Age"])
			assert.NotEmpty(t, fields["Zones"])
			assert.Len(t, fields, 4)
		})
	}
}

// TestGoldenAnnouncements decodes an earlier build's announcements, and encodes them to the same bytes.
func TestGoldenAnnouncements(t *testing.T) {
	for name, announcement := range map[string]failover.Announcement{
		"announcement.json": {Number: 7, AgeMillis: 12.5, FromLeader: true, Zones: []failover.Zone{{
			Name:       "a",
			Region:     "north",
			State:      failover.Spilling,
			Share:      0.75,
			Diversions: []failover.TrafficShare{{Zone: "b", Fraction: 0.25}},
			Unserved:   0.125,
			Reason:     "full",
		}}},
		"announcement-unknown.json": {AgeMillis: -1},
	} {
		t.Run(name, func(t *testing.T) {
			data := golden(t, name)
			var read failover.Announcement
			require.NoError(t, json.Unmarshal(data, &read))
			assert.Equal(t, announcement, read)
			c := &Core{}
			assert.Equal(t, string(data), string(c.encodeAnnouncement(announcement)))
		})
	}
}

// TestGoldenConfig reads a configuration file that contains every key.
func TestGoldenConfig(t *testing.T) {
	loaded, err := LoadConfig(filepath.Join("testdata", "golden", "coordinator.toml"))
	require.NoError(t, err)
	assert.Equal(t, &Config{
		Name:         "north",
		AdminAddress: "127.0.0.1:7101",
		KeyFile:      "/etc/valeshift/key",
		Folder:       "/var/lib/valeshift-council",
		Voters:       []VoterConfig{{Name: "north", Address: "127.0.0.1:7100"}},
		Zones:        []ZoneConfig{{Name: "a", Region: "highlands"}, {Name: "b", Region: "coast"}},
	}, loaded)
}
