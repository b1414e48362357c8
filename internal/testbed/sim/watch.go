package sim

import (
	"errors"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

var errReset = errors.New("watch: connection reset")

const (
	pathCheckInterval = 5.0  // milliseconds between two looks at a path that is cut
	endpointListBytes = 4096 // of a list, on a path of limited bandwidth
)

// watch is one open watch of the endpoint list: what discovery sends arrives in order.
type watch struct {
	process     *relayProcess
	relayNumber uint64
	discoveryID uint64
	lastArrival float64
	inOrder     inOrder
}

func (w *watch) deliver(do func()) {
	arrive := w.inOrder.next(func() {
		if w.process.openWatch == w && !w.process.isExited {
			do()
		}
	})
	w.lastArrival = max(w.lastArrival, w.process.network.now+w.process.network.drawTravelTime())
	w.process.network.after(w.lastArrival-w.process.network.now, func() {
		w.process.sendOverPath(experiment.Discovery, w.process.number, arrive)
	})
}

// inOrder has what is sent over one connection be received in that order, whatever the path does to each part.
type inOrder struct {
	sent     int
	received int
	early    map[int]func() // that has arrived before what was sent ahead of it, by its number
}

// next numbers what is sent now, and returns what to call when it arrives.
func (o *inOrder) next(receive func()) (arrive func()) {
	number := o.sent
	o.sent++
	return func() {
		if o.early == nil {
			o.early = map[int]func(){}
		}
		o.early[number] = receive
		for o.early[o.received] != nil {
			receive := o.early[o.received]
			delete(o.early, o.received)
			o.received++
			receive()
		}
	}
}

// sendOverPath carries bytes from one machine to another, as the path between them allows: held while it is cut.
func (p *relayProcess) sendOverPath(from, to int, do func()) {
	way := p.impairments[[2]int{from, to}]
	switch {
	case way.Cut || p.impairments[[2]int{to, from}].Cut: // no answer comes either, so nothing more is sent
		p.network.after(pathCheckInterval, func() { p.sendOverPath(from, to, do) })
	case way.Reset:
		p.resetWatch()
	case way.Delay > 0 || way.Jitter > 0:
		p.network.after(float64(way.Delay)+float64(way.Jitter)*p.network.rng.Float64(), do)
	case way.BytesPerSecond > 0:
		p.network.after(endpointListBytes*1000/float64(way.BytesPerSecond), do)
	default:
		p.network.after(p.network.drawTravelTime(), do)
	}
}

// resetWatch ends the watch, as its connection was reset.
func (p *relayProcess) resetWatch() {
	if w := p.openWatch; w != nil {
		p.closeWatch()
		p.handle(relay.WatchFailed{Watch: w.relayNumber, Err: errReset})
	}
}

// OnUpdate delivers the endpoint list or its changes.
func (w *watch) OnUpdate(update *relay.EndpointUpdate) {
	w.deliver(func() {
		p := w.process
		p.notifyObserver(update)
		p.network.logf("%s news %d of %d", p.address, len(update.Endpoints), update.Index)
		dated := *update
		dated.DiscoveryTime = p.network.now
		p.handle(relay.EndpointsUpdated{Watch: w.relayNumber, Update: &dated})
	})
}

// notifyObserver tells the observer what the relay is notified of by an update.
func (p *relayProcess) notifyObserver(update *relay.EndpointUpdate) {
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		p.notified[e.Name] = true
		listed[e.Name] = true
		p.observer.EndpointUpdated(p.network.now, p.number, e.Name, e.Status, e.StartedAt)
	}
	if !update.Complete {
		return
	}
	for _, name := range sorted(p.notified) {
		if !listed[name] {
			p.observer.EndpointUpdated(p.network.now, p.number, name, "left", 0)
		}
	}
}

// OnHeartbeat delivers an empty line.
func (w *watch) OnHeartbeat() {
	w.deliver(func() { w.process.handle(relay.WatchHeartbeat{Watch: w.relayNumber}) })
}

// OnFailure delivers the end of the watch.
func (w *watch) OnFailure(err error) {
	w.deliver(func() {
		w.process.openWatch = nil
		w.process.handle(relay.WatchFailed{Watch: w.relayNumber, Err: err})
	})
}
