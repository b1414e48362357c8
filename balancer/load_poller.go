package balancer

import "math"

// LoadPoller schedules polls of the backends' load and keeps their reports. A poll is a health check too.
type LoadPoller struct {
	enabled     bool
	cost        float64 // cost of one poll, as a share of a session's gain
	polledShare float64 // share of the fleet that is polled regularly; below 1, candidates are polled for each session

	polls          pollTimes
	requests       pollRequests
	reports        loadReports
	unreported     unreportedLoads
	candidateDraws []float64 // scratch space of drawCandidates
}

// pollTimes holds the times of polls, by backend.
type pollTimes struct {
	sentAt         []float64 // time at which the poll in flight was sent; NaN: none is in flight
	latestAt       []float64 // time of the latest poll; -Inf: never polled, or due at once
	selectionDraws []float64 // random numbers from 0 to 1: backends whose number is below polledShare are polled regularly
}

// pollRequests holds the polls that sessions wait for and that are not sent yet.
type pollRequests struct {
	isQueued []bool // whether each backend is in the queue
	queue    []int  // backends to be polled, the next one last
}

// NewLoadPoller returns a poller without backends. Cost is the cost of one poll, as a share of a session's gain;
// fields are the names of the fields in a load report.
func NewLoadPoller(enabled bool, cost float64, fields []string) *LoadPoller {
	return &LoadPoller{
		enabled:    enabled,
		cost:       cost,
		reports:    newLoadReports(fields),
		unreported: unreportedLoads{remote: unknownRemoteLoad},
	}
}

// learnsLoads reports whether polls tell the loads of backends that have no sessions.
func (p *LoadPoller) learnsLoads() bool { return p.enabled && p.reports.canRead() }

// grow adds a backend.
func (p *LoadPoller) grow() {
	p.polls.grow()
	p.requests.isQueued = append(p.requests.isQueued, false)
	p.reports.grow()
	p.unreported.grow()
}

func (t *pollTimes) grow() {
	t.sentAt = append(t.sentAt, math.NaN())
	t.latestAt = append(t.latestAt, math.Inf(-1))
	t.selectionDraws = append(t.selectionDraws, 0)
}

// requestPoll queues a poll of the backend for a session, unless one is queued or in flight or the backend's
// latest report is newer than pollInterval.
func (p *LoadPoller) requestPoll(backend int, now float64) {
	if p.isAwaited(backend) || !(now >= p.reports.receivedAt[backend]+pollInterval) {
		return
	}
	p.requests.add(backend)
}

// add queues the backend.
func (r *pollRequests) add(backend int) {
	r.isQueued[backend] = true
	r.queue = append(r.queue, backend)
}

// next removes the next backend from the queue and returns it, or noBackend.
func (r *pollRequests) next() int {
	last := len(r.queue) - 1
	if last < 0 {
		return noBackend
	}
	backend := r.queue[last]
	r.queue = r.queue[:last]
	r.isQueued[backend] = false
	return backend
}

// isAwaited reports whether a poll of the backend is queued or in flight.
func (p *LoadPoller) isAwaited(backend int) bool {
	return p.requests.isQueued[backend] || !math.IsNaN(p.polls.sentAt[backend])
}

// PollFinished records the end of a poll: the backend's report, or that the poll failed.
func (b *Balancer) PollFinished(now float64, id uint32, ok bool, report []float64) {
	backend, known := b.indexByID[id]
	if !known {
		return
	}
	b.poller.polls.sentAt[backend] = math.NaN()
	b.observePoll(backend, ok)
	if !ok {
		b.recordFailure(backend)
		return
	}
	b.recordAnswer(backend, now)
	b.LoadReported(now, id, report)
}

// PollNotSent records that the caller did not send a poll that was due. It does not count as a failure of the
// backend, and the poll is due again later.
func (b *Balancer) PollNotSent(id uint32) {
	if backend, known := b.indexByID[id]; known {
		b.poller.polls.sentAt[backend] = math.NaN()
		b.updateTracking(backend)
	}
}

// forgetLoad drops the backend's latest report and the assignments that it may not include yet.
func (b *Balancer) forgetLoad(backend int) {
	b.poller.unreported.clear(backend)
	b.poller.reports.clear(backend)
}

// SetMaxReportAge sets how many milliseconds old the load in a report may be when the report arrives.
func (b *Balancer) SetMaxReportAge(age float64) { b.poller.reports.maxAge = age }
