package balancer

import (
	"math"
	"math/rand"
	"slices"
)

// goldenRatioConjugate shifts the buckets of successive backends, so that they do not clump.
const goldenRatioConjugate = 0.6180339887

// RoundRobin is the table of buckets and the walk over it: each backend has as many buckets as its weight,
// and successive sessions take successive buckets.
type RoundRobin struct {
	rng          *rand.Rand
	bucketCounts []int // by backend
	table        []bucket
	position     int     // index of the next bucket
	builtAt      float64 // -Inf: the table is rebuilt for the next session
	stale        bool    // loads have changed since

	sortBins   []int // scratch space of sortTable
	sortBuffer []bucket
}

// bucket is one turn of a backend. Buckets are walked in the order of their position, from 0 to 1.
type bucket struct {
	position float64
	backend  int
}

// NewRoundRobin returns a RoundRobin without a table. All random draws of the Balancer come from rng.
func NewRoundRobin(rng *rand.Rand) *RoundRobin {
	return &RoundRobin{rng: rng, builtAt: math.Inf(-1), stale: true}
}

// pick walks on to the first bucket whose backend is accepted and returns that backend, or noBackend.
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

// invalidate has the table rebuilt for the next session.
func (t *RoundRobin) invalidate() {
	t.stale = true
	t.builtAt = math.Inf(-1)
}

// rebuild makes the table anew from the bucket counts. Each backend's buckets are spread evenly, shifted by
// the golden section so that several backends' do not clump; the walk begins at a random place.
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

// sortTable orders the table by position, then backend. Positions are spread evenly over 0 to 1, so the
// buckets are dealt into as many bins as there are buckets, and only neighbours are left to be compared.
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

// sortIntoBins orders the table by bins of equal width, and leaves the order within a bin as it is.
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

// isBefore reports whether the bucket is walked before the other.
func (b bucket) isBefore(other bucket) bool {
	if b.position != other.position {
		return b.position < other.position
	}
	return b.backend < other.backend
}
