package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

const baseSettings = `{"replicas-of-me": 1, "zone": 0, "localities": ["hall"], "discovery": "automatic",
	"never-heard-of": {"x": [1]},
	"categories": [
		{"name": "feed", "promised-time-ms": 300, "hard-limit-ms": 2000, "gain": 1, "effect": "idempotent"},
		{"name": "order", "promised-time-ms": 300, "hard-limit-ms": 2000, "gain": 1, "effect": "at_most_once"}],
	"parties": [{"name": "one"}, {"name": "two"}], "family-info": {"tenant-quota-connections": [20, 30]},
	"stats": {"how": "answers", "fields": ["rps", "x0"]},
	"contract": {"ask-within-ms": 10000, "cold-from": 0.2, "cold-ms": 9000, "fall-ms": 2000, "tip-multiple": 3},
	"limits": {"probes": false, "retry-after": true, "max-retry-after-ms": 900, "most-setup-tries": 3,
		"connect-timeout-ms": 250, "may-cancel": true}}`

// harness is a state machine that is told of events, and tells of effects, in words. Connections of clients are 1, 2
// ..., those of the relay s1, s2 ...; | stands for CRLF.
type harness struct {
	*StateMachine
	t    *testing.T
	logs []string

	detached      *TransferredSession // that was told last
	sentEndpoints *EndpointUpdate     // to the other process, last
}

func newHarness(t *testing.T, change func(text string) string, sockets int, backends ...string) *harness {
	t.Helper()
	return newHarnessWith(t, change, &Config{Seed: 5, MaxSockets: sockets, Discovery: "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints(backends)}})
}

func newHarnessWith(t *testing.T, change func(text string) string, what *Config) *harness {
	t.Helper()
	text := baseSettings
	if change != nil {
		text = change(text)
		require.NotEqual(t, baseSettings, text)
	}
	values, err := settings.Flatten([]byte(text))
	require.NoError(t, err)
	what.Settings = values
	r, err := New(0, what)
	require.NoError(t, err)
	s := &harness{StateMachine: r, t: t}
	s.handle(0, "tick")
	return s
}

// replacing is a change of the settings for newHarness.
func replacing(old, new string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, new, 1) }
}

// parseEndpoints reads NAME=STATUS, or NAME=STATUS@SINCE; the address comes of the name's digit.
func parseEndpoints(words []string) []Endpoint {
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

func (s *harness) conn(word string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(word, "s"), 10, 64)
	require.NoError(s.t, err, word)
	if word[0] == 's' {
		n += firstDialedID
	}
	return n
}

// handle gives the state machine one event and returns what it asks for, less timers.
func (s *harness) handle(now float64, event string) string {
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
			Endpoints: parseEndpoints(f[2:])}}
	case "heard":
		e = WatchHeartbeat{Watch: s.conn(word[1])}
	case "failed":
		e = WatchFailed{Watch: s.conn(word[1]), Err: errors.New("told so")}
	case "reload":
		e = ConfigReloaded{DiscoveryAddress: word[1]}
	case "reload-error":
		e = ConfigReloaded{Err: errors.New("told so")}
	case "drain":
		e = DrainRequested{On: !(word[1] == "off")}
	case "detach":
		e = DetachRequested{Conn: s.conn(word[1])}
	case "transferred":
		e = SessionTransferred{Conn: s.conn(word[1]), Accepted: !(len(word) > 2)}
	case "receive":
		e = SessionReceived{Conn: s.conn(word[1]), Session: s.detached}
	case "sibling":
		e = SiblingProcessesChanged{HasParent: word[1] == "parent", HasChild: word[1] == "child", WantsHandoff: word[1] == "child"}
	case "sibling-endpoints":
		e = SiblingEndpointsUpdated{Update: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints(strings.Fields(event)[1:])}}
	case "replication":
		e = ReplicationEnabled{MarkerRetentionMillis: 10000, Affinity: len(word) > 1}
	case "replicated", "unreplicated":
		e = RecordReplicated{Conn: s.conn(word[1]), Replicated: !(word[0] == "unreplicated")}
	case "found-attempt":
		e = RecordFound{Record: AttemptRecord, Conn: s.conn(word[1]), Backend: word[2], At: now - 500, Found: true}
	case "no-attempt":
		e = RecordFound{Record: AttemptRecord, Conn: s.conn(word[1])}
	case "found-affinity":
		e = RecordFound{Record: AffinityRecord, Conn: s.conn(word[1]), Backend: word[2], Found: true}
	case "no-affinity":
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
	require.Zero(s.t, s.illegalTransitions, "%v %s", now, event)
	return strings.Join(said, "; ")
}

// name is the word for a connection: of a client's its number, of the relay's own s and a number.
func (s *harness) name(conn uint64) string {
	if conn >= firstDialedID {
		return fmt.Sprint("s", conn-firstDialedID)
	}
	return fmt.Sprint(conn)
}

// describe gives an effect in words, and keeps what others ask the scene for; timers and log lines have none.
func (s *harness) describe(effect Effect) string {
	switch f := effect.(type) {
	case *Dial:
		return "dial " + s.name(f.Conn) + " " + f.Address
	case *Write:
		return "write " + s.name(f.Conn) + " " + strings.ReplaceAll(string(bytes.Join(f.Chunks, nil)), "\r\n", "|")
	case *Close:
		return "end " + s.name(f.Conn)
	case *Reset:
		return "reset " + s.name(f.Conn)
	case *StartWatch:
		return strings.TrimSuffix(fmt.Sprint("watch ", f.Watch, " after ", f.After, " at ", f.Address), " at 10.1.0.1:85")
	case *StopWatch:
		return "stop-watch"
	case *Log:
		s.logs = append(s.logs, fmt.Sprint(f.Message, f.Args))
	case *PauseAccept:
		return "pause-accept"
	case *ResumeAccept:
		return "resume-accept"
	case *Exit:
		return "exit"
	case *TransferSession:
		return "transfer " + s.name(f.ClientConn)
	case *SessionDetached:
		s.detached = f.Session
		return "detached " + s.name(f.Conn)
	case *SessionAccepted:
		return fmt.Sprint("accepted ", s.name(f.Conn), " s", f.BackendConn-firstDialedID)
	case *SendHandoff:
		s.siblings.handoff = f.Handoff
		return "send-handoff"
	case *SendEndpoints:
		s.sentEndpoints = f.Update
	case *ReplicationRequest:
		return describeReplication(s.name(f.Conn), f)
	}
	return ""
}

func describeReplication(conn string, f *ReplicationRequest) string {
	switch f.Operation {
	case Replicate:
		return strings.TrimSpace(fmt.Sprint("replicate ", conn, " ", f.Backend))
	case Lookup:
		return "lookup " + conn
	}
	return "release " + conn
}

type step struct {
	at          float64
	event, want string
}

func (s *harness) play(name string, steps ...step) {
	s.t.Helper()
	for _, p := range steps {
		require.Equal(s.t, p.want, s.handle(p.at, p.event), "%s: %v %s", name, p.at, p.event)
	}
}

// establishSession has session 1 established on backend b1, over s1.
func (s *harness) establishSession() {
	s.t.Helper()
	s.play("is established",
		step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,t=one,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"},
		step{102, "came s1 UP r1|", "write 1 UP r1|"})
}
