package live

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"valeshift/internal/testbed/model"
)

const (
	dialTimeout     = 10 * time.Second
	readBufferBytes = 16 << 10 // size of a connection's read buffer
	relistenDelay   = 20.0     // milliseconds until the next attempt to listen again at an address
)

// network holds the loopback addresses and connections of a run's actors. Its mutex guards the whole model.
type network struct {
	mutex           sync.Mutex
	startedAt       time.Time
	startedAtMillis float64                // startedAt in Unix milliseconds
	hosts           map[string]*socketHost // by address
	closed          bool
	ctx             context.Context
}

// socketHost holds one actor's address and connections. It implements model.Host.
type socketHost struct {
	network     *network
	zone        int
	address     string
	listener    net.Listener
	actor       model.Actor
	connections map[uint64]*connection // by number
	lastNumber  uint64                 // number of the connection added last
	unreachable bool                   // all traffic is held back
	reachable   *sync.Cond             // signals that unreachable changed or the network is closed
}

// connection is one connection of an actor. One goroutine reads it and one writes it.
type connection struct {
	host       *socketHost
	number     uint64
	socket     *net.TCPConn // nil while it is being dialed
	pending    []byte       // bytes to be written
	wakeWriter *sync.Cond   // signals the writing goroutine
	closing    bool         // to be closed once pending is written
	closed     bool         // removed from its host
}

func newNetwork(ctx context.Context) *network {
	now := time.Now()
	return &network{
		startedAt:       now,
		startedAtMillis: float64(now.UnixMicro()) / 1000,
		hosts:           map[string]*socketHost{},
		ctx:             ctx,
	}
}

// now returns the time in Unix milliseconds. It advances by the monotonic clock, whatever is done to the system's
// clock during the run.
func (n *network) now() float64 {
	return n.startedAtMillis + float64(time.Since(n.startedAt))/float64(time.Millisecond)
}

// after calls do under the mutex once wait milliseconds have passed.
func (n *network) after(wait float64, do func()) {
	time.AfterFunc(time.Duration(max(wait, 0)*float64(time.Millisecond)), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if !n.closed {
			do()
		}
	})
}

// newHost listens on a free port for an actor in a zone.
func (n *network) newHost(zone int) (*socketHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &socketHost{
		network:     n,
		zone:        zone,
		address:     listener.Addr().String(),
		listener:    listener,
		connections: map[uint64]*connection{},
		reachable:   sync.NewCond(&n.mutex),
	}
	n.hosts[h.address] = h
	go h.accept(listener)
	return h, nil
}

func (h *socketHost) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		if !h.acceptOne(socket.(*net.TCPConn)) {
			return
		}
	}
}

// acceptOne gives an accepted connection to the actor, once the host is reachable. It returns false if the network is
// closed.
func (h *socketHost) acceptOne(socket *net.TCPConn) bool {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	for h.unreachable && !h.network.closed {
		h.reachable.Wait()
	}
	if h.network.closed {
		socket.Close()
		return false
	}
	c := h.addConnection()
	h.actor.OnAccept(c.number)
	c.start(socket)
	return true
}

// setRefusing closes the listener, or listens again at the same address.
func (h *socketHost) setRefusing(refuse bool) {
	if refuse {
		h.listener.Close()
		return
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil { // an outgoing connection uses that port at present
		h.network.after(relistenDelay, func() { h.setRefusing(false) })
		return
	}
	h.listener = listener
	go h.accept(listener)
}

// setUnreachable holds back all traffic to and from the host, or lets it pass again, including what was held back.
func (h *socketHost) setUnreachable(unreachable bool) {
	h.unreachable = unreachable
	h.reachable.Broadcast()
	for _, c := range h.connections {
		c.wakeWriter.Broadcast()
	}
}

func (h *socketHost) addConnection() *connection {
	h.lastNumber++
	c := &connection{host: h, number: h.lastNumber, wakeWriter: sync.NewCond(&h.network.mutex)}
	h.connections[c.number] = c
	return c
}

// Now returns the time in Unix milliseconds.
func (h *socketHost) Now() float64 { return h.network.now() }

// After calls do under the mutex once wait milliseconds have passed.
func (h *socketHost) After(wait float64, do func()) { h.network.after(wait, do) }

// Dial begins to open a connection and returns its number. The actor's OnConnect or OnClose is called with the outcome.
func (h *socketHost) Dial(address string) uint64 {
	c := h.addConnection()
	go func() {
		dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
		socket, err := dialer.DialContext(h.network.ctx, "tcp", address)
		h.network.mutex.Lock()
		defer h.network.mutex.Unlock()
		switch {
		case c.closed || h.network.closed:
			if err == nil {
				socket.Close()
			}
		case err != nil:
			c.remove()
			h.actor.OnClose(c.number, true)
		default:
			c.start(socket.(*net.TCPConn))
			h.actor.OnConnect(c.number)
		}
	}()
	return c.number
}

// Write queues data to be written to the connection.
func (h *socketHost) Write(number uint64, data []byte) {
	if c := h.connections[number]; c != nil {
		c.pending = append(c.pending, data...)
		c.wakeWriter.Signal()
	}
}

// Close closes the connection once all queued data is written.
func (h *socketHost) Close(number uint64) {
	if c := h.connections[number]; c != nil {
		c.close()
	}
}

// Reset discards data that is not written yet, and resets the connection.
func (h *socketHost) Reset(number uint64) {
	if c := h.connections[number]; c != nil {
		c.reset()
	}
}

// start starts the goroutines that read and write the connection.
func (c *connection) start(socket *net.TCPConn) {
	c.socket = socket
	go c.read()
	go c.write()
}

func (c *connection) read() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.socket.Read(buffer)
		if !c.deliver(buffer[:n], err) {
			return
		}
	}
}

// deliver gives the result of a read to the actor, once the host is reachable. It returns false if the connection is
// closed.
func (c *connection) deliver(data []byte, err error) bool {
	network := c.host.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for c.host.unreachable && !c.closed && !network.closed {
		c.host.reachable.Wait()
	}
	if c.closed || network.closed {
		return false
	}
	if len(data) > 0 {
		c.host.actor.OnData(c.number, data)
	}
	if err != nil && !c.closed {
		c.remove()
		c.host.actor.OnClose(c.number, isReset(err))
	}
	return !c.closed
}

func (c *connection) write() {
	for {
		data, stop := c.nextWrite()
		if stop {
			c.socket.Close()
			return
		}
		if _, err := c.socket.Write(data); err != nil {
			c.socket.Close()
			return
		}
	}
}

// nextWrite waits for bytes to be written and returns them. Stop is true once the connection is closing and all bytes
// are written.
func (c *connection) nextWrite() (data []byte, stop bool) {
	network := c.host.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for (len(c.pending) == 0 || c.host.unreachable) && !c.closing && !c.closed && !network.closed {
		c.wakeWriter.Wait()
	}
	data = c.pending
	c.pending = nil
	stop = (c.closing || c.closed || network.closed) && len(data) == 0
	return data, stop
}

// close closes the connection once all pending bytes are written.
func (c *connection) close() {
	c.closing = true
	c.remove()
}

func (c *connection) reset() {
	c.pending = nil
	if c.socket != nil {
		c.socket.SetLinger(0)
		c.socket.Close()
	}
	c.remove()
}

// remove removes a connection from its host and has its goroutines end.
func (c *connection) remove() {
	c.closed = true
	delete(c.host.connections, c.number)
	c.wakeWriter.Broadcast()
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
