package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// Client is a stand-in for a client with one connection. Its fields are read through State.
type Client struct {
	ID string

	record *Record
	conn   net.Conn
	mutex  sync.Mutex
	state  ClientState
}

// ClientState is what a client has seen.
type ClientState struct {
	SentAt   time.Time // when its request was written
	Answer   string    // the answer; empty: none yet, or the connection ended without one
	AnswerAt time.Time
	Up       bool
	LineAt   time.Time // when it sent the first line that nothing came back for; zero: none
	LastBack time.Time // when a line last came back
	Moved    bool
	EndedAt  time.Time // when its connection ended
	End      string    // how; empty: it is open
}

// Open connects to the address and sends a request; the given fields are added to it. The client sends a line every 2 s
// once its connection is up.
func Open(record *Record, address, class string, timeout time.Duration, more string) *Client {
	id := fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1))
	return OpenAs(record, address, id, id, class, timeout, more)
}

// OpenAs is Open with a given ID and key.
func OpenAs(record *Record, address, id, key, class string, timeout time.Duration, more string) *Client {
	c := &Client{ID: id, record: record}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		record.Printf("client %s can't connect: %v", id, err)
		c.state.End, c.state.EndedAt = "no connection", time.Now()
		return c
	}
	c.conn = conn
	line := fmt.Sprintf("OPEN %s %s c=%s,t=one,d=%d%s\r\n", id, key, class, timeout.Milliseconds(), more)
	record.Printf("client %s sends %s", id, strings.TrimSpace(line))
	conn.Write([]byte(line))
	c.state.SentAt = time.Now()
	go c.read()
	return c
}

// State returns what the client has seen so far.
func (c *Client) State() ClientState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// Close ends the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// AwaitAnswer waits for the answer or the end of the connection.
func (c *Client) AwaitAnswer(within time.Duration) ClientState {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if s := c.State(); s.Answer != "" || s.End != "" {
			return s
		}
	}
	return c.State()
}

// AwaitEnd waits for the end of the connection.
func (c *Client) AwaitEnd(within time.Duration) ClientState {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if s := c.State(); s.End != "" {
			return s
		}
	}
	return c.State()
}

func (c *Client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			c.ended(line, err)
			return
		}
		c.receive(strings.TrimRight(line, "\r\n"))
	}
}

func (c *Client) ended(rest string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		c.state.End = "end"
	case strings.Contains(err.Error(), "reset"):
		c.state.End = "reset"
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrClosed):
		c.state.End = "closed by the client"
	default:
		c.state.End = err.Error()
	}
	c.state.EndedAt = time.Now()
	c.record.Printf("client %s: its connection ended: %s %q", c.ID, c.state.End, rest)
}

func (c *Client) receive(line string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch {
	case c.state.Answer == "":
		c.state.Answer, c.state.AnswerAt = line, now
		c.record.Printf("client %s is answered %q after %d ms", c.ID, line, now.Sub(c.state.SentAt).Milliseconds())
		if strings.HasPrefix(line, "UP ") {
			c.state.Up = true
			c.state.LastBack = now
			go c.talk()
		}
	case line == "MOVE":
		c.state.Moved = true
		c.record.Printf("client %s is sent MOVE", c.ID)
	default:
		c.state.LastBack = now
		c.state.LineAt = time.Time{}
		c.record.Printf("client %s got back %q", c.ID, line)
	}
}

// talk sends a line every 2 s.
func (c *Client) talk() {
	for number := 1; ; number++ {
		time.Sleep(2 * time.Second)
		c.mutex.Lock()
		over := c.state.End != "" || c.state.Moved
		if !over {
			if c.state.LineAt.IsZero() {
				c.state.LineAt = time.Now()
			}
			c.record.Printf("client %s sends line %d", c.ID, number)
		}
		c.mutex.Unlock()
		if over {
			return
		}
		if _, err := fmt.Fprintf(c.conn, "M %s %d\r\n", c.ID, number); err != nil {
			return
		}
	}
}
