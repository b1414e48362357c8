package relay

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEventOfAClosedConnectionIsNotTheNextOnes guards against a usual client that is closed without an answer: in a batch
// of events, the poller took the end of a connection that had been closed meanwhile for that of the next connection with
// the same descriptor.
func TestEventOfAClosedConnectionIsNotTheNextOnes(t *testing.T) {
	reused := 0
	for tries := 0; reused < 5; tries++ {
		require.Less(t, tries, 30, "other connections get the closed one's descriptor too rarely")
		if reusesDescriptor(t) {
			reused++
		}
	}
}

// reusesDescriptor has a client connect while an event of a closed connection is in the poller's batch, and requires that
// it is answered. It reports whether the client's connection got the closed one's descriptor.
func reusesDescriptor(t *testing.T) bool {
	t.Helper()
	d := newUnwatchedDriver(t)
	d.machine.lifecycle.ready = true
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	lower := openFiles(t, 2, -1) // their descriptors are below those of the connections
	first, firstSocket := acceptInto(t, d, listener, 1)
	defer first.Close()
	second, secondSocket := acceptInto(t, d, listener, 2)
	defer second.Close()
	closed, closedSocket := acceptInto(t, d, listener, 3)
	descriptor := closedSocket.nbConn.Hash()

	firstSocket.readMutex.Lock() // the poller waits in a batch without the other events
	writeText(t, first, "P")
	time.Sleep(20 * time.Millisecond)
	secondSocket.readMutex.Lock() // it will wait in the batch with both of them
	writeText(t, second, "P")
	require.NoError(t, closed.Close())
	time.Sleep(20 * time.Millisecond)
	firstSocket.readMutex.Unlock()
	time.Sleep(20 * time.Millisecond)

	d.mutex.Lock()
	d.closeOrReset(3, byReset)
	d.mutex.Unlock()
	fill := openFiles(t, descriptor, descriptor)
	defer closeFiles(fill[:len(fill)-1])
	closeFiles(append(lower, fill[len(fill)-1])) // the client and accept take the first two, and nbio's duplicate the last
	client, accepted := connectPair(t, listener)
	defer client.Close()
	go d.addAccepted(accepted)
	time.Sleep(20 * time.Millisecond)
	d.mutex.Lock()
	clientSocket := d.sockets[4] // nil if it is to be added after the batch
	d.mutex.Unlock()
	secondSocket.readMutex.Unlock()
	for range 2 { // a poller that closes the connection may have read the first one before
		writeText(t, client, "PING\r\n")
		requireReads(t, client, "PONG\r\n")
	}
	if clientSocket == nil {
		d.mutex.Lock()
		clientSocket = d.sockets[4]
		d.mutex.Unlock()
	}
	return clientSocket.nbConn.Hash() == descriptor
}

// openFiles opens files, until there are that many or one has the descriptor.
func openFiles(t *testing.T, count, descriptor int) (files []*os.File) {
	t.Helper()
	for range count {
		file, err := os.Open(os.DevNull)
		require.NoError(t, err)
		files = append(files, file)
		if int(file.Fd()) >= descriptor && descriptor >= 0 {
			break
		}
	}
	return files
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		file.Close()
	}
}

// acceptInto connects a client whose connection the driver accepts under that ID.
func acceptInto(t *testing.T, d *driver, listener net.Listener, id uint64) (net.Conn, *socket) {
	t.Helper()
	client, accepted := connectPair(t, listener)
	d.addAccepted(accepted)
	var c *socket
	require.Eventually(t, func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		c = d.sockets[id]
		return c != nil && c.polled
	}, 5*time.Second, time.Millisecond)
	return client, c
}
