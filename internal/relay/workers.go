package relay

import "sync"

const maxIdleWorkers = 64

// workerPool runs jobs beside their callers, each at once. A goroutine that is done waits for the next job: the stack of
// a new one would grow anew for each dial and each close. The zero value is ready to use.
type workerPool struct {
	mutex   sync.Mutex
	idle    []chan func() // the job channels of those that wait
	stopped bool          // nobody waits from now on
}

// run starts the job without waiting.
func (p *workerPool) run(job func()) {
	jobs := p.takeIdle()
	if jobs == nil {
		jobs = make(chan func(), 1)
		go p.work(jobs)
	}
	jobs <- job // doesn't block: a worker has one job at a time, and a channel with room for it
}

// takeIdle returns the job channel of the worker that became idle last; nil where none is.
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

// work runs jobs until enough others are idle.
func (p *workerPool) work(jobs chan func()) {
	for job := range jobs {
		job()
		if !p.putIdle(jobs) {
			return
		}
	}
}

// putIdle reports whether the worker is kept.
func (p *workerPool) putIdle(jobs chan func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped || len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, jobs)
	return true
}

// stop ends idle workers at once, and others once their job is done. It doesn't wait for those: a job may take as long
// as a peer does.
func (p *workerPool) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
	for _, jobs := range p.idle {
		close(jobs)
	}
	p.idle = nil
}
