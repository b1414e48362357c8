package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The soak test shuts relay processes down while clients go on using them until the platform would kill them. Each run
// is generated from a seed.
//
//	go test -run TestShutdownSoak -v ./cmd/valeshift -soak-seeds 50 -soak-from 1000
var (
	soakSeeds = flag.Int64("soak-seeds", 24, "number of soak runs, one per seed")
	soakFrom  = flag.Int64("soak-from", 1, "seed of the first soak run")
)

const (
	soakHardLimit       = 2 * time.Second                // hard limit of a request in settingsJSON
	killAfterLimit      = 700 * time.Millisecond         // least time from the hard limit to the kill
	soakKillAfter       = soakHardLimit + killAfterLimit // least time from SIGTERM to the kill
	soakTolerance       = 50 * time.Millisecond          // what the protocol adds to each time limit
	soakLineLimit       = time.Second                    // how long a line may be delayed
	soakDescriptorLimit = 100                            // the relay's descriptors in a run with a connection flood
	soakFloodSize       = 300                            // connections of a connection flood
)

// errLate is the error of a line that arrived after its time limit.
var errLate = errors.New("late")

// soakPlan has the parameters of one run.
type soakPlan struct {
	rng            *rand.Rand    // generator of the seed, for what is drawn during the run
	workers        int           // number of clients at a time
	servingTime    time.Duration // time from the start of the clients to SIGTERM
	connectTime    time.Duration // how long clients go on making new connections after SIGTERM
	hasFlood       bool          // whether idle connections use up the relay's descriptors
	hasReplacement bool          // whether a second process starts and dies during the shutdown
	// replacementLife is how long that process lives. It is too short for it to accept clients, who would be lost
	// with it.
	replacementLife time.Duration
	beforeStop      []timedSignal // signals after the start of the clients
	afterStop       []timedSignal // signals after SIGTERM
	maxBackendDelay time.Duration // longest time that a backend takes to answer a request
	maxSessionLines int           // most lines that a client sends before it leaves
}

// timedSignal is a signal and the time at which it is sent, from the start of the clients or from SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// newSoakPlan generates the run of a seed.
func newSoakPlan(seed int64) *soakPlan {
	rng := rand.New(rand.NewSource(seed))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(limit))) }
	r := &soakPlan{
		rng:             rng,
		workers:         8 + rng.Intn(25),
		servingTime:     300*time.Millisecond + upTo(700*time.Millisecond),
		connectTime:     200*time.Millisecond + upTo(200*time.Millisecond),
		hasFlood:        rng.Intn(3) == 0,
		hasReplacement:  rng.Intn(3) == 0,
		replacementLife: upTo(30 * time.Millisecond),
		maxBackendDelay: time.Millisecond + upTo(pickDuration(rng, 100*time.Millisecond, time.Second, soakHardLimit)),
		maxSessionLines: 1 + rng.Intn(60),
	}
	for range rng.Intn(5) {
		r.beforeStop = append(r.beforeStop, timedSignal{upTo(r.servingTime), pickSignal(rng, syscall.SIGHUP, syscall.SIGUSR1)})
	}
	for range 1 + rng.Intn(6) {
		r.afterStop = append(r.afterStop, timedSignal{upTo(soakKillAfter),
			pickSignal(rng, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM)})
	}
	return r
}

func pickDuration(rng *rand.Rand, all ...time.Duration) time.Duration { return all[rng.Intn(len(all))] }

func pickSignal(rng *rand.Rand, all ...syscall.Signal) syscall.Signal { return all[rng.Intn(len(all))] }

// Whatever signals a relay gets, and whatever its clients do until the kill, each request that was sent whole gets one
// final answer in time, no line is lost or delayed, no established session is cut off without notice, no session has
// two attempts, and the process has exited before the kill.
func TestShutdownSoak(t *testing.T) {
	withoutExitSleep(t)
	for seed := *soakFrom; seed < *soakFrom+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, newSoakPlan(seed))
		})
	}
}

// A request that waits in the listener's backlog, because a connection flood holds all descriptors, is answered within
// its deadline as well. Seed 4035 generates such a run.
func TestAnswerInTimeAfterTheBacklog(t *testing.T) {
	withoutExitSleep(t)
	for range 10 {
		runSoak(t, newSoakPlan(4035))
	}
}

