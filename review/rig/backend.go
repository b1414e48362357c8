package rig

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

// pollAnswer is a backend's answer to a poll. It has all the fields that the sites name.
const pollAnswer = "PONG x0=0.1,qps=1,queue=0,util=0.1\r\n"

// Request is a client's request as it reached a backend.
type Request struct {
	ID    string
	Key   string
	Class string
	Line  string
}

// parseRequest parses a request line; false: it is none.
func parseRequest(line string) (Request, bool) {
	line = strings.TrimSuffix(line, "\r\n")
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != "OPEN" {
		return Request{}, false
	}
	request := Request{ID: words[1], Key: words[2], Line: line}
	for _, field := range strings.Split(words[3], ",") {
		if class, isClass := strings.CutPrefix(field, "c="); isClass {
			request.Class = class
		}
	}
	return request, true
}

// Ledger is what all backends have run, and which keys each group of them remembers.
type Ledger struct {
	Window time.Duration // for how long a group drops repeats of a key, from the first run; 0: repeats aren't dropped

	mutex  sync.Mutex
	runs   map[string][]string             // backends that ran a key's effect, in order
	memory map[string]map[string]time.Time // by group and key: when the effect ran
}

// NewLedger returns an empty ledger.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{Window: window, runs: map[string][]string{}, memory: map[string]map[string]time.Time{}}
}

// Runs returns the backends that ran the key's effect, in order.
func (l *Ledger) Runs(key string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.runs[key]...)
}

// AwaitRuns waits until the effects of all keys have run, at most for the time given.
func (l *Ledger) AwaitRuns(keys []string, atMost time.Duration) {
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		missing := 0
		for _, key := range keys {
			if len(l.Runs(key)) == 0 {
				missing++
			}
		}
		if missing == 0 {
			return
		}
	}
}

// run runs the effect at a backend, unless its group remembers the key.
func (l *Ledger) run(backend, group, key string) (hasRun bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, known := l.memory[group][key]
	if known && time.Since(at) < l.Window {
		return false
	}
	if l.memory[group] == nil {
		l.memory[group] = map[string]time.Time{}
	}
	l.memory[group][key] = time.Now()
	l.runs[key] = append(l.runs[key], backend)
	return true
}

// Backend is a stand-in for a backend. It runs the effect of each request on arrival, and answers UP after a while.
type Backend struct {
	Name    string
	Address string
	Group   string // backends of a group drop repeats of a key

	rig    *Rig
	ledger *Ledger

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	delay    time.Duration // time from a request to its answer
	hangs    bool          // requests are run and never answered
	endless  bool          // answers to polls never end
}

// StartBackend starts a backend that answers after the delay.
func (r *Rig) StartBackend(name, group string, ledger *Ledger, delay time.Duration) *Backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	b := &Backend{Name: name, Address: listener.Addr().String(), Group: group, rig: r, ledger: ledger,
		listener: listener, conns: map[net.Conn]bool{}, delay: delay}
	go b.accept(listener)
	return b
}

// Endpoint returns the backend's entry in the list.
func (b *Backend) Endpoint(zone string) Endpoint {
	return Endpoint{Name: b.Name, Address: b.Address, Zone: zone, Type: "m2", Status: "active", Weight: 1}
}

// Crash ends the backend as the death of its process does: its connections are reset, and new ones refused.
func (b *Backend) Crash() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.listener.Close()
	for conn := range b.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// SetDelay sets the time from a request to its answer.
func (b *Backend) SetDelay(delay time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.delay = delay
}

// SetHangs sets whether requests are run and never answered.
func (b *Backend) SetHangs(hangs bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.hangs = hangs
}

// SetEndless sets whether answers to polls never end.
func (b *Backend) SetEndless(endless bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.endless = endless
}

func (b *Backend) isEndless() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.endless
}

// answerEndlessly repeats the answer to a poll until the connection ends.
func (b *Backend) answerEndlessly(conn net.Conn) {
	b.rig.Note("%s: begins an answer that never ends", b.Name)
	text := []byte(strings.Repeat(pollAnswer, 1000))
	sent := 0
	for {
		n, err := conn.Write(text)
		sent += n
		if err != nil {
			b.rig.Note("%s: the answer was ended by the relay after %d MB", b.Name, sent>>20)
			return
		}
	}
}

func (b *Backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.conns[conn] = true
		b.mutex.Unlock()
		go b.serve(conn)
	}
}

func (b *Backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mutex.Lock()
		delete(b.conns, conn)
		b.mutex.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		switch strings.TrimSuffix(line, "\r\n") {
		case "STATS":
			if b.isEndless() {
				b.answerEndlessly(conn)
				return
			}
			conn.Write([]byte(pollAnswer))
			continue
		case "PING":
			conn.Write([]byte("PONG\r\n"))
			continue
		}
		request, isRequest := parseRequest(line)
		if !isRequest {
			conn.Write([]byte("SYNTAX\r\n"))
			return
		}
		b.serveRequest(conn, reader, request)
		return
	}
}

// serveRequest runs a request and answers it, then returns each line of the client.
func (b *Backend) serveRequest(conn net.Conn, reader *bufio.Reader, request Request) {
	b.mutex.Lock()
	delay, hangs := b.delay, b.hangs
	b.mutex.Unlock()
	if b.ledger.run(b.Name, b.Group, request.Key) {
		b.rig.Note("%s: RUNS the effect of key %s, for %q", b.Name, request.Key, request.Line)
	} else {
		b.rig.Note("%s: drops the repeat of key %s, for %q", b.Name, request.Key, request.Line)
	}
	if hangs {
		reader.ReadString('\n')
		return
	}
	time.Sleep(delay)
	if _, err := conn.Write([]byte("UP " + request.ID + "\r\n")); err != nil {
		return
	}
	b.echo(conn, reader)
}

// echo returns each line of the client: all that have come are answered by one write.
func (b *Backend) echo(conn net.Conn, reader *bufio.Reader) {
	writer := bufio.NewWriterSize(conn, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		writer.WriteString(line)
		if reader.Buffered() == 0 {
			writer.Flush()
		}
	}
}
