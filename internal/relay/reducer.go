// Package relay is the program's core: the decision module on sockets.
//
// This file owns all state of the relay and every change of it: Take is told one event with its time and
// returns the effects that follow. It must never touch a socket, a clock or a log, start anything that runs
// beside it, or decide what the module decides. What a link does until it stands is here; standing.go and
// backends.go hold the rest of the same reducer.
package relay

import (
	"container/heap"
	"fmt"
	"math"
	"strconv"

	"valeshift/balancer"
	"valeshift/internal/admin"
	"valeshift/internal/dispatch"
	"valeshift/internal/hotrestart"
	"valeshift/internal/protocol"
	"valeshift/internal/settings"
)

// EventKind is what an event tells.
type EventKind uint8

// The events. Those of a connection or a watch that is over already are dropped by its number, as no number
// is given twice.
const (
	ConnAccepted            EventKind = iota // a client's connection was accepted
	ConnEstablished                          // a connection that was dialed is up
	DataReceived                             // bytes came; they are good until Take's effects are carried out
	ConnClosed                               // a connection has ended or never came up
	TimerFired                               // the timer fired
	EndpointsUpdated                         // the watch brought entries
	WatchHeartbeat                           // the watch brought an empty line
	WatchFailed                              // the watch ended
	ShutdownRequested                        // the relay is to stop
	DrainRequested                           // the relay is to be emptied, or (Off) to go back to work
	SiblingProcessesChanged                  // which other processes of this relay are alive
	SiblingEndpointsUpdated                  // another process of this relay has been told the list News
	DetachRequested                          // the standing link of the client Conn can be passed to the younger process now
	SessionTransferred                       // and is there, or (Off) stays here
	SessionReceived                          // the elder process passes a standing link, Passed, its client to be Conn
	ConfigReloaded                           // the file was read again
	StateRestored                            // what is known from before the start, here or at other relays, is Kept
	IncarnationChanged                       // another life of this relay may have served until just now
	RecoveryChanged                          // the whole fleet lost power and recovers, or (Off) has recovered
	ClockSkewMeasured                        // this relay's clock is Ahead of what the fleet takes for right
	ZoneWeightsChanged                       // a decision in common has links meant for zones: Toward, or none
	// other relays hold what this one gives its Word for: marks for At beyond a hard limit; Stood
	ReplicationEnabled
	RecordReplicated  // they hold the Word of Conn, or (Off) they don't
	RecordFound       // what they held: the Word on Key, for Conn; Off: nothing
	RemoteLoadChanged // others placed the load Placed, which figures may not hold yet; below 0: not known
	ProcessExiting    // the process ends now: whoever has no answer yet gets one
)

// Event is one thing that happened.
type Event struct {
	Kind         EventKind
	Conn         uint64 // of the connection, or of the watch
	Data         []byte
	Reset        bool // Over: by a reset, not by an end
	Unsent       bool // Over: with something not written yet
	SlowReader   bool // Over: as it took in too little of what was written
	Off          bool // LameDuck, Given, Recovers
	YieldToChild bool // Stop: a younger process takes the clients from now on

	HasParent, HasChild, WantsHandoff bool // Beside; Leave: the younger is to be left what is known

	Endpoints *EndpointUpdate
	Err       error  // ListFailed; Reload: why the file can't be used
	Address   string // Reload: the address of discovery

	Session       *TransferredSession // Adopt
	Snapshot      *Snapshot           // Recalled
	CapacityShare float64             // Recovers: of what cold servers bear, that this relay is to take
	AheadMillis   float64             // Clocked: ms
	Load          float64             // Beyond
	Zones         []ZoneWeight
	Record        RecordKind // Entrusted, Claimed
	Affinity      bool       // Holds: where clients and groups stand, too
	Key           uint64     // Claimed
	At            float64    // Claimed, Holds
}

// EffectKind is what an effect asks for.
type EffectKind uint8

