package model

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"strconv"

	"valeshift/internal/protocol"
	"valeshift/internal/testbed/experiment"
)

const (
	inTime   = 1000.0 // within which a line's answer is of use
	slack    = 60.0   // that a client waits beyond its limit: the answer has its way to go
	redial   = 100.0  // after a relay that refuses
	afterErr = 2000.0 // before a client asks anew for what may have run
	tired    = 10000.0
	leaving  = 300.0 // for which the front still deals to a relay that stops
	asking   = 100.0 // between the front's PINGs to one that starts
	lastWord = 200.0 // for the answer to a client's last line
)

// Workload is all clients, and the front that deals them out among the relays.
type Workload struct {
	*Metrics
	host        Host
	watch       Observer
	x           *experiment.Experiment
	chance      *rand.Rand
	fronts      []front
	conns       map[uint64]*client
	pings       map[uint64]int // connections by which the front asks a relay whether it serves
	ids         uint64
	ends        float64 // of arrivals
	burst       float64
	known       []*client // that are not over
	over        bool
	Established int
}

type front struct {
	address string
	zone    int
	up      bool
	turn    int  // of what is known of it
	door    bool // it is being replaced: nobody may be turned away at the door
}

type client struct {
	kind        *experiment.Traffic
	zone        int
	id          string
	key, group  string
	load        float64
	honours     bool
	until       float64 // end of its life
	since       float64 // from when it wants to stand: its meant start, or when it lost its connection
	place       int     // among those known
	conn        uint64
	relay       int
	in          protocol.LineSplitter
	stage       int
	retry       bool
	errands     int // that are done
	again       bool
	turn        int
	said, heard int
	sent        []float64 // meant times of the lines whose answer has not come
	first       int       // number of the first of those
	lastHeard   float64
}

const (
	away = iota
	dialing
	waiting
	stands
	gone
)

// NewWorkload takes the relays' addresses and zones.
func NewWorkload(x *experiment.Experiment, host Host, watch Observer, tally *Metrics, addresses []string,
	zones []int) *Workload {
	c := &Workload{Metrics: tally, host: host, watch: watch, x: x, chance: x.Rand("crowd", 0),
		conns: map[uint64]*client{}, pings: map[uint64]int{}, burst: 1, ends: host.Now() + float64(x.Length)}
	for i, a := range addresses {
		c.fronts = append(c.fronts, front{address: a, zone: zones[i], up: true})
	}
	return c
}

// Start has the clients come.
func (c *Workload) Start() {
	now := c.host.Now()
	for i := range c.x.Traffic {
		t := &c.x.Traffic[i]
		for range t.InitialClients {
			c.come(t, now+c.chance.Float64()*2000)
		}
		if t.Rate > 0 {
			c.next(t, now)
		}
	}
}

// next has the next client come. Arrivals go by the time they were meant for, however late the lab is.
func (c *Workload) next(t *experiment.Traffic, meant float64) {
	meant += c.chance.ExpFloat64() * 1000 / (t.Rate * c.burst)
	if meant >= c.ends {
		return
	}
	c.host.After(meant-c.host.Now(), func() {
		c.come(t, meant)
		c.next(t, meant)
	})
}

// SetRateFactor has new clients come at that multiple of the rate from the next arrival on.
func (c *Workload) SetRateFactor(factor float64) { c.burst = factor }

func (c *Workload) come(t *experiment.Traffic, meant float64) {
	l := &client{kind: t, zone: c.chance.Intn(c.x.Fleet.Zones), load: t.Load, since: meant,
		until: meant + c.chance.ExpFloat64()*float64(t.Lifetime), honours: c.chance.Float64() < t.HonorsRetryAfter,
		key: strconv.FormatUint(c.chance.Uint64(), 16)}
	if t.LoadSpread > 0 {
		l.load *= math.Exp(c.chance.NormFloat64()*t.LoadSpread - t.LoadSpread*t.LoadSpread/2)
	}
	if t.Groups > 0 {
		l.group = strconv.FormatUint(uint64(c.chance.Intn(t.Groups))*0x9e3779b97f4a7c15+1, 16)
	}
	c.host.After(meant-c.host.Now(), func() {
		l.place = len(c.known)
		c.known = append(c.known, l)
		c.MaxLag = max(c.MaxLag, c.host.Now()-meant)
		c.connect(l)
		c.slot(l, meant+float64(t.LatencyObjective))
	})
}

