package relay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
	"valeshift/internal/settings"
)

const told = `{"replicas-of-me": 1, "zone": 0, "localities": ["hall"], "discovery": "automatic",
	"never-heard-of": {"x": [1]},
	"categories": [
		{"name": "feed", "promised-time-ms": 300, "hard-limit-ms": 2000, "gain": 1, "effect": "idempotent"},
		{"name": "order", "promised-time-ms": 300, "hard-limit-ms": 2000, "gain": 1, "effect": "at_most_once"}],
	"parties": [{"name": "one"}, {"name": "two"}], "family-info": {"tenant-quota-connections": [20, 30]},
	"stats": {"how": "answers", "fields": ["rps", "x0"]},
	"contract": {"ask-within-ms": 10000, "cold-from": 0.2, "cold-ms": 9000, "fall-ms": 2000, "tip-multiple": 3},
	"limits": {"probes": false, "retry-after": true, "max-retry-after-ms": 900, "most-setup-tries": 3,
		"connect-timeout-ms": 250, "may-cancel": true}}`

// scene is a reducer that is told of events, and tells of effects, in words. Connections of clients are 1, 2
// ..., those of the relay s1, s2 ...; | stands for CRLF.
type scene struct {
	*StateMachine
	t     *testing.T
	notes []string

	parted   *TransferredSession // that was told last
	confides *EndpointUpdate     // to the other process, last
}

func open(t *testing.T, change func(text string) string, sockets int, backends ...string) *scene {
	t.Helper()
	return begin(t, change, &Config{Seed: 5, MaxSockets: sockets, Discovery: "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: entries(backends)}})
}

func begin(t *testing.T, change func(text string) string, what *Config) *scene {
	t.Helper()
	text := told
	if change != nil {
		text = change(text)
		require.NotEqual(t, told, text)
	}
	values, err := settings.Flatten([]byte(text))
	require.NoError(t, err)
	what.Settings = values
	r, err := New(0, what)
	require.NoError(t, err)
	s := &scene{StateMachine: r, t: t}
	s.at(0, "tick")
	return s
}

// with is a change of the settings for open.
func with(old, new string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, new, 1) }
}

// entries reads NAME=STATUS, or NAME=STATUS@SINCE; the address comes of the name's digit.
func entries(words []string) []Endpoint {
	var list []Endpoint
	for _, w := range words {
		name, status, _ := strings.Cut(w, "=")
		status, since, _ := strings.Cut(status, "@")
		e := Endpoint{Name: name, Status: status, Zone: "hall", Weight: 1, Address: "10.0.0." + name[1:] + ":9000"}
		e.StartedAt, _ = strconv.ParseFloat(since, 64)
		list = append(list, e)
	}
	return list
}

func (s *scene) conn(word string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(word, "s"), 10, 64)
	require.NoError(s.t, err, word)
	if word[0] == 's' {
		n += firstDialedID
	}
	return n
}

// at gives the reducer one event and returns what it asks for, less timers.
func (s *scene) at(now float64, event string) string {
	word := strings.SplitN(event, " ", 3)
	var e Event
	switch word[0] {
	case "open":
		e = ConnAccepted{Conn: s.conn(word[1])}
	case "up":
		e = ConnEstablished{Conn: s.conn(word[1])}
	case "came":
		e = DataReceived{Conn: s.conn(word[1]), Data: []byte(strings.ReplaceAll(word[2], "|", "\r\n"))}
	case "end", "reset", "cut":
		e = ConnClosed{Conn: s.conn(word[1]), Reset: word[0] != "end", Unsent: word[0] == "cut"}
	case "news":
		f := strings.Fields(word[2])
		index, _ := strconv.ParseUint(f[0], 10, 64)
		e = EndpointsUpdated{Watch: s.conn(word[1]), Update: &EndpointUpdate{Index: index, Complete: f[1] == "whole",
			Endpoints: entries(f[2:])}}
	case "heard":
		e = WatchHeartbeat{Watch: s.conn(word[1])}
	case "failed":
		e = WatchFailed{Watch: s.conn(word[1]), Err: errors.New("told so")}
	case "reload":
		e = ConfigReloaded{DiscoveryAddress: word[1]}
	case "refuse":
		e = ConfigReloaded{Err: errors.New("told so")}
	case "lame":
		e = DrainRequested{On: !(word[1] == "off")}
	case "part":
		e = DetachRequested{Conn: s.conn(word[1])}
	case "given":
		e = SessionTransferred{Conn: s.conn(word[1]), Accepted: !(len(word) > 2)}
	case "adopt":
		e = SessionReceived{Conn: s.conn(word[1]), Session: s.parted}
	case "beside":
		e = SiblingProcessesChanged{HasParent: word[1] == "elder", HasChild: word[1] == "younger", WantsHandoff: word[1] == "younger"}
	case "confided":
		e = SiblingEndpointsUpdated{Update: &EndpointUpdate{Complete: true, Endpoints: entries(strings.Fields(event)[1:])}}
	case "holds":
		e = ReplicationEnabled{MarkerRetentionMillis: 10000, Affinity: len(word) > 1}
	case "held", "unheld":
		e = RecordReplicated{Conn: s.conn(word[1]), Replicated: !(word[0] == "unheld")}
	case "ran":
		e = RecordFound{Record: AttemptRecord, Conn: s.conn(word[1]), Backend: word[2], At: now - 500, Found: true}
	case "none":
		e = RecordFound{Record: AttemptRecord, Conn: s.conn(word[1])}
	case "stood":
		e = RecordFound{Record: AffinityRecord, Conn: s.conn(word[1]), Backend: word[2], Found: true}
	case "stands":
		e = RecordFound{Record: AffinityRecord, Conn: s.conn(word[1])}
	case "recovers":
		e = RecoveryChanged{CapacityShare: 0.5, Recovering: true}
	case "ended":
		e = ProcessExiting{}
	case "stop":
		e = ShutdownRequested{YieldToChild: len(word) > 1}
	default:
		e = TimerFired{}
	}
	var said []string
	for _, effect := range s.Handle(now, e) {
		if words := s.describe(effect); words != "" {
			said = append(said, words)
		}
	}
	require.Zero(s.t, s.queue.illegalTransitions, "%v %s", now, event)
	return strings.Join(said, "; ")
}