// The effects.
const (
	Dial       EffectKind = iota // for the client Peer; 0: for none
	Write                        // Parts, after all that was written before
	Close                        // end the connection once all is written
	Reset                        // reset it now, or stop dialing
	SetTimer                     // have Tick come at At
	StartWatch                   // watch the list at Text as Conn, from After on, in place of any other watch
	StopWatch
	PauseAccept     // take in no further client
	ResumeAccept    // and again
	Log             // a line for the log
	Exit            // all is done
	TransferSession // the standing link of the client Conn, and Peer, to the younger process: Part
	SessionDetached // it is given up, as Passed, until Given
	SessionAccepted // a passed link is here, with the backend's connection as Peer
	AnnounceReady   // the relay is fit to serve from now on
	SendHandoff     // leave Left to the younger process
	SendEndpoints   // tell the other process of this relay of the list News
	Replicate       // have other relays hold the Word of Conn, on a client of Key: Entrusted
	Lookup          // seek what they hold for a client of Key: Claimed
	Release         // the Word of Conn is over
)

// Effect is one thing to be done, in order.
type Effect struct {
	Kind       EffectKind
	Conn       uint64
	Text       string // Dial, Watch: the address; Note: what is said
	Chunks     [][]byte
	At         float64
	AfterIndex uint64
	Args       []any
	Handoff    *Handoff
	Endpoints  *EndpointUpdate
	Peer       uint64
	Session    *TransferredSession
	Key        uint64
	Record     RecordKind
}

const (
	dialed     = 1 << 63 // connections from this number on are the relay's own; below, clients'
	headTime   = 1500.0  // for a client's head to begin, pings or none: against silent ones holding sockets
	slowHead   = 2700.0  // from when it came, for one that has begun: clients may take two seconds to write it
	mostPings  = 16      // before it
	grace      = 30.0    // left to a client without a head, however many there are
	mutePart   = 8       // one in so many descriptors may be held by those, beyond which one is let go
	beyond     = 10      // times its category's hard limit, above which a client's wait is nonsense
	noteGap    = 1000.0  // between two notes of clients turned away: against a flood of them filling the log
	margin     = 10.0    // taken off a client's wait, so that the answer is there before it gives up
	tiny       = 1.0     // of waits
	spareFiles = 32      // descriptors kept for the listener, the polls, the watch and dials
	fewHeads   = 4       // no fewer than so many may have no head yet
	perLink    = 2
	resumeTime = 38000.0 // for a link that stood before the start; it is lost two seconds later
	resumeGap  = 500.0
	readyTime  = 1000.0 // after which the relay serves on the list it was started with
)

// timer fires once when its time has come.
type timer struct {
	at    float64
	place int // in the heap, from 1; 0: not armed
	fire  func()
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i]; t[i].place, t[j].place = i+1, j+1 }
func (t *timers) Push(x any)        { *t = append(*t, x.(*timer)); x.(*timer).place = len(*t) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last], *t = nil, (*t)[:last]
	x.place = 0
	return x
}

// end is one open connection, or one being dialed.
type end struct {
	conn    uint64
	link    *link
	backend *backend // that it goes to; nil: a client's
	up      bool     // a backend's
	waits   bool     // a backend's: it is up, and its head waits for others to hold that it goes out
	pings   int
	since   float64 // a client's: when it came; a backend's: its start, as it was told at the choice
	brought float64 // and when it last brought anything of its head
	in      protocol.LineSplitter
	wait    timer
}

type stage uint8

const (
	heading  stage = iota // the client's first line has not come
	placing               // the module has it
	trying                // a setup try is out
	resuming              // it stood before the start, and its backend is asked
	standing
	parting    // it stands, and is on its way to the younger process
	entrusting // its answer is known, and other relays are about to hold it
	asking     // others are asked whether its client's former try may have run
	done
)

// link is one client's connection.
type link struct {
	dispatch.Entry
	stage  stage
	client *end // nil: the client has gone
	server *end // of the setup try that is out, or of the link that stands
	id     string
	head   protocol.Request
	giveUp float64
	mark   uint64    // of a setup try that others hold, or are asked to: its connection; 0: none
	stood  uint64    // where it stands is held by others, or they are asked to: its connection; 0: not
	awaits int       // words that it waits for
	heldBy float64   // clock time until which its head waits for that; 0: it does not
	last   EndReason // what the backend said of the end to come
	ending bool      // it said so
	broke  bool      // a side did while it was parting
	quiet  timer     // for lines that bring nothing back
	leave  timer
}

