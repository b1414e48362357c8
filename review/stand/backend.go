package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request line that a backend received.
type Request struct {
	Backend *Backend
	ID      string
	Key     string
	Line    string
	At      time.Time // when its last byte came
	Conn    net.Conn
	Reader  *bufio.Reader

	silent atomic.Bool
}

// FallSilent makes the connection silent: it stays open, and nothing comes back on it any more.
func (r *Request) FallSilent() {
	r.silent.Store(true)
	r.Backend.record.Printf("backend %s: the connection of %s falls silent", r.Backend.Name, r.ID)
}

// Backend is a stand-in for a backend.
type Backend struct {
	Name    string
	Address string
	Since   int64 // its start, in Unix milliseconds; 0: long ago
	// Answer serves a request; the connection ends when it returns. If it is nil, Serve answers.
	Answer func(r *Request)

	record   *Record
	listener net.Listener
	mutex    sync.Mutex
	requests []*Request
	polls    atomic.Int64
}

// NewBackend starts a backend on a free loopback port.
func NewBackend(record *Record, name string) *Backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	record.Must(err, "listen")
	b := &Backend{Name: name, Address: listener.Addr().String(), record: record, listener: listener}
	record.Cleanup(func() { listener.Close() })
	go b.accept()
	return b
}

func (b *Backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// Requests returns the requests received so far.
func (b *Backend) Requests() []*Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]*Request(nil), b.requests...)
}

// Polls returns the number of polls answered so far.
func (b *Backend) Polls() int64 { return b.polls.Load() }

func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		text := strings.TrimSuffix(line, "\r\n")
		switch {
		case text == "PING":
			b.polls.Add(1)
			fmt.Fprint(conn, "PONG\r\n")
		case text == "STATS":
			b.polls.Add(1)
			fmt.Fprint(conn, "PONG util=0.20,qps=1,x0=0.20\r\n")
		default:
			b.serveRequest(conn, reader, text)
			return
		}
	}
}

func (b *Backend) serveRequest(conn net.Conn, reader *bufio.Reader, text string) {
	parts := strings.Split(text, " ")
	if len(parts) != 4 || parts[0] != "OPEN" {
		b.record.Printf("backend %s got %q and answers SYNTAX", b.Name, text)
		fmt.Fprint(conn, "SYNTAX\r\n")
		return
	}
	r := &Request{Backend: b, ID: parts[1], Key: parts[2], Line: text, At: time.Now(), Conn: conn, Reader: reader}
	b.record.Printf("backend %s got %s", b.Name, text)
	b.mutex.Lock()
	b.requests = append(b.requests, r)
	b.mutex.Unlock()
	if b.Answer != nil {
		b.Answer(r)
		return
	}
	r.Serve()
}

// Serve brings the connection up and sends every line back at once, until the other side ends it.
func (r *Request) Serve() {
	fmt.Fprintf(r.Conn, "UP %s-%s\r\n", r.Backend.Name, r.ID)
	r.Echo()
}

// Echo sends every line back at once, until the other side ends the connection.
func (r *Request) Echo() {
	for {
		line, err := r.Reader.ReadString('\n')
		if err != nil {
			r.Backend.record.Printf("backend %s: connection of %s ended: %v", r.Backend.Name, r.ID, err)
			return
		}
		if r.silent.Load() {
			continue
		}
		if _, err := r.Conn.Write([]byte(line)); err != nil {
			return
		}
	}
}
