package balancer

import (
	"math"
	"math/rand"
	"slices"
)

// goldenRatioConjugate is the shift between the buckets of successive backends, as a share of the distance
// between two buckets of one backend. Multiples of it are spread evenly, so the buckets do not clump.
const goldenRatioConjugate = 0.6180339887

// RoundRobin is the weighted round robin over the backends: a table in which each backend has as many buckets
// as its weight, and from which successive sessions take successive buckets.
type RoundRobin struct {
	rng          *rand.Rand
	bucketCounts []int    // number of buckets, by backend
	table        []bucket // all buckets, in order
	position     int      // index of the next bucket
	builtAt      float64  // when the table was built; -Inf: it is rebuilt for the next session
	stale        bool     // loads have changed since the table was built

	sortBins   []int    // scratch space of sortTable: the end of each bin
	sortBuffer []bucket // scratch space of sortTable
}

// bucket is one turn of a backend. Buckets are ordered by their position, from 0 to 1.
type bucket struct {
	position float64
	backend  int
}

// NewRoundRobin returns a RoundRobin with an empty table. The Balancer takes all its random numbers from rng.
func NewRoundRobin(rng *rand.Rand) *RoundRobin {
	return &RoundRobin{rng: rng, builtAt: math.Inf(-1), stale: true}
}

// pick advances to the next bucket whose backend is accepted and returns that backend, or noBackend.
func (t *RoundRobin) pick(accepts func(backend int) bool) int {
	for range t.table {
		backend := t.table[t.position].backend
		t.position = (t.position + 1) % len(t.table)
		if accepts(backend) {
			return backend
		}
	}
	return noBackend
}

// invalidate marks the table to be rebuilt for the next session.
func (t *RoundRobin) invalidate() {
	t.stale = true
	t.builtAt = math.Inf(-1)
}

// rebuild rebuilds the table from the bucket counts. Each backend's buckets are spread evenly over the table,
// shifted by goldenRatioConjugate so that those of several backends do not clump. The table is then used from a
// random bucket on.
func (t *RoundRobin) rebuild(now float64) {
	t.table = t.table[:0]
	for backend, count := range t.bucketCounts {
		_, phase := math.Modf(float64(backend+1) * goldenRatioConjugate)
		for k := range count {
			position := (float64(k) + phase) / float64(count)
			t.table = append(t.table, bucket{position: position, backend: backend})
		}
	}
	t.sortTable()
	t.position = t.rng.Intn(max(len(t.table), 1))
	t.builtAt = now
	t.stale = false
}

// sortTable sorts the table by position, then backend. As positions are spread evenly from 0 to 1, a bin sort
// with as many bins as buckets leaves little to do for the insertion sort that follows.
func (t *RoundRobin) sortTable() {
	t.sortIntoBins()
	for i := 1; i < len(t.table); i++ {
		current := t.table[i]
		insertAt := i
		for insertAt > 0 && current.isBefore(t.table[insertAt-1]) {
			t.table[insertAt] = t.table[insertAt-1]
			insertAt--
		}
		t.table[insertAt] = current
	}
}

// sortIntoBins sorts the table by bins of equal width, and keeps the order of buckets within a bin.
func (t *RoundRobin) sortIntoBins() {
	n := len(t.table)
	bin := func(b bucket) int { return min(int(b.position*float64(n)), n-1) }

	t.sortBins = slices.Grow(t.sortBins[:0], n+1)[:n+1]
	clear(t.sortBins)
	for _, b := range t.table {
		t.sortBins[bin(b)+1]++
	}
	for i := 1; i <= n; i++ {
		t.sortBins[i] += t.sortBins[i-1]
	}

	t.sortBuffer = slices.Grow(t.sortBuffer[:0], n)[:n]
	for _, b := range t.table {
		i := bin(b)
		t.sortBuffer[t.sortBins[i]] = b
		t.sortBins[i]++
	}
	t.table, t.sortBuffer = t.sortBuffer, t.table
}

// isBefore reports whether the bucket precedes the other in the table.
func (b bucket) isBefore(other bucket) bool {
	if b.position != other.position {
		return b.position < other.position
	}
	return b.backend < other.backend
}
