package model

import (
	"bytes"
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"strconv"

	"valeshift/internal/protocol"
)

// SessionStore is the session store that all servers share: set-ups go through it one after the other.
type SessionStore struct {
	rate   float64 // a second; 0: takes no time
	factor float64
	free   float64 // when it is done with all that was given to it
}

// NewSessionStore takes how many set-ups a second it bears; 0: any.
func NewSessionStore(rate float64) *SessionStore { return &SessionStore{rate: rate, factor: 1} }

// Slow has it work at that part of its rate from now on; what was given to it before is not done later.
func (s *SessionStore) Slow(factor float64) { s.factor = factor }

// take gives it one set-up and tells when that is done.
func (s *SessionStore) take(now float64) float64 {
	if s.rate <= 0 {
		return now
	}
	s.free = max(s.free, now) + 1000/(s.rate*s.factor)
	return s.free
}

// BackendSpec is what a server is made of.
type BackendSpec struct {
	Name, Address, Zone              string
	Cores, Speed                     float64
	SetupWork                        float64 // of one core, in milliseconds
	MaxReportAge, ReportNoise        float64 // age a report may reach; relative deviation
	SlowStartFrom, SlowStart         float64
	OverloadMultiple, OverloadWindow float64
	OverloadDowntime                 float64
}

// Backend is one server: its links' lines and set-ups share its cores evenly, each on one core at most.
type Backend struct {
	BackendSpec
	host   Host
	watch  Observer
	store  *SessionStore
	chance *rand.Rand
	// Changed, where set, is called when the server has died or is back by itself.
	Changed func()

	Since    float64 // clock time of its start; 0: long ago
	Draining bool
	Dead     bool
	slow     float64 // part of its speed
	stolen   float64 // part of its cores
	still    bool
	grey     float64 // part of the setup tries that it breaks
	unsaid   float64 // part of them that it does, and breaks before it says so

	conns  map[uint64]*session
	last   float64 // when work was last reckoned
	served float64 // work that each job has had by then: a clock that runs slower the more share it
	jobs   jobs
	turn   int // of the look that is due; former ones do nothing

	offered, busyAt float64 // demand smoothed over a second, in cores
	report          [3]float64
	reportAt        float64
	pushed          []push  // loads sent while cold
	Sessions        int     // that stand
	Demand          float64 // of those, in cores
	ColdOverloads   int     // times it was pushed over while cold
}

type push struct{ at, load float64 }

type session struct {
	conn     uint64
	id       string
	in       protocol.LineSplitter
	stands   bool
	trying   bool
	load     float64
	every    float64
	said     int
	got      int
	lines    int // whose work waits or is done now
	mayServe bool
}

// job is work on the server's cores.
type job struct {
	ends float64 // on the served clock
	seq  int
	done func()
}

type jobs struct {
	all []job
	seq int
}

func (j *jobs) Len() int { return len(j.all) }
func (j *jobs) Less(a, b int) bool {
	return j.all[a].ends < j.all[b].ends || (j.all[a].ends == j.all[b].ends && j.all[a].seq < j.all[b].seq)
}
func (j *jobs) Swap(a, b int) { j.all[a], j.all[b] = j.all[b], j.all[a] }
func (j *jobs) Push(x any)    { j.all = append(j.all, x.(job)) }
func (j *jobs) Pop() any {
	x := j.all[len(j.all)-1]
	j.all[len(j.all)-1] = job{}
	j.all = j.all[:len(j.all)-1]
	return x
}

// NewBackend starts a server that has run for long.
func NewBackend(m BackendSpec, host Host, watch Observer, store *SessionStore, chance *rand.Rand) *Backend {
	return &Backend{BackendSpec: m, host: host, watch: watch, store: store, chance: chance, slow: 1,
		conns: map[uint64]*session{}, last: host.Now(), busyAt: host.Now(), reportAt: math.Inf(-1)}
}

