package sim

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/audit"
)

// faultyStateMachine injects a fault into a relay's state machine, for tests of the auditor.
type faultyStateMachine struct {
	StateMachine
	before func(e relay.Event) relay.Event         // if not nil, changes each event
	after  func(all []relay.Effect) []relay.Effect // if not nil, changes each event's effects
}

func (s *faultyStateMachine) Handle(now float64, e relay.Event) []relay.Effect {
	if s.before != nil {
		e = s.before(e)
	}
	all := s.StateMachine.Handle(now, e)
	if s.after != nil {
		all = s.after(slices.Clone(all))
	}
	return all
}

// mapEffects returns a function that replaces each effect by what change returns for it.
func mapEffects(change func(f relay.Effect) []relay.Effect) func([]relay.Effect) []relay.Effect {
	return func(all []relay.Effect) (out []relay.Effect) {
		for _, f := range all {
			out = append(out, change(f)...)
		}
		return out
	}
}

// writtenText returns the text that an effect writes to a connection, or "" if it is not a write.
func writtenText(f relay.Effect) string {
	if write, ok := f.(*relay.Write); ok {
		return string(bytes.Join(write.Chunks, nil))
	}
	return ""
}

// writeTo returns an effect that writes a text to a connection.
func writeTo(conn uint64, text string) *relay.Write {
	return &relay.Write{Conn: conn, Chunks: [][]byte{[]byte(text)}}
}

// clientWrite returns the effect if it is a write to a client, else nil.
func clientWrite(f relay.Effect) *relay.Write {
	if write, ok := f.(*relay.Write); ok && write.Conn < 1<<63 {
		return write
	}
	return nil
}

// firstUnusedConn begins a range of connection numbers that no state machine uses: those of clients count from 1, those
// of dialed connections from 1<<63.
const firstUnusedConn = 1 << 62

