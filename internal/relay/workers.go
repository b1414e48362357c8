package relay

import "sync"

const maxIdleWorkers = 64 // workers kept, with their stacks as they have grown

// workerPool do things beside their caller, each at once. Against a new routine for each set-up's dial and ends,
// whose stack grows anew every time: those that are done wait for the next.
type workerPool struct {
	mutex sync.Mutex
	idle  []chan func()
}

func (w *workerPool) run(job func()) {
	w.mutex.Lock()
	var to chan func()
	if n := len(w.idle); n > 0 {
		to, w.idle = w.idle[n-1], w.idle[:n-1]
	}
	w.mutex.Unlock()
	if to == nil {
		to = make(chan func(), 1)
		go w.work(to)
	}
	to <- job // never waits: a worker has one job at a time, and room for it
}

func (w *workerPool) work(jobs chan func()) {
	for job := range jobs {
		job()
		w.mutex.Lock()
		if len(w.idle) >= maxIdleWorkers {
			w.mutex.Unlock()
			return
		}
		w.idle = append(w.idle, jobs)
		w.mutex.Unlock()
	}
}
