package balancer

// pollQueue is a binary heap of backends, ordered by the time at which their next poll is due at the shortest
// interval.
type pollQueue struct {
	heap     []int
	position []int     // position of each backend in the heap, from 1; 0: not in it
	dueAt    []float64 // time at which each backend's next poll is due
}

// grow makes room for n backends.
func (q *pollQueue) grow(n int) {
	for len(q.position) < n {
		q.position = append(q.position, 0)
		q.dueAt = append(q.dueAt, 0)
	}
}

// set adds the backend, or moves it to the position for its new time.
func (q *pollQueue) set(backend int, dueAt float64) {
	q.dueAt[backend] = dueAt
	if q.position[backend] == 0 {
		q.heap = append(q.heap, backend)
		q.position[backend] = len(q.heap)
	}
	q.siftDown(q.siftUp(q.position[backend] - 1))
}

// remove removes the backend if it is in the queue.
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

// siftUp moves the entry towards the root and returns its new position.
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

// pollSearch is one search for the backend to be polled now, which is the one of lowest index that is due. If none
// is due, it finds how long to wait.
type pollSearch struct {
	now      float64
	interval float64 // milliseconds between two polls of a healthy backend
	share    float64 // share of the fleet that is polled regularly
	backend  int     // result: the backend to be polled, or noBackend
	wait     float64 // result: milliseconds until the next poll is due
}

// dueAtTolerance is how far a time in the heap may be off by rounding, in milliseconds.
const dueAtTolerance = 0.01

// searchQueue searches the part of a heap from an entry downwards. Each backend is due later than its time in
// the heap by at least extra milliseconds.
func (b *Balancer) searchQueue(queue *pollQueue, entry int, extra float64, search *pollSearch) {
	if entry >= len(queue.heap) {
		return
	}
	backend := queue.heap[entry]
	if queue.dueAt[backend]+extra-dueAtTolerance > search.now+max(search.wait, 0) {
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
