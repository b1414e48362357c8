// Package cost measures on loopback what a relay adds, beside a bare forwarder that picks a server at random
// and copies bytes, and beside direct connections, in one run: set-ups for a second of its CPU, the time of a
// line, and the memory of a link that stands.
package cost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/procstat"
)

// Result are what one way through came to.
type Result struct {
	Path               string  `json:"way"`
	Servers            int     `json:"servers"`
	Setups             int     `json:"setups"`
	Failed             int     `json:"failed"`
	SetupsPerSecond    float64 `json:"setups-a-second"`
	SetupsPerCPUSecond float64 `json:"setups-a-cpu-second,omitempty"` // 0: it has no process of its own
	LineP50Millis      float64 `json:"P50"`                           // of a line there and back, milliseconds
	LineP99Millis      float64 `json:"P99"`
	LineP999Millis     float64 `json:"P999"`
	Lines              int64   `json:"lines"`
	CPUMicrosPerLine   float64 `json:"cpu-microseconds-a-line,omitempty"`
	BytesPerSession    float64 `json:"bytes-a-link,omitempty"`
	IdleSessions       int     `json:"links-for-that,omitempty"`
}

// Plan says how much is measured.
type Plan struct {
	RelayCommand, ForwarderCommand []string // commands; the forwarder is told the servers on its standard input
	Servers                        int
	Clients                        int           // that open and reset links one after another
	Duration                       time.Duration // of each measurement
	ActiveSessions                 int           // links that send lines
	LineInterval                   time.Duration // between a link's lines
	IdleSessions                   int           // links that stand for the measurement of memory
	Rounds                         int           // in which the ways take turns
	Dir                            string
}

// servers answer heads with UP, lines with themselves, and probes with a load.
type servers struct {
	addresses []string
	listeners []net.Listener
}

func serve(n int) (*servers, error) {
	s := &servers{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		s.addresses, s.listeners = append(s.addresses, l.Addr().String()), append(s.listeners, l)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answer(c)
			}
		}()
	}
	return s, nil
}

func (s *servers) close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

func answer(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 512)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte("OPEN")):
			_, err = c.Write([]byte("UP receipt\r\n"))
		case bytes.HasPrefix(line, []byte("STATS")):
			_, err = c.Write([]byte("PONG cpu=0.001,rps=1,x0=0.001\r\n"))
		default:
			_, err = c.Write(line)
		}
		if err != nil {
			return
		}
	}
}

// way is one of the three.
type way struct {
	name    string
	address func() string
	cmd     *exec.Cmd
}

// cpu is what the way's process has used, in seconds, and what memory it holds.
func (w *way) use() (cpu float64, resident float64) {
	if w.cmd == nil {
		return 0, 0
	}
	cpu, held := procstat.Usage(w.cmd.Process.Pid)
	return cpu, float64(held)
}

var ids atomic.Uint64

// open opens one link.
func (w *way) open() (net.Conn, *bufio.Reader, error) {
	c, err := net.DialTimeout("tcp", w.address(), 5*time.Second)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPEN %x %x c=chat,t=all,d=3000\r\n", ids.Add(1)|1<<60, ids.Load())
	in := bufio.NewReaderSize(c, 256)
	line, err := in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "UP") {
		err = fmt.Errorf("answered %q", line)
	}
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	c.SetDeadline(time.Time{})
	return c, in, nil
}

