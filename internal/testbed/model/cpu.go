package model

import "container/heap"

const (
	// maxTimerDelay is the longest time until the jobs are checked again, in ms. A backend in slow start gets
	// faster meanwhile, so the end of a job can't be computed far ahead.
	maxTimerDelay = 1000.0
	// minTimerDelay is the shortest time until the jobs are checked again, in ms. The clock may not resolve a
	// shorter one.
	minTimerDelay = 0.001

	minWorkRate    = 1e-9 // lower bound of a work rate by which is divided, against a division by zero
	doneEpsilon    = 1e-9 // work that a finished job may lack because of rounding, in ms of a core of speed 1
	loadReportWork = 0.01 // work of answering a poll or a health check once a stall has ended, in ms of a core of speed 1
	maxQueuedLines = 3    // lines of a session that wait at the same time with work to do; further ones need no work
)

// cpu is the work of a backend: jobs that share its cores evenly. Its clock counts the work that each job has
// received, so it runs the slower the more jobs share the cores. The value of the clock at which a job ends is
// therefore known when the job starts.
type cpu struct {
	jobs       jobHeap
	workClock  float64 // work that each job has received up to advancedAt, in ms of a core of speed 1
	advancedAt float64 // time of the last update of workClock
	lastSeq    int     // sequence number of the latest job
	timer      int     // number of the pending timer; earlier ones do nothing when they fire
}

// job is a piece of work for the cores.
type job struct {
	endsAt float64 // value of the work clock at which the job ends
	seq    int     // sequence number; of two jobs that end together, the one with the lower number ends first
	done   func()  // called when the job has ended
}

// dropAll drops all jobs without finishing them.
func (c *cpu) dropAll() {
	c.jobs = nil
	c.timer++
}

// jobHeap is a heap.Interface with the job that ends next at the top.
type jobHeap []job

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether job i ends before job j.
func (h jobHeap) Less(i, j int) bool {
	if h[i].endsAt != h[j].endsAt {
		return h[i].endsAt < h[j].endsAt
	}
	return h[i].seq < h[j].seq
}

// Swap swaps two jobs.
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a job.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(job)) }

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = job{}
	*h = (*h)[:last]
	return popped
}

// workRate returns the work that each job receives per millisecond, in ms of a core of speed 1.
func (b *Backend) workRate(now float64) float64 {
	count := float64(len(b.cpu.jobs))
	if count == 0 || b.faults.stalled {
		return 0
	}
	return min(b.Speed*b.faults.speedFactor*b.capacityShare(now), b.Capacity(now)/count)
}

// advanceWorkClock advances the work clock to the present time at the present rate.
func (b *Backend) advanceWorkClock() {
	now := b.host.Now()
	b.cpu.workClock += (now - b.cpu.advancedAt) * b.workRate(now)
	b.cpu.advancedAt = now
}

// changeRate applies a change that affects the work rate.
func (b *Backend) changeRate(change func()) {
	b.advanceWorkClock()
	change()
	b.scheduleCompletion()
}

// work starts a job of the given amount of work, in ms of a core of speed 1, and calls done when the job ends.
func (b *Backend) work(amount float64, done func()) {
	b.advanceWorkClock()
	b.cpu.lastSeq++
	heap.Push(&b.cpu.jobs, job{endsAt: b.cpu.workClock + amount, seq: b.cpu.lastSeq, done: done})
	b.addDemand(amount)
	b.scheduleCompletion()
}

// scheduleCompletion sets the timer for the end of the next job to end.
func (b *Backend) scheduleCompletion() {
	b.cpu.timer++
	if len(b.cpu.jobs) == 0 || b.faults.stalled {
		return
	}
	timer := b.cpu.timer
	remaining := b.cpu.jobs[0].endsAt - b.cpu.workClock
	wait := max(remaining/max(b.workRate(b.host.Now()), minWorkRate), minTimerDelay)
	b.host.After(min(wait, maxTimerDelay), func() {
		if timer == b.cpu.timer {
			b.finishJobs()
		}
	})
}

// finishJobs ends the jobs that are done, and sets the timer for the next one.
func (b *Backend) finishJobs() {
	b.advanceWorkClock()
	for len(b.cpu.jobs) > 0 && b.cpu.jobs[0].endsAt <= b.cpu.workClock+doneEpsilon {
		heap.Pop(&b.cpu.jobs).(job).done()
	}
	b.scheduleCompletion()
}