// name is the word for a connection: of a client's its number, of the relay's own s and a number.
func (s *scene) name(conn uint64) string {
	if conn >= firstDialedID {
		return fmt.Sprint("s", conn-firstDialedID)
	}
	return fmt.Sprint(conn)
}

// describe gives an effect in words, and keeps what others ask the scene for; timers and log lines have none.
func (s *scene) describe(effect Effect) string {
	switch f := effect.(type) {
	case *Dial:
		return "dial " + s.name(f.Conn) + " " + f.Address
	case *Write:
		return "write " + s.name(f.Conn) + " " + strings.ReplaceAll(string(bytes.Join(f.Chunks, nil)), "\r\n", "|")
	case *Close:
		return "end " + s.name(f.Conn)
	case *Reset:
		return "break " + s.name(f.Conn)
	case *StartWatch:
		return strings.TrimSuffix(fmt.Sprint("watch ", f.Watch, " after ", f.After, " at ", f.Address), " at 10.1.0.1:85")
	case *StopWatch:
		return "unwatch"
	case *Log:
		s.notes = append(s.notes, fmt.Sprint(f.Message, f.Args))
	case *PauseAccept:
		return "hold"
	case *ResumeAccept:
		return "free"
	case *Exit:
		return "quit"
	case *TransferSession:
		return "pass " + s.name(f.ClientConn)
	case *SessionDetached:
		s.parted = f.Session
		return "parted " + s.name(f.Conn)
	case *SessionAccepted:
		return fmt.Sprint("adopted ", s.name(f.Conn), " s", f.BackendConn-firstDialedID)
	case *SendHandoff:
		s.siblings.handoff = f.Handoff
		return "bequeath"
	case *SendEndpoints:
		s.confides = f.Update
	case *ReplicationRequest:
		return describeReplication(s.name(f.Conn), f)
	}
	return ""
}

func describeReplication(conn string, f *ReplicationRequest) string {
	switch f.Operation {
	case Replicate:
		return strings.TrimSpace(fmt.Sprint("entrust ", conn, " ", f.Backend))
	case Lookup:
		return "claim " + conn
	}
	return "release " + conn
}

type step struct {
	at          float64
	event, want string
}

func (s *scene) play(name string, steps ...step) {
	s.t.Helper()
	for _, p := range steps {
		require.Equal(s.t, p.want, s.at(p.at, p.event), "%s: %v %s", name, p.at, p.event)
	}
}

// stands has link 1 stand on backend b1, over s1.
func (s *scene) stands() {
	s.t.Helper()
	s.play("stands",
		step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,t=one,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"},
		step{102, "came s1 UP r1|", "write 1 UP r1|"})
}

// Every way in which a setup try can end, with what its client is told: again where nothing may have run
// twice.
func TestEndingsOfSetupTries(t *testing.T) {
	for _, c := range []struct {
		name, event string
		up          bool
		how         EndReason
		again       bool // for one that must not run twice
	}{
		{"refused", "reset s1", false, ConnectFailed, true},
		{"never up", "tick", false, ConnectFailed, true},
		{"broken before the head was written", "cut s1", true, ConnectFailed, true},
		{"turned down", "came s1 BUSY|", true, BackendBusy, true},
		{"backend's error", "came s1 ERR|", true, BackendError, false},
		{"no answer of the protocol", "came s1 HELLO|", true, MalformedAnswer, false},
		{"line too long", "came s1 " + strings.Repeat("x", 5000), true, MalformedAnswer, false},
		{"served out before it stood", "came s1 BYE|", true, MalformedAnswer, false},
		{"reset", "reset s1", true, ClosedBeforeAnswer, false},
		{"ended", "end s1", true, ClosedBeforeAnswer, false},
		{"sent away", "came s1 MOVE|", true, BackendMovedClient, false},
		{"an answer with another behind it", "came s1 BUSY|UP r|", true, BackendBusy, true},
	} {
		for _, category := range []string{"feed", "order"} {
			s := open(t, nil, 0, "b1=active")
			s.play(c.name, step{100, "open 1", ""},
				step{100, "came 1 OPEN a 1f c=" + category + ",t=one,d=2000|", "dial s1 10.0.0.1:9000"})
			if c.up {
				s.at(101, "up s1")
			}
			got := s.at(351, c.event)
			assert.Equal(t, uint64(1), s.EndReasons[c.how], c.name)
			if category == "feed" || c.again {
				assert.Contains(t, got, "dial s2", "%s, %s", c.name, category)
				assert.NotContains(t, got, "write 1", c.name)
				assert.Equal(t, "", s.at(352, "came s1 UP late|"), "%s: an earlier try says nothing now", c.name)
			} else {
				assert.Contains(t, got, "write 1 ERR|; end 1", "%s, %s", c.name, category)
			}
		}
	}
}