// StateMachine is the state of one relay.
type StateMachine struct {
	Counters
	answers []answers // by category
	table   *dispatch.Dispatcher[*link]
	now     float64

	effects []Effect
	parts   [][]byte // of the writes among them
	carried []Effect // the former two as they were handed out last; taken up again at the next call
	written [][]byte
	timers  timers
	armed   float64
	ends    map[uint64]*end
	links   int // from their heads to their ends
	others  int // connections of no client and no link: probes
	files   int // sockets of this process, or of both where there are two
	reserve int // descriptors of each beside those
	most    int // of files, for this process
	room    int // of those, for links
	full    bool
	mute    []*end // clients without a head, in the order they came, and some that are over
	heads   int    // how many have none
	ageing  timer  // until the oldest of them may be let go
	ids     map[string]*link
	noteAt  float64 // from when clients turned away may be noted again
	dials   uint64

	categories, parties, zones map[string]int
	fields                     []string // of a load report
	reports                    bool     // come with answers
	mayCancel                  bool
	maxBack, connectTime       float64 // the longest wait a client follows; for a backend to be up
	mostHeld                   int
	allHeld                    int       // of both processes, where there are two
	limits                     []float64 // hard limit, by category
	longest                    float64   // of them

	backends   map[string]*backend
	byID       map[uint32]*backend
	order      []*backend // as they came, so that one seed gives one order of effects
	source     string     // address of discovery
	untold     bool       // that is new, and has not told the list yet
	renewing   timer
	index      uint64
	asked      uint64 // the version that the watch was asked from
	watching   uint64 // number of the watch, or 0
	watches    uint64
	watched    timer
	answered   bool // the watch has brought something
	ready      bool
	starting   timer
	told       bool    // the list, by discovery
	confirmed  bool    // or that the one it has holds still
	heardAt    float64 // from it, last
	recovering bool
	holds      bool
	standsHeld bool
	remember   float64 // beyond a link's hard limit, that others hold a mark; 0: none
	lasting    []bool  // by category: what a setup try does may not simply be done again
	ahead      float64 // of the fleet's clock, ms
	dated      float64 // what discovery's clock was ahead of this relay's, as last told; NaN: never

	stopping  bool
	dismissed map[string]bool // servers that another process was told are to get nothing new
	lame      bool            // emptied, but not to stop
	stopAt    float64         // when either began
	final     timer
	quit      bool

	elder, younger bool     // another process of this relay, beside this one
	yielded        bool     // to the younger: no client is taken any more
	left           *Handoff // by the elder
}

// New builds the relay's state from what it is told.
func New(now float64, t *Config) (*StateMachine, error) {
	balancer, err := settings.NewReader(t.Settings).BuildBalancer(t.Seed)
	if err != nil {
		return nil, err
	}
	return NewWithBalancer(now, t, balancer)
}

