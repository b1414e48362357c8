package model

import (
	"strconv"

	"valeshift/internal/protocol"
	"valeshift/internal/testbed/experiment"
)

const (
	connectTimeout   = 3000.0
	answerGrace      = 60.0    // that a client waits beyond its limit: the answer takes its time on the way
	networkCrossings = 4.0     // of a request and its answer, between client, relay and backend
	redialDelay      = 100.0   // after a relay that refuses, or says nothing
	reconnectDelay   = 150.0   // after a session that was lost
	errorDelay       = 2000.0  // before a client asks again for what may have run
	silenceTimeout   = 10000.0 // without a line, after which a client gives its session up
	lingerTime       = 20.0    // for which a client listens on after a final answer
	usefulAnswerTime = 1000.0  // after which the answer to a line is of no use
	lastLineGrace    = 200.0   // for the answer to a client's last line

	// A retry's delay is drawn from this range around its mean.
	retryJitter = 0.4
)

// clientStage is what a client is doing.
type clientStage uint8

const (
	clientIdle clientStage = iota // without a connection: it comes again later
	clientDialing
	clientWaiting // for the answer to its request
	clientEstablished
	clientGone
)

// client is one client, over all its sessions.
type client struct {
	traffic          *experiment.Traffic
	zone             int
	key              string
	group            string // affinity group; empty: none
	load             float64
	honorsRetryAfter bool
	leavesAt         float64
	index            int // in Workload.clients

	stage       clientStage
	timer       int     // number of the timer that counts; former ones do nothing
	wantedAt    float64 // since when it wants a session: when it was due, or when it lost the last one
	isRetry     bool    // its last request had no success
	isReconnect bool    // it has had a session
	errands     int     // that are done

	conn     uint64 // 0: none
	relay    int
	splitter protocol.LineSplitter

	session clientSession // the present one, or the last
}

// clientSession is what a client knows of one session.
type clientSession struct {
	id            string
	linesSent     int
	awaiting      []float64 // when the lines were due whose answer has not come
	firstAwaiting int       // number of the first of those
	lastHeardAt   float64
}

// connect has the client dial the relay that the load balancer deals it to.
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

// giveUpAfter has the client give up dialing or waiting after that time.
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
		w.at(w.host.Now()).Unanswered++
	}
	w.disconnect(c)
	c.isRetry = true
	w.retryAfter(c, redialDelay)
}

// retryAfter has the client connect again after about that time.
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

// reconnect has a client come again that lost its session.
func (w *Workload) reconnect(c *client) {
	c.isReconnect = true
	c.wantedAt = w.host.Now()
	w.retryAfter(c, reconnectDelay)
}

// detach takes the connection away from the client, and returns it.
func (w *Workload) detach(c *client) (conn uint64) {
	conn = c.conn
	delete(w.conns, conn)
	c.conn = 0
	return conn
}

// disconnect ends the client's connection from its own side.
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

// finish has the client leave for good.
func (w *Workload) finish(c *client) {
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

// scheduleLine has the client send its next line when that is due, and all further ones until it leaves. A line
// counts as offered whether or not the client has a session.
func (w *Workload) scheduleLine(c *client, due float64) {
	if due >= c.leavesAt || due >= w.endsAt {
		leaveAt := min(c.leavesAt, w.endsAt) + lastLineGrace
		w.host.After(leaveAt-w.host.Now(), func() { w.finish(c) })
		return
	}
	w.host.After(due-w.host.Now(), func() {
		if c.stage == clientGone {
			return
		}
		w.at(due).Offered += c.lineWeight()
		if c.stage == clientEstablished {
			w.MaxLag = max(w.MaxLag, w.host.Now()-due)
			w.sendLineOrGiveUp(c, due)
		}
		w.scheduleLine(c, due+float64(c.traffic.LineInterval))
	})
}

// lineWeight is what one line counts for: the priority weight, for the time until the next line.
func (c *client) lineWeight() float64 {
	return c.traffic.PriorityWeight * float64(c.traffic.LineInterval) / 1000
}

func (w *Workload) sendLineOrGiveUp(c *client, due float64) {
	if w.host.Now()-c.session.lastHeardAt > silenceTimeout {
		w.disconnect(c)
		w.reconnect(c)
		return
	}
	w.sendLine(c, due)
}

func (w *Workload) sendLine(c *client, due float64) {
	c.session.linesSent++
	c.session.awaiting = append(c.session.awaiting, due)
	now := w.host.Now()
	text := append(make([]byte, 0, 32), verbMessage+" "...)
	text = strconv.AppendInt(text, int64(c.session.linesSent), 10)
	text = append(text, ' ')
	text = strconv.AppendFloat(text, now, 'f', 3, 64)
	w.observer.LineSent(now, c.session.id, false, c.session.linesSent)
	w.host.Write(c.conn, append(text, "\r\n"...))
}
