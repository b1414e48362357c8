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

// fixedTimers is the largest number of timers that can be set without a connection: those of the endpoint watch, the
// start, the intake and the drain.
const fixedTimers = 6

// TestAnyOrderOfEvents plays random events. In any order of events, each client gets one final answer in time, has at most
// one attempt at a time and is sent nothing after its connection has ended, and no state is left behind. No attempt is
// started for a client that has left or sent to a draining backend, and none is started after the exit is decided.
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

// randomRun plays random events to a state machine and checks the effects of each. Connections are identified by their
// names in the harness.
type randomRun struct {
	*harness
	seed int64
	rng  *rand.Rand
	now  float64

	clientCount int // clients that have connected so far
	watchID     int // ID of the open watch
	listVersion int // version of the last endpoint list
	open        map[string]bool
	connected   map[string]bool    // established backend connections
	answerBy    map[string]float64 // deadlines for the answers to clients that sent a request
	answered    map[string]bool
}

func newRandomRun(t *testing.T, seed int64) *randomRun {
	t.Helper()
	settings := func(text string) string {
		text = strings.Replace(text, `"probes": false`, fmt.Sprintf(`"probes": %t`, seed%2 == 0), 1)
		return strings.Replace(text, `"may-cancel": true`, fmt.Sprintf(`"may-cancel": %t`, seed%3 > 0), 1) + " "
	}
	return &randomRun{
		harness:     newHarness(t, settings, 70, "b1=active", "b2=active", "b3=leaving"),
		seed:        seed,
		rng:         rand.New(rand.NewSource(seed)),
		watchID:     1,
		listVersion: 1,
		open:        map[string]bool{},
		connected:   map[string]bool{},
		answerBy:    map[string]float64{},
		answered:    map[string]bool{},
	}
}

// step lets a random time pass and then plays one or two events.
func (r *randomRun) step() {
	// Timers fire one by one, each at its own time.
	until := r.now + r.rng.ExpFloat64()*30
	for r.timers.nextWake < until {
		r.tick()
	}
	r.now = until
	client := r.pick(false)
	backend := r.pick(true)
	switch kind := r.rng.Intn(20); {
	case kind < 4:
		r.newClient()
	case kind < 9 && backend != "" && !r.connected[backend]:
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

// tick advances the time to the next timer and fires it.
func (r *randomRun) tick() {
	r.now = max(r.now, r.timers.nextWake)
	r.send("tick")
}

// choose returns one of the words at random.
func (r *randomRun) choose(words ...string) string { return words[r.rng.Intn(len(words))] }

// pick returns a random open connection, to a backend or from a client, or the empty string if there is none.
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

// newClient connects a client that sends a request, part of one, or something else.
func (r *randomRun) newClient() {
	r.clientCount++
	client := fmt.Sprint(r.clientCount)
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
		r.answerBy[client] = r.now + float64(timeout)
		r.send(fmt.Sprintf("came %s OPEN i%s %x c=%s,t=one,d=%d|", client, client, r.rng.Intn(9), class, timeout))
	}
}

// finishDial establishes a dialed connection to a backend, or fails it.
func (r *randomRun) finishDial(conn string) {
	r.connected[conn] = r.rng.Intn(6) > 0
	if r.connected[conn] {
		r.send("up " + conn)
		return
	}
	delete(r.open, conn)
	r.send("reset " + conn)
}

// updateEndpoints sends a whole endpoint list or a change to it from discovery.
func (r *randomRun) updateEndpoints() {
	r.listVersion++
	kind := r.choose("whole", "delta")
	first := r.choose("active", "active", "leaving", "left")
	second := r.choose("active", "active", "leaving", "left")
	startedAt := r.rng.Intn(2) * int(r.now)
	r.send(fmt.Sprintf("news %d %d %s b1=%s b2=%s@%d b%d=active", r.watchID, r.listVersion, kind, first, second, startedAt,
		1+r.rng.Intn(5)))
}

// send passes one event to the state machine and checks the resulting effects and state.
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
		require.False(r.t, session != nil && r.lifecycle.exiting, "seed %d: %s after the exit was decided", r.seed, effect)
	case "watch":
		fmt.Sscan(words[1], &r.watchID)
	case "end", "reset":
		delete(r.open, words[1])
		delete(r.connected, words[1])
	case "write":
		r.checkWrite(words[1], effect)
	}
}