// NewWithBalancer does so on a module that is made already.
func NewWithBalancer(now float64, t *Config, balancer dispatch.Balancer) (*StateMachine, error) {
	if t.MaxReportAgeMillis > 0 {
		balancer.SetMaxReportAge(t.MaxReportAgeMillis)
	}
	p := settings.NewReader(t.Settings)
	r := &StateMachine{now: now, dated: math.NaN(), armed: math.Inf(1), ends: map[uint64]*end{},
		ids: map[string]*link{}, dials: dialed, categories: p.RecordIndexes("categories"), parties: p.RecordIndexes("parties"),
		zones: p.ListIndexes("localities"), fields: p.ReportFields(), reports: p.Text("stats.how") == "answers",
		mayCancel: p.Text("limits.may-cancel") != "false",
		maxBack:   p.MaxRetryAfter(), connectTime: p.Float("limits.connect-timeout-ms"),
		source: t.Discovery,
		files:  math.MaxInt, allHeld: int(p.FloatOr("limits.most-held", math.MaxInt32)),
		elder: t.HasParent, left: t.Handoff,
		backends: map[string]*backend{}, byID: map[uint32]*backend{}}
	for i := range p.Count("categories.count") {
		r.limits = append(r.limits, p.Float("categories."+strconv.Itoa(i)+".hard-limit-ms"))
		r.longest = max(r.longest, r.limits[i])
		r.lasting = append(r.lasting, p.Text("categories."+strconv.Itoa(i)+".effect") != "idempotent")
	}
	r.answers = make([]answers, len(r.limits))
	if t.MaxSockets > 0 {
		r.reserve = spareFiles
		r.reserve += t.ReservedDescriptors
		if t.AdminAddress != "" {
			r.reserve += admin.MaxDescriptors
		}
		if r.files = t.MaxSockets - r.reserve; r.files-max(r.files/mutePart, fewHeads) < perLink {
			return nil, fmt.Errorf("limits.sockets: %d or more expected, got %d",
				r.reserve+fewHeads+perLink, t.MaxSockets)
		}
	}
	r.share()
	if err := p.Err(); err != nil {
		return nil, err
	}
	r.table = dispatch.NewDispatcher(balancer, r)
	r.begins(t.InitialEndpoints)
	if p.Text("discovery") == "automatic" {
		r.watch()
	}
	r.watched.fire = r.watchQuiet
	r.renewing.fire = r.Subscribe
	r.starting.fire = r.nowReady
	r.ageing.fire = func() {} // the gate looks anyway
	if r.elder {
		r.arm(&r.starting, now+fitTime)
	} else {
		r.arm(&r.starting, now+readyTime)
	}
	return r, nil
}

// CheckConfig tells whether a relay could start from what it is told.
func CheckConfig(t *Config) error {
	if t.SocketFD > 0 {
		if err := hotrestart.CheckListener(t.SocketFD); err != nil {
			return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
		}
	}
	_, err := New(0, t)
	return err
}

// Handle takes one event and gives what is to be done, good until the next call.
func (r *StateMachine) Handle(now float64, e Event) []Effect {
	if len(r.timers) > 0 && now > r.timers[0].at+asleep {
		r.woken(now)
	}
	r.now = now
	switch e.Kind {
	case TimerFired:
		r.armed = math.Inf(1)
	case ConnAccepted:
		r.opened(e.Conn)
	case ConnEstablished, DataReceived, ConnClosed:
		if c := r.ends[e.Conn]; c != nil {
			r.connection(c, e)
		}
	case EndpointsUpdated, WatchHeartbeat, WatchFailed:
		if e.Conn == r.watching {
			r.list(e)
		}
	case ShutdownRequested:
		r.stop(e.YieldToChild)
	case DrainRequested:
		r.lameDuck(!e.Off)
	case SiblingProcessesChanged:
		r.beside(e)
	case SiblingEndpointsUpdated:
		r.confided(e.Endpoints)
	case DetachRequested:
		r.part(e.Conn)
	case SessionTransferred:
		r.given(e.Conn, !e.Off)
	case SessionReceived:
		r.adopt(e.Conn, e.Session)
	case ConfigReloaded:
		r.reload(e)
	case StateRestored:
		r.recall(e.Snapshot)
	case IncarnationChanged:
		r.table.Balancer.AssumeRetriesSpent(r.now)
	case RecoveryChanged:
		r.recovers(!e.Off, e.CapacityShare)
	case ClockSkewMeasured:
		r.clocked(e.AheadMillis)
	case ZoneWeightsChanged:
		r.directed(e.Zones)
	case ReplicationEnabled:
		r.holds, r.remember, r.standsHeld = true, e.At, e.Affinity
	case RecordReplicated:
		r.entrusted(e.Conn, !e.Off)
	case RecordFound:
		r.claimed(e)
	case RemoteLoadChanged:
		r.table.Balancer.SetRemoteLoad(e.Load)
	case ProcessExiting:
		r.emptyNow()
	}
	for len(r.timers) > 0 && r.timers[0].at <= now {
		heap.Pop(&r.timers).(*timer).fire()
	}
	if r.told && !r.ready && (!r.elder || r.table.Balancer.IsReady(now)) {
		r.nowReady()
	}
	wake := r.table.Advance(now)
	r.gate()
	if r.stopping && (r.yielded || now >= r.stopAt+lastComers) && r.idle() {
		r.leave()
	}
	if len(r.timers) > 0 {
		wake = min(wake, r.timers[0].at)
	}
	if wake < r.armed {
		r.armed = wake
		r.do(Effect{Kind: SetTimer, At: wake})
	}
	r.effects, r.carried = r.carried[:0], r.effects
	r.parts, r.written = r.written[:0], r.parts
	return r.carried
}

