// Package live plays an experiment on loopback sockets: relay processes, the model's servers and clients on
// connections of their own, and discovery over HTTP. Arrivals go by their meant times however late anything
// is, and the run says how far behind its schedule the machine was. One lock is held over the whole model.
package live

import (
	"context"
	"net"
	"sync"
	"time"

	"valeshift/internal/testbed/model"
)

const (
	dialTime  = 10 * time.Second
	readPiece = 16 << 10
	relisten  = 20 * time.Millisecond
)

// ground is the machine that all of it stands on.
type ground struct {
	mutex  sync.Mutex
	base   time.Time
	baseMS float64
	places map[string]*place
	closed bool
	ctx    context.Context
}

// place is one actor's address and connections.
type place struct {
	g        *ground
	zone     int
	address  string
	listener net.Listener
	actor    model.Actor
	conns    map[uint64]*conn
	last     uint64
	dark     bool
	lit      *sync.Cond
}

// conn is one connection of an actor.
type conn struct {
	place  *place
	number uint64
	net    *net.TCPConn // nil while it is dialed
	out    []byte       // what is to be written
	more   *sync.Cond
	ending bool
	over   bool
}

func newGround(ctx context.Context) *ground {
	now := time.Now()
	return &ground{base: now, baseMS: float64(now.UnixMicro()) / 1000, places: map[string]*place{}, ctx: ctx}
}

func (g *ground) now() float64 {
	return g.baseMS + float64(time.Since(g.base))/float64(time.Millisecond)
}

// after calls back under the lock.
func (g *ground) after(wait float64, do func()) {
	time.AfterFunc(time.Duration(max(wait, 0)*float64(time.Millisecond)), func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if !g.closed {
			do()
		}
	})
}

// place opens a listener on a free port.
func (g *ground) place(zone int) (*place, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &place{g: g, zone: zone, address: l.Addr().String(), listener: l, conns: map[uint64]*conn{}}
	p.lit = sync.NewCond(&g.mutex)
	g.places[p.address] = p
	go p.accept(l)
	return p, nil
}

func (p *place) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.g.mutex.Lock()
		for p.dark && !p.g.closed {
			p.lit.Wait()
		}
		if p.g.closed {
			p.g.mutex.Unlock()
			c.Close()
			return
		}
		p.last++
		k := p.add(p.last)
		p.actor.OnAccept(k.number)
		k.begin(c.(*net.TCPConn))
		p.g.mutex.Unlock()
	}
}

// refuse closes the listener, or opens it again at the same address.
func (p *place) refuse(refuse bool) {
	if refuse {
		p.listener.Close()
		return
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil { // somebody dials from that port just now
		p.g.after(float64(relisten/time.Millisecond), func() { p.refuse(false) })
		return
	}
	p.listener = l
	go p.accept(l)
}

func (p *place) add(number uint64) *conn {
	k := &conn{place: p, number: number, more: sync.NewCond(&p.g.mutex)}
	p.conns[number] = k
	return k
}

// begin reads and writes from now on.
func (k *conn) begin(c *net.TCPConn) {
	k.net = c
	go k.read()
	go k.write()
}

func (k *conn) read() {
	g := k.place.g
	buffer := make([]byte, readPiece)
	for {
		n, err := k.net.Read(buffer)
		g.mutex.Lock()
		for k.place.dark && !k.over && !g.closed {
			k.place.lit.Wait()
		}
		if k.over || g.closed {
			g.mutex.Unlock()
			return
		}
		if n > 0 {
			k.place.actor.OnData(k.number, buffer[:n])
		}
		if err != nil && !k.over {
			k.gone()
			k.place.actor.OnClose(k.number, isReset(err))
		}
		over := k.over
		g.mutex.Unlock()
		if over {
			return
		}
	}
}

// write writes what there is; at an end, all that there was before it.
func (k *conn) write() {
	g := k.place.g
	for {
		g.mutex.Lock()
		for (len(k.out) == 0 || k.place.dark) && !k.ending && !k.over && !g.closed {
			k.more.Wait()
		}
		out := k.out
		k.out = nil
		stop := (k.ending || k.over || g.closed) && len(out) == 0
		g.mutex.Unlock()
		if stop {
			k.net.Close()
			return
		}
		if _, err := k.net.Write(out); err != nil {
			k.net.Close()
			return
		}
	}
}

// gone takes a connection out; both its routines end.
func (k *conn) gone() {
	k.over = true
	delete(k.place.conns, k.number)
	k.more.Broadcast()
}

// end ends a connection once all is written.
func (k *conn) end() {
	k.ending = true
	k.gone()
}

func (k *conn) reset() {
	k.out = nil
	if k.net != nil {
		k.net.SetLinger(0)
		k.net.Close()
	}
	k.gone()
}

func (p *place) setDark(dark bool) {
	p.dark = dark
	p.lit.Broadcast()
	for _, k := range p.conns {
		k.more.Broadcast()
	}
}

// host is a place as its actor sees it.
type host struct{ *place }

func (h host) Now() float64                  { return h.g.now() }
func (h host) After(wait float64, do func()) { h.g.after(wait, do) }

func (h host) Dial(address string) uint64 {
	h.last++
	k := h.add(h.last)
	go func() {
		dialer := net.Dialer{Timeout: dialTime, KeepAlive: -1}
		c, err := dialer.DialContext(h.g.ctx, "tcp", address)
		h.g.mutex.Lock()
		defer h.g.mutex.Unlock()
		switch {
		case k.over || h.g.closed:
			if err == nil {
				c.Close()
			}
		case err != nil:
			k.gone()
			h.actor.OnClose(k.number, true)
		default:
			k.begin(c.(*net.TCPConn))
			h.actor.OnConnect(k.number)
		}
	}()
	return k.number
}

func (h host) Write(number uint64, data []byte) {
	if k := h.conns[number]; k != nil {
		k.out = append(k.out, data...)
		k.more.Signal()
	}
}

func (h host) Close(number uint64) {
	if k := h.conns[number]; k != nil {
		k.end()
	}
}

func (h host) Reset(number uint64) {
	if k := h.conns[number]; k != nil {
		k.reset()
	}
}