func TestEndingsTellTheModule(t *testing.T) {
	want := map[EndReason]balancer.AttemptOutcome{NotSent: balancer.OutcomeNotSent, ConnectFailed: balancer.OutcomeUnreachable,
		BackendBusy:  balancer.OutcomeRejected,
		BackendError: balancer.OutcomeFailed, MalformedAnswer: balancer.OutcomeFailed, ClosedBeforeAnswer: balancer.OutcomeConnectionLost, AttemptTimedOut: balancer.OutcomeTimedOut,
		BackendFinished: balancer.OutcomeSucceeded, BackendMovedClient: balancer.OutcomeCanceled, BackendClosed: balancer.OutcomeConnectionLost, BackendSilent: balancer.OutcomeConnectionLost,
		SlowReader: balancer.OutcomeCanceled, RelayMovedClient: balancer.OutcomeCanceled, ClientClosed: balancer.OutcomeSucceeded,
		ClientReset: balancer.OutcomeCanceled, TransferredToChild: balancer.OutcomeCanceled}
	assert.Len(t, want, len(endReasonNames))
	for how, outcome := range want {
		assert.Equal(t, outcome, how.outcome(), how.String())
	}
}

func TestFinalAnswerBeforeTheHardLimit(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.play("a backend that says nothing", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,t=one,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"},
		step{2089, "tick", ""},
		step{2090, "tick", "end s1; write 1 BUSY 900|; end 1"},
		step{2091, "came s1 UP r1|", ""}, step{2091, "end 1", ""})
	s = open(t, nil, 0)
	s.play("no backend at all: held, then given up with half the time left", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,t=one,d=2000|", ""})
	for now := 150.0; now < 1200 && s.Rejected == 0; now += 50 {
		s.at(now, "tick")
	}
	assert.Equal(t, uint64(1), s.Rejected)
	assert.Zero(t, s.queue.sessions)
}

func TestClientsFirstLine(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"malformed", "GET / HTTP/1.1|", "write 1 ERR|; end 1"},
		{"no key", "OPEN a c=feed,d=5|", "write 1 ERR|; end 1"},
		{"no CR", "OPEN a 1f c=feed,d=2000\n", "write 1 ERR|; end 1"},
		{"unknown category", "OPEN a 1f c=feeds,d=2000|", "write 1 ERR|; end 1"},
		{"doubled name", "OPEN a 1f c=feed,d=2000,d=1|", "write 1 ERR|; end 1"},
		{"impossible number", "OPEN a 1f c=feed,d=-1|", "write 1 ERR|; end 1"},
		{"no number", "OPEN a 1f c=feed,d=NaN|", "write 1 ERR|; end 1"},
		{"no wait", "OPEN a 1f c=feed|", "write 1 ERR|; end 1"},
		{"over-long", "OPEN " + strings.Repeat("a", 4096) + "|", "write 1 ERR|; end 1"},
		{"over-long without an end", strings.Repeat("a", 4096), "write 1 ERR|; end 1"},
		{"a wait beyond all bounds", "OPEN a 1f c=feed,d=20001|", "write 1 ERR|; end 1"},
		{"unknown customer", "OPEN a 1f c=feed,t=nobody,d=2000|", "write 1 ERR|; end 1"},
		{"more in the same bytes", "OPEN a 1f c=feed,t=one,d=2000|OPEN b 1f c=feed,t=one,d=2000|",
			"write 1 ERR|; end 1"},
		{"half of more", "OPEN a 1f c=feed,t=one,d=2000|x", "write 1 ERR|; end 1"},
		{"pings without end", strings.Repeat("PING|", maxPings+1), "write 1 ERR|; end 1"},
		{"further figures", "OPEN a 1f c=feed,zz=1,h=2,r=1,d=2000|", "dial s1 10.0.0.1:9000"},
	} {
		s := open(t, nil, 0, "b1=active")
		s.play(c.name, step{100, "open 1", ""}, step{101, "came 1 " + c.line, c.want})
	}
	s := open(t, nil, 0, "b1=active")
	s.play("slow, in pieces", step{100, "open 1", ""}, step{1000, "came 1 OPEN a 1f c=fe", ""},
		step{1599, "came 1 ed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{1601, "up s1", "write s1 OPEN a 1f c=feed,d=1988|"},
		step{1603, "came s1 UP r|LOAD 7|", "write 1 UP r|; write 1 LOAD 7|"},
		step{1604, "came 1 more|", "write s1 more|"},
		step{1605, "open 2", ""}, step{1606, "came 2 OPEN a 2f c=feed,d=2000|", "write 2 ERR|; end 2"}, // in use
		step{1607, "end 1", "end 1; end s1"}, step{1608, "open 3", ""},
		step{1609, "came 3 OPEN a 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"})
	s = open(t, nil, 0, "b1=active")
	s.play("too slow, with pings or none", step{1100, "open 1", ""}, step{1100, "open 2", ""},
		step{1500, "came 1 OPEN", ""}, step{2500, "came 2 PING|", "write 2 PONG|"}, step{2599, "tick", ""},
		step{2600, "tick", "write 2 ERR|; end 2"}, step{3100, "came 1  a", ""}, step{3100, "heard 1", ""},
		step{3799, "tick", ""},
		step{3800, "tick", "write 1 ERR|; end 1"})
	s = open(t, nil, 0, "b1=active")
	s.play("a head written over two seconds", step{100, "open 1", ""}, step{800, "came 1 OPEN a 1f ", ""},
		step{1650, "tick", ""}, step{2200, "came 1 c=feed,d=2000|", "dial s1 10.0.0.1:9000"})
	s = open(t, nil, 0, "b1=active")
	s.play("more before its answer", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "came 1 x", "write 1 ERR|; break s1; end 1"}, step{102, "came 1 y|", ""})
	assert.Zero(t, s.queue.sessions)
	assert.Empty(t, s.queue.byID)
}