// slot is the time of one line: it counts as wanted whether or not the link stands.
func (c *Workload) slot(l *client, meant float64) {
	if meant >= l.until || meant >= c.ends {
		c.host.After(min(l.until, c.ends)+lastWord-c.host.Now(), func() { c.done(l) })
		return
	}
	c.host.After(meant-c.host.Now(), func() {
		if l.stage == gone {
			return
		}
		every := float64(l.kind.LineInterval)
		now := c.host.Now()
		c.at(meant).Offered += l.kind.PriorityWeight * every / 1000
		if l.stage == stands {
			c.MaxLag = max(c.MaxLag, now-meant)
			if now-l.lastHeard > tired {
				c.leave(l)
				c.lost(l)
			} else {
				c.line(l, meant)
			}
		}
		c.slot(l, meant+every)
	})
}

func (c *Workload) line(l *client, meant float64) {
	l.said++
	l.sent = append(l.sent, meant)
	text := strconv.AppendInt(append(make([]byte, 0, 32), "M "...), int64(l.said), 10)
	text = strconv.AppendFloat(append(text, ' '), c.host.Now(), 'f', 3, 64)
	c.watch.LineSent(c.host.Now(), l.id, false, l.said)
	c.host.Write(l.conn, append(text, "\r\n"...))
}

// connect has the client dial the relay that the front deals it to: one of its zone, where one is up.
func (c *Workload) connect(l *client) {
	if l.stage == gone || c.over {
		return
	}
	own, any := 0, 0
	for _, f := range c.fronts {
		if f.up {
			any++
			if f.zone == l.zone {
				own++
			}
		}
	}
	if any == 0 {
		c.again(l, redial)
		return
	}
	n := c.chance.Intn(max(own, 1))
	if own == 0 {
		n = c.chance.Intn(any)
	}
	for i, f := range c.fronts {
		if !f.up || (own > 0 && f.zone != l.zone) {
			continue
		}
		if n--; n < 0 {
			l.relay = i
			break
		}
	}
	l.stage, l.in = dialing, protocol.LineSplitter{}
	l.conn = c.host.Dial(c.fronts[l.relay].address)
	c.conns[l.conn] = l
	c.limit(l, 3000)
}

// limit has the client give up what it is at after that time.
func (c *Workload) limit(l *client, wait float64) {
	l.turn++
	turn := l.turn
	c.host.After(wait, func() {
		if l.turn != turn || (l.stage != dialing && l.stage != waiting) {
			return
		}
		if l.stage == waiting {
			c.Answers["none"]++
			c.at(c.host.Now()).Unanswered++
		}
		c.leave(l)
		l.retry = true
		c.again(l, redial)
	})
}

// again has the client come again after a while.
func (c *Workload) again(l *client, wait float64) {
	l.stage = away
	l.turn++
	turn := l.turn
	c.host.After(wait*(0.8+0.4*c.chance.Float64()), func() {
		if l.turn == turn {
			c.connect(l)
		}
	})
}

// leave ends the client's connection from its own side.
func (c *Workload) leave(l *client) {
	if l.conn == 0 {
		return
	}
	if l.stage == waiting || l.stage == stands {
		c.watch.ClosedByClient(c.host.Now(), l.id)
	}
	if l.stage == stands {
		c.Established--
	}
	delete(c.conns, l.conn)
	c.host.Close(l.conn)
	l.conn = 0
}

// lost has a client come again whose link is over before its life is.
func (c *Workload) lost(l *client) {
	l.again, l.since = true, c.host.Now()
	c.again(l, 150)
}

