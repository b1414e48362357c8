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
	openTimeout  = 5 * time.Second
	maxPathReply = 256 // bytes of a line to the client
)

// path is one way from the clients to the backends.
type path struct {
	name    string
	address func() string // to open the next session at
	cmd     *exec.Cmd     // nil: the path has no process of its own
	release func()        // ends what the process needed; nil: nothing
}

// directPath has clients connect to backends, drawn at random.
func directPath(b *backends) *path {
	var mutex sync.Mutex
	rng := rand.New(rand.NewSource(1))
	return &path{name: "direct", address: func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return b.addresses[rng.Intn(len(b.addresses))]
	}}
}

// usage is the CPU that the path's process has used, in seconds, and the memory that it holds, in bytes.
func (p *path) usage() (cpuSeconds, residentBytes float64) {
	if p.cmd == nil {
		return 0, 0
	}
	cpu, resident := procstat.Usage(p.cmd.Process.Pid)
	return cpu, float64(resident)
}

// sessionIDs are drawn from one counter, so that no two sessions have the same.
var sessionIDs atomic.Uint64

// open establishes one session.
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
	in := bufio.NewReaderSize(conn, maxPathReply)
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

// stop kills the path's process.
func (p *path) stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
	if p.release != nil {
		p.release()
	}
}