func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name, first string
		change      func(string) string
		want        string
	}{
		{"while dialing", "tick", nil, "end 1; break s1"},
		{"while a try is out", "up s1", nil, "end 1; end s1"},
		{"where a try may not be called off", "up s1", with(`"may-cancel": true`, `"may-cancel": false`),
			"end 1"},
	} {
		s := open(t, c.change, 0, "b1=active")
		s.play(c.name, step{100, "open 1", ""}, step{100, "came 1 OPEN a 1f c=feed,d=2000|",
			"dial s1 10.0.0.1:9000"})
		s.at(101, c.first)
		s.play(c.name, step{102, "end 1", c.want})
		s.at(103, "came s1 UP r|")
		assert.Zero(t, s.queue.sessions, c.name)
		assert.Empty(t, s.conns.byID, c.name)
	}
}

func TestStandingLinks(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
		how   EndReason
	}{
		{"lines both ways, whole", []step{{200, "came 1 ping 1|", "write s1 ping 1|"},
			{201, "came s1 pong", ""}, {202, "came s1  1|x|y", "write 1 pong 1|; write 1 x|"},
			{203, "end 1", "end 1; end s1"}}, ClientClosed},
		{"a client's reset goes on as one", []step{{200, "reset 1", "end 1; break s1"}}, ClientReset},
		{"served out", []step{{200, "came s1 BYE inflight=7,x0=0.4|junk|", "write 1 BYE inflight=7,x0=0.4|"},
			{201, "came s1 junk|", ""}, {202, "end s1", "end s1; end 1"}}, BackendFinished},
		{"served out without an end", []step{{200, "came s1 BYE|", "write 1 BYE|"},
			{699, "tick", ""}, {700, "tick", "end 1; end s1"}}, BackendFinished},
		{"nothing is told behind BYE", []step{{200, "came s1 BYE|" + strings.Repeat("x", 5000), "write 1 BYE|"},
			{201, "came s1 " + strings.Repeat("x", 5000), ""}, {202, "news 1 2 delta b1=leaving", "end 1; end s1"}},
			BackendFinished},
		{"the backend sends the client away", []step{{200, "came s1 MOVE|", "write 1 MOVE|"},
			{201, "end s1", "end s1; end 1"}}, BackendMovedClient},
		{"an end goes on as an end", []step{{200, "end s1", "end s1; end 1"}}, BackendClosed},
		{"a reset goes on as a reset", []step{{200, "reset s1", "end s1; break 1"}}, BackendClosed},
		{"a line over the bound", []step{{200, "came s1 " + strings.Repeat("x", 5000), "break 1; break s1"}},
			MalformedAnswer},
		{"lines that bring nothing back", []step{{1000, "came 1 a|", "write s1 a|"}, {1001, "came s1 b|",
			"write 1 b|"},
			{3000, "heard 1", ""}, {3000, "came 1 a|", "write s1 a|"}, {6000, "heard 1", ""}, {6000, "came 1 a|",
				"write s1 a|"},
			{6999, "tick", ""}, {7000, "tick", "write 1 MOVE|; end 1; end s1"}}, BackendSilent},
		{"MOVE stands between two lines when the backend leaves", []step{{200, "came s1 half a li", ""},
			{201, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"}}, RelayMovedClient},
		{"a whole list without the backend", []step{
			{200, "news 1 2 whole b2=active", "write 1 MOVE|; end 1; end s1"}}, RelayMovedClient},
	} {
		s := open(t, nil, 0, "b1=active")
		s.stands()
		s.play(c.name, c.steps...)
		assert.Equal(t, uint64(1), s.EndReasons[c.how], c.name)
		assert.Zero(t, s.queue.sessions, c.name)
		assert.Empty(t, s.conns.byID, c.name)
		assert.Empty(t, s.endpoints.findOrAdd("b1").sessions, c.name)
	}
}

// Against links that stay seconds long at a backend whose machine has vanished; but one that only tires of
// probes keeps its links.
func TestSilentBackend(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         bool
	}{{"says nothing at all", "tick", true}, {"still answers lines", "came s1 b|", false}} {
		s := open(t, with(`"probes": false`, `"probes": true`), 0, "b1=active")
		s.stands()
		for _, event := range []string{"up s2", "came s2 PONG x0=0.1|"} {
			s.at(400, event)
		}
		s.at(900, "came 1 a|")
		s.at(950, c.answer)
		for now := 1000.0; now < 3000; now += 50 {
			s.at(now, "tick")
		}
		assert.Equal(t, c.want, s.EndReasons[BackendSilent] == 1, c.name)
		assert.Equal(t, !c.want, s.Established == 1, c.name)
	}
}

func TestClientsOfALeavingBackendAreToldOneByOne(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.stands()
	s.play("second", step{110, "open 2", ""}, step{110, "came 2 OPEN b 1f c=feed,d=2000|",
		"dial s2 10.0.0.1:9000"},
		step{111, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"}, step{112, "came s2 UP r|", "write 2 UP r|"},
		step{200, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"},
		step{500, "news 1 3 delta b1=leaving", ""}, // not paced anew
		step{1699, "tick", ""}, step{1700, "tick", "write 2 MOVE|; end 2; end s2"})
}

func TestDrainBetweenChoiceAndSend(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.play("nothing new to a backend that leaves", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "news 1 2 delta b1=leaving b2=active", ""},
		step{102, "up s1", "end s1; dial s2 10.0.0.2:9000"})
	s = open(t, nil, 0, "b1=active")
	s.play("nor to one that has restarted", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "news 1 2 delta b1=active@90 b2=active", ""},
		step{102, "up s1", "end s1; dial s2 10.0.0.2:9000"})
}

// Servers that join beside links that stand are not probed by the descriptors that clients come in by.
func TestProbesLeaveRoomAtTheDoor(t *testing.T) {
	s := open(t, with(`"probes": false`, `"probes": true`), spareDescriptors+12, "b1=active")
	for i, c := range []string{"1", "2", "3"} {
		s.at(float64(100+i), "open "+c)
		s.at(float64(100+i), "came "+c+" OPEN "+c+" 1f c=feed,t=one,d=2000|")
	}
	for i := 1; i <= 4; i++ {
		s.at(150, fmt.Sprintf("up s%d", i))
		s.at(151, fmt.Sprintf("came s%d UP r|", i))
	}
	require.Equal(t, 3, s.Established)
	s.at(1000, "news 1 1 delta b2=active b3=active b4=active b5=active b6=active b7=active b8=active")
	for now := 1050.0; now < 4000; now += 50 {
		assert.NotContains(t, s.at(now, "tick"), "hold", "%v", now)
	}
	assert.LessOrEqual(t, len(s.conns.byID), s.limits.ownDescriptors-s.limits.maxAwaiting())
	s.at(4000, "open 9")
	assert.Contains(t, s.at(4001, "came 9 OPEN z 1f c=feed,t=one,d=2000|"), "write 9 BUSY 900|; end 9")
}

func TestLinksThatStoodBefore(t *testing.T) {
	s := open(t, nil, 0, "b1=active", "b2=active")
	s.play("resumed at its backend", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,d=40000,at=b2|", "dial s1 10.0.0.2:9000"}, // waits for all others too
		step{101, "reset s1", "end s1"}, step{600, "tick", ""}, step{601, "tick", "dial s2 10.0.0.2:9000"},
		step{602, "up s2", "write s2 OPEN a 1f c=feed,d=40000,at=b2|"}, step{603, "came s2 UP r|", "write 1 UP r|"})
	s.play("not found", step{700, "open 2", ""}, step{700, "came 2 OPEN b 1f c=feed,d=2000,at=b7|", ""})
	for now := 1000.0; now < 40000 && s.Failed == 0; now += 500 {
		s.at(now, "came 1 x|")
		s.at(now, "came s2 x|")
	}
	assert.Equal(t, uint64(1), s.Failed)
	assert.Equal(t, 1, s.Established)
}

func TestPlannedStop(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.stands()
	// Against links that stand nowhere from then until the only relay is back.
	s.play("the only relay serves to the end of its stop", step{1000, "stop", ""}, step{1100, "open 2", ""},
		step{1100, "came 2 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1101, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"}, step{1102, "came s2 UP r|", "write 2 UP r|"},
		step{3399, "came 1 x|", "write s1 x|"},
		step{3400, "tick", "write 1 MOVE|; end 1; end s1; write 2 MOVE|; end 2; end s2; quit"})
	s = open(t, with(`"replicas-of-me": 1`, `"replicas-of-me": 2`), 0, "b1=active")
	s.stands()
	s.play("stop", step{1000, "stop", ""},
		step{1000, "open 2", ""}, step{1001, "came 2 PING|", "write 2 ERR|"},
		step{1100, "open 3", ""}, step{1100, "came 3 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1101, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"},
		step{1102, "open 4", ""}, step{1102, "came 4 OPEN c 1f c=feed,d=9000|", "dial s3 10.0.0.1:9000"},
		step{1103, "up s3", "write s3 OPEN c 1f c=feed,d=1989|"},
		step{1899, "tick", ""}, step{2650, "tick", "write 1 MOVE|; end 1; end s1; write 2 ERR|; end 2"},
		step{2660, "came s2 UP r|", "write 3 UP r|; write 3 MOVE|; end 3; end s2"})
	last := s.at(1000+2000+finalAnswerTime, "tick")
	assert.Contains(t, last, "end s3; write 4 BUSY 900|; end 4")
	assert.True(t, strings.HasSuffix(last, "quit"), last)
	assert.NotContains(t, s.at(9000, "tick"), "quit", "no second exit")
	assert.Zero(t, s.queue.sessions)

	s = open(t, nil, 0, "b1=active")
	s.play("a head on its way", step{1000, "stop", ""}, step{1400, "open 1", ""}, step{1500, "tick", ""},
		step{1700, "came 1 OPEN a 1f c=nothing,d=2000|", "write 1 ERR|; end 1; quit"})
	s = open(t, nil, 0, "b1=active")
	s.play("nothing in hand", step{1000, "stop", ""}, step{1499, "tick", ""}, step{1500, "tick", "quit"},
		step{1501, "stop", ""}, step{9000, "tick", ""}, step{9150, "tick", "unwatch"})
}

// A process that was stopped goes on: a link waits for the news that came meanwhile, not for ever, and one
// that has not the time doesn't.
func TestWoken(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"news came", []step{{7000, "came 2 OPEN b 1f c=feed,d=2000|", ""}, {7001, "news 1 1 whole b2=active", ""},
			{7150, "tick", "dial s1 10.0.0.2:9000"}}},
		{"none did", []step{{7000, "came 2 OPEN b 1f c=feed,d=2000|", ""},
			{7150, "tick", "unwatch; dial s1 10.0.0.1:9000"}}},
		{"no time", []step{{7000, "came 2 OPEN b 1f c=feed,d=200|", "dial s1 10.0.0.1:9000"}}},
	} {
		s := open(t, nil, 0, "b1=active")
		s.play(c.name, step{100, "tick", ""}, step{1000, "open 2", ""})
		s.play(c.name, c.steps...)
	}
}

