package adapter

import (
	"fmt"
	"math"

	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/settings"
	"valeshift/internal/wire"
)

// maxTimer is the longest timer that the simulator sets, in milliseconds.
const maxTimer = 3.6e6

// loadPerHint converts a load hint, in milliseconds of work a second, to a load, in microseconds of work a second.
const loadPerHint = 1000

// session is a session of an instance, under the ID that the simulator gave it.
type session struct {
	dispatch.Entry
	id uint32
}

// instance is one relay. It reads and writes by its host's reader and writer.
type instance struct {
	number     uint16
	host       *host
	dispatcher *dispatch.Dispatcher[*session] // nil: the instance has not started, or has crashed
	sessions   map[uint32]*session            // sessions by ID
	wakeAt     float64                        // when the latest timer fires, in milliseconds; +Inf: no timer is set
	timerToken uint32                         // token of the latest timer; earlier timers are ignored when they fire
	touched    bool                           // whether the instance had an event in this batch
}

// handleEvent reads one record and reports it to the balancer. A record for an instance that has not started, or for a
// session or backend that is not known any more, is read and ignored. A truncated record sets the reader's error.
func (i *instance) handleEvent(code wire.EventCode, offset int) error {
	reader := i.host.reader
	switch code {
	case wire.Hello:
		i.handleHello()
	case wire.CrashNow:
		*i = instance{number: i.number, host: i.host, touched: true}
	case wire.DirectoryUpdate:
		return i.handleDirectoryUpdate(offset)
	case wire.Incoming:
		return i.handleIncoming(offset)
	case wire.Resumed:
		return i.handleResumed(offset)
	case wire.Accepted:
		i.handleAccepted()
	case wire.HintUpdate:
		i.handleHintUpdate()
	case wire.Completed:
		i.handleCompleted()
	case wire.Vanished:
		i.handleVanished()
	case wire.Health:
		i.handleHealth()
	case wire.Fired:
		if token := reader.Uint32(); token == i.timerToken {
			i.wakeAt = math.Inf(1)
		}
	case wire.NeighbourSays:
		reader.Uint32()
		reader.Bytes(int(reader.Uint16()))
	default:
		return fmt.Errorf("offset %d: a code of the wire expected, got %d", offset, code)
	}
	return nil
}

// handleHello starts or restarts the instance, with the seed and the settings of the record.
func (i *instance) handleHello() {
	reader := i.host.reader
	seed := reader.Uint64()
	text := reader.Elements(int(reader.Uint32()), 1)
	if reader.Err != nil {
		return
	}
	*i = instance{
		number:   i.number,
		host:     i.host,
		touched:  true,
		sessions: map[uint32]*session{},
		wakeAt:   math.Inf(1),
	}
	b, err := settings.NewReader(wire.ParseSettings(string(text))).BuildBalancer(seed)
	if err != nil {
		i.begin(wire.InternalError).Text(err.Error())
		return
	}
	i.dispatcher = dispatch.NewDispatcher[*session](b, i)
}

// handleDirectoryUpdate applies an update of the endpoint list.
func (i *instance) handleDirectoryUpdate(offset int) error {
	reader := i.host.reader
	kind := wire.UpdateKind(reader.Uint8())
	page := reader.Uint32()
	reader.Uint64() // the list's version
	if reader.Err != nil {
		return reader.Err
	}
	if kind >= wire.UpdateKinds {
		return fmt.Errorf("offset %d: a kind of list update under %d expected, got %d", offset+2, wire.UpdateKinds, kind)
	}
	if kind != wire.UpdateFailed {
		if err := checkPage(page, offset+3); err != nil {
			return err
		}
	}
	if i.dispatcher == nil {
		return nil
	}
	if kind == wire.UpdateFailed {
		i.dispatcher.Balancer.WatchFailed(i.host.now)
		return nil
	}
	i.updateEndpoints(kind != wire.UpdateDelta, i.host.pages[page])
	return nil
}