// The auditor reports the right violation for each of several faulty relays, and none for relays without a fault.
func TestAuditorCatchesBrokenRelays(t *testing.T) {
	const faulty = calm + `
[[fault]]
kind = "drain"
at = "6s"
for = "8s"
share = 0.5
[[fault]]
kind = "growth"
at = "5s"
share = 0.25
[[fault]]
kind = "relay-drain"
at = "8s"
for = "5s"
share = 0.3
[[fault]]
kind = "relay-replace"
at = "15s"
share = 1
`
	for _, c := range []struct {
		name   string
		rule   audit.Rule
		detail string
		wrap   func() *faultyStateMachine
	}{
		{"answers twice", audit.FinalAnswer, "BUSY after UP", func() *faultyStateMachine {
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if write := clientWrite(f); write != nil && strings.HasPrefix(writtenText(f), "UP") {
					return []relay.Effect{f, writeTo(write.Conn, "BUSY 5\r\n")}
				}
				return []relay.Effect{f}
			})}
		}},
		{"says nothing", audit.FinalAnswer, "no answer", func() *faultyStateMachine {
			n := 0
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if clientWrite(f) != nil && strings.HasPrefix(writtenText(f), "UP") {
					if n++; n%20 == 0 {
						return nil
					}
				}
				return []relay.Effect{f}
			})}
		}},
		{"closes without an answer", audit.FinalAnswer, "ended without an answer", func() *faultyStateMachine {
			n := 0
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if write := clientWrite(f); write != nil && strings.HasPrefix(writtenText(f), "UP") {
					if n++; n%20 == 0 {
						return []relay.Effect{&relay.Close{Conn: write.Conn}}
					}
				}
				return []relay.Effect{f}
			})}
		}},
		{"makes answers up", audit.FinalAnswer, "UP that no backend said", func() *faultyStateMachine {
			return &faultyStateMachine{}
		}},
		{"sends two attempts", audit.AtMostOnce, "out at once", func() *faultyStateMachine {
			var dialed []string
			second := map[uint64]uint64{}
			next := uint64(firstUnusedConn)
			s := &faultyStateMachine{}
			s.after = mapEffects(func(f relay.Effect) []relay.Effect {
				switch f := f.(type) {
				case *relay.Dial:
					dialed = append(dialed, f.Address)
					next++
					second[f.Conn] = next
					return []relay.Effect{f, &relay.Dial{Conn: next, Address: dialed[len(dialed)/2]}}
				case *relay.Write:
					if strings.HasPrefix(writtenText(f), "OPEN") {
						return []relay.Effect{f, &relay.Write{Conn: second[f.Conn], Chunks: f.Chunks}}
					}
				}
				return []relay.Effect{f}
			})
			return s
		}},
		{"keeps its clients though it drains", audit.LineDelivery, "still held", func() *faultyStateMachine {
			return &faultyStateMachine{before: func(e relay.Event) relay.Event {
				if _, drain := e.(relay.DrainRequested); drain {
					return relay.TimerFired{}
				}
				return e
			}}
		}},
		{"rejects clients while it is replaced", audit.FinalAnswer, "did not let a client in", func() *faultyStateMachine {
			replaced := false
			return &faultyStateMachine{before: func(e relay.Event) relay.Event {
				if _, sibling := e.(relay.SiblingProcessesChanged); sibling {
					replaced = true
				}
				return e
			}, after: mapEffects(func(f relay.Effect) []relay.Effect {
				if write := clientWrite(f); replaced && write != nil && strings.HasPrefix(writtenText(f), "UP") {
					return []relay.Effect{&relay.Close{Conn: write.Conn}}
				}
				return []relay.Effect{f}
			})}
		}},
		{"ignores drains", audit.Drain, "leaving for", func() *faultyStateMachine {
			return &faultyStateMachine{before: func(e relay.Event) relay.Event {
				if updated, ok := e.(relay.EndpointsUpdated); ok {
					update := *updated.Update
					update.Endpoints = slices.Clone(update.Endpoints)
					for i := range update.Endpoints {
						update.Endpoints[i].Status = "active"
					}
					updated.Update = &update
					return updated
				}
				return e
			}}
		}},
		{"ignores slow start", audit.SlowStart, "was sent", func() *faultyStateMachine {
			coldAddress := ""
			return &faultyStateMachine{before: func(e relay.Event) relay.Event {
				if updated, ok := e.(relay.EndpointsUpdated); ok {
					update := *updated.Update
					update.Endpoints = slices.Clone(update.Endpoints)
					for i := range update.Endpoints {
						if update.Endpoints[i].StartedAt > 0 {
							update.Endpoints[i].StartedAt, coldAddress = 0, update.Endpoints[i].Address
						}
					}
					updated.Update = &update
					return updated
				}
				return e
			}, after: mapEffects(func(f relay.Effect) []relay.Effect {
				if dial, ok := f.(*relay.Dial); ok && coldAddress != "" {
					changed := *dial
					changed.Address = coldAddress
					return []relay.Effect{&changed}
				}
				return []relay.Effect{f}
			})}
		}},
		{"loses lines", audit.LineDelivery, "lost before", func() *faultyStateMachine {
			n := 0
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if clientWrite(f) != nil && strings.HasPrefix(writtenText(f), "R ") {
					if n++; n%50 == 0 {
						return nil
					}
				}
				return []relay.Effect{f}
			})}
		}},
		{"duplicates lines", audit.LineDelivery, "came again", func() *faultyStateMachine {
			n := 0
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if strings.HasPrefix(writtenText(f), "M ") {
					if n++; n%50 == 0 {
						return []relay.Effect{f, f}
					}
				}
				return []relay.Effect{f}
			})}
		}},
		{"resets sessions", audit.LineDelivery, "cut off without MOVE", func() *faultyStateMachine {
			n := 0
			return &faultyStateMachine{after: mapEffects(func(f relay.Effect) []relay.Effect {
				if write := clientWrite(f); write != nil && strings.HasPrefix(writtenText(f), "R ") {
					if n++; n%500 == 0 {
						return []relay.Effect{f, &relay.Reset{Conn: write.Conn}}
					}
				}
				return []relay.Effect{f}
			})}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := New(parse(t, faulty), "module", nil)
			s.WrapStateMachine = func(_ int, stateMachine StateMachine) StateMachine {
				broken := c.wrap()
				broken.StateMachine = stateMachine
				if c.name == "makes answers up" {
					broken.before, broken.after = answerWithoutBackend()
				}
				return broken
			}
			r, err := s.Run()
			require.NoError(t, err)
			require.NotZero(t, r.Auditor.Counts[c.rule], "not caught: %v", r.Auditor.Counts)
			assert.True(t, slices.ContainsFunc(r.Auditor.Violations, func(b audit.Violation) bool {
				return b.Rule == c.rule && strings.Contains(b.Detail, c.detail)
			}), "%v", r.Auditor.Violations[:min(len(r.Auditor.Violations), 5)])
		})
	}
	intact := run(t, faulty, "module")
	assert.Zero(t, intact.Auditor.ViolationCount(), "%v", intact.Auditor.Violations)
}

// answerWithoutBackend returns the functions of a faultyStateMachine that answers each request UP as soon as it
// arrives, before any backend has.
func answerWithoutBackend() (func(e relay.Event) relay.Event, func([]relay.Effect) []relay.Effect) {
	var conn uint64
	return func(e relay.Event) relay.Event {
			conn = 0
			if received, ok := e.(relay.DataReceived); ok && bytes.HasPrefix(received.Data, []byte("OPEN")) {
				conn = received.Conn
			}
			return e
		}, func(all []relay.Effect) []relay.Effect {
			if conn == 0 {
				return all
			}
			return append([]relay.Effect{writeTo(conn, "UP mine\r\n")}, all...)
		}
}