// mostMute is how many clients without a head may be there: what links can never take.
func (r *StateMachine) mostMute() int { return max(r.most/mutePart, fewHeads) }

// stalest is the client without a head that is let go first: those that have begun none before those that
// have, and of each whoever has brought nothing for longest. Against a crowd that connects and idles, or
// stops half way, pushing out one that writes its head slowly.
func (r *StateMachine) stalest() (pick *end) {
	for _, c := range r.mute {
		switch {
		case r.now < c.since+grace:
			return pick // so are all that came later
		case c.link.stage != heading:
		case pick == nil || (pick.in.HasPending() && !c.in.HasPending()) ||
			(pick.in.HasPending() == c.in.HasPending() && c.brought < pick.brought):
			pick = c
		}
	}
	return pick
}

// gate lets go of clients that have said nothing for longest where there are too many, and lets others wait
// to be accepted meanwhile. Against silent ones taking the descriptors that links need; and against breaking
// one whose head may be on its way: it is told to come again.
func (r *StateMachine) gate() {
	crowded := func() bool { return r.heads > r.mostMute() || len(r.ends) >= r.most }
	for crowded() {
		c := r.stalest()
		if c == nil {
			if len(r.mute) > 0 {
				r.arm(&r.ageing, r.mute[0].since+grace)
			}
			break
		}
		r.refuse(c.link, Evicted, r.busy())
	}
	full := crowded() || r.yielded || (r.elder && !r.ready)
	if full != r.full {
		r.full = full
		if full {
			r.AcceptPauses++
			r.do(Effect{Kind: PauseAccept})
		} else {
			r.do(Effect{Kind: ResumeAccept})
		}
	}
}

func (r *StateMachine) do(e Effect) { r.effects = append(r.effects, e) }

func (r *StateMachine) note(text string, args ...any) {
	r.do(Effect{Kind: Log, Text: text, Args: args})
}

func (r *StateMachine) write(c *end, data []byte) {
	n := len(r.parts)
	r.parts = append(r.parts, data)
	r.do(Effect{Kind: Write, Conn: c.conn, Chunks: r.parts[n : n+1 : n+1]})
}

func (r *StateMachine) arm(t *timer, at float64) {
	t.at = at
	if t.place > 0 {
		heap.Fix(&r.timers, t.place-1)
	} else {
		heap.Push(&r.timers, t)
	}
}

func (r *StateMachine) disarm(t *timer) {
	if t.place > 0 {
		heap.Remove(&r.timers, t.place-1)
	}
}

func (r *StateMachine) add(c *end) *end {
	r.ends[c.conn] = c
	if c.link == nil {
		r.others++
	}
	r.OpenConns = len(r.ends)
	r.MaxOpenConns = max(r.MaxOpenConns, r.OpenConns)
	return c
}

// forget lets go of a connection; with an effect, that ends it. Whatever comes of it later is dropped.
func (r *StateMachine) forget(c *end, how EffectKind) {
	if r.ends[c.conn] == nil {
		return
	}
	r.disarm(&c.wait)
	delete(r.ends, c.conn)
	if c.link == nil {
		r.others--
	}
	r.OpenConns = len(r.ends)
	r.do(Effect{Kind: how, Conn: c.conn})
}

// dial starts a connection to the backend.
func (r *StateMachine) dial(b *backend, l *link) *end {
	r.dials++
	c := r.add(&end{conn: r.dials, backend: b, link: l, since: b.StartedAt})
	effect := Effect{Kind: Dial, Conn: c.conn, Text: b.Address}
	if l != nil && l.client != nil {
		effect.Peer = l.client.conn
	}
	r.do(effect)
	return c
}

