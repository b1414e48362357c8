package sim

import (
	"errors"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

var errReset = errors.New("watch: connection reset")

const (
	pathCheckInterval = 5.0  // milliseconds between two checks of a path that is cut
	endpointListBytes = 4096 // assumed size in bytes of any message on a path of limited bandwidth
)

// watch is one open watch of the endpoint list. What discovery sends on it arrives in order.
type watch struct {
	process          *relayProcess
	relayWatchID     uint64  // the watch's ID in the relay's state machine
	discoveryWatchID uint64  // the watch's ID at the discovery service
	lastArrival      float64 // virtual time in milliseconds at which the latest message has crossed the network
	orderedStream    orderedStream
}

// isOpen reports whether the relay has not closed the watch.
func (w *watch) isOpen() bool { return w.process.openWatches[w.relayWatchID] == w }

// deliver has do called when a message that discovery sends now has arrived, unless the watch is closed by then.
func (w *watch) deliver(do func()) {
	arrive := w.orderedStream.send(func() {
		if w.isOpen() && !w.process.isExited {
			do()
		}
	})
	w.lastArrival = max(w.lastArrival, w.process.network.now+w.process.network.drawDelay())
	w.process.network.after(w.lastArrival-w.process.network.now, func() {
		w.process.sendOverPath(experiment.Discovery, w.process.number, arrive)
	})
}

// orderedStream delivers the messages of one connection in the order in which they were sent, although the path may
// delay each by a different time.
type orderedStream struct {
	nextSent     int            // number of the next message to be sent
	nextReceived int            // number of the next message to be received
	outOfOrder   map[int]func() // by number, messages that arrived before one that was sent earlier
}

// send numbers a message and returns the function to call when it arrives. That calls receive once all earlier messages
// have been received.
func (o *orderedStream) send(receive func()) (arrive func()) {
	number := o.nextSent
	o.nextSent++
	return func() {
		if o.outOfOrder == nil {
			o.outOfOrder = map[int]func(){}
		}
		o.outOfOrder[number] = receive
		for o.outOfOrder[o.nextReceived] != nil {
			receive := o.outOfOrder[o.nextReceived]
			delete(o.outOfOrder, o.nextReceived)
			o.nextReceived++
			receive()
		}
	}
}

// sendOverPath sends a message of a watch from one machine to another and calls do when it arrives. It applies the
// path's impairments; while the path is cut, the message waits.
func (p *relayProcess) sendOverPath(from, to int, do func()) {
	impairment := p.impairments[[2]int{from, to}]
	switch {
	case impairment.Cut || p.impairments[[2]int{to, from}].Cut: // no TCP acknowledgement returns, so nothing gets through
		p.network.after(pathCheckInterval, func() { p.sendOverPath(from, to, do) })
	case impairment.Reset:
		p.resetWatches()
	case impairment.Delay > 0 || impairment.Jitter > 0:
		p.network.after(float64(impairment.Delay)+float64(impairment.Jitter)*p.network.rng.Float64(), do)
	case impairment.BytesPerSecond > 0:
		p.network.after(endpointListBytes*1000/float64(impairment.BytesPerSecond), do)
	default:
		p.network.after(p.network.drawDelay(), do)
	}
}

// resetWatches ends all open watches with connection resets.
func (p *relayProcess) resetWatches() {
	numbers := sortedKeys(p.openWatches)
	p.closeWatchesBut(nil)
	for _, number := range numbers {
		p.handle(relay.WatchFailed{Watch: number, Err: errReset})
	}
}

// OnUpdate sends the relay the endpoint list or its changes.
func (w *watch) OnUpdate(update *relay.EndpointUpdate) {
	w.deliver(func() {
		p := w.process
		p.notifyObserver(update)
		p.network.logf("%s news %d of %d", p.address, len(update.Endpoints), update.Index)
		dated := *update
		dated.DiscoveryTime = p.network.now
		p.handle(relay.EndpointsUpdated{Watch: w.relayWatchID, Update: &dated})
	})
}

// notifyObserver reports to the observer each endpoint that an update tells the relay about, and those that a complete
// list leaves out as left.
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
	for _, name := range sortedKeys(p.notified) {
		if !listed[name] {
			p.observer.EndpointUpdated(p.network.now, p.number, name, "left", 0)
		}
	}
}

// OnHeartbeat sends the relay a heartbeat, an empty line.
func (w *watch) OnHeartbeat() {
	w.deliver(func() { w.process.handle(relay.WatchHeartbeat{Watch: w.relayWatchID}) })
}

// OnFailure tells the relay that the watch has failed.
func (w *watch) OnFailure(err error) {
	w.deliver(func() {
		delete(w.process.openWatches, w.relayWatchID)
		w.process.handle(relay.WatchFailed{Watch: w.relayWatchID, Err: err})
	})
}
