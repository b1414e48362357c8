package model

import (
	"math"
	"math/rand"
	"slices"
	"strconv"

	"valeshift/internal/testbed/experiment"
)

const (
	initialArrivalTime = 2000.0 // time over which the initial clients arrive, in ms

	// idMultiplier is 2^64 divided by the golden ratio, an odd number: its multiples are distinct and differ in all
	// bits.
	idMultiplier = 0x9e3779b97f4a7c15
)

// Workload is all clients, and the load balancer that distributes them among the relays. It is the Actor of their
// connections.
type Workload struct {
	*Metrics
	// Established is the number of sessions that are established.
	Established int

	host       Host
	observer   Observer
	experiment *experiment.Experiment
	rng        *rand.Rand
	balancer   loadBalancer
	endsAt     float64 // time after which no client arrives and no line is sent
	rateFactor float64 // multiplies the arrival rates
	closed     bool    // no client connects any more

	clients      []*client          // clients that have arrived and not left
	conns        map[uint64]*client // clients by connection
	sessionCount uint64             // number of sessions so far, from which their IDs are made
}

// NewWorkload returns the clients of an experiment. They connect to relays at the given addresses and in the given
// zones, and what they see is counted in the metrics.
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

// Start schedules the arrivals of the clients.
func (w *Workload) Start() {
	now := w.host.Now()
	for i := range w.experiment.Traffic {
		t := &w.experiment.Traffic[i]
		for range t.InitialClients {
			w.addClient(t, now+w.rng.Float64()*initialArrivalTime)
		}
		if t.Rate > 0 {
			w.scheduleArrival(t, now)
		}
	}
}

// scheduleArrival schedules the next arrival. Its delay counts from when the arrival before was due, so that a late
// testbed does not lower the rate.
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

// addClient draws a client's properties and schedules its arrival.
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
		c.group = strconv.FormatUint(uint64(w.rng.Intn(t.Groups))*idMultiplier+1, 16)
	}
	w.host.After(due-w.host.Now(), func() {
		c.index = len(w.clients)
		w.clients = append(w.clients, c)
		w.MaxLag = max(w.MaxLag, w.host.Now()-due)
		w.connect(c)
		w.scheduleLine(c, due+float64(t.LatencyObjective))
	})
}

// SetRateFactor multiplies the arrival rates by factor. Arrivals that are already scheduled keep their times.
func (w *Workload) SetRateFactor(factor float64) { w.rateFactor = factor }

// ResetConnections makes that share of the established clients reset their connections and reconnect.
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

// RemoveRelay makes the load balancer send no client to a relay any more once it notices that the relay is gone, or
// stops or drains as planned.
func (w *Workload) RemoveRelay(relay int, planned bool) {
	delay := float64(w.experiment.Relays.DetectionDelay)
	if planned {
		delay = plannedRemovalDelay
	}
	w.balancer.remove(relay, delay)
}

// RestoreRelay makes the load balancer send clients to a relay again once that serves.
func (w *Workload) RestoreRelay(relay int) { w.balancer.restore(relay) }

// SetReplacing sets whether a relay's process is being replaced, in which case the relay must let every client in.
func (w *Workload) SetReplacing(relay int, replacing bool) {
	w.balancer.relays[relay].isReplacing = replacing
}

// Close ends all sessions. No client connects any more.
func (w *Workload) Close() {
	w.closed = true
	w.balancer.closed = true
	for _, c := range slices.Clone(w.clients) {
		w.leave(c)
	}
}
