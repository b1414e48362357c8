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

// baseSettings are the settings that the tests start from. They contain an unknown setting, which must be ignored.
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

// harness wraps a state machine and writes its events and effects as text. Client connections are named 1, 2 and so on,
// connections that the relay dials s1, s2 and so on; | stands for CRLF.
type harness struct {
	*StateMachine
	t    *testing.T
	logs []string

	detached      *TransferredSession // session of the last SessionDetached
	sentEndpoints *EndpointUpdate     // list of the last SendEndpoints
	lastMarker    *ReplicationRequest // the last request to replicate an attempt marker
}

// newHarness creates a relay with the given backends, written as for parseEndpoints. change modifies the base settings;
// nil leaves them as they are. sockets limits the relay's descriptors; 0: no limit.
func newHarness(t *testing.T, change func(text string) string, sockets int, backends ...string) *harness {
	t.Helper()
	return newHarnessWith(t, change, &Config{Seed: 5, MaxSockets: sockets, Discovery: "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints(backends)}})
}

// newHarnessWith creates a relay with the given configuration and the base settings as modified by change.
func newHarnessWith(t *testing.T, change func(text string) string, config *Config) *harness {
	t.Helper()
	text := baseSettings
	if change != nil {
		text = change(text)
		require.NotEqual(t, baseSettings, text)
	}
	values, err := settings.Flatten([]byte(text))
	require.NoError(t, err)
	config.Settings = values
	machine, err := New(0, config)
	require.NoError(t, err)
	s := &harness{StateMachine: machine, t: t}
	s.handle(0, "tick")
	return s
}

// replacing returns a change for newHarness that replaces a part of the settings.
func replacing(old, new string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, new, 1) }
}

// parseEndpoints parses words of the form NAME=STATUS or NAME=STATUS@STARTED_AT. The digits in the name are part of the
// address.
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

// conn returns the ID of the connection with that name.
func (s *harness) conn(word string) uint64 {
	s.t.Helper()
	n, err := strconv.ParseUint(strings.TrimPrefix(word, "s"), 10, 64)
	require.NoError(s.t, err, word)
	if word[0] == 's' {
		n += dialedIDBase
	}
	return n
}

// handle passes one event, written as text, to the state machine and returns the effects as text, without timers and log
// lines.
func (s *harness) handle(now float64, event string) string {
	s.t.Helper()
	words := strings.SplitN(event, " ", 3)
	parse := eventParsers[words[0]]
	require.NotNil(s.t, parse, "unknown event: %s", event)
	var effects []string
	for _, effect := range s.Handle(now, parse(s, now, words)) {
		if described := s.describe(effect); described != "" {
			effects = append(effects, described)
		}
	}
	require.Zero(s.t, s.illegalTransitions, "illegal transition at %v: %s", now, event)
	return strings.Join(effects, "; ")
}

