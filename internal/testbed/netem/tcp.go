package netem

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	readBufferBytes        = 16 << 10        // size of the read buffer of one direction of a connection
	dialTimeout            = 2 * time.Second // for a connection to the target
	limitedPiecesPerSecond = 20              // pieces a second that data is split into where the rate is limited
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

// connect dials the target for an accepted connection and forwards both directions. While either direction is cut, it
// does not dial: the connection stays accepted and silent, like one to a machine that can't be reached behind a router.
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
	// Both connections are closed only once both directions have ended, so that data in transit still arrives.
	back := make(chan struct{})
	p.tasks.Go(func() {
		defer close(back)
		p.forward(ctx, target, client, inbound)
	})
	p.forward(ctx, client, target, outbound)
	<-back
}

// track registers a connection for Close to close, or closes it if the proxy is closed already.
func (p *Proxy) track(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.conns[c] = true
}

// untrack closes a connection and unregisters it.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
}

// reset closes a connection with a RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// forward forwards one direction of a connection until it ends.
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

// deliver forwards data piece by piece, each with the impairment that is set when its turn comes. It returns false
// once the direction has ended.
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

// nextPiece returns how many of the bytes are forwarded as the next piece, and after what delay.
func (p *Proxy) nextPiece(bytes int, i Impairment) (size int, delay time.Duration) {
	size = bytes
	if i.MaxPiece > 0 {
		size = min(size, i.MaxPiece)
	}
	delay = p.randomDelay(i)
	if i.BytesPerSecond > 0 {
		size = min(size, max(i.BytesPerSecond/limitedPiecesPerSecond, 1))
		delay += time.Duration(size) * time.Second / time.Duration(i.BytesPerSecond)
	}
	return size, delay
}

// propagateEnd ends the connection to in the way in which the one that was read from has ended: by a FIN or a RST.
func propagateEnd(to net.Conn, readErr error) {
	tcp, isTCP := to.(*net.TCPConn)
	if isTCP && errors.Is(readErr, io.EOF) && !errors.Is(readErr, net.ErrClosed) {
		tcp.CloseWrite()
		return
	}
	reset(to)
}
