// Package netem emulates the network between two machines of the testbed: a Proxy forwards TCP connections and
// UDP datagrams to one address, and each of its two directions can be cut, delayed, thinned out and so on while
// it runs. It knows nothing of what passes.
package netem

import (
	"context"
	"errors"
	"math/rand"
	"net"
	"sync"
	"time"

	"valeshift/internal/testbed/experiment"
)

// Impairment is what one direction does to what passes.
type Impairment = experiment.Impairment

const (
	// cutPollInterval is how often a direction that is cut is looked at for whether it is open again.
	cutPollInterval = 5 * time.Millisecond

	portAttempts = 50 // to find a port that is free for TCP and UDP
)

// direction is one of the two that a proxy forwards.
type direction uint8

const (
	outbound direction = iota // towards the target
	inbound                   // back
	directions
)

// Proxy forwards TCP and UDP from its own address to a target. It is safe for concurrent use.
type Proxy struct {
	Address string // where it listens, for TCP and UDP

	target   string
	listener net.Listener
	socket   *net.UDPConn
	cancel   context.CancelFunc
	tasks    sync.WaitGroup // all goroutines of the proxy

	mutex       sync.Mutex // over what follows
	closed      bool
	impairments [directions]Impairment
	rng         *rand.Rand
	conns       map[net.Conn]bool
	udpFlows    map[string]*net.UDPConn // to the target, by the sender's address
}

// New listens on a free port of a loopback address and forwards to the target until it is closed. The random
// source is the proxy's own from then on.
func New(host, target string, rng *rand.Rand) (*Proxy, error) {
	listener, socket, err := listenBoth(host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		Address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		socket:   socket,
		cancel:   cancel,
		rng:      rng,
		conns:    map[net.Conn]bool{},
		udpFlows: map[string]*net.UDPConn{},
	}
	p.tasks.Go(func() { p.acceptLoop(ctx) })
	p.tasks.Go(p.datagramLoop)
	return p, nil
}

// listenBoth listens for TCP and UDP on one port: one that is free for the one need not be for the other.
func listenBoth(host string) (net.Listener, *net.UDPConn, error) {
	for range portAttempts {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, nil, err
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err == nil {
			return listener, socket, nil
		}
		listener.Close()
	}
	return nil, nil, errors.New("listen for TCP and UDP: no port is free for both")
}

// SetImpairments changes what the two directions do from now on: outbound, towards the target, and inbound.
func (p *Proxy) SetImpairments(out, in Impairment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.impairments[outbound] = out
	p.impairments[inbound] = in
}

// Close ends all that passes, and returns once the proxy's goroutines have ended.
func (p *Proxy) Close() {
	p.closeAll()
	p.tasks.Wait()
}

func (p *Proxy) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	p.cancel()
	p.listener.Close()
	p.socket.Close()
	for c := range p.conns {
		c.Close()
	}
	for _, flow := range p.udpFlows {
		flow.Close()
	}
}

func (p *Proxy) impairment(d direction) Impairment {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.impairments[d]
}

// draw returns a random number in [0, 1).
func (p *Proxy) draw() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rng.Float64()
}

// drawDelay returns by how much one piece or datagram is delayed.
func (p *Proxy) drawDelay(i Impairment) time.Duration {
	millis := float64(i.Delay) + float64(i.Jitter)*p.draw()
	return time.Duration(millis * float64(time.Millisecond))
}

// sleep waits, and tells whether the proxy is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