func TestDescriptorsRunOut(t *testing.T) {
	s := open(t, nil, spareDescriptors+minAwaiting+2, "b1=active")
	s.play("told to come again, never broken; silent ones let go first", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "open 2", ""}, step{102, "open 3", ""}, step{102, "open 4", ""}, step{102, "open 5", "hold"},
		step{103, "came 2 OPEN b 1f c=order,d=2000|", "write 2 BUSY 900|; end 2; free"},
		step{104, "open 6", "hold"}, step{131, "tick", ""}, step{132, "tick", "write 3 BUSY 900|; end 3; free"},
		step{133, "open 7", "write 4 BUSY 900|; end 4"}, step{134, "end 1", "end 1; break s1"},
		step{135, "open 8", ""}, step{136, "open 9", "write 5 BUSY 900|; end 5"},
		step{137, "came 6 OPEN d 1f c=order,d=2000|", "dial s2 10.0.0.1:9000"})
	assert.Equal(t, uint64(3), s.RequestErrors[Evicted])
}

func TestReadyBeforePong(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.play("by the first list", step{10, "open 1", ""}, step{10, "came 1 PING|", ""}, step{20, "open 2", ""},
		step{30, "news 1 1 whole b1=active", "write 1 PONG|"}, step{31, "came 1 PING|PING|",
			"write 1 PONG|; write 1 PONG|"})
	s = open(t, nil, 0, "b1=active")
	s.play("or without it", step{10, "open 1", ""}, step{10, "came 1 PING|", ""}, step{1000, "tick",
		"write 1 PONG|"})
}