func (c *Workload) done(l *client) {
	if l.stage == gone {
		return
	}
	c.leave(l)
	l.stage = gone
	last := c.known[len(c.known)-1]
	c.known[l.place], last.place = last, l.place
	c.known = c.known[:len(c.known)-1]
}

// Close ends the crowd: what is still open is ended, and nobody comes any more.
func (c *Workload) Close() {
	c.over = true
	for _, l := range append([]*client(nil), c.known...) {
		c.done(l)
	}
}

// ResetConnections breaks the connections of that share of the clients that stand.
func (c *Workload) ResetConnections(share float64) {
	for _, l := range append([]*client(nil), c.known...) {
		if l.stage == stands && c.chance.Float64() < share {
			c.watch.ClosedByClient(c.host.Now(), l.id)
			c.Established--
			delete(c.conns, l.conn)
			c.host.Reset(l.conn)
			l.conn = 0
			c.lost(l)
		}
	}
}

// RemoveRelay has the front deal nobody to that relay any more, after a while.
func (c *Workload) RemoveRelay(i int, planned bool) {
	wait := float64(c.x.Relays.DetectionDelay)
	if planned {
		wait = leaving
	}
	c.fronts[i].turn++
	turn := c.fronts[i].turn
	c.host.After(wait, func() {
		if c.fronts[i].turn == turn {
			c.fronts[i].up = false
		}
	})
}

// SetReplacing says that a relay is being replaced, and must let everybody in, or no longer.
func (c *Workload) SetReplacing(i int, watched bool) { c.fronts[i].door = watched }

func (c *Workload) atDoor(l *client) {
	if c.fronts[l.relay].door {
		c.watch.ReplacementRejected(c.host.Now(), l.relay)
	}
}

// RestoreRelay has the front ask the relay until it serves.
func (c *Workload) RestoreRelay(i int) {
	c.fronts[i].turn++
	c.fronts[i].up = false
	c.ask(i, c.fronts[i].turn)
}

func (c *Workload) ask(i, turn int) {
	if c.fronts[i].turn != turn || c.fronts[i].up || c.over {
		return
	}
	conn := c.host.Dial(c.fronts[i].address)
	c.pings[conn] = i
	c.host.After(asking, func() {
		if _, open := c.pings[conn]; open {
			delete(c.pings, conn)
			c.host.Close(conn)
		}
		c.ask(i, turn)
	})
}

// OnAccept is not called: nobody dials clients.
func (c *Workload) OnAccept(uint64) {}

// OnConnect has the client say its head.
func (c *Workload) OnConnect(conn uint64) {
	if _, ping := c.pings[conn]; ping {
		c.host.Write(conn, []byte("PING\r\n"))
		return
	}
	l := c.conns[conn]
	if l == nil {
		return
	}
	c.ids++
	l.id = strconv.FormatUint(c.ids*0x9e3779b97f4a7c15, 16)
	l.stage, l.said, l.heard, l.sent, l.first = waiting, 0, 0, nil, 1
	wait := float64(l.kind.HardLimit)
	head := fmt.Sprintf("OPEN %s %s c=%s,t=%s,d=%.0f,w=%.3f,e=%.0f", l.id, l.key, l.kind.Class, l.kind.Tenant,
		wait, l.load, float64(l.kind.LineInterval))
	if l.group != "" {
		head += ",g=" + l.group
	}
	if l.retry {
		head += ",r=1"
	}
	if l.again {
		head += ",again=1"
	}
	c.Requests++
	c.watch.RequestSent(c.host.Now(), l.id, l.key+"/"+strconv.Itoa(l.errands), l.relay, l.kind.Effect, wait)
	c.host.Write(conn, []byte(head+"\r\n"))
	c.limit(l, wait+slack+4*float64(c.x.Network.Delay+c.x.Network.Jitter))
}