// updateEndpoints applies the entries of a page, as the whole list if full is set, or else as changes to it.
func (i *instance) updateEndpoints(full bool, rows []byte) {
	b := i.dispatcher.Balancer
	b.BeginEndpointUpdate(full)
	fields := wire.NewFieldReader(rows)
	for range len(rows) / wire.EndpointSize {
		b.UpdateEndpoint(readEndpoint(fields))
	}
	b.EndEndpointUpdate(i.host.now)
}

// readEndpoint reads one entry of the endpoint list.
func readEndpoint(fields *wire.Reader) balancer.Endpoint {
	var endpoint balancer.Endpoint
	endpoint.Zone = int(fields.Uint8())
	endpoint.State = balancer.EndpointState(fields.Uint8())
	endpoint.Cell = int(fields.Uint16())
	endpoint.StartedAt = fields.Float64()
	fields.Uint8() // the kind of machine
	endpoint.Weight = fields.Float32()
	endpoint.ID = fields.Uint32()
	return endpoint
}

// handleIncoming has the balancer assign a new session.
func (i *instance) handleIncoming(offset int) error {
	s := i.readSession()
	added, err := i.addSession(s, offset)
	if added {
		i.dispatcher.Assign(i.host.now, s)
	}
	return err
}

// handleResumed adds a session that is established already, and its backend.
func (i *instance) handleResumed(offset int) error {
	s := i.readSession()
	backend := i.host.reader.Uint32()
	added, err := i.addSession(s, offset)
	if added {
		i.dispatcher.Balancer.SessionResumed(i.host.now, &s.Session, backend)
	}
	return err
}

// readSession reads the fields that Incoming and Resumed share.
func (i *instance) readSession() *session {
	reader := i.host.reader
	s := &session{id: reader.Uint32()}
	s.Class = int(reader.Uint8())
	s.Tenant = int(reader.Uint32())
	s.Key = reader.Uint64()
	s.Deadline = reader.Float64()
	hint := reader.Float64()
	s.AffinityGroup = reader.Uint64()
	options := reader.Uint16()
	if options&wire.OptionHintValid != 0 && hint > 0 {
		s.LoadHint = hint * loadPerHint
	}
	return s
}

// addSession adds the session if it was read whole and the instance is running, and reports whether it did. It returns
// an error for an unknown class.
func (i *instance) addSession(s *session, offset int) (added bool, err error) {
	if i.host.reader.Err != nil || i.dispatcher == nil {
		return false, nil
	}
	if !i.dispatcher.Balancer.HasClass(s.Class) {
		return false, fmt.Errorf("offset %d: a class of the settings expected, got %d", offset+6, s.Class)
	}
	i.sessions[s.id] = s
	return true, nil
}

// readAttempt reads the ID of a session and the number of an attempt, and returns the session if that is its latest
// attempt, or else nil.
func (i *instance) readAttempt() *session {
	s := i.sessions[i.host.reader.Uint32()]
	attempt := int(i.host.reader.Uint16())
	if s == nil || s.Attempt != attempt {
		return nil
	}
	return s
}

// handleAccepted reports that a backend has accepted an attempt, so that the session is established.
func (i *instance) handleAccepted() {
	reader := i.host.reader
	s := i.readAttempt()
	reader.Uint32()  // the backend
	reader.Float64() // the time since the attempt began
	if reader.Err == nil && s != nil {
		i.dispatcher.Balancer.SessionEstablished(i.host.now, &s.Session)
	}
}

// handleHintUpdate reports the load of an established session.
func (i *instance) handleHintUpdate() {
	reader := i.host.reader
	s := i.readAttempt()
	reader.Uint32() // the backend
	kind := reader.Uint8()
	amount := reader.Float32()
	if reader.Err == nil && s != nil && kind == wire.HintLoad {
		i.dispatcher.Balancer.LoadMeasured(&s.Session, amount)
	}
}