func TestWatch(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.play("one that fell silent is opened anew at once", step{2000, "heard 1", ""}, step{4799, "tick", ""},
		step{4800, "tick", "watch 2 after 0"}, step{4801, "news 1 9 whole", ""}, step{8099, "tick", ""})
	s.play("a call that is never answered is made again soon", step{8100, "tick", "unwatch"},
		step{9700, "tick", "watch 3 after 0"})
	s.play("whatever else ends it", step{9701, "news 3 9 whole b1=active", ""}, step{9702, "failed 1", ""},
		step{9703, "failed 3", ""}, step{11300, "tick", "watch 4 after 9"},
		step{11301, "news 4 8 delta b1=leaving", "watch 5 after 0"}, // at once: it may have told a drain
		step{11302, "news 5 3 whole b1=active b2=active", ""},
		step{11303, "news 5 2 delta b1=leaving", "unwatch"}, // and not at once for ever
		step{12900, "tick", "watch 6 after 0"}, step{12900, "news 6 3 whole b1=active b2=active", ""})
	assert.Equal(t, uint64(3), s.endpoints.index, "a list that was asked for whole may go back")
	s.endpoints.findOrAdd("b1").Endpoint.Invalid = ""
	bad := []Endpoint{{Name: "b1", Status: "odd", Invalid: "status"}, {Name: "b2", Status: "left"}}
	s.Handle(12902, EndpointsUpdated{Watch: 6, Update: &EndpointUpdate{Index: 4, Complete: true, Endpoints: bad}})
	assert.Equal(t, balancer.Ready, s.endpoints.findOrAdd("b1").condition, "what was known of a bad entry stays")
	assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
}