func (r *StateMachine) opened(conn uint64) {
	r.Accepted++
	l := &link{}
	c := r.add(&end{conn: conn, link: l, since: r.now, brought: r.now})
	l.client = c
	r.heads++
	r.mute = append(r.mute, c)
	c.wait.fire = func() {
		if c.in.HasPending() && r.now < c.since+slowHead {
			r.arm(&c.wait, c.since+slowHead)
			return
		}
		r.refuse(l, RequestTimedOut, errLine)
	}
	r.arm(&c.wait, r.now+headTime)
}

// headed takes that the client has a head now, or is over without one. The first of mute is without.
func (r *StateMachine) headed(l *link, then stage) {
	l.stage = then
	r.heads--
	for len(r.mute) > 0 && r.mute[0].link.stage != heading {
		r.mute = r.mute[1:]
	}
}

func (r *StateMachine) connection(c *end, e Event) {
	if e.Kind == ConnClosed {
		// The socket may still be open on this side, after the other has ended its sending.
		r.forget(c, Close)
	}
	switch l := c.link; {
	case l == nil:
		r.probeEvent(c, e)
	case l.stage == parting:
		l.broke = l.broke || e.Kind == ConnClosed
	case c.backend == nil && e.Kind == DataReceived:
		r.fromClient(l, e.Data)
	case c.backend == nil:
		r.clientOver(l, e)
	case l.stage == standing && e.Kind == DataReceived:
		r.fromServer(l, e.Data)
	case l.stage == standing:
		r.serverOver(l, e)
	case e.Kind == ConnEstablished:
		r.tryUp(l)
	case e.Kind == DataReceived:
		r.tryAnswer(l, e.Data)
	case !c.up || e.Unsent:
		r.tryOver(l, ConnectFailed)
	default:
		r.tryOver(l, ClosedBeforeAnswer)
	}
}

func (r *StateMachine) fromClient(l *link, data []byte) {
	for l.stage == heading {
		line, rest, err := l.client.in.Next(data)
		if err != nil {
			r.refuse(l, LineTooLong, errLine)
			return
		}
		if line == nil {
			l.client.brought = r.now
			return
		}
		data = rest
		switch {
		case string(protocol.TrimLineEnd(line)) == "PING":
			r.ping(l)
		case len(data) > 0: // a client waits after its head: this one is none, and no backend sees any of it
			r.refuse(l, UnexpectedData, errLine)
		default:
			r.begin(l, line)
		}
	}
	switch {
	case len(data) == 0 || l.stage == done:
	case l.stage == standing:
		r.toServer(l, data)
	default:
		r.RequestErrors[UnexpectedData]++
		r.answers[l.Class].failed++
		c := l.client
		r.write(c, []byte(errLine))
		r.clientOver(l, Event{})
		r.forget(c, Close)
	}
}

func (r *StateMachine) ping(l *link) {
	c := l.client
	if c.pings++; c.pings > mostPings {
		r.refuse(l, TooManyPings, errLine)
		return
	}
	r.Pings++
	switch {
	case (r.stopping || r.lame) && !r.yielded:
		r.write(c, []byte(errLine))
	case r.ready:
		r.write(c, []byte("PONG\r\n"))
	}
}

// nowReady answers those that asked before the relay could serve.
func (r *StateMachine) nowReady() {
	if r.ready {
		return
	}
	r.ready = true
	r.disarm(&r.starting)
	r.do(Effect{Kind: AnnounceReady})
	for _, c := range r.clients() {
		if c.link.stage == heading {
			for range c.pings {
				r.write(c, []byte("PONG\r\n"))
			}
		}
	}
}

// refuse answers a client that has no link.
func (r *StateMachine) refuse(l *link, why RequestError, text string) {
	r.RequestErrors[why]++
	if r.now >= r.noteAt {
		r.noteAt = r.now + noteGap
		r.note("client turned away", "why", why.String(), "so many", r.RequestErrors[why])
	}
	r.headed(l, done)
	r.write(l.client, []byte(text))
	r.forget(l.client, Close)
}

