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

// link is a link in hand.
type link struct {
	dispatch.Entry
	id uint32
}

// instance is one relay.
type instance struct {
	number  uint16
	host    *host
	table   *dispatch.Dispatcher[*link] // nil: not begun
	links   map[uint32]*link
	wake    float64 // when the timer that counts fires
	ticket  uint32
	touched bool
}

// host runs all instances of this process.
type host struct {
	in        *wire.Reader
	out       *wire.Writer
	instances map[uint16]*instance
	touched   []*instance
	speaker   int
	pages     [16][]byte
	report    []float64
	now       float64
}

// Run answers batch after batch until the input ends.
func Run(in io.Reader, out io.Writer) error {
	h := &host{in: wire.NewReader(in), out: wire.NewWriter(out), instances: map[uint16]*instance{}}
	for {
		err := h.in.Next()
		if errors.Is(err, wire.ErrEnd) {
			return nil
		}
		if err == nil {
			err = h.batch()
		}
		if err != nil {
			return err
		}
		if err := h.out.Send(h.in.Number); err != nil {
			return fmt.Errorf("reply %d: %w", h.in.Number, err)
		}
	}
}

func (h *host) batch() error {
	h.now, h.speaker, h.touched = h.in.Clock, -1, h.touched[:0]
	var i *instance
	for range h.in.Records {
		at := h.in.Offset()
		code := h.in.U16()
		switch code {
		case wire.About:
			number := h.in.U16()
			if i = h.instances[number]; i == nil {
				i = &instance{number: number, host: h}
				h.instances[number] = i
			}
		case wire.SnapshotRows:
			page := h.in.U32()
			rows := h.in.Counted(int(h.in.U32()), wire.EntrySize)
			if h.in.Err == nil && page >= uint32(len(h.pages)) {
				return fmt.Errorf("offset %d: a page number under %d expected, got %d", at+2, len(h.pages), page)
			}
			if h.in.Err == nil {
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
			if err := h.event(i, code, at); err != nil {
				return err
			}
		}
		if h.in.Err != nil {
			return h.in.Err
		}
	}
	if err := h.in.Done(); err != nil {
		return err
	}
	for _, i := range h.touched {
		i.touched = false
		h.drive(i)
	}
	return nil
}

// event hands one record to the instance's module. A record for an instance that never began, or of a link or
// server not known any more, is read and dropped.
func (h *host) event(i *instance, code uint16, at int) error {
	in := h.in
	switch code {
	case wire.Hello:
		seed := in.U64()
		text := in.Counted(int(in.U32()), 1)
		if in.Err != nil {
			return in.Err
		}
		*i = instance{number: i.number, host: h, touched: true, links: map[uint32]*link{}, wake: math.Inf(1)}
		balancer, err := settings.NewReader(wire.Pairs(string(text))).BuildBalancer(seed)
		if err != nil {
			h.say(i, wire.InternalError).Text(err.Error())
		} else {
			i.table = dispatch.NewDispatcher(balancer, i)
		}
	case wire.CrashNow:
		*i = instance{number: i.number, host: h, touched: true}
	case wire.DirectoryUpdate:
		how, page := in.U8(), in.U32()
		in.U64()
		if in.Err == nil && how > 3 {
			return fmt.Errorf("offset %d: a kind of list news up to 3 expected, got %d", at+2, how)
		}
		if in.Err == nil && how != 3 && page >= uint32(len(h.pages)) {
			return fmt.Errorf("offset %d: a page number under %d expected, got %d", at+3, len(h.pages), page)
		}
		if in.Err == nil && i.table != nil {
			h.list(i.table.Balancer, how, page)
		}
	case wire.Incoming, wire.Resumed:
		l := &link{id: in.U32()}
		l.Class, l.Tenant, l.Key, l.Deadline = int(in.U8()), int(in.U32()), in.U64(), in.F64()
		hint, group, options := in.F64(), in.U64(), in.U16()
		if options&1 != 0 && hint > 0 {
			l.LoadHint = hint * 1000
		}
		l.AffinityGroup = group
		server := uint32(0)
		if code == wire.Resumed {
			server = in.U32()
		}
		if in.Err != nil || i.table == nil {
			return in.Err
		}
		if !i.table.Balancer.HasClass(l.Class) {
			return fmt.Errorf("offset %d: a category of the settings expected, got %d", at+6, l.Class)
		}
		i.links[l.id] = l
		if code == wire.Resumed {
			i.table.Balancer.SessionResumed(h.now, &l.Entry.Session, server)
		} else {
			i.table.Assign(h.now, l)
		}
	case wire.Accepted:
		l, round := i.links[in.U32()], int(in.U16())
		in.U32()
		in.F64()
		if in.Err == nil && l != nil && l.Attempt == round {
			i.table.Balancer.SessionEstablished(h.now, &l.Entry.Session)
		}
	case wire.HintUpdate:
		l, round := i.links[in.U32()], int(in.U16())
		in.U32()
		what, amount := in.U8(), in.F32()
		if in.Err == nil && l != nil && l.Attempt == round && what == 1 {
			i.table.Balancer.LoadMeasured(&l.Entry.Session, amount)
		}
	case wire.Completed:
		l, last, round := i.links[in.U32()], in.U8() != 0, int(in.U16())
		server := in.U32()
		in.F64()
		reason := in.U8()
		h.report = in.Report(h.report)
		if in.Err == nil && i.table != nil && len(h.report) > 0 {
			i.table.Balancer.LoadReported(h.now, server, h.report)
		}
		if in.Err == nil && l != nil && l.Attempt == round {
			i.table.AttemptFinished(h.now, l, outcome(reason), last)
		}
	case wire.Vanished:
		if l := i.links[in.U32()]; in.Err == nil && l != nil {
			if !i.table.Balancer.ClientDisconnected(&l.Entry.Session) {
				i.drop(l)
			}
		}
	case wire.Health:
		server := in.U32()
		in.F64()
		reason := in.U8()
		h.report = in.Report(h.report)
		if in.Err == nil && i.table != nil {
			i.table.PollFinished(h.now, server, reason == 0, h.report)
		}
	case wire.Fired:
		if ticket := in.U32(); ticket == i.ticket {
			i.wake = math.Inf(1)
		}
	case wire.NeighbourSays:
		in.U32()
		in.Bytes(int(in.U16()))
	default:
		return fmt.Errorf("offset %d: a code of the wire expected, got %d", at, code)
	}
	return in.Err
}

// outcome puts our word to the wire's reason; one not known may have run.
func outcome(reason uint8) balancer.AttemptOutcome {
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

func (h *host) list(b dispatch.Balancer, how uint8, page uint32) {
	if how == 3 {
		b.WatchFailed(h.now)
		return
	}
	b.BeginEndpointUpdate(how != 0)
	rows := wire.Over(h.pages[page])
	for n := len(h.pages[page]) / wire.EntrySize; n > 0; n-- {
		zone, condition, cell := int(rows.U8()), balancer.EndpointState(rows.U8()), int(rows.U16())
		started := rows.F64()
		rows.U8()
		weight, id := rows.F32(), rows.U32()
		b.UpdateEndpoint(id, zone, condition, cell, started, weight)
	}
	b.EndEndpointUpdate(h.now)
}

// say begins an action of the instance.
func (h *host) say(i *instance, code uint16) *wire.Writer {
	if h.speaker != int(i.number) {
		h.speaker = int(i.number)
		h.out.Record(wire.OnBehalf).U16(i.number)
	}
	return h.out.Record(code)
}

func (i *instance) drop(l *link) {
	i.table.Forget(l)
	delete(i.links, l.id)
}

// Execute says what the module answered.
func (i *instance) Execute(l *link, a balancer.Decision) {
	switch a.Kind {
	case balancer.Assign:
		i.host.say(i, wire.Assign).U32(l.id).U32(a.Backend).F64(a.Timeout)
	case balancer.Reject:
		i.host.say(i, wire.NotNow).U32(l.id).F64(a.Wait)
		i.drop(l)
	case balancer.Fail:
		i.host.say(i, wire.RespondError).U32(l.id)
		i.drop(l)
	default:
		i.drop(l)
	}
}

// Poll has the server asked.
func (i *instance) Poll(id uint32) { i.host.say(i, wire.Test).U32(id) }

// Subscribe has the list asked for.
func (i *instance) Subscribe() { i.host.say(i, wire.Subscribe).U8(1) }

// drive does what is due, and sees to it that a timer brings the next look.
func (h *host) drive(i *instance) {
	if i.table == nil {
		return
	}
	if wake := i.table.Advance(h.now); wake < i.wake {
		i.wake = wake
		i.ticket++
		h.say(i, wire.Schedule).F64(min(max(wake-h.now, 0), 3.6e6)).U32(i.ticket)
	}
}