// Against a reload that loses what is known, waits too long for a new discovery, or refuses its fresh count.
func TestReload(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.stands()
	s.play("to another discovery", step{200, "news 1 7 whole b1=active b2=active", ""},
		step{300, "refuse", ""}, step{301, "reload 10.1.0.1:85", ""},
		step{302, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"},
		step{303, "news 1 8 delta b1=leaving", ""},
		step{310, "failed 2", ""}, step{560, "tick", "watch 3 after 0 at 10.1.0.2:85"},
		step{2011, "came 1 x|", "write s1 x|"}, step{2012, "came s1 x|", "write 1 x|"}, step{3859, "tick", ""},
		step{3860, "tick", "unwatch"}, step{4110, "tick", "watch 4 after 0 at 10.1.0.2:85"},
		step{4111, "news 4 2 whole b1=active b3=active", ""}, step{6910, "tick", ""},
		step{6911, "tick", "watch 5 after 2 at 10.1.0.2:85"})
	assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
	assert.Equal(t, []uint64{2, 1}, []uint64{s.Reloads, s.FailedReloads})
	assert.Equal(t, 1, s.Established)
	s = open(t, nil, 0, "b1=active")
	s.play("while the former watch is failing", step{1, "failed 1", ""},
		step{2, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"}, step{3, "heard 2", ""},
		step{3000, "heard 2", ""}, step{3001, "news 2 1 whole b1=active", ""}, step{6500, "heard 2", ""})
	s = open(t, nil, 0, "b1=active")
	s.play("many in a row, one in a stop", step{1, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"},
		step{2, "reload 10.1.0.3:85", "watch 3 after 0 at 10.1.0.3:85"}, step{3, "failed 2", ""},
		step{4, "stop", ""},
		step{5, "reload 10.1.0.1:85", "watch 4 after 0"}, step{6, "news 4 1 delta b1=leaving", ""},
		step{504, "tick", "quit"})
	assert.Equal(t, balancer.Draining, s.endpoints.findOrAdd("b1").condition)
}

func TestNews(t *testing.T) {
	for _, c := range []struct{ text, bad, err string }{
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"1.2.3.4:5","status":"active"}]}`, "", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"left"}]}`, "", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"host:5","status":"active"}]}`, "address",
			""},
		{`{"index":1,"snapshot":true,"endpoints":[{"address":"1.2.3.4:5","status":"active"}]}`, "name", ""},
		{`{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"1.2.3.4:5","status":"new"}]}`, "status",
			""},
		{`{"index":1,"snapshot":true}`, "", "endpoints expected"},
		{`{"index":1,"snapshot":true,"endpoints":[`, "", "list"},
	} {
		news, err := parseEndpointUpdate([]byte(c.text))
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			continue
		}
		require.NoError(t, err, c.text)
		assert.Contains(t, news.Endpoints[0].Invalid, c.bad, c.text)
		assert.Equal(t, c.bad == "", news.Endpoints[0].Invalid == "", c.text)
	}
}

func TestProbes(t *testing.T) {
	s := open(t, with(`"probes": false`, `"probes": true`), 0, "b1=active")
	s.play("one connection serves", step{299, "tick", "dial s1 10.0.0.1:9000"}, step{300, "up s1",
		"write s1 STATS|"},
		step{301, "came s1 PONG qps=7,ut", ""}, step{302, "came s1 il=1,x0=0.5|", ""}, step{1500, "tick",
			"write s1 STATS|"},
		step{1501, "came s1 ERR|", ""}, step{1900, "tick", "write s1 STATS|"}, step{2400, "tick",
			"break s1; dial s2 10.0.0.1:9000"},
		step{2401, "came s1 PONG x0=0|", ""}, step{2402, "up s2", "write s2 STATS|"},
		step{2403, "came s2 PONG x0=0.4|", ""}, step{2404, "end s2", "end s2"}, step{2500, "heard 1", ""},
		step{3600, "tick", "dial s3 10.0.0.1:9000"})
	assert.Equal(t, uint64(5), s.Polls)
	s.play("and goes with its backend", step{3601, "up s3", "write s3 STATS|"}, step{3602, "news 1 2 whole",
		"break s3"})
	assert.Empty(t, s.endpoints.byName, "nothing is kept of one that is gone")
	assert.NotPanics(t, func() { s.Poll(7) }, "asked for before that")
}

func TestBadConfiguration(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","settings":` + told + `}`
	for _, c := range []struct{ old, new, want string }{
		{`"name":"n",`, ``, "name"}, {`"name":"n",`, `"name":"n","ops":"here",`,
			"ops: address:port or nothing"}, {`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"127.0.0.1:1"`, `"127.0.0.1"`, "discovery"}, {`"ff"`, `"xyz"`, "seed"},
		{`"seed"`, `"limits":{"sockets":-1},"seed"`, "limits.sockets"},
		{`"seed"`, `"limits":{"sockets":37},"seed"`, "limits.sockets: 38"},
		{`"seed"`, `"known":{"index":1},"seed"`, "known"}, {`,"settings":` + told, ``, "settings"},
		{`{"name"`, `{{"name"`, "config.json"}, {`"cold-ms": 9000`, `"cold-ms": "soon"`, "contract.cold-ms"},
		{`"connect-timeout-ms": 250,`, ``, "limits.connect-timeout-ms"}, {`"name"`, `"odd":{"x":1},"name"`, ""},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		require.NotEqual(t, good, text)
		path := t.TempDir() + "/config.json"
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		told, err := LoadConfig(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
		if err == nil {
			_, err = New(0, told)
		}
		if c.want == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, c.want)
		}
	}
}

