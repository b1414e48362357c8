package model

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"valeshift/internal/protocol"
)

// Verbs of the text protocol. A verb is the first word of a line.
const (
	verbOpen     = "OPEN"
	verbPing     = "PING"
	verbPong     = "PONG"
	verbStats    = "STATS"
	verbUp       = "UP"
	verbBusy     = "BUSY"
	verbMove     = "MOVE"
	verbLoad     = "LOAD"
	verbError    = "ERR"
	verbSyntax   = "SYNTAX"
	verbMessage  = "M" // line of a client: its number and the time sent
	verbResponse = "R" // line of a backend: its number, the time sent, and the number of the line that it answers
)

// Attributes of a request by which clients of the testbed describe their session to the backend. Relays pass them
// on unread.
const (
	requestLoad     = "w" // load of the session, in thousandths of a core
	requestInterval = "e" // time between two lines of the client, in ms
)

// backendConn is a connection to a backend, and the session on it once a request has been received.
type backendConn struct {
	conn         uint64
	splitter     protocol.LineSplitter
	id           string // session ID; empty until a request has been received
	attempting   bool   // a request has been received and not answered yet
	established  bool
	isOpen       bool    // a request has been received and the connection has not ended
	load         float64 // load of the session, in thousandths of a core
	lineInterval float64 // time between two lines of the client, in ms
	linesSent    int     // number of lines sent to the client
	queuedLines  int     // number of the client's lines whose work is not done
}

// OnAccept is called when a relay has opened a connection.
func (b *Backend) OnAccept(conn uint64) { b.conns[conn] = &backendConn{conn: conn} }

// OnConnect is never called: backends open no connections.
func (b *Backend) OnConnect(uint64) {}

// OnClose is called when a relay has ended a connection.
func (b *Backend) OnClose(conn uint64, _ bool) {
	if c := b.conns[conn]; c != nil {
		b.removeConn(c)
	}
}

// OnData is called with data from a relay.
func (b *Backend) OnData(conn uint64, data []byte) {
	for {
		c := b.conns[conn]
		if c == nil {
			return
		}
		line, rest, err := c.splitter.Next(data)
		if err != nil {
			b.disconnect(c, true)
			return
		}
		if line == nil {
			return
		}
		data = rest
		b.handleLine(c, line)
	}
}

func (b *Backend) handleLine(c *backendConn, line []byte) {
	verb, rest := protocol.CutVerb(line)
	switch {
	case c.established:
		b.handleMessage(c, rest)
	case string(verb) == verbStats || string(verb) == verbPing:
		b.reportLoad(c)
	case string(verb) == verbOpen && c.id == "":
		b.handleRequest(c, line)
	default:
		b.send(c, verbError+"\r\n")
		b.disconnect(c, false)
	}
}

func (b *Backend) send(c *backendConn, text string) { b.host.Write(c.conn, []byte(text)) }

// disconnect ends a connection from the backend's side.
func (b *Backend) disconnect(c *backendConn, reset bool) {
	if reset {
		b.host.Reset(c.conn)
	} else {
		b.host.Close(c.conn)
	}
	if c.established {
		b.observer.ClosedByBackend(b.host.Now(), c.id, b.Name)
	}
	b.removeConn(c)
}

// removeConn removes a connection that has ended, with its attempt or session.
func (b *Backend) removeConn(c *backendConn) {
	delete(b.conns, c.conn)
	if c.attempting {
		c.attempting = false
		b.observer.AttemptFinished(b.host.Now(), c.id, b.Name)
	}
	if c.established {
		b.Sessions--
		b.Demand -= c.load / 1000
	}
	c.established = false
	c.isOpen = false
}

// reportLoad answers a poll or a health check with the latest load report, and first makes a new one if that is
// older than MaxReportAge. A stalled backend answers once it works again.
func (b *Backend) reportLoad(c *backendConn) {
	if now := b.host.Now(); now >= b.report.at+b.MaxReportAge {
		b.report = b.measureLoad(now)
	}
	answer := func() {
		if b.conns[c.conn] == c {
			b.send(c, fmt.Sprintf(verbPong+" cpu=%.4f,rps=%g,x0=%.4f\r\n", b.report.cpu, b.report.sessions,
				b.report.utilization))
		}
	}
	if b.faults.stalled {
		b.work(loadReportWork, answer)
		return
	}
	answer()
}

