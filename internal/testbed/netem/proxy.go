// Package netem emulates the network between two machines of the testbed. A Proxy forwards TCP connections and UDP
// datagrams to one address, and each of its two directions can be impaired while it runs: it can be cut, delay data,
// lose datagrams and so on. The proxy does not interpret the data that it forwards.
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

// Impairment is what one direction does to the data that it forwards.
type Impairment = experiment.Impairment

const (
	// cutPollInterval is how often a proxy checks whether a cut direction is open again.
	cutPollInterval = 5 * time.Millisecond

	portAttempts = 50 // attempts to find a port that is free for both TCP and UDP
)

// direction is one of the two directions that a proxy forwards in.
type direction uint8

const (
	outbound direction = iota // towards the target
	inbound                   // from the target
	directionCount
)

// Proxy forwards TCP and UDP from its own address to a target. It is safe for concurrent use.
type Proxy struct {
	Address string // where it listens, for TCP and UDP

	target   string
	listener net.Listener
	socket   *net.UDPConn
	cancel   context.CancelFunc
	tasks    sync.WaitGroup // all goroutines of the proxy

	mutex       sync.Mutex // guards the fields below
	closed      bool
	impairments [directionCount]Impairment
	rng         *rand.Rand
	conns       map[net.Conn]bool
	udpFlows    map[string]*net.UDPConn // sockets connected to the target, by the sender's address
}

// New returns a proxy that listens on a free port of a loopback address and forwards to the target until it is closed.
// The caller must not use the random source any more.
func New(host, target string, rng *rand.Rand) (*Proxy, error) {
	listener, socket, err := listenTCPAndUDP(host)
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

// listenTCPAndUDP listens on one port for both TCP and UDP. It tries several, as a port that is free for TCP may be
// taken for UDP.
func listenTCPAndUDP(host string) (net.Listener, *net.UDPConn, error) {
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

// SetImpairments sets the impairments of the two directions: out towards the target, in from it.
func (p *Proxy) SetImpairments(out, in Impairment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.impairments[outbound] = out
	p.impairments[inbound] = in
}

// Close closes all sockets and connections, and returns once the proxy's goroutines have ended.
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

// randomFloat returns a random number in [0, 1) from the proxy's source.
func (p *Proxy) randomFloat() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rng.Float64()
}

// randomDelay returns the delay of one piece or datagram, with its jitter.
func (p *Proxy) randomDelay(i Impairment) time.Duration {
	millis := float64(i.Delay) + float64(i.Jitter)*p.randomFloat()
	return time.Duration(millis * float64(time.Millisecond))
}

// sleep waits for a duration. It returns false if the proxy was closed meanwhile.
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