// OnClose takes that the relay has ended a connection.
func (c *Workload) OnClose(conn uint64, broken bool) {
	if _, ping := c.pings[conn]; ping {
		delete(c.pings, conn)
		return
	}
	l := c.conns[conn]
	if l == nil {
		return
	}
	delete(c.conns, conn)
	l.conn = 0
	now := c.host.Now()
	switch l.stage {
	case dialing:
		c.atDoor(l)
		l.retry = true
		c.again(l, redial)
	case waiting:
		c.atDoor(l)
		c.watch.ClosedByRelay(now, l.id, broken)
		c.Answers["cut"]++
		c.at(now).Disconnected++
		l.retry = true
		c.again(l, redial)
	case stands:
		c.watch.ClosedByRelay(now, l.id, broken)
		c.Established--
		c.lost(l)
	}
}

// OnData takes what the relay says.
func (c *Workload) OnData(conn uint64, data []byte) {
	if i, ping := c.pings[conn]; ping {
		if bytes.HasPrefix(data, []byte("PONG")) {
			c.fronts[i].up = true
			delete(c.pings, conn)
			c.host.Close(conn)
		}
		return
	}
	for len(data) > 0 {
		l := c.conns[conn]
		if l == nil {
			return
		}
		line, rest, err := l.in.Next(data)
		if err != nil || line == nil {
			return
		}
		data = rest
		verb, said := protocol.CutVerb(line)
		if l.stage == waiting {
			c.answer(l, string(verb), said)
		} else {
			c.heard(l, string(verb), said)
		}
	}
}

func (c *Workload) answer(l *client, verb string, said []byte) {
	now := c.host.Now()
	c.watch.ResponseReceived(now, l.id, verb)
	c.Answers[verb]++
	if verb == "UP" {
		c.at(now).Established++
		c.Established++
		record(c.SetupLatency[l.kind.Class], now-l.since)
		l.stage, l.retry, l.lastHeard = stands, false, now
		l.errands++
		return
	}
	// What more the relay says, it says to nobody: a first answer is final.
	wait := float64(l.kind.RetryDelay)
	switch verb {
	case "BUSY":
		c.at(now).Rejected++
		if ms, err := strconv.ParseFloat(string(said), 64); err == nil && l.honours {
			wait = ms
		}
	default:
		c.at(now).Errored++
		if l.kind.Effect != "replayable" {
			wait = afterErr
		}
	}
	c.after(l)
	l.retry = true
	c.again(l, wait)
}

// after looks at what else came behind a final answer, for a moment, before the client ends its connection.
func (c *Workload) after(l *client) {
	conn, id := l.conn, l.id
	l.conn = 0
	delete(c.conns, conn)
	rest := &client{kind: l.kind, id: id, conn: conn, stage: gone}
	c.conns[conn] = rest
	c.host.After(20, func() {
		if c.conns[conn] == rest {
			delete(c.conns, conn)
			c.host.Close(conn)
		}
	})
}

func (c *Workload) heard(l *client, verb string, said []byte) {
	now := c.host.Now()
	l.lastHeard = now
	switch verb {
	case "R":
		number, rest, _ := bytes.Cut(said, []byte(" "))
		at, of, _ := bytes.Cut(rest, []byte(" "))
		n, _ := strconv.Atoi(string(number))
		saidAt, _ := strconv.ParseFloat(string(at), 64)
		c.watch.LineReceived(now, l.id, true, n, saidAt)
		if k, err := strconv.Atoi(string(of)); err == nil && k >= l.first && k < l.first+len(l.sent) {
			meant := l.sent[k-l.first]
			l.sent, l.first = l.sent[k-l.first+1:], k+1
			if took := now - meant; l.stage != gone {
				record(c.LineLatency[l.kind.Class], took)
				if took <= inTime {
					c.at(meant).Served += l.kind.PriorityWeight * float64(l.kind.LineInterval) / 1000
				}
			}
		}
	case "LOAD":
	case "MOVE":
		c.watch.NoticeReceived(now, l.id, verb)
		if l.stage == stands {
			c.leave(l)
			c.lost(l)
		}
	default:
		c.watch.NoticeReceived(now, l.id, verb)
	}
}
