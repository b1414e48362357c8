// Package netem is what lies between two machines of the lab, by ordered pair: a forwarder for TCP and UDP
// whose two directions can be cut, slowed, doubled and so on while it runs. What it does to a direction is a
// State; the package never knows what passes.
package netem

import (
	"errors"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"

	"valeshift/internal/testbed/experiment"
)

// Impairment is what a direction does to what passes.
type Impairment = experiment.Impairment

const (
	piece    = 16 << 10
	datagram = 64 << 10
	overtake = 30 * time.Millisecond
	look     = 5 * time.Millisecond // at a way that is cut
	dialTime = 2 * time.Second
	idle     = 30 * time.Second // after which a datagram's way back is forgotten
)

// Proxy is one forwarder.
type Proxy struct {
	Address string // where it listens, TCP and UDP

	to       string
	tcp      net.Listener
	udp      *net.UDPConn
	mutex    sync.Mutex
	there    Impairment
	back     Impairment
	chance   *rand.Rand
	open     map[net.Conn]bool
	ended    chan struct{}
	sessions map[string]*net.UDPConn
}

// New listens on a free port of that loopback address, for both kinds, and forwards to the address given.
func New(host, to string, chance *rand.Rand) (*Proxy, error) {
	for range 50 { // a port that is free for one kind need not be for the other
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Addr().(*net.TCPAddr).AddrPort()))
		if err != nil {
			l.Close()
			continue
		}
		w := &Proxy{Address: l.Addr().String(), to: to, tcp: l, udp: u, chance: chance, open: map[net.Conn]bool{},
			ended: make(chan struct{}), sessions: map[string]*net.UDPConn{}}
		go w.accept()
		go w.datagrams()
		return w, nil
	}
	return nil, errors.New("way: no port is free for both kinds")
}

// SetImpairments changes what the two directions do from now on: there, towards the address forwarded to, and back.
func (w *Proxy) SetImpairments(there, back Impairment) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.there, w.back = there, back
}

// Close ends it, and all that passes.
func (w *Proxy) Close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.ended:
		return
	default:
	}
	close(w.ended)
	w.tcp.Close()
	w.udp.Close()
	for c := range w.open {
		c.Close()
	}
	for _, u := range w.sessions {
		u.Close()
	}
}

func (w *Proxy) state(there bool) Impairment {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if there {
		return w.there
	}
	return w.back
}

func (w *Proxy) hold(c net.Conn, on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.ended:
		c.Close()
		return
	default:
	}
	if on {
		w.open[c] = true
	} else {
		delete(w.open, c)
	}
}

// wait sleeps, and tells whether the way is still there.
func (w *Proxy) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-w.ended:
		return false
	case <-time.After(d):
		return true
	}
}

func (w *Proxy) accept() {
	for {
		c, err := w.tcp.Accept()
		if err != nil {
			return
		}
		go w.join(c)
	}
}

// join connects on and passes both directions. A cut way takes the connection in and says nothing, as a
// machine that is out of reach behind a router does.
func (w *Proxy) join(c net.Conn) {
	w.hold(c, true)
	defer func() { c.Close(); w.hold(c, false) }()
	for w.state(true).Cut || w.state(false).Cut {
		if !w.wait(look) {
			return
		}
	}
	to, err := net.DialTimeout("tcp", w.to, dialTime)
	if err != nil {
		reset(c)
		return
	}
	w.hold(to, true)
	defer func() { to.Close(); w.hold(to, false) }()
	done := make(chan struct{}, 2)
	go func() { w.pass(c, to, true); done <- struct{}{} }()
	go func() { w.pass(to, c, false); done <- struct{}{} }()
	<-done // an end of either side ends both, once what was on its way is there
	<-done
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// pass copies one direction, piece by piece, each in the state that holds when it comes.
func (w *Proxy) pass(from, to net.Conn, there bool) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		for at := 0; at < n; {
			s := w.state(there)
			if s.Reset {
				reset(from)
				reset(to)
				return
			}
			if s.Cut {
				if !w.wait(look) {
					return
				}
				continue
			}
			size := n - at
			if s.MaxPiece > 0 {
				size = min(size, s.MaxPiece)
			}
			pause := w.pause(s)
			if s.BytesPerSecond > 0 {
				size = min(size, max(s.BytesPerSecond/20, 1))
				pause += time.Duration(size) * time.Second / time.Duration(s.BytesPerSecond)
			}
			if !w.wait(pause) {
				return
			}
			if _, err := to.Write(buffer[at : at+size]); err != nil {
				reset(from)
				return
			}
			at += size
		}
		if err != nil {
			var end interface{ CloseWrite() error }
			if t, ok := to.(*net.TCPConn); ok {
				end = t
			}
			if errors.Is(err, net.ErrClosed) || end == nil || !errors.Is(err, io.EOF) {
				reset(to)
			} else {
				end.CloseWrite()
			}
			return
		}
	}
}

func (w *Proxy) pause(s Impairment) time.Duration {
	return time.Duration((float64(s.Delay) + float64(s.Jitter)*w.lot()) * float64(time.Millisecond))
}

func (w *Proxy) lot() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.chance.Float64()
}

// datagrams passes what comes, by a socket of its own for each sender, and what comes back by that.
func (w *Proxy) datagrams() {
	buffer := make([]byte, datagram)
	for {
		n, from, err := w.udp.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		u := w.session(from)
		if u == nil {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		w.send(true, func() { u.Write(data) })
	}
}

func (w *Proxy) session(from *net.UDPAddr) *net.UDPConn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if u := w.sessions[from.String()]; u != nil {
		return u
	}
	to, err := net.ResolveUDPAddr("udp", w.to)
	if err != nil {
		return nil
	}
	u, err := net.DialUDP("udp", nil, to)
	if err != nil {
		return nil
	}
	w.sessions[from.String()] = u
	go w.answers(u, from)
	return u
}

func (w *Proxy) answers(u *net.UDPConn, from *net.UDPAddr) {
	buffer := make([]byte, datagram)
	for {
		u.SetReadDeadline(time.Now().Add(idle))
		n, err := u.Read(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil && isTimeout(err):
			w.mutex.Lock()
			delete(w.sessions, from.String())
			w.mutex.Unlock()
			u.Close()
			return
		case err != nil: // nobody listens there now
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		w.send(false, func() { w.udp.WriteToUDP(data, from) })
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// send has a datagram arrive as the direction's state has it: never, later, twice or out of turn.
func (w *Proxy) send(there bool, do func()) {
	s := w.state(there)
	if s.Cut || w.lot() < s.Loss {
		return
	}
	times := 1
	if w.lot() < s.Duplicate {
		times = 2
	}
	for range times {
		pause := w.pause(s)
		if w.lot() < s.Reorder {
			pause += overtake
		}
		if pause <= 0 {
			do()
			continue
		}
		time.AfterFunc(pause, func() {
			if !w.state(there).Cut {
				do()
			}
		})
	}
}
