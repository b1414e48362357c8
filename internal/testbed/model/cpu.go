package model

import "container/heap"

const (
	// maxLook is the longest time until the next look at the jobs. A cold backend gets faster meanwhile, so the
	// time of a job's end is not known long before.
	maxLook = 1000.0
	// minLook keeps a look from being due sooner than the clock can tell.
	minLook = 0.001

	minWorkRate  = 1e-9 // against a division by zero
	doneEpsilon  = 1e-9 // of work that a job may lack and still be done
	statusWork   = 0.01 // of answering a poll or a health check, where the backend is stalled
	maxLineQueue = 3    // lines of a session whose work counts; further ones cost nothing
)

// cpu is a backend's work: jobs that share its cores evenly. Its clock runs in work per job, the slower the
// more jobs share the cores, so that each job ends at a point of that clock which is known when it begins.
type cpu struct {
	jobs       jobHeap
	workClock  float64 // work that each job has had by reckonedAt
	reckonedAt float64
	nextSeq    int
	look       int // number of the look at the jobs that is due; former ones do nothing
}

// job is work on the cores.
type job struct {
	endsAt float64 // on the work clock
	seq    int     // of two that end at once, the one that began first does so first
	done   func()
}

// dropAll drops all jobs, unfinished.
func (c *cpu) dropAll() {
	c.jobs = nil
	c.look++
}

// jobHeap has the job that ends next at its top.
type jobHeap []job

// Len is for package heap, as all methods of the type are.
func (h jobHeap) Len() int { return len(h) }

// Less tells whether job i ends before job j.
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

// workRate is how much work each job gets in a millisecond.
func (b *Backend) workRate(now float64) float64 {
	count := float64(len(b.cpu.jobs))
	if count == 0 || b.faults.stalled {
		return 0
	}
	return min(b.Speed*b.faults.speedFactor*b.warmth(now), b.Capacity(now)/count)
}

// reckonWork brings the work clock up to now, at the present rate.
func (b *Backend) reckonWork() {
	now := b.host.Now()
	b.cpu.workClock += (now - b.cpu.reckonedAt) * b.workRate(now)
	b.cpu.reckonedAt = now
}

// changeRate changes what the rate of work depends on.
func (b *Backend) changeRate(change func()) {
	b.reckonWork()
	change()
	b.scheduleLook()
}

// work begins a job of that many milliseconds of a core of speed one, and calls done at its end.
func (b *Backend) work(amount float64, done func()) {
	b.reckonWork()
	b.cpu.nextSeq++
	heap.Push(&b.cpu.jobs, job{endsAt: b.cpu.workClock + amount, seq: b.cpu.nextSeq, done: done})
	b.offer(amount)
	b.scheduleLook()
}

// scheduleLook looks at the jobs again when the first is done.
func (b *Backend) scheduleLook() {
	b.cpu.look++
	if len(b.cpu.jobs) == 0 || b.faults.stalled {
		return
	}
	look := b.cpu.look
	remaining := b.cpu.jobs[0].endsAt - b.cpu.workClock
	wait := max(remaining/max(b.workRate(b.host.Now()), minWorkRate), minLook)
	b.host.After(min(wait, maxLook), func() {
		if look == b.cpu.look {
			b.finishJobs()
		}
	})
}

// finishJobs ends the jobs that are done.
func (b *Backend) finishJobs() {
	b.reckonWork()
	for len(b.cpu.jobs) > 0 && b.cpu.jobs[0].endsAt <= b.cpu.workClock+doneEpsilon {
		heap.Pop(&b.cpu.jobs).(job).done()
	}
	b.scheduleLook()
}