// measureLoad returns a new load report with random noise.
func (b *Backend) measureLoad(now float64) loadReport {
	utilization := max(b.Utilization(now)*(1+b.ReportNoise*b.rng.NormFloat64()), 0)
	return loadReport{
		at:          now,
		cpu:         min(utilization, 1),
		sessions:    float64(b.Sessions),
		utilization: utilization,
	}
}

// handleRequest starts an attempt. The session is established once its set-up work and then its turn at the session
// store are done.
func (b *Backend) handleRequest(c *backendConn, line []byte) {
	now := b.host.Now()
	request, err := protocol.ParseRequest(line)
	if err != nil {
		b.send(c, verbSyntax+"\r\n")
		b.disconnect(c, false)
		return
	}
	c.id = string(request.ID)
	c.load, c.lineInterval = sessionDemand(line)
	c.attempting = true
	c.isOpen = true
	capacity := b.Capacity(now)
	isCold := b.isWarmingUp(now)
	b.observer.AttemptReceived(now, c.id, b.Name, isCold, capacity, c.load/1000)
	if b.faults.failingShare > 0 && b.rng.Float64() < b.faults.failingShare {
		b.disconnect(c, true)
		return
	}
	if b.Draining {
		b.send(c, verbBusy+"\r\n")
		b.disconnect(c, false)
		return
	}
	if isCold && b.addSlowStartLoad(now, c.load/1000, capacity) {
		b.failOverloaded()
		return
	}
	b.work(b.SetupWork, func() {
		if !c.isOpen {
			return
		}
		now := b.host.Now()
		b.host.After(b.sessionStore.enqueue(now)-now, func() { b.establish(c) })
	})
}

// sessionDemand reads the load of a session, in thousandths of a core, and its line interval, in ms, from a
// request.
func sessionDemand(request []byte) (load, lineInterval float64) {
	attributes := protocol.TrimLineEnd(request[bytes.LastIndexByte(request, ' ')+1:])
	for attribute := range bytes.SplitSeq(attributes, []byte(",")) {
		name, value, _ := bytes.Cut(attribute, []byte("="))
		switch string(name) {
		case requestLoad:
			load, _ = strconv.ParseFloat(string(value), 64)
		case requestInterval:
			lineInterval, _ = strconv.ParseFloat(string(value), 64)
		}
	}
	return load, lineInterval
}

// establish executes a request whose set-up is done, and answers UP.
func (b *Backend) establish(c *backendConn) {
	if !c.isOpen || c.established {
		return
	}
	now := b.host.Now()
	b.observer.EffectApplied(now, c.id, b.Name)
	if b.faults.lostAnswerShare > 0 && b.rng.Float64() < b.faults.lostAnswerShare {
		b.disconnect(c, true)
		return
	}
	c.attempting = false
	b.observer.AttemptFinished(now, c.id, b.Name)
	c.established = true
	b.Sessions++
	b.Demand += c.load / 1000
	answer := []byte(verbUp + " receipt\r\n" + verbLoad + " ")
	b.host.Write(c.conn, strconv.AppendFloat(answer, math.Round(c.load*1000), 'f', 0, 64))
	b.send(c, "\r\n")
}

// handleMessage answers a client's line once its work is done. While maxQueuedLines lines of a session are waiting,
// further ones need no work, so that the backlog of a backend that falls behind stays bounded.
func (b *Backend) handleMessage(c *backendConn, rest []byte) {
	numberText, sentAtText, _ := bytes.Cut(rest, []byte(" "))
	number, _ := strconv.Atoi(string(numberText))
	sentAt, _ := strconv.ParseFloat(string(sentAtText), 64)
	b.observer.LineReceived(b.host.Now(), c.id, false, number, sentAt)
	amount := c.load / 1000 * c.lineInterval
	if c.queuedLines >= maxQueuedLines {
		amount = 0
	}
	c.queuedLines++
	b.work(amount, func() {
		c.queuedLines--
		if c.established {
			b.respond(c, number)
		}
	})
}

// respond sends the line that answers a client's line.
func (b *Backend) respond(c *backendConn, number int) {
	c.linesSent++
	now := b.host.Now()
	text := append(make([]byte, 0, 48), verbResponse+" "...)
	text = strconv.AppendInt(text, int64(c.linesSent), 10)
	text = append(text, ' ')
	text = strconv.AppendFloat(text, now, 'f', 3, 64)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(number), 10)
	b.observer.LineSent(now, c.id, true, c.linesSent)
	b.host.Write(c.conn, append(text, "\r\n"...))
}
