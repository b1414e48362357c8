package balancer

// pollQueue keeps backends in a binary heap by when a poll is due at the shortest interval.
type pollQueue struct {
	heap     []int
	position []int     // of a backend in the heap, from 1; 0: not in it
	dueAt    []float64 // by backend
}

// grow makes room for n backends.
func (q *pollQueue) grow(n int) {
	for len(q.position) < n {
		q.position = append(q.position, 0)
		q.dueAt = append(q.dueAt, 0)
	}
}

// set adds the backend, or moves it to its new place.
func (q *pollQueue) set(backend int, dueAt float64) {
	q.dueAt[backend] = dueAt
	if q.position[backend] == 0 {
		q.heap = append(q.heap, backend)
		q.position[backend] = len(q.heap)
	}
	q.siftDown(q.siftUp(q.position[backend] - 1))
}

// remove removes the backend, if it is there.
func (q *pollQueue) remove(backend int) {
	at := q.position[backend] - 1
	if at < 0 {
		return
	}
	last := len(q.heap) - 1
	q.swap(at, last)
	q.heap = q.heap[:last]
	q.position[backend] = 0
	if at < last {
		q.siftDown(q.siftUp(at))
	}
}

func (q *pollQueue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.position[q.heap[i]] = i + 1
	q.position[q.heap[j]] = j + 1
}

func (q *pollQueue) less(i, j int) bool { return q.dueAt[q.heap[i]] < q.dueAt[q.heap[j]] }

// siftUp moves the entry towards the root and returns its new place.
func (q *pollQueue) siftUp(i int) int {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

// siftDown moves the entry towards the leaves.
func (q *pollQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

// pollSearch is one search for the backend that is to be polled now: the first in order of index, or how long
// to wait.
type pollSearch struct {
	now      float64
	interval float64 // between two polls of a healthy backend
	share    float64 // of the fleet that is polled
	backend  int     // result, or noBackend
	wait     float64 // result: until the next poll is due
}

// pollRounding is what a heap's time may be off by rounding, in milliseconds.
const pollRounding = 0.01

// searchQueue searches the part of a heap below an entry. A backend is due later than the heap says by extra
// at the least.
func (b *Balancer) searchQueue(queue *pollQueue, entry int, extra float64, search *pollSearch) {
	if entry >= len(queue.heap) {
		return
	}
	backend := queue.heap[entry]
	if queue.dueAt[backend]+extra-pollRounding > search.now+max(search.wait, 0) {
		return
	}
	if b.poller.polls.selectionDraws[backend] < search.share {
		wait := b.nextPollAt(backend, search.interval) - search.now
		search.wait = min(search.wait, wait)
		if wait <= 0 && (search.backend < 0 || backend < search.backend) {
			search.backend = backend
		}
	}
	b.searchQueue(queue, 2*entry+1, extra, search)
	b.searchQueue(queue, 2*entry+2, extra, search)
}