// warm is the part of its capacity that the server has by now.
func (s *Backend) warm(now float64) float64 {
	if s.Since <= 0 || s.SlowStart <= 0 {
		return 1
	}
	return min(1, s.SlowStartFrom+(1-s.SlowStartFrom)*max(0, now-s.Since)/s.SlowStart)
}

// Capacity is what the server can do now, in cores of speed one.
func (s *Backend) Capacity(now float64) float64 {
	return s.Cores * (1 - s.stolen) * s.Speed * s.slow * s.warm(now)
}

// rate is how much work one job gets in a millisecond.
func (s *Backend) rate(now float64) float64 {
	n := float64(len(s.jobs.all))
	if n == 0 || s.still {
		return 0
	}
	return min(s.Speed*s.slow*s.warm(now), s.Capacity(now)/n)
}

// advance reckons the work done since the last look.
func (s *Backend) advance() {
	now := s.host.Now()
	s.served += (now - s.last) * s.rate(now)
	s.last = now
}

// plan looks again when the first job is done.
func (s *Backend) plan() {
	s.turn++
	if len(s.jobs.all) == 0 || s.still {
		return
	}
	turn := s.turn
	// A cold server grows faster meanwhile; then the look comes a little late, which is made up for there.
	// Against a look that is due sooner than the clock can tell, no wait is shorter than a microsecond.
	wait := max((s.jobs.all[0].ends-s.served)/max(s.rate(s.host.Now()), 1e-9), 0.001)
	s.host.After(min(wait, 1000), func() {
		if turn == s.turn {
			s.settle()
		}
	})
}

// settle ends the jobs that are done.
func (s *Backend) settle() {
	s.advance()
	for len(s.jobs.all) > 0 && s.jobs.all[0].ends <= s.served+1e-9 {
		heap.Pop(&s.jobs).(job).done()
	}
	s.plan()
}

func (s *Backend) work(amount float64, done func()) {
	s.advance()
	s.jobs.seq++
	heap.Push(&s.jobs, job{s.served + amount, s.jobs.seq, done})
	s.offer(amount)
	s.plan()
}

// offer takes demand into the smoothed figure.
func (s *Backend) offer(amount float64) {
	now := s.host.Now()
	s.offered = s.offered*math.Exp((s.busyAt-now)/1000) + amount/1000
	s.busyAt = now
}

// Utilization is the demand of about the last second, as a part of the server's full capacity at its present speed.
func (s *Backend) Utilization(now float64) float64 {
	capacity := max(s.Capacity(now), 1e-6)
	return s.offered * math.Exp((s.busyAt-now)/1000) / capacity
}

// Slowed sets the part of its speed, Stolen the part of its cores that others take, Still whether it works.
func (s *Backend) Slowed(part float64) { s.advance(); s.slow = part; s.plan() }

// Grey has the server break that part of the setup tries.
func (s *Backend) Grey(part float64) { s.grey = part }

// Unsaid has the server do what that part of the setup tries ask for, and break before it says so.
func (s *Backend) Unsaid(part float64) { s.unsaid = part }

// Stolen sets the part of its cores that somebody else takes.
func (s *Backend) Stolen(part float64) { s.advance(); s.stolen = part; s.plan() }

// Still has it stand still, or work again.
func (s *Backend) Still(still bool) { s.advance(); s.still = still; s.plan() }

// Reset breaks all connections.
func (s *Backend) Reset() {
	for _, conn := range sorted(s.conns) {
		s.drop(s.conns[conn], true)
	}
}

// Die ends all that the server has and does.
func (s *Backend) Die() {
	s.advance()
	s.Reset()
	s.jobs.all, s.Dead = nil, true
	s.offered = 0
	s.turn++
}

// Start has a server that died serve again, cold.
func (s *Backend) Start() {
	now := s.host.Now()
	s.Dead, s.Since, s.last, s.pushed, s.still = false, now, now, nil, false
	s.reportAt = math.Inf(-1)
	s.watch.BackendStarted(now, s.Name)
}

