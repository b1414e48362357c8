package balancer

import "math"

// defaultMaxReportAge is the age of a report, in milliseconds, that is assumed where none was set.
const defaultMaxReportAge = 1500.0

// LoadPoller polls backends for their load and keeps what they report. A poll is a health check too.
type LoadPoller struct {
	enabled         bool
	cost            float64 // of one poll, as a share of a session's gain
	reportField     int     // index of the report's field that the load is read from
	hasAbsoluteLoad bool    // loads are shares of a capacity, so that fixed limits apply to them
	maxReportAge    float64

	loads          []float64 // NaN: unknown
	reportedAt     []float64 // -Inf: never
	pollSentAt     []float64 // of the poll in flight; NaN: none
	polledAt       []float64 // -Inf: never, or due at once
	selectionDraws []float64 // from 0 to 1: backends below the active share are polled regularly
	requested      []bool    // a poll for a session is due, by backend
	requestQueue   []int

	// Sessions of this relay that a backend's report may not include yet.
	recentAssignments [][]assignment
	unreportedLoads   []float64 // sum of their loads, by backend
	unreportedTotal   float64   // sum over all backends
	remoteUnreported  float64   // the same of all other relays together; below 0: unknown
}

// NewLoadPoller returns a poller without backends. Cost is that of one poll, as a share of a session's gain;
// fields are the names of the reports' fields.
func NewLoadPoller(enabled bool, cost float64, fields []string) *LoadPoller {
	p := &LoadPoller{
		enabled:          enabled,
		cost:             cost,
		maxReportAge:     defaultMaxReportAge,
		remoteUnreported: -1,
	}
	p.selectField(fields)
	return p
}

// grow adds a backend.
func (p *LoadPoller) grow() {
	p.loads = append(p.loads, math.NaN())
	p.reportedAt = append(p.reportedAt, math.Inf(-1))
	p.pollSentAt = append(p.pollSentAt, math.NaN())
	p.polledAt = append(p.polledAt, math.Inf(-1))
	p.selectionDraws = append(p.selectionDraws, 0)
	p.requested = append(p.requested, false)
	p.recentAssignments = append(p.recentAssignments, nil)
	p.unreportedLoads = append(p.unreportedLoads, 0)
}

// requestPoll has the backend polled for a session, unless a poll is due or in flight or its report is new.
func (p *LoadPoller) requestPoll(backend int, now float64) {
	if p.isAwaited(backend) || !(now >= p.reportedAt[backend]+pollInterval) {
		return
	}
	p.requested[backend] = true
	p.requestQueue = append(p.requestQueue, backend)
}

// nextRequested removes the next backend from the queue of requested polls and returns it, or noBackend.
func (p *LoadPoller) nextRequested() int {
	last := len(p.requestQueue) - 1
	if last < 0 {
		return noBackend
	}
	backend := p.requestQueue[last]
	p.requestQueue = p.requestQueue[:last]
	p.requested[backend] = false
	return backend
}

// isAwaited reports whether a poll of the backend is due or in flight.
func (p *LoadPoller) isAwaited(backend int) bool {
	return p.requested[backend] || !math.IsNaN(p.pollSentAt[backend])
}

// PollFinished records the end of a poll: its report, or that it failed.
func (b *Balancer) PollFinished(now float64, id uint32, ok bool, report []float64) {
	backend, known := b.indexByID[id]
	if !known {
		return
	}
	b.poller.pollSentAt[backend] = math.NaN()
	b.observePoll(backend, ok)
	if !ok {
		b.recordFailure(backend)
		return
	}
	b.recordAnswer(backend, now)
	b.LoadReported(now, id, report)
}

// PollNotSent records that a poll which was due was not sent. That says nothing of the backend, and the poll
// is due again later.
func (b *Balancer) PollNotSent(id uint32) {
	if backend, known := b.indexByID[id]; known {
		b.poller.pollSentAt[backend] = math.NaN()
		b.updateTracking(backend)
	}
}

// forgetLoad drops what the backend has reported.
func (b *Balancer) forgetLoad(backend int) {
	p := b.poller
	p.unreportedTotal -= p.unreportedLoads[backend]
	p.unreportedLoads[backend] = 0
	p.recentAssignments[backend] = p.recentAssignments[backend][:0]
	p.loads[backend] = math.NaN()
	p.reportedAt[backend] = math.Inf(-1)
}

// SetMaxReportAge sets how many milliseconds old a report may be.
func (b *Balancer) SetMaxReportAge(age float64) { b.poller.maxReportAge = age }