const errLine = "ERR\r\n"

// busy has a client come again later, where it may be told when.
func (r *StateMachine) busy() string { return busyLine(r.maxBack) }

func busyLine(wait float64) string {
	if wait > 0 {
		return "BUSY " + strconv.FormatInt(int64(wait), 10) + "\r\n"
	}
	return "BUSY\r\n"
}

// begin takes a link in, once its head has been judged whole: against work and wrong blame at a backend that
// closes on what it can't use. It is copied, as read buffers are used again, and read in that copy.
func (r *StateMachine) begin(l *link, line []byte) {
	head, err := protocol.ParseRequest(append([]byte(nil), line...))
	if err != nil {
		r.refuse(l, MalformedRequest, errLine)
		return
	}
	category, known := r.categories[string(head.Class)]
	party, named := r.parties[string(head.Tenant)]
	switch {
	case !known || (!named && len(head.Tenant) > 0 && len(r.parties) > 0):
		r.refuse(l, UnknownName, errLine)
		return
	case len(head.StickyBackend) == 0 && head.Timeout > beyond*r.limits[category]:
		r.answers[category].failed++
		r.refuse(l, MalformedRequest, errLine)
		return
	case r.ids[string(head.ID)] != nil:
		r.answers[category].failed++
		r.refuse(l, DuplicateID, errLine)
		return
	}
	l.head = head
	l.Class, l.Key, l.AffinityGroup = category, head.Key, head.AffinityGroup
	l.LoadHint = head.LoadHint * 1000
	l.Deadline = r.now + max(min(head.Timeout, r.limits[category])-margin, tiny)
	if l.Tenant = party; !named {
		l.Tenant = len(r.parties) // one without a share
	}
	r.Requests++
	r.links++
	l.id = string(head.ID)
	r.ids[l.id] = l
	r.disarm(&l.client.wait)
	r.headed(l, placing)
	switch {
	case r.quit:
		// Against a request that nobody is left to see through to its answer.
		r.Execute(l, balancer.Decision{Kind: balancer.Reject, Wait: r.maxBack})
	case len(head.StickyBackend) > 0:
		r.resume(l)
	case r.short() || r.links > r.mostHeld:
		// Against running out of descriptors in mid-flow: nothing was sent, so trying again is harmless. A link
		// that waits for a server counts with the connection that it will have: else those held take all there
		// are once they go on, and whoever comes then waits to be accepted until its time is up.
		r.Execute(l, balancer.Decision{Kind: balancer.Reject, Wait: r.maxBack})
	default:
		if r.claims(l); !r.asks(l) {
			r.table.Assign(r.now, l)
		}
	}
}

// short tells whether links and probes come to more descriptors than there are for them.
func (r *StateMachine) short() bool { return perLink*r.links+r.others > r.room }

// Execute does what the module answered.
func (r *StateMachine) Execute(l *link, a balancer.Decision) {
	switch a.Kind {
	case balancer.Assign:
		r.try(l, r.byID[a.Backend], a.Timeout)
	case balancer.Reject:
		r.Rejected++
		r.answers[l.Class].refused++
		if !r.entrusts(l, a.Wait) {
			r.answer(l, busyLine(a.Wait))
		}
	case balancer.Fail:
		r.Failed++
		r.answers[l.Class].failed++
		r.answer(l, errLine)
	}
}

// answer gives the final answer of a link that doesn't stand.
func (r *StateMachine) answer(l *link, text string) {
	r.leaveHand(l)
	if l.client != nil {
		r.write(l.client, []byte(text))
		r.forget(l.client, Close)
	}
}

func (r *StateMachine) leaveHand(l *link) {
	if l.stage != done && l.stage != heading {
		r.links--
		delete(r.ids, l.id)
	}
	l.stage = done
	r.table.Forget(l)
	r.disarm(&l.quiet)
	r.disarm(&l.leave)
}