// A server that comes at another's address ends that one, also where the list has not said so: its links go
// elsewhere, and nothing new comes to the address under the old name.
func TestAddressOfAnother(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.stands()
	s.play("moved as for a server that goes", step{200, "news 1 2 delta c1=leaving",
		"write 1 MOVE|; end 1; end s1"})
	assert.Contains(t, s.notes, "backend's address is another's now[backend b1 by c1]")
	s.play("nothing new", step{300, "open 2", ""}, step{300, "came 2 OPEN b 1f c=feed,t=one,d=2000|", ""})

	s = open(t, nil, 0, "b1=active")
	s.stands()
	s.play("both in one list stay", step{200, "news 1 2 whole b1=active c1=active", ""}, step{201, "tick", ""})
	assert.Empty(t, s.notes)
	s.play("one that is gone takes nothing", step{300, "news 1 3 delta c1=left", ""}, step{301, "tick", ""})
	assert.Equal(t, 1, s.Established)
}

// Short of descriptors, links that wait for a server count with the connection that they will have, so that
// whoever comes is taken in and answered at once; and probes give theirs back.
func TestLinksThatWaitCountWithWhatTheyWillHave(t *testing.T) {
	s := open(t, nil, 46) // 14 to use, 10 of them for links
	for i := 1; i <= 9; i++ {
		s.at(100, fmt.Sprintf("open %d", i))
		said := s.at(100, fmt.Sprintf("came %d OPEN i%d 1f c=feed,t=one,d=2000|", i, i))
		if i <= 5 { // held: there is no backend yet
			assert.Empty(t, said, i)
		} else {
			assert.Equal(t, fmt.Sprintf("write %d BUSY 900|; end %d", i, i), said)
		}
	}
	s.at(110, "news 1 2 whole b1=active")
	s.at(160, "tick")
	assert.Equal(t, 5, int(s.Attempts))
	assert.Len(t, s.conns.byID, 10)
	assert.False(t, s.intake.acceptPaused)
	s.play("there is still room for who comes", step{170, "open 10", ""},
		step{170, "came 10 OPEN x 1f c=feed,t=one,d=2000|", "write 10 BUSY 900|; end 10"})
}

// In a crowd that connects and idles, or stops half way, one that writes its head slowly is let go last.
func TestCrowdLetsSlowHeadsIn(t *testing.T) {
	s := open(t, nil, spareDescriptors+40, "b1=active") // five for those without a head
	s.at(100, "open 1")
	s.at(100, "came 1 OPEN a 1f c=fe")
	s.at(100, "open 2")
	s.at(100, "came 2 OPEN b 1f c=fe")
	n := 3
	for now := 110.0; now < 2000; now += 10 {
		s.at(now, fmt.Sprintf("open %d", n))
		if n%2 == 0 {
			s.at(now, fmt.Sprintf("came %d PING|", n))
		}
		n++
		if now == 1000 {
			s.at(now, "came 1 ed,")
		}
		assert.LessOrEqual(t, s.intake.awaitingCount, s.limits.maxAwaiting()+1, now)
	}
	assert.NotZero(t, s.RequestErrors[Evicted])
	assert.Contains(t, s.at(2001, "came 1 d=2000|"), "dial s1 10.0.0.1:9000")
	s.at(2001, "came 2 ed,d=2000|")
	assert.Equal(t, uint64(2), s.Attempts, "so is one that paused for longer, as others have begun no head at all")

	s = open(t, nil, spareDescriptors+40, "b1=active")
	for n := 1; n <= 5; n++ {
		s.at(float64(n), fmt.Sprintf("open %d", n))
		s.at(float64(n), fmt.Sprintf("came %d OPEN a", n))
	}
	s.at(60, "came 1 1")
	assert.Equal(t, "write 2 BUSY 900|; end 2", s.at(90, "open 6"),
		"of those that began, whoever stalls longest")
}
