package hotrestart

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// receive starts a receiver that is closed when the test ends.
func receive(t *testing.T, slot *Slot, handle SessionHandler) {
	t.Helper()
	receiver, err := slot.ReceiveSessions(handle)
	require.NoError(t, err)
	t.Cleanup(receiver.Close)
}

// socketPairs returns the descriptors of a session and those of its peers.
func socketPairs(t *testing.T) (local, peers [FilesPerSession]int) {
	t.Helper()
	for i := range local {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		require.NoError(t, err)
		local[i] = pair[0]
		peers[i] = pair[1]
	}
	return local, peers
}

// A session is sent with its record and descriptors, and stays with the sender if the receiver rejects it.
func TestSessionIsSent(t *testing.T) {
	dir := t.TempDir()
	parent, child := acquire(t, dir), acquire(t, dir)
	_, err := parent.OpenChannel(2)
	assert.Error(t, err, "no process listens there")
	var records []string
	var kept [FilesPerSession]*os.File
	released := make(chan bool, 1)
	receive(t, child, func(record []byte, files [FilesPerSession]*os.File) (bool, func()) {
		records = append(records, string(record))
		if string(record) != "good" {
			return false, nil
		}
		for i, file := range files {
			fd, _ := syscall.Dup(int(file.Fd()))
			kept[i] = os.NewFile(uintptr(fd), "kept")
		}
		return true, func() { released <- true }
	})
	channel, err := parent.OpenChannel(2)
	require.NoError(t, err)
	defer channel.Close()
	local, peers := socketPairs(t)

	sent, err := channel.SendSession([]byte("bad"), local)
	assert.ErrorIs(t, err, ErrRejected)
	assert.False(t, sent)
	sent, err = channel.SendSession(make([]byte, maxPacketBytes+1), local)
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.False(t, sent)
	_, _, err = channel.conn.WriteMsgUnix([]byte("alone"), syscall.UnixRights(local[0]), nil)
	require.NoError(t, err)
	answer := make([]byte, 100)
	n, err := channel.conn.Read(answer)
	require.NoError(t, err)
	assert.Equal(t, packetRejected, string(answer[:n]), "a session with only one descriptor")

	sent, err = channel.SendSession([]byte("good"), local)
	require.NoError(t, err)
	assert.True(t, sent)
	assert.Equal(t, []string{"bad", "good"}, records)
	for i := range local {
		syscall.Close(local[i])
		_, err := syscall.Write(peers[i], []byte("on"))
		require.NoError(t, err, "the connection must work in the other process")
		n, err := kept[i].Read(answer)
		require.NoError(t, err)
		assert.Equal(t, "on", string(answer[:n]))
		kept[i].Close()
		syscall.Close(peers[i])
	}
	select {
	case <-released:
		assert.Fail(t, "released before the sender has confirmed it")
	default:
	}
	require.NoError(t, channel.ConfirmRelease())
	assert.True(t, <-released)
	require.NoError(t, channel.ConfirmRelease(), "the release is confirmed only once")
}

// Closing a receiver ends its wait for the release of a session, and calls the session's released function.
func TestClosedReceiverStopsWaiting(t *testing.T) {
	dir := t.TempDir()
	parent, child := acquire(t, dir), acquire(t, dir)
	released := make(chan bool, 1)
	receiver, err := child.ReceiveSessions(func([]byte, [FilesPerSession]*os.File) (bool, func()) {
		return true, func() { released <- true }
	})
	require.NoError(t, err)
	channel, err := parent.OpenChannel(2)
	require.NoError(t, err)
	defer channel.Close()
	local, peers := socketPairs(t)
	sent, err := channel.SendSession([]byte("good"), local)
	require.NoError(t, err)
	assert.True(t, sent)
	for i := range local {
		syscall.Close(local[i])
		syscall.Close(peers[i])
	}
	receiver.Close()
	assert.Len(t, released, 1)
	_, err = parent.OpenChannel(2)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}