func (r *StateMachine) try(l *link, b *backend, timeout float64) {
	r.Attempts++
	l.stage = trying
	l.giveUp = r.now + timeout
	r.reach(l, b, r.connectTime)
}

// reach dials the backend for the link, which has to be up within that time.
func (r *StateMachine) reach(l *link, b *backend, within float64) {
	l.server = r.dial(b, l)
	l.server.wait.fire = func() { r.tryOver(l, ConnectFailed) }
	r.arm(&l.server.wait, min(r.now+within, l.giveUp))
	r.marks(l)
}

func (r *StateMachine) tryUp(l *link) {
	if r.waits(l) {
		return
	}
	c := l.server
	c.up = true
	if l.stage == trying && (c.backend.condition != balancer.Ready || c.backend.StartedAt > c.since) {
		// Against a send to a backend that has begun to drain since it was chosen, or is cold by what was
		// told since: all that were chosen while it was held to be warm would come to it at once.
		r.tryOver(l, NotSent)
		return
	}
	wait := l.giveUp - r.now
	if l.stage == resuming {
		wait = l.head.Timeout
	}
	r.RequestsSent++
	r.do(Effect{Kind: Write, Conn: c.conn, Chunks: l.head.EncodeWithTimeout(wait)})
	c.wait.fire = func() { r.tryOver(l, AttemptTimedOut) }
	r.arm(&c.wait, l.giveUp)
}

func (r *StateMachine) tryAnswer(l *link, data []byte) {
	// Against what follows an answer in one piece being taken for the next try's.
	for c := l.server; l.server == c && l.stage != standing; {
		line, rest, err := c.in.Next(data)
		if err != nil {
			r.tryOver(l, MalformedAnswer)
			return
		}
		if line == nil {
			return
		}
		data = rest
		verb, said := protocol.CutVerb(line)
		if r.reports && (string(verb) == "ERR" || string(verb) == "BUSY") {
			r.reported(c.backend, said)
		}
		switch string(verb) {
		case "UP":
			r.stand(l, line)
		case "LOAD":
		case "BUSY":
			r.tryOver(l, BackendBusy)
		case "ERR":
			r.tryOver(l, BackendError)
		case "MOVE":
			r.tryOver(l, BackendMovedClient)
		default:
			r.tryOver(l, MalformedAnswer)
		}
	}
	if l.stage == standing && len(data) > 0 {
		r.fromServer(l, data)
	}
}

// tryOver ends the setup try that is out and asks what follows.
func (r *StateMachine) tryOver(l *link, how EndReason) {
	r.EndReasons[how]++
	c := l.server
	l.server = nil
	if c.up {
		r.forget(c, Close)
	} else {
		r.forget(c, Reset)
	}
	if l.stage == resuming {
		r.resumeLater(l)
		return
	}
	if !c.up || how.outcome().IsUnprocessed() {
		r.unmarks(l)
	}
	l.stage = placing
	gone := l.client == nil
	if gone {
		r.leaveHand(l)
	}
	r.table.AttemptFinished(r.now, l, how.outcome(), gone)
}

// clientOver takes that the client has left.
func (r *StateMachine) clientOver(l *link, e Event) {
	how, ending := Close, ClientClosed
	if e.SlowReader {
		how, ending = Reset, SlowReader
	} else if e.Reset {
		how, ending = Reset, ClientReset
	}
	c := l.client
	l.client = nil
	switch l.stage {
	case heading:
		if c.in.HasPending() {
			r.RequestErrors[IncompleteRequest]++
		}
		r.headed(l, done)
	case placing:
		r.Abandoned++
		r.table.Balancer.ClientDisconnected(&l.Entry.Session)
		r.leaveHand(l)
	case entrusting, asking:
		r.Abandoned++
		r.leaveHand(l)
	case resuming:
		r.Abandoned++
		if l.server != nil {
			r.forget(l.server, how)
		}
		r.leaveHand(l)
	case trying:
		r.Abandoned++
		r.table.Balancer.ClientDisconnected(&l.Entry.Session)
		if r.mayCancel || !l.server.up {
			r.tryOver(l, ClientReset)
		}
	case standing:
		r.finish(l, ending, how)
	}
}