// drop ends a connection from this side.
func (s *Backend) drop(c *session, broken bool) {
	if broken {
		s.host.Reset(c.conn)
	} else {
		s.host.Close(c.conn)
	}
	if c.stands {
		s.watch.ClosedByBackend(s.host.Now(), c.id, s.Name)
	}
	s.forget(c)
}

func (s *Backend) forget(c *session) {
	delete(s.conns, c.conn)
	if c.trying {
		c.trying = false
		s.watch.AttemptFinished(s.host.Now(), c.id, s.Name)
	}
	if c.stands {
		s.Sessions--
		s.Demand -= c.load / 1000
	}
	c.stands, c.mayServe = false, false
}

// OnAccept takes a connection in.
func (s *Backend) OnAccept(conn uint64) { s.conns[conn] = &session{conn: conn} }

// OnConnect is not called: servers dial nobody.
func (s *Backend) OnConnect(uint64) {}

// OnClose takes that the relay has ended a connection.
func (s *Backend) OnClose(conn uint64, _ bool) {
	if c := s.conns[conn]; c != nil {
		s.forget(c)
	}
}

// OnData takes bytes.
func (s *Backend) OnData(conn uint64, data []byte) {
	for {
		c := s.conns[conn]
		if c == nil {
			return
		}
		line, rest, err := c.in.Next(data)
		if err != nil {
			s.drop(c, true)
			return
		}
		if line == nil {
			return
		}
		data = rest
		s.line(c, line)
	}
}

func (s *Backend) line(c *session, line []byte) {
	verb, rest := protocol.CutVerb(line)
	switch {
	case c.id != "" && c.stands:
		s.served1(c, rest)
	case string(verb) == "STATS" || string(verb) == "PING":
		s.probe(c)
	case string(verb) == "OPEN" && c.id == "":
		s.open(c, line)
	default:
		s.say(c, "ERR\r\n")
		s.drop(c, false)
	}
}

func (s *Backend) say(c *session, text string) { s.host.Write(c.conn, []byte(text)) }

// probe answers with the figures of the last report, which is made anew when it is too old.
func (s *Backend) probe(c *session) {
	now := s.host.Now()
	if now >= s.reportAt+s.MaxReportAge {
		s.reportAt = now
		util := max(s.Utilization(now)*(1+s.ReportNoise*s.chance.NormFloat64()), 0)
		s.report = [3]float64{min(util, 1), float64(s.Sessions), util}
	}
	answer := func() {
		if s.conns[c.conn] == c {
			s.say(c, fmt.Sprintf("PONG cpu=%.4f,rps=%g,x0=%.4f\r\n", s.report[0], s.report[1], s.report[2]))
		}
	}
	if s.still {
		s.work(0.01, answer)
		return
	}
	answer()
}

// open takes a link's head.
func (s *Backend) open(c *session, line []byte) {
	now := s.host.Now()
	head, err := protocol.ParseRequest(line)
	if err != nil {
		s.say(c, "SYNTAX\r\n")
		s.drop(c, false)
		return
	}
	c.id = string(head.ID)
	c.load, c.every = weight(line)
	c.trying, c.mayServe = true, true
	capacity, cold := s.Capacity(now), s.warm(now) < 1
	s.watch.AttemptReceived(now, c.id, s.Name, cold, capacity, c.load/1000)
	if s.grey > 0 && s.chance.Float64() < s.grey {
		s.drop(c, true)
		return
	}
	if s.Draining {
		s.say(c, "BUSY\r\n")
		s.drop(c, false)
		return
	}
	if cold && s.push(now, c.load/1000, capacity) {
		return
	}
	s.work(s.SetupWork, func() {
		if c.mayServe {
			s.host.After(s.store.take(s.host.Now())-s.host.Now(), func() { s.stand(c) })
		}
	})
}

