// Package adapter puts the decision module behind the wire: it hosts the instances, keeps the links in hand
// and their timers, and decides nothing.
package adapter

import (
	"errors"
	"fmt"
	"io"
	"math"

	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/settings"
	"valeshift/internal/wire"
)

// session is a link in hand.
type session struct {
	dispatch.Entry
	id uint32
}

// instance is one relay.
type instance struct {
	number     uint16
	host       *host
	dispatcher *dispatch.Dispatcher[*session] // nil: not begun
	sessions   map[uint32]*session
	wakeAt     float64 // when the timer that counts fires
	timerToken uint32
	touched    bool
}

// host runs all instances of this process.
type host struct {
	reader    *wire.Reader
	writer    *wire.Writer
	instances map[uint16]*instance
	touched   []*instance
	speaking  int
	pages     [16][]byte
	report    []float64
	now       float64
}

// Run answers batch after batch until the input ends.
func Run(in io.Reader, out io.Writer) error {
	h := &host{reader: wire.NewReader(in), writer: wire.NewWriter(out), instances: map[uint16]*instance{}}
	for {
		err := h.reader.ReadBatch()
		if errors.Is(err, wire.ErrEndOfInput) {
			return nil
		}
		if err == nil {
			err = h.handleBatch()
		}
		if err != nil {
			return err
		}
		if err := h.writer.SendReply(h.reader.Number); err != nil {
			return fmt.Errorf("reply %d: %w", h.reader.Number, err)
		}
	}
}

func (h *host) handleBatch() error {
	h.now, h.speaking, h.touched = h.reader.Clock, -1, h.touched[:0]
	var i *instance
	for range h.reader.Records {
		at := h.reader.Offset()
		code := h.reader.Uint16()
		switch code {
		case wire.About:
			number := h.reader.Uint16()
			if i = h.instances[number]; i == nil {
				i = &instance{number: number, host: h}
				h.instances[number] = i
			}
		case wire.SnapshotRows:
			page := h.reader.Uint32()
			rows := h.reader.Elements(int(h.reader.Uint32()), wire.EndpointSize)
			if h.reader.Err == nil && page >= uint32(len(h.pages)) {
				return fmt.Errorf("offset %d: a page number under %d expected, got %d", at+2, len(h.pages), page)
			}
			if h.reader.Err == nil {
				h.pages[page] = append(h.pages[page][:0], rows...)
			}
		default:
			if i == nil {
				return fmt.Errorf("offset %d: an About record expected before code %d", at, code)
			}
			if !i.touched {
				i.touched = true
				h.touched = append(h.touched, i)
			}
			if err := h.handleEvent(i, code, at); err != nil {
				return err
			}
		}
		if h.reader.Err != nil {
			return h.reader.Err
		}
	}
	if err := h.reader.CheckEnd(); err != nil {
		return err
	}
	for _, i := range h.touched {
		i.touched = false
		h.advance(i)
	}
	return nil
}

// handleEvent hands one record to the instance's module. A record for an instance that never began, or of a link or
// server not known any more, is read and dropped.
func (h *host) handleEvent(i *instance, code uint16, at int) error {
	in := h.reader
	switch code {
	case wire.Hello:
		seed := in.Uint64()
		text := in.Elements(int(in.Uint32()), 1)
		if in.Err != nil {
			return in.Err
		}
		*i = instance{number: i.number, host: h, touched: true, sessions: map[uint32]*session{}, wakeAt: math.Inf(1)}
		balancer, err := settings.NewReader(wire.ParseSettings(string(text))).BuildBalancer(seed)
		if err != nil {
			h.beginAction(i, wire.InternalError).Text(err.Error())
		} else {
			i.dispatcher = dispatch.NewDispatcher(balancer, i)
		}
	case wire.CrashNow:
		*i = instance{number: i.number, host: h, touched: true}
	case wire.DirectoryUpdate:
		how, page := in.Uint8(), in.Uint32()
		in.Uint64()
		if in.Err == nil && how > 3 {
			return fmt.Errorf("offset %d: a kind of list news up to 3 expected, got %d", at+2, how)
		}
		if in.Err == nil && how != 3 && page >= uint32(len(h.pages)) {
			return fmt.Errorf("offset %d: a page number under %d expected, got %d", at+3, len(h.pages), page)
		}
		if in.Err == nil && i.dispatcher != nil {
			h.updateEndpoints(i.dispatcher.Balancer, how, page)
		}
	case wire.Incoming, wire.Resumed:
		l := &session{id: in.Uint32()}
		l.Class, l.Tenant, l.Key, l.Deadline = int(in.Uint8()), int(in.Uint32()), in.Uint64(), in.Float64()
		hint, group, options := in.Float64(), in.Uint64(), in.Uint16()
		if options&1 != 0 && hint > 0 {
			l.LoadHint = hint * 1000
		}
		l.AffinityGroup = group
		server := uint32(0)
		if code == wire.Resumed {
			server = in.Uint32()
		}
		if in.Err != nil || i.dispatcher == nil {
			return in.Err
		}
		if !i.dispatcher.Balancer.HasClass(l.Class) {
			return fmt.Errorf("offset %d: a category of the settings expected, got %d", at+6, l.Class)
		}
		i.sessions[l.id] = l
		if code == wire.Resumed {
			i.dispatcher.Balancer.SessionResumed(h.now, &l.Entry.Session, server)
		} else {
			i.dispatcher.Assign(h.now, l)
		}
	case wire.Accepted:
		l, round := i.sessions[in.Uint32()], int(in.Uint16())
		in.Uint32()
		in.Float64()
		if in.Err == nil && l != nil && l.Attempt == round {
			i.dispatcher.Balancer.SessionEstablished(h.now, &l.Entry.Session)
		}
	case wire.HintUpdate:
		l, round := i.sessions[in.Uint32()], int(in.Uint16())
		in.Uint32()
		what, amount := in.Uint8(), in.Float32()
		if in.Err == nil && l != nil && l.Attempt == round && what == 1 {
			i.dispatcher.Balancer.LoadMeasured(&l.Entry.Session, amount)
		}
	case wire.Completed:
		l, last, round := i.sessions[in.Uint32()], in.Uint8() != 0, int(in.Uint16())
		server := in.Uint32()
		in.Float64()
		reason := in.Uint8()
		h.report = in.LoadReport(h.report)
		if in.Err == nil && i.dispatcher != nil && len(h.report) > 0 {
			i.dispatcher.Balancer.LoadReported(h.now, server, h.report)
		}
		if in.Err == nil && l != nil && l.Attempt == round {
			i.dispatcher.AttemptFinished(h.now, l, outcomeOf(reason), last)
		}
	case wire.Vanished:
		if l := i.sessions[in.Uint32()]; in.Err == nil && l != nil {
			if !i.dispatcher.Balancer.ClientDisconnected(&l.Entry.Session) {
				i.forget(l)
			}
		}
	case wire.Health:
		server := in.Uint32()
		in.Float64()
		reason := in.Uint8()
		h.report = in.LoadReport(h.report)
		if in.Err == nil && i.dispatcher != nil {
			i.dispatcher.PollFinished(h.now, server, reason == 0, h.report)
		}
	case wire.Fired:
		if ticket := in.Uint32(); ticket == i.timerToken {
			i.wakeAt = math.Inf(1)
		}
	case wire.NeighbourSays:
		in.Uint32()
		in.Bytes(int(in.Uint16()))
	default:
		return fmt.Errorf("offset %d: a code of the wire expected, got %d", at, code)
	}
	return in.Err
}