// runSoak runs a plan and checks what the clients and the backends saw.
func runSoak(t *testing.T, plan *soakPlan) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	attempts := &attemptCounter{byID: map[string]int{}}
	for _, b := range []*backend{b1, b2} {
		go b.echoAfter(attempts, plan.maxBackendDelay)
	}
	shared := newSharedSocket(t, b1, b2)
	if plan.hasFlood {
		shared.sockets = soakDescriptorLimit
	}
	relay, address := shared.startRelay()
	awaitReady(t, address)
	clients := newSoakClients(plan, shared.discovery.listenAddress)
	sendSignals(relay, plan.beforeStop, time.Now(), plan.servingTime)
	stopped := time.Now()
	relay.signal(syscall.SIGTERM)
	time.AfterFunc(plan.connectTime, clients.stopConnecting)
	if plan.hasReplacement {
		shared.startAndKill(plan.replacementLife)
	}
	sendSignals(relay, plan.afterStop, stopped, soakKillAfter)
	select {
	case <-relay.done:
		assert.Zero(t, relay.cmd.ProcessState.ExitCode(), relay.log())
	default:
		assert.Fail(t, "the process still runs at the time of the kill", relay.log())
	}
	assert.GreaterOrEqual(t, time.Since(stopped), soakKillAfter)
	relay.cmd.Process.Kill()
	<-relay.done
	for _, failure := range clients.end() {
		assert.Fail(t, failure)
	}
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	assert.Zero(t, attempts.repeated, "attempts beyond a session's first")
	assert.Positive(t, clients.answered.Load())
	t.Logf("%d requests answered, %d sessions migrated, flood %t, replacement %t, machine late by %v",
		clients.answered.Load(), clients.moved.Load(), plan.hasFlood, plan.hasReplacement,
		time.Duration(clients.lateness.Load()))
}

// startAndKill starts one more process and kills it after that time.
func (s *sharedSocket) startAndKill(after time.Duration) {
	s.t.Helper()
	r := s.start()
	time.Sleep(after)
	r.signal(syscall.SIGKILL)
	<-r.done
}

// sendSignals sends each signal at its time after from, if the process still runs then, and returns once the duration
// after from is over.
func sendSignals(r *process, signals []timedSignal, from time.Time, duration time.Duration) {
	var sent sync.WaitGroup
	for _, s := range signals {
		sent.Go(func() {
			time.Sleep(time.Until(from.Add(s.after)))
			if err := r.cmd.Process.Signal(s.signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
				assert.NoError(r.t, err)
			}
		})
	}
	sent.Wait()
	time.Sleep(time.Until(from.Add(duration)))
}

// soakClients are clients that open one session after the other, and go on using the connections that they have after
// they were told to make no new ones.
type soakClients struct {
	plan           *soakPlan
	address        string
	connectingDone chan struct{} // closed: clients make no new connections
	stop           chan struct{} // closed: the run is over
	goroutines     sync.WaitGroup
	answered       atomic.Int64 // number of requests that got a valid final answer
	moved          atomic.Int64 // number of sessions that the relay migrated
	lateness       atomic.Int64 // worst delay in waking a sleeping goroutine on this machine, in nanoseconds
	mutex          sync.Mutex   // guards failures
	failures       []string
}

// newSoakClients starts the clients.
func newSoakClients(plan *soakPlan, address string) *soakClients {
	c := &soakClients{plan: plan, address: address, connectingDone: make(chan struct{}), stop: make(chan struct{})}
	c.goroutines.Go(c.watchLateness)
	for worker := range plan.workers {
		rng := rand.New(rand.NewSource(plan.rng.Int63()))
		c.goroutines.Go(func() { c.runWorker(worker, rng) })
	}
	if plan.hasFlood {
		c.goroutines.Go(func() { c.runFlood(rand.New(rand.NewSource(plan.rng.Int63()))) })
	}
	return c
}

// watchLateness measures the scheduling delay of this machine. The relay does not cause it, so it is added to the time
// limits that the relay has to keep.
func (c *soakClients) watchLateness() {
	const interval = 10 * time.Millisecond
	for {
		from := time.Now()
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
		if late := int64(time.Since(from) - interval); late > c.lateness.Load() {
			c.lateness.Store(late)
		}
	}
}

// stopConnecting makes the clients open no new connections.
func (c *soakClients) stopConnecting() { close(c.connectingDone) }

// end ends the run, waits for the clients, and returns their failures.
func (c *soakClients) end() []string {
	close(c.stop)
	c.goroutines.Wait()
	return c.failures
}

