package relay

import "sync"

const mostIdle = 64 // workers kept, with their stacks as they have grown

// workers do things beside their caller, each at once. Against a new routine for each set-up's dial and ends,
// whose stack grows anew every time: those that are done wait for the next.
type workers struct {
	mutex sync.Mutex
	idle  []chan func()
}

func (w *workers) do(job func()) {
	w.mutex.Lock()
	var to chan func()
	if n := len(w.idle); n > 0 {
		to, w.idle = w.idle[n-1], w.idle[:n-1]
	}
	w.mutex.Unlock()
	if to == nil {
		to = make(chan func(), 1)
		go w.run(to)
	}
	to <- job // never waits: a worker has one job at a time, and room for it
}

func (w *workers) run(jobs chan func()) {
	for job := range jobs {
		job()
		w.mutex.Lock()
		if len(w.idle) >= mostIdle {
			w.mutex.Unlock()
			return
		}
		w.idle = append(w.idle, jobs)
		w.mutex.Unlock()
	}
}
