package hotrestart

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// golden is the content of testdata/golden/exchange.json: the file names and packets with which processes of
// different builds communicate, which must not change.
type golden struct {
	Slot     string `json:"slot"`     // slot file of process 2
	Ready    string `json:"ready"`    // content of the slot file once its process is ready
	Handoff  string `json:"handoff"`  // file with a handoff for process 2
	Message  string `json:"message"`  // file with a message for process 2
	Socket   string `json:"socket"`   // socket on which process 2 receives packets
	Accepted string `json:"taken"`    // answer to a session: packetAccepted
	Waiting  string `json:"waits"`    // answer to a session: packetWaiting
	Rejected string `json:"rejected"` // answer to a session: packetRejected
	Released string `json:"released"` // packet sent after packetWaiting: packetReleased
}

func readGolden(t *testing.T) golden {
	t.Helper()
	text, err := os.ReadFile("testdata/golden/exchange.json")
	require.NoError(t, err)
	var g golden
	require.NoError(t, json.Unmarshal(text, &g))
	return g
}

// This build writes files with the golden names and contents.
func TestGoldenFilesAreWritten(t *testing.T) {
	g, dir := readGolden(t), t.TempDir()
	first, second := acquire(t, dir), acquire(t, dir)
	require.NoError(t, second.MarkReady())
	require.NoError(t, first.SendHandoff(2, []byte(`{"Version":1}`)))
	require.NoError(t, first.SendMessage(2, []byte{0, 1, 0xff}))
	receive(t, second, func([]byte, [FilesPerSession]*os.File) (bool, func()) { return false, nil })
	content := map[string]string{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		if e.Name() == g.Socket {
			assert.Equal(t, os.ModeSocket, e.Type())
			content[e.Name()] = ""
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		content[e.Name()] = string(text)
	}
	assert.Equal(t, map[string]string{"valeshift.1.seat": "", g.Slot: g.Ready, g.Handoff: `{"Version":1}`,
		g.Message: "\x00\x01\xff", g.Socket: ""}, content)
}

// This build reads files that another build has written.
func TestGoldenFilesAreRead(t *testing.T) {
	g, dir := readGolden(t), t.TempDir()
	first := acquire(t, dir)
	require.NoError(t, os.WriteFile(filepath.Join(dir, g.Slot), []byte(g.Ready), 0o600))
	other, err := os.Open(filepath.Join(dir, g.Slot))
	require.NoError(t, err)
	defer other.Close()
	require.NoError(t, syscall.Flock(int(other.Fd()), syscall.LOCK_EX))
	_, child := first.Siblings()
	assert.Equal(t, Process{2, true}, child)

	second := &Slot{dir: dir, number: 2}
	require.NoError(t, os.WriteFile(filepath.Join(dir, g.Handoff), []byte("left"), 0o600))
	record, err := second.ReceiveHandoff(0)
	require.NoError(t, err)
	assert.Equal(t, "left", string(record))
	require.NoError(t, os.WriteFile(filepath.Join(dir, g.Message), []byte("told"), 0o600))
	record, err = second.ReceiveMessage()
	require.NoError(t, err)
	assert.Equal(t, "told", string(record))
}

// A sender of this build understands the golden answers of another build's receiver, and confirms a release
// with the golden packet.
func TestGoldenPacketsAreUnderstood(t *testing.T) {
	g, dir := readGolden(t), t.TempDir()
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: filepath.Join(dir, g.Socket)})
	require.NoError(t, err)
	defer listener.Close()
	channel, err := (&Slot{dir: dir, number: 1}).OpenChannel(2)
	require.NoError(t, err)
	defer channel.Close()
	conn, err := listener.AcceptUnix()
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(pair[0])
	defer syscall.Close(pair[1])
	for _, tt := range []struct {
		name, answer string
		sent         bool
		err          error
		after        string
	}{
		{"taken", g.Accepted, true, nil, ""},
		{"rejected", g.Rejected, false, ErrRejected, ""},
		{"waits", g.Waiting, true, nil, g.Released},
	} {
		_, err := conn.Write([]byte(tt.answer)) // written first, so SendSession finds the answer
		require.NoError(t, err)
		sent, err := channel.SendSession([]byte(tt.name), pair)
		assert.Equal(t, tt.sent, sent, tt.name)
		assert.ErrorIs(t, err, tt.err, tt.name)
		packet, rights := make([]byte, 100), make([]byte, 100)
		n, m, _, _, err := conn.ReadMsgUnix(packet, rights)
		require.NoError(t, err)
		assert.Equal(t, tt.name, string(packet[:n]))
		fds := descriptors(rights[:m])
		assert.Len(t, fds, 2, tt.name)
		for _, fd := range fds {
			syscall.Close(fd)
		}
		require.NoError(t, channel.ConfirmRelease())
		if tt.after != "" {
			n, err := conn.Read(packet)
			require.NoError(t, err)
			assert.Equal(t, tt.after, string(packet[:n]))
		}
	}
}

// A receiver of this build sends the golden answers to another build's sender, and understands its golden
// packet.
func TestGoldenPacketsAreSent(t *testing.T) {
	g, dir := readGolden(t), t.TempDir()
	s := &Slot{dir: dir, number: 2}
	released := make(chan struct{}, 1)
	receive(t, s, func(record []byte, _ [FilesPerSession]*os.File) (bool, func()) {
		switch string(record) {
		case "taken":
			return true, nil
		case "waits":
			return true, func() { released <- struct{}{} }
		}
		return false, nil
	})
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: filepath.Join(dir, g.Socket)})
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(pair[0])
	defer syscall.Close(pair[1])
	for record, want := range map[string]string{"taken": g.Accepted, "other": g.Rejected, "waits": g.Waiting} {
		_, _, err := conn.WriteMsgUnix([]byte(record), syscall.UnixRights(pair[:]...), nil)
		require.NoError(t, err)
		answer := make([]byte, 100)
		n, err := conn.Read(answer)
		require.NoError(t, err)
		assert.Equal(t, want, string(answer[:n]), record)
		if record == "waits" {
			_, err := conn.Write([]byte(g.Released))
			require.NoError(t, err)
			<-released
		}
	}
}
