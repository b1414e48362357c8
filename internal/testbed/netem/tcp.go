package netem

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	readBufferBytes = 16 << 10
	dialTimeout     = 2 * time.Second
	trickleParts    = 20 // a limited rate passes in so many pieces a second
)

func (p *Proxy) acceptLoop(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.connect(ctx, c) })
	}
}

// connect dials the target for an accepted connection and forwards both directions. A direction that is cut has
// the connection accepted and silent, as a machine that is unreachable behind a router does.
func (p *Proxy) connect(ctx context.Context, client net.Conn) {
	p.track(client)
	defer p.untrack(client)
	for p.impairment(outbound).Cut || p.impairment(inbound).Cut {
		if !sleep(ctx, cutPollInterval) {
			return
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(target)
	defer p.untrack(target)
	// Both ends are closed once both directions have ended, so that what is on its way still arrives.
	back := make(chan struct{})
	p.tasks.Go(func() {
		defer close(back)
		p.forward(ctx, target, client, inbound)
	})
	p.forward(ctx, client, target, outbound)
	<-back
}

// track has Close close a connection, and closes it where that is over.
func (p *Proxy) track(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.conns[c] = true
}

// untrack closes a connection that is done with.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
}

// reset closes a connection by a RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// forward copies one direction until it ends.
func (p *Proxy) forward(ctx context.Context, from, to net.Conn, d direction) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !p.deliver(ctx, buffer[:n], from, to, d) {
			return
		}
		if err != nil {
			propagateEnd(to, err)
			return
		}
	}
}

// deliver passes data on, piece by piece, each under the impairment that holds when its turn comes. It returns
// false once the direction has ended.
func (p *Proxy) deliver(ctx context.Context, data []byte, from, to net.Conn, d direction) bool {
	for len(data) > 0 {
		impairment := p.impairment(d)
		if impairment.Reset {
			reset(from)
			reset(to)
			return false
		}
		if impairment.Cut {
			if !sleep(ctx, cutPollInterval) {
				return false
			}
			continue
		}
		size, delay := p.nextPiece(len(data), impairment)
		if !sleep(ctx, delay) {
			return false
		}
		if _, err := to.Write(data[:size]); err != nil {
			reset(from)
			return false
		}
		data = data[size:]
	}
	return true
}

// nextPiece returns how many of the bytes are passed on at once, and after what delay.
func (p *Proxy) nextPiece(bytes int, i Impairment) (size int, delay time.Duration) {
	size = bytes
	if i.MaxPiece > 0 {
		size = min(size, i.MaxPiece)
	}
	delay = p.drawDelay(i)
	if i.BytesPerSecond > 0 {
		size = min(size, max(i.BytesPerSecond/trickleParts, 1))
		delay += time.Duration(size) * time.Second / time.Duration(i.BytesPerSecond)
	}
	return size, delay
}

// propagateEnd ends the other connection as the one that was read from has ended: in order, or by a reset.
func propagateEnd(to net.Conn, readErr error) {
	tcp, isTCP := to.(*net.TCPConn)
	if isTCP && errors.Is(readErr, io.EOF) && !errors.Is(readErr, net.ErrClosed) {
		tcp.CloseWrite()
		return
	}
	reset(to)
}
