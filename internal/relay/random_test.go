package relay

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// fixedTimers is how many timers may be set without a connection: of the list, the start, the intake and the drain.
const fixedTimers = 6

// TestAnyOrderOfEvents: whatever comes in whatever order, a client gets one final answer in time, has one attempt out at a
// time, is told nothing more once its connection is over, and nothing is left behind. No attempt is begun for a client that
// has left, nor sent to a backend that was told to drain; after the exit is decided, none is begun at all.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range int64(300) {
		r := newRandomRun(t, seed)
		for range 400 {
			r.step()
		}
		r.shutDown()
		r.requireNothingLeft()
	}
}

// randomRun plays random events to a state machine, and checks what follows of each. Connections go by their words.
type randomRun struct {
	*harness
	seed int64
	rng  *rand.Rand
	now  float64

	clients  int // that came so far
	watchID  int // number of the watch that is open
	version  int // version of the list
	open     map[string]bool
	up       map[string]bool    // connections to backends
	due      map[string]float64 // until when clients that sent a request are to be answered
	answered map[string]bool
}

func newRandomRun(t *testing.T, seed int64) *randomRun {
	t.Helper()
	settings := func(text string) string {
		text = strings.Replace(text, `"probes": false`, fmt.Sprintf(`"probes": %t`, seed%2 == 0), 1)
		return strings.Replace(text, `"may-cancel": true`, fmt.Sprintf(`"may-cancel": %t`, seed%3 > 0), 1) + " "
	}
	return &randomRun{
		harness:  newHarness(t, settings, 70, "b1=active", "b2=active", "b3=leaving"),
		seed:     seed,
		rng:      rand.New(rand.NewSource(seed)),
		watchID:  1,
		version:  1,
		open:     map[string]bool{},
		up:       map[string]bool{},
		due:      map[string]float64{},
		answered: map[string]bool{},
	}
}

// step lets some time go by, and then has one or two things happen.
func (r *randomRun) step() {
	// Timers are met one by one, as the clock would.
	until := r.now + r.rng.ExpFloat64()*30
	for r.timers.setFor < until {
		r.tick()
	}
	r.now = until
	client := r.pick(false)
	backend := r.pick(true)
	switch kind := r.rng.Intn(20); {
	case kind < 4:
		r.newClient()
	case kind < 9 && backend != "" && !r.up[backend]:
		r.finishDial(backend)
	case kind < 14 && backend != "":
		r.send("came " + backend + " " + r.choose("UP r|", "UP r|LOAD 5|", "BUSY|UP x|", "ERR x0=1|", "BYE|", "MOVE|", "x",
			"PONG x0=0.5|", "line|", "UP r|", "UP r|"))
	case kind < 16 && client != "":
		r.send("came " + client + " line|")
	case kind == 16 && backend != "":
		delete(r.open, backend)
		r.send(r.choose("end ", "reset ", "cut ") + backend)
	case kind == 17 && client != "":
		delete(r.open, client)
		r.answered[client] = true
		r.send(r.choose("end ", "reset ") + client)
	case kind == 18:
		r.updateEndpoints()
	case kind == 19:
		r.send(r.choose("heard ", "failed ") + fmt.Sprint(r.watchID))
	}
	switch r.rng.Intn(60) {
	case 0:
		r.send(fmt.Sprintf("reload 10.1.0.%d:85", 1+r.rng.Intn(3)))
	case 1:
		r.send("reload-error")
	case 2:
		r.send(r.choose("drain on", "drain off"))
	}
}

// tick fires the timer that is next.
func (r *randomRun) tick() {
	r.now = max(r.now, r.timers.setFor)
	r.send("tick")
}

// choose draws one of the words.
func (r *randomRun) choose(words ...string) string { return words[r.rng.Intn(len(words))] }

// pick draws an open connection, to a backend or of a client; empty: there is none.
func (r *randomRun) pick(toBackend bool) string {
	var all []string
	for conn := range r.open {
		if (conn[0] == 's') == toBackend {
			all = append(all, conn)
		}
	}
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	return r.choose(all...)
}

// newClient has a client come, which sends a request, a part of one, or something else.
func (r *randomRun) newClient() {
	r.clients++
	client := fmt.Sprint(r.clients)
	r.open[client] = true
	r.send("open " + client)
	if !r.open[client] {
		return
	}
	switch r.rng.Intn(8) {
	case 0:
		r.send("came " + client + " PING|")
	case 1:
		r.send("came " + client + " OPEN a")
	case 2:
		r.send("came " + client + " nonsense|")
	default:
		class := r.choose("feed", "order")
		timeout := 1 + r.rng.Intn(2000)
		r.due[client] = r.now + float64(timeout)
		r.send(fmt.Sprintf("came %s OPEN i%s %x c=%s,t=one,d=%d|", client, client, r.rng.Intn(9), class, timeout))
	}
}

// finishDial has a connection to a backend come up, or fail.
func (r *randomRun) finishDial(conn string) {
	r.up[conn] = r.rng.Intn(6) > 0
	if r.up[conn] {
		r.send("up " + conn)
		return
	}
	delete(r.open, conn)
	r.send("reset " + conn)
}