// Measure runs the plan for one size of the fleet.
func Measure(ctx context.Context, p Plan) ([]*Result, error) {
	s, err := serve(p.Servers)
	if err != nil {
		return nil, err
	}
	defer s.close()
	chance := rand.New(rand.NewSource(1))
	var mutex sync.Mutex
	direct := &way{name: "direct", address: func() string {
		mutex.Lock()
		defer mutex.Unlock()
		return s.addresses[chance.Intn(len(s.addresses))]
	}}
	forwarder, err := startForwarder(ctx, p, s)
	if err != nil {
		return nil, err
	}
	defer forwarder.stop()
	relay, err := startRelay(ctx, p, s)
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	ways := []*way{relay, forwarder, direct}
	all := map[*way]*Result{}
	lines, cpu, taken := map[*way]*hdrhistogram.Histogram{}, map[*way]float64{}, map[*way]float64{}
	for _, w := range ways {
		all[w] = &Result{Path: w.name, Servers: p.Servers}
		lines[w] = hdrhistogram.New(1, 60_000_000, 3)
		if w.cmd != nil && p.IdleSessions > 0 { // first, as a process keeps what it once had
			if all[w].BytesPerSession, all[w].IdleSessions, err = w.memory(p.IdleSessions); err != nil {
				return nil, fmt.Errorf("%s: %w", w.name, err)
			}
		}
	}
	for range max(p.Rounds, 1) {
		for _, w := range ways {
			before, _ := w.use()
			began := time.Now()
			done, failed := w.setups(ctx, p)
			after, _ := w.use()
			all[w].Setups, all[w].Failed = all[w].Setups+done, all[w].Failed+failed
			cpu[w] += after - before
			taken[w] += time.Since(began).Seconds()
		}
		for _, w := range ways {
			before, _ := w.use()
			if err := w.lines(ctx, p, lines[w]); err != nil {
				return nil, fmt.Errorf("%s: %w", w.name, err)
			}
			after, _ := w.use()
			all[w].CPUMicrosPerLine += after - before
		}
	}
	var out []*Result
	for _, w := range ways {
		f, h := all[w], lines[w]
		f.SetupsPerSecond = float64(f.Setups) / taken[w]
		if cpu[w] > 0 {
			f.SetupsPerCPUSecond = float64(f.Setups) / cpu[w]
		}
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		f.LineP50Millis, f.LineP99Millis, f.LineP999Millis, f.Lines = ms(50), ms(99), ms(99.9), h.TotalCount()
		f.CPUMicrosPerLine = f.CPUMicrosPerLine * 1e6 / float64(max(f.Lines, 1))
		out = append(out, f)
	}
	return out, nil
}

// setups has clients open and reset links one after another.
func (w *way) setups(ctx context.Context, p Plan) (done, failed int) {
	var wait sync.WaitGroup
	var good, bad atomic.Int64
	until := time.Now().Add(p.Duration)
	for range p.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(until) && ctx.Err() == nil {
				c, _, err := w.open()
				if err != nil {
					bad.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				good.Add(1)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		}()
	}
	wait.Wait()
	return int(good.Load()), int(bad.Load())
}

// lines has links send a line each at set times, and takes how long after that time it is back.
func (w *way) lines(ctx context.Context, p Plan, into *hdrhistogram.Histogram) error {
	var mutex sync.Mutex
	var wait sync.WaitGroup
	var first error
	until := time.Now().Add(p.Duration)
	for i := range p.ActiveSessions {
		c, in, err := w.open()
		if err != nil {
			return err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer c.Close()
			own := hdrhistogram.New(1, 60_000_000, 3)
			meant := time.Now().Add(p.LineInterval * time.Duration(i) / time.Duration(p.ActiveSessions))
			for ; meant.Before(until) && ctx.Err() == nil; meant = meant.Add(p.LineInterval) {
				time.Sleep(time.Until(meant))
				c.SetDeadline(time.Now().Add(10 * time.Second))
				sent := time.Now() // the timer's own lateness is the lab's, the same for all ways
				if _, err := c.Write([]byte("M 1 0123456789 0123456789 0123456789\r\n")); err == nil {
					_, err = in.ReadSlice('\n')
					own.RecordValue(max(time.Since(sent).Microseconds(), 1))
				}
				if err != nil {
					mutex.Lock()
					first = errors.Join(first, err)
					mutex.Unlock()
					return
				}
			}
			mutex.Lock()
			into.Merge(own)
			mutex.Unlock()
		}()
	}
	wait.Wait()
	return first
}

