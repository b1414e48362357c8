package model

import (
	"strconv"

	"valeshift/internal/protocol"
	"valeshift/internal/testbed/experiment"
)

const (
	connectTimeout   = 3000.0  // time that a client waits for its connection to be established, in ms
	answerGrace      = 60.0    // time that a client waits beyond its limit, as the answer takes time on its way, in ms
	networkCrossings = 4.0     // times that a request and its answer cross the network between client, relay and backend
	redialDelay      = 100.0   // mean time until a client dials again that found no relay or got no answer, in ms
	reconnectDelay   = 150.0   // mean time until a client dials again after it has lost its session, in ms
	errorDelay       = 2000.0  // mean time until a client repeats a request that may have been executed, in ms
	silenceTimeout   = 10000.0 // time without a line after which a client gives its session up, in ms
	lingerTime       = 20.0    // time for which a client keeps reading after a final answer, in ms
	maxUsefulLatency = 1000.0  // latency up to which the answer to a line counts as served, in ms
	lastLineGrace    = 200.0   // time that a client waits for the answer to its last line, in ms

	// A client's delay until it dials is drawn from a range of this width around its mean, as a share of the mean.
	retryJitter = 0.4
)

// clientStage says what a client is doing.
type clientStage uint8

const (
	clientIdle clientStage = iota // it has no connection and dials again later
	clientDialing
	clientWaiting // it waits for the answer to its request
	clientEstablished
	clientGone
)

// client is one client, with all its sessions one after the other.
type client struct {
	traffic          *experiment.Traffic
	zone             int
	key              string
	group            string  // affinity group; empty: none
	load             float64 // load of its session, in thousandths of a core
	honorsRetryAfter bool
	leavesAt         float64 // time at which it leaves for good
	index            int     // position in Workload.clients

	stage               clientStage
	timer               int     // number of the pending timer; earlier ones do nothing when they fire
	wantedAt            float64 // time since which it wants a session: its arrival, or the loss of its last session
	isRetry             bool    // its last request did not succeed
	isReconnect         bool    // it has had a session before
	completedOperations int     // number of its operations that were answered UP; see Observer.RequestSent

	conn     uint64 // connection to a relay; 0: none
	relay    int    // number of the relay that it dialed last
	splitter protocol.LineSplitter

	session clientSession // its present session, or its last one
}

// clientSession is what a client knows of one session.
type clientSession struct {
	id              string
	linesSent       int       // number of lines sent
	unansweredDue   []float64 // times at which the lines from firstUnanswered on were due
	firstUnanswered int       // number of the first line that has no answer yet
	lastHeardAt     float64   // time at which the last line was received
}

// connect dials a relay that the load balancer chooses for the client.
func (w *Workload) connect(c *client) {
	if c.stage == clientGone || w.closed {
		return
	}
	relay, ok := w.balancer.pick(c.zone, w.rng)
	if !ok {
		w.retryAfter(c, redialDelay)
		return
	}
	c.relay = relay
	c.stage = clientDialing
	c.splitter = protocol.LineSplitter{}
	c.conn = w.host.Dial(w.balancer.relays[relay].address)
	w.conns[c.conn] = c
	w.giveUpAfter(c, connectTimeout)
}

// giveUpAfter makes the client give up dialing or waiting for an answer after the given time.
func (w *Workload) giveUpAfter(c *client, wait float64) {
	c.timer++
	timer := c.timer
	w.host.After(wait, func() {
		if c.timer == timer {
			w.giveUp(c)
		}
	})
}

func (w *Workload) giveUp(c *client) {
	if c.stage != clientDialing && c.stage != clientWaiting {
		return
	}
	if c.stage == clientWaiting {
		w.Answers[answerNone]++
		w.secondAt(w.host.Now()).Unanswered++
	}
	w.disconnect(c)
	c.isRetry = true
	w.retryAfter(c, redialDelay)
}

// retryAfter makes the client connect again after about the given time.
func (w *Workload) retryAfter(c *client, delay float64) {
	c.stage = clientIdle
	c.timer++
	timer := c.timer
	w.host.After(delay*(1-retryJitter/2+retryJitter*w.rng.Float64()), func() {
		if c.timer == timer {
			w.connect(c)
		}
	})
}

// reconnect makes a client connect again that has lost its session.
func (w *Workload) reconnect(c *client) {
	c.isReconnect = true
	c.wantedAt = w.host.Now()
	w.retryAfter(c, reconnectDelay)
}

// detach removes the connection from the client and returns it.
func (w *Workload) detach(c *client) (conn uint64) {
	conn = c.conn
	delete(w.conns, conn)
	c.conn = 0
	return conn
}

// disconnect ends the client's connection from the client's side.
func (w *Workload) disconnect(c *client) {
	if c.conn == 0 {
		return
	}
	if c.stage == clientWaiting || c.stage == clientEstablished {
		w.observer.ClosedByClient(w.host.Now(), c.session.id)
	}
	if c.stage == clientEstablished {
		w.Established--
	}
	w.host.Close(w.detach(c))
}

// leave makes the client leave for good.
func (w *Workload) leave(c *client) {
	if c.stage == clientGone {
		return
	}
	w.disconnect(c)
	c.stage = clientGone
	last := w.clients[len(w.clients)-1]
	w.clients[c.index] = last
	last.index = c.index
	w.clients = w.clients[:len(w.clients)-1]
}

// scheduleLine schedules the client's next line and, after it, all further ones until the client leaves. A line
// counts as offered whether or not the client has a session.
func (w *Workload) scheduleLine(c *client, due float64) {
	if due >= c.leavesAt || due >= w.endsAt {
		leaveAt := min(c.leavesAt, w.endsAt) + lastLineGrace
		w.host.After(leaveAt-w.host.Now(), func() { w.leave(c) })
		return
	}
	w.host.After(due-w.host.Now(), func() {
		if c.stage == clientGone {
			return
		}
		w.secondAt(due).Offered += c.lineWeight()
		if c.stage == clientEstablished {
			w.MaxLag = max(w.MaxLag, w.host.Now()-due)
			w.sendLineOrReconnect(c, due)
		}
		w.scheduleLine(c, due+float64(c.traffic.LineInterval))
	})
}

// lineWeight returns the weight of one line in the metrics: the priority weight for the time until the next line.
func (c *client) lineWeight() float64 {
	return c.traffic.PriorityWeight * float64(c.traffic.LineInterval) / 1000
}

func (w *Workload) sendLineOrReconnect(c *client, due float64) {
	if w.host.Now()-c.session.lastHeardAt > silenceTimeout {
		w.disconnect(c)
		w.reconnect(c)
		return
	}
	w.sendLine(c, due)
}

func (w *Workload) sendLine(c *client, due float64) {
	c.session.linesSent++
	c.session.unansweredDue = append(c.session.unansweredDue, due)
	now := w.host.Now()
	text := append(make([]byte, 0, 32), verbMessage+" "...)
	text = strconv.AppendInt(text, int64(c.session.linesSent), 10)
	text = append(text, ' ')
	text = strconv.AppendFloat(text, now, 'f', 3, 64)
	w.observer.LineSent(now, c.session.id, false, c.session.linesSent)
	w.host.Write(c.conn, append(text, "\r\n"...))
}
