package hotrestart

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// receive starts a receiver that ends with the test.
func receive(t *testing.T, slot *Slot, handle SessionHandler) {
	t.Helper()
	receiver, err := slot.ReceiveSessions(handle)
	require.NoError(t, err)
	t.Cleanup(receiver.Close)
}

// socketPairs returns a session's descriptors, and those of its peers.
func socketPairs(t *testing.T) (near, far [FilesPerSession]int) {
	t.Helper()
	for i := range near {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		require.NoError(t, err)
		near[i] = pair[0]
		far[i] = pair[1]
	}
	return near, far
}

// A session goes from one process to the other with a record, and stays where it is if that one rejects it.
func TestSessionIsSent(t *testing.T) {
	dir := t.TempDir()
	parent, child := acquire(t, dir), acquire(t, dir)
	_, err := parent.OpenChannel(2)
	assert.Error(t, err, "nobody listens there")
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
	near, far := socketPairs(t)

	sent, err := channel.SendSession([]byte("bad"), near)
	assert.ErrorIs(t, err, ErrRejected)
	assert.False(t, sent)
	sent, err = channel.SendSession(make([]byte, maxPacketBytes+1), near)
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.False(t, sent)
	_, _, err = channel.conn.WriteMsgUnix([]byte("alone"), syscall.UnixRights(near[0]), nil)
	require.NoError(t, err)
	answer := make([]byte, 100)
	n, err := channel.conn.Read(answer)
	require.NoError(t, err)
	assert.Equal(t, packetRejected, string(answer[:n]), "one descriptor")

	sent, err = channel.SendSession([]byte("good"), near)
	require.NoError(t, err)
	assert.True(t, sent)
	assert.Equal(t, []string{"bad", "good"}, records)
	for i := range near {
		syscall.Close(near[i])
		_, err := syscall.Write(far[i], []byte("on"))
		require.NoError(t, err, "it goes on there")
		n, err := kept[i].Read(answer)
		require.NoError(t, err)
		assert.Equal(t, "on", string(answer[:n]))
		kept[i].Close()
		syscall.Close(far[i])
	}
	select {
	case <-released:
		assert.Fail(t, "released while the other process holds it")
	default:
	}
	require.NoError(t, channel.ConfirmRelease())
	assert.True(t, <-released)
	require.NoError(t, channel.ConfirmRelease(), "said once")
}

// A receiver that is closed lets go of a session whose release it waits for, and ends.
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
	near, far := socketPairs(t)
	sent, err := channel.SendSession([]byte("good"), near)
	require.NoError(t, err)
	assert.True(t, sent)
	for i := range near {
		syscall.Close(near[i])
		syscall.Close(far[i])
	}
	receiver.Close()
	assert.Len(t, released, 1)
	_, err = parent.OpenChannel(2)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}