// checkWrite checks a request, answer or line that is written to a connection.
func (r *randomRun) checkWrite(conn, effect string) {
	r.t.Helper()
	require.True(r.t, r.open[conn], "seed %d: %s to a connection that has ended", r.seed, effect)
	text := strings.SplitN(effect, " ", 3)[2]
	if c := r.conns.byID[r.conn(conn)]; strings.HasPrefix(text, "OPEN") && c != nil {
		require.NotNil(r.t, c.session.clientConn, "seed %d: %s for a client that left", r.seed, effect)
		require.Equal(r.t, balancer.Ready, c.backend.condition, "seed %d: %s to a draining backend", r.seed, effect)
	}
	limit, sentRequest := r.answerBy[conn]
	switch {
	case sentRequest && !r.answered[conn]:
		require.Regexp(r.t, `^(UP|BUSY|ERR)`, text, "seed %d: not a final answer", r.seed)
		require.LessOrEqual(r.t, r.now, limit, "seed %d: answered too late", r.seed)
		r.answered[conn] = true
	case sentRequest:
		// The relay's own answers differ in form from a backend's lines.
		require.NotRegexp(r.t, `^(BUSY 900|ERR\|)`, text, "seed %d: a second answer", r.seed)
	}
}

// checkReservations checks that the balancer counts exactly the sessions that have backend connections.
func (r *randomRun) checkReservations() {
	r.t.Helper()
	for _, b := range r.BackendStatuses(r.now) {
		require.Equal(r.t, b.Established+b.Attempts, b.Reserved, "seed %d: the balancer's count of sessions on %s", r.seed, b.Name)
	}
}

// checkAttempts checks that each session has at most one backend connection.
func (r *randomRun) checkAttempts() {
	r.t.Helper()
	attempts := map[*session]int{}
	for _, c := range r.conns.byID {
		if c.backend != nil && c.session != nil {
			attempts[c.session]++
			require.Equal(r.t, 1, attempts[c.session], "seed %d: a session has several backend connections", r.seed)
		}
	}
}

// shutDown shuts the relay down. Some clients send their requests at the last moment.
func (r *randomRun) shutDown() {
	r.t.Helper()
	r.send("stop")
	for r.now < 1e6 && !r.lifecycle.exiting {
		r.tick()
	}
	require.True(r.t, r.lifecycle.exiting, "seed %d: the relay does not exit", r.seed)
	for _, client := range slices.Sorted(maps.Keys(r.open)) {
		if _, sentRequest := r.answerBy[client]; client[0] != 's' && !sentRequest && r.rng.Intn(2) == 0 {
			r.answerBy[client] = r.now + 1000
			r.send(fmt.Sprintf("came %s OPEN i%s 1 c=feed,t=one,d=1000|", client, client))
		}
	}
	r.send("ended")
}

// requireNothingLeft requires that every client was answered and that no session, session's connection or timer is left.
func (r *randomRun) requireNothingLeft() {
	r.t.Helper()
	for client := range r.answerBy {
		require.True(r.t, r.answered[client], "seed %d: %s has no answer", r.seed, client)
	}
	require.Zero(r.t, r.queue.sessions, "seed %d: sessions are left", r.seed)
	require.Zero(r.t, r.Established, "seed %d: established sessions are left", r.seed)
	for _, c := range r.conns.byID {
		require.Nil(r.t, c.session, "seed %d: a connection of a session is left", r.seed)
	}
	require.LessOrEqual(r.t, len(r.timers.heap), fixedTimers+len(r.conns.byID),
		"seed %d: a timer of an ended connection or session is left", r.seed)
}
