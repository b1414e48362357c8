package cost

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valeshift/internal/testbed/procstat"
)

const (
	openTimeout   = 5 * time.Second // for a connection, and again for the answer to the request
	maxReplyBytes = 256             // longest line that a client receives
)

// path is one of the ways to connect clients to backends that are compared: the relay, the forwarder or directly.
type path struct {
	name    string
	address func() string // returns the address for the next session
	cmd     *exec.Cmd     // nil: the path has no process of its own
	release func()        // stops the services that the process used; nil: there are none

	admin     string     // address of the relay's admin API; empty for the other paths
	discovery *discovery // the relay's discovery service; nil for the other paths
}

// directPath returns the path on which clients connect to backends directly, each time to a random one.
func directPath(b *backends) *path {
	var mutex sync.Mutex
	rng := rand.New(rand.NewSource(1))
	return &path{name: "direct", address: func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return b.addresses[rng.Intn(len(b.addresses))]
	}}
}

// usage returns the CPU time of the path's process, in seconds, and its resident memory, in bytes. Both are zero if the
// path has no process.
func (p *path) usage() (cpuSeconds, residentBytes float64) {
	if p.cmd == nil {
		return 0, 0
	}
	cpu, resident := procstat.Usage(p.cmd.Process.Pid)
	return cpu, float64(resident)
}

// sessionIDs counts the sessions of all paths, so that each gets an ID of its own.
var sessionIDs atomic.Uint64

// open connects to the path and establishes one session.
func (p *path) open() (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", p.address(), openTimeout)
	if err != nil {
		return nil, nil, err
	}
	in, err := establish(conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, in, nil
}

func establish(conn net.Conn) (*bufio.Reader, error) {
	conn.SetDeadline(time.Now().Add(openTimeout))
	fmt.Fprintf(conn, "OPEN %x %x c=chat,t=all,d=3000\r\n", sessionIDs.Add(1)|1<<60, sessionIDs.Load())
	in := bufio.NewReaderSize(conn, maxReplyBytes)
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	if !strings.HasPrefix(line, "UP") {
		return nil, fmt.Errorf("open session: answered %q", line)
	}
	conn.SetDeadline(time.Time{})
	return in, nil
}

// stop kills the path's process, and releases what it used.
func (p *path) stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
	if p.release != nil {
		p.release()
	}
}
