package balancer

import "math"

// EndpointState is the state of a backend according to the endpoint list.
type EndpointState uint8

const (
	// Gone backends are no longer on the list.
	Gone EndpointState = iota
	// Ready backends accept sessions.
	Ready
	// Draining backends keep their sessions for a while and accept no new ones.
	Draining
)

var endpointStateNames = [...]string{"gone", "ready", "draining"}

// String returns the name for logs and tests.
func (s EndpointState) String() string { return enumName(endpointStateNames[:], uint8(s)) }

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        uint32
	Zone      int
	State     EndpointState
	Cell      int     // partition cell
	StartedAt float64 // time at which the backend started; 0: before discovery observed it
	Weight    float64 // relative capacity
}

// EndpointSet holds the backends of the endpoint list. Each backend has a small dense index, under which this and
// the other parts of the Balancer keep their state.
type EndpointSet struct {
	watch  endpointWatch
	update endpointUpdate

	indexByID     map[uint32]int
	ids           []uint32
	states        []EndpointState
	zones         []int
	cells         []int
	weights       []float64    // relative capacity
	startedAt     []float64    // time at which each backend started; 0: before discovery observed it
	assumedStarts map[int]bool // backends from a cached list whose start time is not confirmed

	listReceived    bool    // whether an update has been applied
	initialBackends float64 // number of ready backends in the first list
}

// endpointUpdate is the state of the list update that is being applied.
type endpointUpdate struct {
	mentioned  []bool // whether each backend was mentioned since BeginEndpointUpdate
	isComplete bool   // whether backends that are not mentioned are gone
}

// NewEndpointSet returns an empty set. If the list must be watched, a watch that is silent for watchTimeout
// milliseconds counts as broken.
func NewEndpointSet(mustWatch bool, watchTimeout float64) *EndpointSet {
	if !mustWatch {
		watchTimeout = math.Inf(1)
	}
	return &EndpointSet{
		watch: endpointWatch{
			isRequired: mustWatch,
			timeout:    watchTimeout,
			nextAt:     math.Inf(1),
		},
		indexByID: map[uint32]int{},
	}
}

// grow adds a backend.
func (e *EndpointSet) grow() {
	e.ids = append(e.ids, 0)
	e.states = append(e.states, Gone)
	e.zones = append(e.zones, 0)
	e.cells = append(e.cells, 0)
	e.weights = append(e.weights, 1)
	e.startedAt = append(e.startedAt, 0)
	e.update.mentioned = append(e.update.mentioned, false)
}

// BeginEndpointUpdate begins an update of the list. A complete update mentions every backend on the list.
func (b *Balancer) BeginEndpointUpdate(complete bool) {
	b.update.isComplete = complete
	clear(b.update.mentioned)
}

// UpdateEndpoint applies one entry of the update.
func (b *Balancer) UpdateEndpoint(endpoint Endpoint) {
	backend, known := b.indexByID[endpoint.ID]
	if !known {
		if endpoint.State == Gone {
			return
		}
		backend = b.addBackend(endpoint.ID)
	}
	b.confirmStart(backend, endpoint.StartedAt)
	if endpoint.StartedAt > b.startedAt[backend] {
		b.recordRestart(backend, endpoint.StartedAt)
	}
	b.states[backend] = endpoint.State
	b.zones[backend] = endpoint.Zone
	b.cells[backend] = endpoint.Cell
	b.weights[backend] = endpoint.Weight
	b.update.mentioned[backend] = true
	b.updateTracking(backend)
}

// EndEndpointUpdate ends the update. After a complete one, backends that it did not mention are gone.
func (b *Balancer) EndEndpointUpdate(now float64) {
	if b.update.isComplete {
		b.removeUnmentioned()
	}
	if !b.listReceived {
		b.attempts.establishedAsOf = now
		b.countInitialBackends()
	}
	b.roundRobin.invalidate()
	b.scheduleWatch(now)
	b.listReceived = true
}

// removeUnmentioned marks backends that the update did not mention as gone.
func (b *Balancer) removeUnmentioned() {
	for backend, mentioned := range b.update.mentioned {
		if !mentioned {
			b.states[backend] = Gone
			b.updateTracking(backend)
		}
	}
}

// countInitialBackends counts the ready backends of the first list.
func (b *Balancer) countInitialBackends() {
	for _, state := range b.states {
		if state == Ready {
			b.initialBackends++
		}
	}
}

// addBackend assigns an index to the ID and returns it: the index of a backend that is gone and has no sessions
// left, or a new one.
func (b *Balancer) addBackend(id uint32) int {
	backend := b.findFreeIndex()
	if backend == noBackend {
		backend = len(b.ids)
		b.growParts()
	}
	delete(b.indexByID, b.ids[backend])
	b.indexByID[id] = backend
	b.ids[backend] = id
	b.startedAt[backend] = 0
	b.outliers.reset(backend)
	b.slowStart.startedAt[backend] = math.Inf(-1)
	b.poller.polls.sentAt[backend] = math.NaN()
	b.poller.polls.latestAt[backend] = math.Inf(-1)
	b.poller.polls.selectionDraws[backend] = b.rng.Float64()
	b.forgetLoad(backend)
	b.updateTracking(backend)
	return backend
}

// findFreeIndex returns the index of a backend that is gone and has no sessions left, or noBackend.
func (b *Balancer) findFreeIndex() int {
	for backend, state := range b.states {
		if state == Gone && b.usage.counts[backend] == 0 {
			return backend
		}
	}
	return noBackend
}

// growParts makes room for one more backend in every part of the Balancer.
func (b *Balancer) growParts() {
	b.EndpointSet.grow()
	b.outliers.grow()
	b.slowStart.grow()
	b.poller.grow()
	b.usage.grow()
	b.roundRobin.bucketCounts = append(b.roundRobin.bucketCounts, 0)
	b.tracker.grow(len(b.ids))
}

// BackendStatus is what a Balancer knows of a backend.
type BackendStatus struct {
	Sessions   int     // number of this relay's sessions on it, including those being established
	ReportedAt float64 // time of its latest load report; -Inf: never
	IsExcluded bool    // whether it gets no new sessions, as it is not ready or does not answer
}

// BackendStatus returns what is known of the backend.
func (b *Balancer) BackendStatus(id uint32) BackendStatus {
	backend, known := b.indexByID[id]
	if !known {
		return BackendStatus{ReportedAt: math.Inf(-1), IsExcluded: true}
	}
	return BackendStatus{
		Sessions:   b.usage.counts[backend],
		ReportedAt: b.poller.reports.receivedAt[backend],
		IsExcluded: b.states[backend] != Ready || !b.outliers.isHealthy(backend),
	}
}
