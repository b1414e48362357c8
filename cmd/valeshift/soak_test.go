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

// The soak shuts relay processes down while clients go on using them until the kill. A seed draws the run.
//
//	go test -run TestShutdownSoak -v ./cmd/valeshift -soak-seeds 50 -soak-from 1000
var (
	soakSeeds = flag.Int64("soak-seeds", 24, "runs of the soak, each from a seed")
	soakFrom  = flag.Int64("soak-from", 1, "the soak's first seed")
)

const (
	soakHardLimit  = 2 * time.Second // of requests, in settingsJSON
	killAfterLimit = 700 * time.Millisecond
	soakKillAfter  = soakHardLimit + killAfterLimit // after SIGTERM: the earliest time of the kill
	soakSlack      = 50 * time.Millisecond          // that the protocol adds to each limit
	soakLineLimit  = time.Second                    // for which a line may be held back
	soakSockets    = 100                            // descriptors of the relay in a run with a crowd
	soakCrowd      = 300                            // connections of a crowd
)

var errLate = errors.New("late")

// soakRun is what a seed draws.
type soakRun struct {
	rng         *rand.Rand
	lanes       int // clients at a time
	served      time.Duration
	frontDelay  time.Duration // after SIGTERM, for which new connections come
	hasCrowd    bool
	replacement bool // a second process starts and dies during the shutdown
	// replacementLife is over before it accepts clients, who would be lost with it.
	replacementLife time.Duration
	beforeStop      []timedSignal
	afterStop       []timedSignal
	backendDelay    time.Duration // until a backend answers a request, at the most
	sessionLines    int           // of a client, before it leaves, at the most
}

// timedSignal is sent so long after the start of the run, or after SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

func drawSoakRun(seed int64) *soakRun {
	rng := rand.New(rand.NewSource(seed))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(limit))) }
	r := &soakRun{
		rng:             rng,
		lanes:           8 + rng.Intn(25),
		served:          300*time.Millisecond + upTo(700*time.Millisecond),
		frontDelay:      200*time.Millisecond + upTo(200*time.Millisecond),
		hasCrowd:        rng.Intn(3) == 0,
		replacement:     rng.Intn(3) == 0,
		replacementLife: upTo(30 * time.Millisecond),
		backendDelay:    time.Millisecond + upTo(pickDuration(rng, 100*time.Millisecond, time.Second, soakHardLimit)),
		sessionLines:    1 + rng.Intn(60),
	}
	for range rng.Intn(5) {
		r.beforeStop = append(r.beforeStop, timedSignal{upTo(r.served), pickSignal(rng, syscall.SIGHUP, syscall.SIGUSR1)})
	}
	for range 1 + rng.Intn(6) {
		r.afterStop = append(r.afterStop, timedSignal{upTo(soakKillAfter),
			pickSignal(rng, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM)})
	}
	return r
}

func pickDuration(rng *rand.Rand, all ...time.Duration) time.Duration { return all[rng.Intn(len(all))] }

func pickSignal(rng *rand.Rand, all ...syscall.Signal) syscall.Signal { return all[rng.Intn(len(all))] }

// TestShutdownSoak: whatever signals a relay gets, and whatever its clients do until the kill, each request that was
// written whole gets one final answer in time, no line is lost or held back, no established session is cut off without
// notice, nothing runs twice, and the process is gone before the kill.
func TestShutdownSoak(t *testing.T) {
	withoutExitSleep(t)
	for seed := *soakFrom; seed < *soakFrom+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, drawSoakRun(seed))
		})
	}
}

// TestAnswerInTimeAfterTheBacklog: a request that waits in the listener's backlog, as a crowd holds the descriptors, is
// answered within its deadline too.
func TestAnswerInTimeAfterTheBacklog(t *testing.T) {
	withoutExitSleep(t)
	for range 10 {
		playSoak(t, drawSoakRun(4035))
	}
}

func playSoak(t *testing.T, run *soakRun) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	attempts := &attemptCounter{byID: map[string]int{}}
	for _, b := range []*backend{b1, b2} {
		go b.echoAfter(attempts, run.backendDelay)
	}
	shared := newSharedSocket(t, b1, b2)
	if run.hasCrowd {
		shared.sockets = soakSockets
	}
	relay, address := shared.startRelay()
	awaitReady(t, address)
	clients := newSoakClients(run, shared.discovery.listenAddress)
	sendSignals(relay, run.beforeStop, time.Now(), run.served)
	stopped := time.Now()
	relay.signal(syscall.SIGTERM)
	time.AfterFunc(run.frontDelay, clients.closeFront)
	if run.replacement {
		shared.startAndKill(run.replacementLife)
	}
	sendSignals(relay, run.afterStop, stopped, soakKillAfter)
	select {
	case <-relay.done:
		assert.Zero(t, relay.cmd.ProcessState.ExitCode(), relay.log())
	default:
		assert.Fail(t, "still running at the kill", relay.log())
	}
	assert.GreaterOrEqual(t, time.Since(stopped), soakKillAfter)
	relay.cmd.Process.Kill()
	<-relay.done
	for _, failure := range clients.end() {
		assert.Fail(t, failure)
	}
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	assert.Zero(t, attempts.repeated, "ids seen twice")
	assert.Positive(t, clients.answered.Load())
	t.Logf("%d requests answered, %d sessions moved, crowd %t, replacement %t, machine late by %v",
		clients.answered.Load(), clients.moved.Load(), run.hasCrowd, run.replacement,
		time.Duration(clients.lateness.Load()))
}