func (c *soakClients) fail(format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// pause waits for that time, or until no new connections may be made. It reports whether they still may.
func (c *soakClients) pause(duration time.Duration) bool {
	select {
	case <-c.connectingDone:
		return false
	case <-time.After(duration):
		return true
	}
}

// runWorker runs one client after the other, until no new connections may be made.
func (c *soakClients) runWorker(worker int, rng *rand.Rand) {
	for n := 0; c.pause(time.Duration(rng.Int63n(int64(50 * time.Millisecond)))); n++ {
		conn, err := net.DialTimeout("tcp", c.address, soakHardLimit)
		if err != nil {
			c.fail("dial: %v", err)
			return
		}
		client := &soakClient{soakClients: c, Conn: conn, reader: bufio.NewReader(conn), rng: rng,
			id: fmt.Sprintf("%x%04x", worker+16, n)}
		client.run()
		conn.Close()
	}
}

// runFlood uses up the relay's descriptors with connections that send nothing or half a request line, and keeps them
// until the run is over.
func (c *soakClients) runFlood(rng *rand.Rand) {
	var flood []net.Conn
	defer func() {
		for _, conn := range flood {
			conn.Close()
		}
	}()
	for len(flood) < soakFloodSize && c.pause(time.Millisecond) {
		conn, err := net.DialTimeout("tcp", c.address, soakHardLimit)
		if err != nil {
			return
		}
		flood = append(flood, conn)
		if rng.Intn(2) == 0 {
			fmt.Fprintf(conn, "OPEN 9b1f")
		}
	}
	<-c.stop
}

// soakClient is one client, with the one connection that it uses.
type soakClient struct {
	*soakClients
	net.Conn
	reader *bufio.Reader
	rng    *rand.Rand
	id     string
}

// run idles for a while in one of four cases, then sends a request, and uses the session until it is migrated or enough
// lines came back.
func (s *soakClient) run() {
	if s.rng.Intn(4) == 0 {
		time.Sleep(time.Duration(s.rng.Int63n(int64(time.Second))))
	}
	if err := s.send(fmt.Sprintf("OPEN %s 7f3a c=feed,t=one,d=2000", s.id)); err != nil {
		return // the relay has closed the idle connection before
	}
	from := time.Now()
	answer, err := s.receive(soakHardLimit + soakTolerance)
	verb, _, _ := strings.Cut(answer, " ")
	switch {
	case errors.Is(err, errLate):
		s.fail("%s: answered %q after %v: %v", s.id, answer, time.Since(from), err)
	case err != nil:
		s.fail("%s: no answer to its request: got %q, %v", s.id, answer, err)
	case verb == "UP":
		s.answered.Add(1)
		s.useSession()
	case verb != "BUSY" && verb != "ERR" && verb != "MOVE":
		s.fail("%s: answered %q", s.id, answer)
	default:
		s.answered.Add(1)
		s.awaitEnd()
	}
}

// useSession sends up to three lines at a time and checks that they are echoed. Half of the clients stay until the
// session is migrated.
func (s *soakClient) useSession() {
	stays := s.rng.Intn(2) == 0
	for sent := 0; stays || sent < s.plan.maxSessionLines; {
		var lines []string
		for range 1 + s.rng.Intn(3) {
			lines = append(lines, fmt.Sprintf("line %d", sent))
			sent++
		}
		writeErr := s.send(lines...)
		for _, want := range lines {
			line, err := s.receive(soakLineLimit)
			if line == "MOVE" {
				s.moved.Add(1)
				s.awaitEnd()
				return
			}
			if err != nil || line != want {
				s.fail("%s: received %q instead of %q; read error: %v, write error: %v", s.id, line, want, err, writeErr)
				return
			}
		}
		time.Sleep(time.Duration(s.rng.Int63n(int64(100 * time.Millisecond))))
	}
}

// awaitEnd checks that the relay closes the connection in time and sends nothing more.
func (s *soakClient) awaitEnd() {
	if line, err := s.receive(soakLineLimit); err == nil || errors.Is(err, errLate) {
		s.fail("%s: no end after the final answer: got %q, %v", s.id, line, err)
	}
}

func (s *soakClient) send(lines ...string) error {
	s.SetWriteDeadline(time.Now().Add(soakHardLimit))
	_, err := s.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err
}

// receive returns the next line. The error is errLate if the line, or the end of the connection, came after the time
// limit and this machine's lateness.
func (s *soakClient) receive(within time.Duration) (string, error) {
	until := time.Now().Add(within)
	s.SetReadDeadline(until.Add(longWait)) // waits for longer than the limit, as lateness is checked below
	line, err := s.reader.ReadString('\n')
	if late := time.Since(until); late > time.Duration(s.lateness.Load()) {
		return line, fmt.Errorf("%w by %v", errLate, late)
	}
	return strings.TrimSuffix(line, "\r\n"), err
}