// eventParsers create an event from its words: the name of the event, a second word, and the rest of the line.
var eventParsers = map[string]func(s *harness, now float64, words []string) Event{
	"open": func(s *harness, _ float64, words []string) Event { return ConnAccepted{Conn: s.conn(words[1])} },
	"up":   func(s *harness, _ float64, words []string) Event { return ConnEstablished{Conn: s.conn(words[1])} },
	"came": func(s *harness, _ float64, words []string) Event {
		return DataReceived{Conn: s.conn(words[1]), Data: []byte(strings.ReplaceAll(words[2], "|", "\r\n"))}
	},
	"waited": func(s *harness, _ float64, words []string) Event { // CONN MILLIS DATA
		millis, data, _ := strings.Cut(words[2], " ")
		waited, err := strconv.ParseFloat(millis, 64)
		require.NoError(s.t, err, millis)
		return DataReceived{Conn: s.conn(words[1]), Data: []byte(strings.ReplaceAll(data, "|", "\r\n")), Waited: waited}
	},
	"end": func(s *harness, _ float64, words []string) Event { return ConnClosed{Conn: s.conn(words[1])} },
	"reset": func(s *harness, _ float64, words []string) Event {
		return ConnClosed{Conn: s.conn(words[1]), Reset: true}
	},
	"cut": func(s *harness, _ float64, words []string) Event {
		return ConnClosed{Conn: s.conn(words[1]), Reset: true, Unsent: true}
	},
	"tick":  func(*harness, float64, []string) Event { return TimerFired{} },
	"ended": func(*harness, float64, []string) Event { return ProcessExiting{} },
	"suspended": func(_ *harness, _ float64, words []string) Event {
		millis, _ := strconv.ParseFloat(words[1], 64)
		return ProcessSuspended{Millis: millis}
	},

	"news": func(s *harness, _ float64, words []string) Event {
		return EndpointsUpdated{Watch: s.conn(words[1]), Update: s.parseUpdate(words[2])}
	},
	"heard": func(s *harness, _ float64, words []string) Event { return WatchHeartbeat{Watch: s.conn(words[1])} },
	"failed": func(s *harness, _ float64, words []string) Event {
		return WatchFailed{Watch: s.conn(words[1]), Err: errors.New("told so")}
	},
	"reload":       func(_ *harness, _ float64, words []string) Event { return ConfigReloaded{DiscoveryAddress: words[1]} },
	"reload-error": func(*harness, float64, []string) Event { return ConfigReloaded{Err: errors.New("told so")} },
	"drain":        func(_ *harness, _ float64, words []string) Event { return DrainRequested{On: words[1] == "on"} },
	"stop": func(_ *harness, _ float64, words []string) Event {
		return ShutdownRequested{YieldToChild: len(words) > 1}
	},

	"detach": func(s *harness, _ float64, words []string) Event { return DetachRequested{Conn: s.conn(words[1])} },
	"transferred": func(s *harness, _ float64, words []string) Event {
		return SessionTransferred{Conn: s.conn(words[1]), Accepted: len(words) == 2}
	},
	"receive": func(s *harness, _ float64, words []string) Event {
		return SessionReceived{Conn: s.conn(words[1]), Session: s.detached}
	},
	"sibling": func(_ *harness, _ float64, words []string) Event {
		isChild := words[1] == "child"
		return SiblingProcessesChanged{HasParent: words[1] == "parent", HasChild: isChild, WantsHandoff: isChild}
	},
	"sibling-endpoints": func(_ *harness, _ float64, words []string) Event {
		list := parseEndpoints(strings.Fields(strings.Join(words[1:], " ")))
		return SiblingEndpointsUpdated{Update: &EndpointUpdate{Complete: true, Endpoints: list}}
	},

	"recovers": func(*harness, float64, []string) Event { return RecoveryChanged{CapacityShare: 0.5, Recovering: true} },
	"replication": func(_ *harness, _ float64, words []string) Event {
		return ReplicationEnabled{MarkerRetentionMillis: 10000, Affinity: len(words) > 1}
	},
	"replicated": func(s *harness, _ float64, words []string) Event {
		return RecordReplicated{Conn: s.conn(words[1]), Replicated: true}
	},
	"unreplicated": func(s *harness, _ float64, words []string) Event { return RecordReplicated{Conn: s.conn(words[1])} },
	"found-attempt": func(s *harness, now float64, words []string) Event {
		return RecordFound{Record: AttemptRecord, Conn: s.conn(words[1]), Backend: words[2], At: now - 500,
			Answer: RecordHeld}
	},
	"no-attempt": func(s *harness, _ float64, words []string) Event {
		return RecordFound{Record: AttemptRecord, Conn: s.conn(words[1]), Answer: RecordNotHeld}
	},
	"nobody-asked": func(s *harness, _ float64, words []string) Event {
		return RecordFound{Record: AttemptRecord, Conn: s.conn(words[1]), Answer: NobodyAsked}
	},
	"lookup-too-late": func(s *harness, _ float64, words []string) Event {
		return RecordFound{Record: AttemptRecord, Conn: s.conn(words[1]), Answer: LookupTooLate}
	},
	"found-affinity": func(s *harness, _ float64, words []string) Event {
		return RecordFound{Record: AffinityRecord, Conn: s.conn(words[1]), Backend: words[2], Answer: RecordHeld}
	},
	"no-affinity": func(s *harness, _ float64, words []string) Event {
		return RecordFound{Record: AffinityRecord, Conn: s.conn(words[1]), Answer: RecordNotHeld}
	},
}

// parseUpdate parses an update: its version, "whole" or "delta", and endpoints written as for parseEndpoints.
func (s *harness) parseUpdate(text string) *EndpointUpdate {
	s.t.Helper()
	words := strings.Fields(text)
	index, err := strconv.ParseUint(words[0], 10, 64)
	require.NoError(s.t, err, text)
	return &EndpointUpdate{Index: index, Complete: words[1] == "whole", Endpoints: parseEndpoints(words[2:])}
}

// name returns the name of a connection: a number for a client's, or s and a number for one that the relay dialed.
func (s *harness) name(conn uint64) string {
	if conn >= dialedIDBase {
		return fmt.Sprint("s", conn-dialedIDBase)
	}
	return fmt.Sprint(conn)
}

// describe returns an effect as text and records what tests look at. Timers and log lines give an empty text.
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
		text := strings.TrimSuffix(fmt.Sprint("watch ", f.Watch, " after ", f.After, " at ", f.Address), " at 10.1.0.1:85")
		if len(f.Keep) > 0 {
			text += " beside " + strings.Trim(fmt.Sprint(f.Keep), "[]")
		}
		return text
	case *StopWatch:
		if len(f.Keep) > 0 {
			return "stop-watches-but " + strings.Trim(fmt.Sprint(f.Keep), "[]")
		}
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
		return fmt.Sprint("accepted ", s.name(f.Conn), " s", f.BackendConn-dialedIDBase)
	case *SendHandoff:
		s.siblings.handoff = f.Handoff
		return "send-handoff"
	case *SendEndpoints:
		s.sentEndpoints = f.Update
	case *ReplicationRequest:
		if f.Operation == Replicate && f.Record == AttemptRecord {
			s.lastMarker = f
		}
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

// step is an event and the effects that must follow.
type step struct {
	at    float64
	event string
	want  string
}

// play handles the events one by one and requires their effects.
func (s *harness) play(name string, steps ...step) {
	s.t.Helper()
	for _, p := range steps {
		require.Equal(s.t, p.want, s.handle(p.at, p.event), "%s: %v %s", name, p.at, p.event)
	}
}

// establishSession establishes a session between client connection 1 and backend b1 over connection s1.
func (s *harness) establishSession() {
	s.t.Helper()
	s.play("establish a session",
		step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,t=one,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"},
		step{102, "came s1 UP r1|", "write 1 UP r1|"})
}