// startAndKill starts one more process, which dies soon.
func (g *sharedSocket) startAndKill(after time.Duration) {
	g.t.Helper()
	r := g.start()
	time.Sleep(after)
	r.signal(syscall.SIGKILL)
	<-r.done
}

// sendSignals sends each signal at its time, as long as the process runs, and returns once the duration is over.
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

// soakClients are clients that come and go, and use what connections they have until the relay ends them.
type soakClients struct {
	run        *soakRun
	address    string
	front      chan struct{} // closed: no new connection is made
	stop       chan struct{} // closed: the run is over
	goroutines sync.WaitGroup
	answered   atomic.Int64
	moved      atomic.Int64
	lateness   atomic.Int64 // by which this machine woke a sleeping goroutine at the latest, in nanoseconds
	mutex      sync.Mutex
	failures   []string
}

func newSoakClients(run *soakRun, address string) *soakClients {
	c := &soakClients{run: run, address: address, front: make(chan struct{}), stop: make(chan struct{})}
	c.goroutines.Go(c.watchLateness)
	for lane := range run.lanes {
		rng := rand.New(rand.NewSource(run.rng.Int63()))
		c.goroutines.Go(func() { c.runLane(lane, rng) })
	}
	if run.hasCrowd {
		c.goroutines.Go(func() { c.runCrowd(rand.New(rand.NewSource(run.rng.Int63()))) })
	}
	return c
}

// watchLateness measures how late this machine is: that is not the relay's doing, and added to its limits.
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

func (c *soakClients) closeFront() { close(c.front) }

// end waits for the clients, and returns what failed.
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

// pause waits, and reports whether new connections are still made.
func (c *soakClients) pause(duration time.Duration) bool {
	select {
	case <-c.front:
		return false
	case <-time.After(duration):
		return true
	}
}

// runLane runs one client after the other.
func (c *soakClients) runLane(lane int, rng *rand.Rand) {
	for n := 0; c.pause(time.Duration(rng.Int63n(int64(50 * time.Millisecond)))); n++ {
		conn, err := net.DialTimeout("tcp", c.address, soakHardLimit)
		if err != nil {
			c.fail("dial: %v", err)
			return
		}
		client := &soakClient{soakClients: c, Conn: conn, reader: bufio.NewReader(conn), rng: rng,
			id: fmt.Sprintf("%x%04x", lane+16, n)}
		client.play()
		conn.Close()
	}
}

// runCrowd fills the relay's descriptors with connections that idle or stop half way, as long as new ones come.
func (c *soakClients) runCrowd(rng *rand.Rand) {
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			conn.Close()
		}
	}()
	for len(crowd) < soakCrowd && c.pause(time.Millisecond) {
		conn, err := net.DialTimeout("tcp", c.address, soakHardLimit)
		if err != nil {
			return
		}
		crowd = append(crowd, conn)
		if rng.Intn(2) == 0 {
			fmt.Fprintf(conn, "OPEN 9b1f")
		}
	}
	<-c.stop
}

// soakClient is one client with its connection.
type soakClient struct {
	*soakClients
	net.Conn
	reader *bufio.Reader
	rng    *rand.Rand
	id     string
}

// play rests, sends a request, and uses the session until it is moved or enough lines came back.
func (s *soakClient) play() {
	if s.rng.Intn(4) == 0 {
		time.Sleep(time.Duration(s.rng.Int63n(int64(time.Second))))
	}
	if err := s.send(fmt.Sprintf("OPEN %s 7f3a c=feed,t=one,d=2000", s.id)); err != nil {
		return // the relay ended the resting connection before
	}
	from := time.Now()
	answer, err := s.receive(soakHardLimit + soakSlack)
	verb, _, _ := strings.Cut(answer, " ")
	switch {
	case errors.Is(err, errLate):
		s.fail("%s: answered %q after %v: %v", s.id, answer, time.Since(from), err)
	case err != nil:
		s.fail("%s: its request was lost: %q %v", s.id, answer, err)
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

// useSession sends lines, some at once. Half of the clients stay until the session is moved.
func (s *soakClient) useSession() {
	stays := s.rng.Intn(2) == 0
	for sent := 0; stays || sent < s.run.sessionLines; {
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
				s.fail("%s: %q in place of %q, %v, %v", s.id, line, want, err, writeErr)
				return
			}
		}
		time.Sleep(time.Duration(s.rng.Int63n(int64(100 * time.Millisecond))))
	}
}

// awaitEnd wants the relay to end the connection, and to send nothing before.
func (s *soakClient) awaitEnd() {
	if line, err := s.receive(soakLineLimit); err == nil || errors.Is(err, errLate) {
		s.fail("%s: %q behind the final answer, %v", s.id, line, err)
	}
}

func (s *soakClient) send(lines ...string) error {
	s.SetWriteDeadline(time.Now().Add(soakHardLimit))
	_, err := s.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err
}

// receive returns the next line.
func (s *soakClient) receive(within time.Duration) (string, error) {
	until := time.Now().Add(within)
	s.SetReadDeadline(until.Add(longWait)) // in time or not is judged by when it came
	line, err := s.reader.ReadString('\n')
	if late := time.Since(until); late > time.Duration(s.lateness.Load()) {
		return line, fmt.Errorf("%w by %v", errLate, late)
	}
	return strings.TrimSuffix(line, "\r\n"), err
}