// updateEndpoints has discovery tell the list or a change of it.
func (r *randomRun) updateEndpoints() {
	r.version++
	kind := r.choose("whole", "delta")
	first := r.choose("active", "active", "leaving", "left")
	second := r.choose("active", "active", "leaving", "left")
	startedAt := r.rng.Intn(2) * int(r.now)
	r.send(fmt.Sprintf("news %d %d %s b1=%s b2=%s@%d b%d=active", r.watchID, r.version, kind, first, second, startedAt,
		1+r.rng.Intn(5)))
}

// send gives the state machine one event, and checks the effects and the state that follow.
func (r *randomRun) send(event string) {
	r.t.Helper()
	for _, effect := range strings.Split(r.handle(r.now, event), "; ") {
		if words := strings.Fields(effect); len(words) > 0 {
			r.checkEffect(effect, words)
		}
	}
	r.checkReservations()
	r.checkAttempts()
}

func (r *randomRun) checkEffect(effect string, words []string) {
	r.t.Helper()
	switch words[0] {
	case "dial":
		r.open[words[1]] = true
		session := r.conns.byID[r.conn(words[1])].session
		require.False(r.t, session != nil && session.clientConn == nil, "seed %d: %s for a client that left", r.seed, effect)
		require.False(r.t, session != nil && r.drain.exiting, "seed %d: %s after the exit was decided", r.seed, effect)
	case "watch":
		fmt.Sscan(words[1], &r.watchID)
	case "end", "reset":
		delete(r.open, words[1])
		delete(r.up, words[1])
	case "write":
		r.checkWrite(words[1], effect)
	}
}

// checkWrite checks what is written to a connection: a request, an answer, or a line.
func (r *randomRun) checkWrite(conn, effect string) {
	r.t.Helper()
	require.True(r.t, r.open[conn], "seed %d: %s to one that is over", r.seed, effect)
	text := strings.SplitN(effect, " ", 3)[2]
	if c := r.conns.byID[r.conn(conn)]; strings.HasPrefix(text, "OPEN") && c != nil {
		require.NotNil(r.t, c.session.clientConn, "seed %d: %s for a client that left", r.seed, effect)
		require.Equal(r.t, balancer.Ready, c.backend.condition, "seed %d: %s to one that drains", r.seed, effect)
	}
	limit, sentRequest := r.due[conn]
	switch {
	case sentRequest && !r.answered[conn]:
		require.Regexp(r.t, `^(UP|BUSY|ERR)`, text, "seed %d", r.seed)
		require.LessOrEqual(r.t, r.now, limit, "seed %d: late", r.seed)
		r.answered[conn] = true
	case sentRequest:
		// The relay's own are told from a backend's lines by their form.
		require.NotRegexp(r.t, `^(BUSY 900|ERR\|)`, text, "seed %d: a second answer", r.seed)
	}
}

// checkReservations checks that the balancer knows of all sessions on sockets, and of no other.
func (r *randomRun) checkReservations() {
	r.t.Helper()
	for _, b := range r.BackendStatuses(r.now) {
		require.Equal(r.t, b.Established+b.Attempts, b.Reserved, "seed %d: sessions on %s", r.seed, b.Name)
	}
}

// checkAttempts checks that each session has one backend connection at the most.
func (r *randomRun) checkAttempts() {
	r.t.Helper()
	attempts := map[*session]int{}
	for _, c := range r.conns.byID {
		if c.backend != nil && c.session != nil {
			attempts[c.session]++
			require.Equal(r.t, 1, attempts[c.session], "seed %d: two out at once", r.seed)
		}
	}
}

// shutDown has the relay shut down; some clients send their requests at the last moment.
func (r *randomRun) shutDown() {
	r.t.Helper()
	r.send("stop")
	for r.now < 1e6 && !r.drain.exiting {
		r.tick()
	}
	require.True(r.t, r.drain.exiting, "seed %d", r.seed)
	for _, client := range slices.Sorted(maps.Keys(r.open)) {
		if _, sentRequest := r.due[client]; client[0] != 's' && !sentRequest && r.rng.Intn(2) == 0 {
			r.due[client] = r.now + 1000
			r.send(fmt.Sprintf("came %s OPEN i%s 1 c=feed,t=one,d=1000|", client, client))
		}
	}
	r.send("ended")
}

// requireNothingLeft wants every client answered, and no session, connection or timer left.
func (r *randomRun) requireNothingLeft() {
	r.t.Helper()
	for client := range r.due {
		require.True(r.t, r.answered[client], "seed %d: %s has no answer", r.seed, client)
	}
	require.Zero(r.t, r.queue.sessions, "seed %d", r.seed)
	require.Zero(r.t, r.Established, "seed %d", r.seed)
	for _, c := range r.conns.byID {
		require.Nil(r.t, c.session, "seed %d: left behind", r.seed)
	}
	require.LessOrEqual(r.t, len(r.timers.heap), fixedTimers+len(r.conns.byID),
		"seed %d: a timer of one that is over", r.seed)
}