// memory is what the way's process holds more for each link that stands: so many, or as many as its
// descriptors allow.
func (w *way) memory(links int) (each float64, stood int, err error) {
	_, before := w.use()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for range links {
		c, _, err := w.open()
		if err != nil && len(open) == 0 {
			return 0, 0, err
		} else if err != nil {
			break
		}
		open = append(open, c)
	}
	time.Sleep(500 * time.Millisecond)
	_, after := w.use()
	return (after - before) / float64(len(open)), len(open), nil
}

func (w *way) stop() {
	w.cmd.Process.Kill()
	w.cmd.Wait()
}

// start starts a program that is to listen at a free port.
func start(ctx context.Context, name string, command []string, env []string, in io.Reader, address string,
	log string) (*way, error) {
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Env, cmd.Stdin = append(os.Environ(), env...), in
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	w := &way{name: name, cmd: cmd, address: func() string { return address }}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, _, err := w.open(); err == nil {
			c.Close()
			return w, nil
		}
	}
	w.stop()
	return nil, fmt.Errorf("%s does not serve; its log is %s", name, log)
}

func startForwarder(ctx context.Context, p Plan, s *servers) (*way, error) {
	address, err := procstat.FreeAddress()
	if err != nil {
		return nil, err
	}
	command := append(append([]string(nil), p.ForwarderCommand...), address)
	return start(ctx, "forwarder", command, []string{"GOMAXPROCS=2"},
		strings.NewReader(strings.Join(s.addresses, "\n")), address, filepath.Join(p.Dir, "forwarder.log"))
}

func startRelay(ctx context.Context, p Plan, s *servers) (*way, error) {
	address, err := procstat.FreeAddress()
	if err != nil {
		return nil, err
	}
	x := experiment.Default()
	x.Relays.Count = 1
	x.Traffic = []experiment.Traffic{{Class: "chat", Tenant: "all", HardLimit: 3000, Load: 0.1, Rate: 1}}
	if err := x.Complete(); err != nil {
		return nil, err
	}
	var entries []map[string]any
	for i, a := range s.addresses {
		entries = append(entries, map[string]any{"name": fmt.Sprintf("s-%05d", i), "address": a, "zone": "a",
			"status": "active", "weight": 1, "group": 0, "since_ms": 0})
	}
	list, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": entries})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(append(list, '\n'))
		for {
			w.(http.Flusher).Flush()
			select {
			case <-time.After(2 * time.Second):
				w.Write([]byte("\n"))
			case <-r.Context().Done():
				return
			}
		}
	})}
	go discovery.Serve(l)
	context.AfterFunc(ctx, func() { discovery.Close() })
	text, err := json.Marshal(map[string]any{"name": "cost", "listen": address, "discovery": l.Addr().String(),
		"seed": "5", "limits": map[string]any{"cores": 1}, "known": json.RawMessage(list), "settings": x.RelaySettings(0)})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.Dir, "cost.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	return start(ctx, "relay", p.RelayCommand, []string{"RELAY_CONFIG=" + file, "RELAY_NAME=", "RELAY_LISTEN=",
		"RELAY_DISCOVERY="}, nil, address, filepath.Join(p.Dir, "relay.log"))
}

// RunForwarder is the bare forwarder: it reads servers' addresses, one a line, and serves at the address until the
// context ends.
func RunForwarder(ctx context.Context, in io.Reader, address string) error {
	text, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	to := strings.Fields(string(text))
	if len(to) == 0 {
		return errors.New("servers' addresses expected on standard input, got none")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		} else if err != nil { // out of descriptors
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go func() {
			defer c.Close()
			s, err := net.Dial("tcp", to[rand.Intn(len(to))])
			if err != nil {
				return
			}
			defer s.Close()
			go func() {
				io.Copy(s, c)
				s.Close()
			}()
			io.Copy(c, s)
		}()
	}
}
