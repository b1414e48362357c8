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
	readBufferBytes = 16 << 10
	relistenDelay   = 20.0 // milliseconds
)

// network is the loopback network that a run's actors use. Its mutex guards the whole model.
type network struct {
	mutex           sync.Mutex
	startedAt       time.Time
	startedAtMillis float64 // Unix time
	hosts           map[string]*socketHost
	closed          bool
	ctx             context.Context
}

// socketHost is one actor's address and connections; it implements model.Host.
type socketHost struct {
	network     *network
	zone        int
	address     string
	listener    net.Listener
	actor       model.Actor
	connections map[uint64]*connection
	lastNumber  uint64
	unreachable bool
	reachable   *sync.Cond
}

// connection is one connection of an actor, read and written by a goroutine each.
type connection struct {
	host       *socketHost
	number     uint64
	socket     *net.TCPConn // nil while it is being dialed
	pending    []byte       // bytes to be written
	wakeWriter *sync.Cond
	closing    bool
	closed     bool
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

// now returns the time in Unix milliseconds, carried on by the monotonic clock.
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

// newHost listens on a free port for an actor of that zone.
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

// acceptOne hands an accepted connection to the actor; false: the network is closed.
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
	if err != nil { // an outgoing connection has that port just now
		h.network.after(relistenDelay, func() { h.setRefusing(false) })
		return
	}
	h.listener = listener
	go h.accept(listener)
}

// setUnreachable stops all traffic to and from the host, or lets what was held back pass.
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

// Dial opens a connection and returns its number; OnConnect or OnClose tells the actor how that ended.
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

// Write appends data to what the connection is to write.
func (h *socketHost) Write(number uint64, data []byte) {
	if c := h.connections[number]; c != nil {
		c.pending = append(c.pending, data...)
		c.wakeWriter.Signal()
	}
}

// Close closes the connection once all is written.
func (h *socketHost) Close(number uint64) {
	if c := h.connections[number]; c != nil {
		c.close()
	}
}

// Reset drops what is not written yet and resets the connection.
func (h *socketHost) Reset(number uint64) {
	if c := h.connections[number]; c != nil {
		c.reset()
	}
}

// start begins to read and write.
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

// deliver passes what a read brought to the actor, once the host is reachable; false: the connection is over.
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

// nextWrite waits for bytes to be written; stop: the connection is closing and all of them are written.
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

// remove drops a connection from its host; both its goroutines end.
func (c *connection) remove() {
	c.closed = true
	delete(c.host.connections, c.number)
	c.wakeWriter.Broadcast()
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