// handleCompleted reports the end of an attempt, or of the session that it established.
func (i *instance) handleCompleted() {
	reader := i.host.reader
	s := i.sessions[reader.Uint32()]
	last := reader.Uint8() != 0
	attempt := int(reader.Uint16())
	backend := reader.Uint32()
	reader.Float64() // the time since the attempt began
	reason := wire.Reason(reader.Uint8())
	i.host.reportBuffer = reader.LoadReport(i.host.reportBuffer)
	if reader.Err != nil {
		return
	}
	if i.dispatcher != nil && len(i.host.reportBuffer) > 0 {
		i.dispatcher.Balancer.LoadReported(i.host.now, backend, i.host.reportBuffer)
	}
	if s != nil && s.Attempt == attempt {
		i.dispatcher.AttemptFinished(i.host.now, s, outcomeOf(reason), last)
	}
}

// handleVanished reports that a client has disconnected.
func (i *instance) handleVanished() {
	s := i.sessions[i.host.reader.Uint32()]
	if i.host.reader.Err != nil || s == nil {
		return
	}
	if outcomeDue := i.dispatcher.Balancer.ClientDisconnected(&s.Session); !outcomeDue {
		i.forget(s)
	}
}

// handleHealth reports the outcome of a load poll.
func (i *instance) handleHealth() {
	reader := i.host.reader
	backend := reader.Uint32()
	reader.Float64() // the time since the poll was sent
	reason := wire.Reason(reader.Uint8())
	i.host.reportBuffer = reader.LoadReport(i.host.reportBuffer)
	if reader.Err == nil && i.dispatcher != nil {
		i.dispatcher.PollFinished(i.host.now, backend, reason == wire.ReasonOK, i.host.reportBuffer)
	}
}

// outcomeOf returns the balancer's outcome for a reason. An unknown reason is OutcomeFailed, after which the request
// counts as possibly executed.
func outcomeOf(reason wire.Reason) balancer.AttemptOutcome {
	switch reason {
	case wire.ReasonOK:
		return balancer.OutcomeSucceeded
	case wire.ReasonFull:
		return balancer.OutcomeRejected
	case wire.ReasonTimeout:
		return balancer.OutcomeTimedOut
	case wire.ReasonConnectFailed:
		return balancer.OutcomeUnreachable
	case wire.ReasonReset:
		return balancer.OutcomeConnectionLost
	case wire.ReasonCanceled:
		return balancer.OutcomeCanceled
	case wire.ReasonMoot:
		return balancer.OutcomeNotSent
	default:
		return balancer.OutcomeFailed
	}
}

// advance has the dispatcher do what is due, and sets a timer for its next wake-up unless a timer fires before that.
func (i *instance) advance() {
	if i.dispatcher == nil {
		return
	}
	now := i.host.now
	wake := i.dispatcher.Advance(now)
	if wake >= i.wakeAt {
		return
	}
	i.wakeAt = wake
	i.timerToken++
	i.begin(wire.Schedule).Float64(min(max(wake-now, 0), maxTimer)).Uint32(i.timerToken)
}

// Execute writes the action that carries out a decision, and forgets the session unless it was assigned.
func (i *instance) Execute(s *session, decision balancer.Decision) {
	switch decision.Kind {
	case balancer.Assign:
		i.begin(wire.Assign).Uint32(s.id).Uint32(decision.Backend).Float64(decision.Timeout)
		return
	case balancer.Reject:
		i.begin(wire.NotNow).Uint32(s.id).Float64(decision.Wait)
	case balancer.Fail:
		i.begin(wire.RespondError).Uint32(s.id)
	}
	i.forget(s)
}

// Poll writes the action that polls the load of a backend.
func (i *instance) Poll(id uint32) { i.begin(wire.Test).Uint32(id) }

// Subscribe writes the action that opens a watch on the endpoint list.
func (i *instance) Subscribe() { i.begin(wire.Subscribe).Uint8(1) }

// begin begins an action of the instance. It writes an OnBehalf record first if the reply's last action was another
// instance's.
func (i *instance) begin(code wire.ActionCode) *wire.Writer {
	if i.host.onBehalfOf != int(i.number) {
		i.host.onBehalfOf = int(i.number)
		i.host.writer.Begin(wire.OnBehalf).Uint16(i.number)
	}
	return i.host.writer.Begin(code)
}

// forget removes a session that has ended.
func (i *instance) forget(s *session) {
	i.dispatcher.Forget(s)
	delete(i.sessions, s.id)
}