// outcomeOf puts our word to the wire's reason; one not known may have run.
func outcomeOf(reason uint8) balancer.AttemptOutcome {
	switch reason {
	case 0:
		return balancer.OutcomeSucceeded
	case 8:
		return balancer.OutcomeRejected
	case 4:
		return balancer.OutcomeTimedOut
	case 14:
		return balancer.OutcomeUnreachable
	case 10:
		return balancer.OutcomeConnectionLost
	case 1:
		return balancer.OutcomeCanceled
	case 9:
		return balancer.OutcomeNotSent
	}
	return balancer.OutcomeFailed
}

func (h *host) updateEndpoints(b dispatch.Balancer, how uint8, page uint32) {
	if how == 3 {
		b.WatchFailed(h.now)
		return
	}
	b.BeginEndpointUpdate(how != 0)
	rows := wire.NewFieldReader(h.pages[page])
	for n := len(h.pages[page]) / wire.EndpointSize; n > 0; n-- {
		zone, condition, cell := int(rows.Uint8()), balancer.EndpointState(rows.Uint8()), int(rows.Uint16())
		started := rows.Float64()
		rows.Uint8()
		weight, id := rows.Float32(), rows.Uint32()
		b.UpdateEndpoint(id, zone, condition, cell, started, weight)
	}
	b.EndEndpointUpdate(h.now)
}

// beginAction begins an action of the instance.
func (h *host) beginAction(i *instance, code uint16) *wire.Writer {
	if h.speaking != int(i.number) {
		h.speaking = int(i.number)
		h.writer.Begin(wire.OnBehalf).Uint16(i.number)
	}
	return h.writer.Begin(code)
}

func (i *instance) forget(l *session) {
	i.dispatcher.Forget(l)
	delete(i.sessions, l.id)
}

// Execute says what the module answered.
func (i *instance) Execute(l *session, a balancer.Decision) {
	switch a.Kind {
	case balancer.Assign:
		i.host.beginAction(i, wire.Assign).Uint32(l.id).Uint32(a.Backend).Float64(a.Timeout)
	case balancer.Reject:
		i.host.beginAction(i, wire.NotNow).Uint32(l.id).Float64(a.Wait)
		i.forget(l)
	case balancer.Fail:
		i.host.beginAction(i, wire.RespondError).Uint32(l.id)
		i.forget(l)
	default:
		i.forget(l)
	}
}

// Poll has the server asked.
func (i *instance) Poll(id uint32) { i.host.beginAction(i, wire.Test).Uint32(id) }

// Subscribe has the list asked for.
func (i *instance) Subscribe() { i.host.beginAction(i, wire.Subscribe).Uint8(1) }

// advance does what is due, and sees to it that a timer brings the next look.
func (h *host) advance(i *instance) {
	if i.dispatcher == nil {
		return
	}
	if wake := i.dispatcher.Advance(h.now); wake < i.wakeAt {
		i.wakeAt = wake
		i.timerToken++
		h.beginAction(i, wire.Schedule).Float64(min(max(wake-h.now, 0), 3.6e6)).Uint32(i.timerToken)
	}
}