// push counts what a cold server is sent; pushed over, it falls. A link is whole: the heaviest may come on
// top.
func (s *Backend) push(now, load, capacity float64) bool {
	s.pushed = append(s.pushed, push{now, load})
	sum, heaviest := 0.0, 0.0
	kept := s.pushed[:0]
	for _, p := range s.pushed {
		if p.at > now-s.OverloadWindow {
			kept, sum, heaviest = append(kept, p), sum+p.load, max(heaviest, p.load)
		}
	}
	s.pushed = kept
	if sum-heaviest <= s.OverloadMultiple*capacity {
		return false
	}
	s.Die()
	s.ColdOverloads++
	s.host.After(s.OverloadDowntime, func() {
		if s.Dead {
			s.Start()
			s.Changed()
		}
	})
	s.Changed()
	return true
}

// pushedNow is what the cold server was sent within its span, and the heaviest of it.
func (s *Backend) pushedNow(now float64) (sum float64) {
	for _, p := range s.pushed {
		if p.at > now-s.OverloadWindow {
			sum += p.load
		}
	}
	return sum
}

const (
	fullAt   = 0.9   // of its present capacity, by the links that stand and are on their way
	keptPart = 0.8   // of what a cold server bears within its span
	storeAt  = 200.0 // ms of work that waits at the store
)

// HasCapacity tells whether one more link can be sent to the server with all rules kept and in good time.
func (w *Environment) HasCapacity(s *Backend) bool {
	now := w.host.Now()
	capacity, sum := s.Capacity(now), s.pushedNow(now)
	if s.Dead || s.Draining || w.store.free > now+storeAt {
		return false
	}
	coming := 0.0
	for _, c := range s.conns {
		if c.trying {
			coming += c.load / 1000
		}
	}
	return s.Demand+coming < fullAt*capacity && (s.warm(now) >= 1 || sum < keptPart*s.OverloadMultiple*capacity)
}

// weight reads what a link weighs, in thousandths of a core, and after how many milliseconds its lines come:
// the lab's clients say so in their heads, as w and e, which relays pass on unread.
func weight(head []byte) (load, every float64) {
	list := head[bytes.LastIndexByte(head, ' ')+1:]
	for pair := range bytes.SplitSeq(protocol.TrimLineEnd(list), []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "w":
			load, _ = strconv.ParseFloat(string(value), 64)
		case "e":
			every, _ = strconv.ParseFloat(string(value), 64)
		}
	}
	return load, every
}

func (s *Backend) stand(c *session) {
	if !c.mayServe || c.stands {
		return
	}
	now := s.host.Now()
	s.watch.EffectApplied(now, c.id, s.Name)
	if s.unsaid > 0 && s.chance.Float64() < s.unsaid {
		s.drop(c, true)
		return
	}
	c.trying = false
	s.watch.AttemptFinished(now, c.id, s.Name)
	c.stands = true
	s.Sessions++
	s.Demand += c.load / 1000
	s.host.Write(c.conn, strconv.AppendFloat([]byte("UP receipt\r\nLOAD "), math.Round(c.load*1000), 'f', 0, 64))
	s.say(c, "\r\n")
}

// served1 takes a client's line, and answers once its work is done. Against work without end, lines that come
// while several of the link wait cost nothing more.
func (s *Backend) served1(c *session, rest []byte) {
	now := s.host.Now()
	number, said, _ := bytes.Cut(rest, []byte(" "))
	n, _ := strconv.Atoi(string(number))
	at, _ := strconv.ParseFloat(string(said), 64)
	c.got++
	s.watch.LineReceived(now, c.id, false, n, at)
	amount := c.load / 1000 * c.every
	if c.lines >= 3 {
		amount = 0
	}
	c.lines++
	s.work(amount, func() {
		c.lines--
		if !c.stands {
			return
		}
		c.said++
		text := append(make([]byte, 0, 48), "R "...)
		text = strconv.AppendInt(text, int64(c.said), 10)
		text = strconv.AppendFloat(append(text, ' '), s.host.Now(), 'f', 3, 64)
		text = strconv.AppendInt(append(text, ' '), int64(n), 10)
		s.watch.LineSent(s.host.Now(), c.id, true, c.said)
		s.host.Write(c.conn, append(text, "\r\n"...))
	})
}
