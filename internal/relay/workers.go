package relay

import "sync"

const maxIdleWorkers = 64 // goroutines kept waiting for jobs

// workerPool runs jobs in the background. Each starts at once: if no worker is idle, a new one is started. Workers are
// reused because the stack of a new goroutine would have to grow again for each dial and each close. The zero value is
// ready to use.
type workerPool struct {
	mutex   sync.Mutex
	idle    []chan func() // the job channels of idle workers
	stopped bool          // workers exit instead of becoming idle
}

// run starts the job without blocking.
func (p *workerPool) run(job func()) {
	jobs := p.takeIdle()
	if jobs == nil {
		jobs = make(chan func(), 1)
		go p.work(jobs)
	}
	jobs <- job // doesn't block: the channel has room for one job, and its worker has no other
}

// takeIdle takes the worker that became idle last out of the pool and returns its job channel; nil if none is idle.
func (p *workerPool) takeIdle() chan func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	jobs := p.idle[last]
	p.idle = p.idle[:last]
	return jobs
}

// work runs the jobs of one worker until the pool no longer keeps it.
func (p *workerPool) work(jobs chan func()) {
	for job := range jobs {
		job()
		if !p.putIdle(jobs) {
			return
		}
	}
}

// putIdle returns a worker to the pool, and reports whether the pool keeps it: it is not stopped and not full.
func (p *workerPool) putIdle(jobs chan func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped || len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, jobs)
	return true
}

// stop ends idle workers at once, and busy ones after their current job. It doesn't wait for the busy ones, as a job
// may take as long as its peer does.
func (p *workerPool) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
	for _, jobs := range p.idle {
		close(jobs)
	}
	p.idle = nil
}
