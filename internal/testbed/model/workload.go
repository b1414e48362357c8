package model

import (
	"math"
	"math/rand"
	"slices"
	"strconv"

	"valeshift/internal/testbed/experiment"
)

const (
	initialSpread = 2000.0 // over which the initial clients come

	// idSpread is an odd number (2^64 by the golden ratio): multiples of it differ in all bits.
	idSpread = 0x9e3779b97f4a7c15
)

// Workload is all clients, and the load balancer that deals them out among the relays. It is the actor for
// their connections.
type Workload struct {
	*Metrics
	// Established is the number of sessions that are established.
	Established int

	host       Host
	observer   Observer
	experiment *experiment.Experiment
	rng        *rand.Rand
	balancer   loadBalancer
	endsAt     float64 // of arrivals and lines
	rateFactor float64
	closed     bool

	clients []*client          // that are not gone
	conns   map[uint64]*client // by connection
	lastID  uint64             // of a session, counted
}

// NewWorkload returns the clients of an experiment. They come to relays at the addresses, in the zones, and
// what they see is counted in the metrics.
func NewWorkload(x *experiment.Experiment, host Host, observer Observer, metrics *Metrics, addresses []string,
	zones []int) *Workload {
	return &Workload{
		Metrics:    metrics,
		host:       host,
		observer:   observer,
		experiment: x,
		rng:        x.Rand(randWorkload, 0),
		balancer:   newLoadBalancer(host, addresses, zones),
		endsAt:     host.Now() + float64(x.Length),
		rateFactor: 1,
		conns:      map[uint64]*client{},
	}
}

// Start has the clients come.
func (w *Workload) Start() {
	now := w.host.Now()
	for i := range w.experiment.Traffic {
		t := &w.experiment.Traffic[i]
		for range t.InitialClients {
			w.addClient(t, now+w.rng.Float64()*initialSpread)
		}
		if t.Rate > 0 {
			w.scheduleArrival(t, now)
		}
	}
}

// scheduleArrival has the next client come. Arrivals go by the times at which they are due, however late the
// testbed is.
func (w *Workload) scheduleArrival(t *experiment.Traffic, due float64) {
	due += w.rng.ExpFloat64() * 1000 / (t.Rate * w.rateFactor)
	if due >= w.endsAt {
		return
	}
	w.host.After(due-w.host.Now(), func() {
		w.addClient(t, due)
		w.scheduleArrival(t, due)
	})
}

// addClient draws a client, which comes when it is due.
func (w *Workload) addClient(t *experiment.Traffic, due float64) {
	c := &client{traffic: t, load: t.Load, wantedAt: due}
	c.zone = w.rng.Intn(w.experiment.Fleet.Zones)
	c.leavesAt = due + w.rng.ExpFloat64()*float64(t.Lifetime)
	c.honorsRetryAfter = w.rng.Float64() < t.HonorsRetryAfter
	c.key = strconv.FormatUint(w.rng.Uint64(), 16)
	if t.LoadSpread > 0 {
		c.load *= math.Exp(w.rng.NormFloat64()*t.LoadSpread - t.LoadSpread*t.LoadSpread/2)
	}
	if t.Groups > 0 {
		c.group = strconv.FormatUint(uint64(w.rng.Intn(t.Groups))*idSpread+1, 16)
	}
	w.host.After(due-w.host.Now(), func() {
		c.index = len(w.clients)
		w.clients = append(w.clients, c)
		w.MaxLag = max(w.MaxLag, w.host.Now()-due)
		w.connect(c)
		w.scheduleLine(c, due+float64(t.LatencyObjective))
	})
}

// SetRateFactor has new clients come at that multiple of the rate, from the next arrival on.
func (w *Workload) SetRateFactor(factor float64) { w.rateFactor = factor }

// ResetConnections resets the connections of that share of the established sessions.
func (w *Workload) ResetConnections(share float64) {
	for _, c := range slices.Clone(w.clients) {
		if c.stage != clientEstablished || w.rng.Float64() >= share {
			continue
		}
		w.observer.ClosedByClient(w.host.Now(), c.session.id)
		w.Established--
		conn := w.detach(c)
		w.host.Reset(conn)
		w.reconnect(c)
	}
}

// RemoveRelay has no client dealt to a relay any more, once the load balancer knows that it is gone or stops as
// planned.
func (w *Workload) RemoveRelay(relay int, planned bool) {
	delay := float64(w.experiment.Relays.DetectionDelay)
	if planned {
		delay = plannedRemovalDelay
	}
	w.balancer.remove(relay, delay)
}

// RestoreRelay has clients dealt to a relay again once it serves.
func (w *Workload) RestoreRelay(relay int) { w.balancer.restore(relay) }

// SetReplacing says that a relay's process is being replaced, and must let every client in, or no longer.
func (w *Workload) SetReplacing(relay int, replacing bool) {
	w.balancer.relays[relay].isReplacing = replacing
}

// Close ends all sessions. Nobody comes any more.
func (w *Workload) Close() {
	w.closed = true
	w.balancer.closed = true
	for _, c := range slices.Clone(w.clients) {
		w.finish(c)
	}
}
