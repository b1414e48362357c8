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

// follower is one open watch of the endpoint list: what discovery sends arrives in order.
type follower struct {
	p      *process
	number uint64
	id     uint64
	arrive float64
}

func (w *follower) tell(do func()) {
	w.arrive = max(w.arrive, w.p.net.now+w.p.net.way())
	w.p.net.after(w.arrive-w.p.net.now, func() {
		w.p.pass(experiment.Discovery, w.p.number, func() {
			if w.p.follow == w && !w.p.over {
				do()
			}
		})
	})
}

// pass carries bytes from one machine to another, as the path between them allows: held while it is cut.
func (p *process) pass(from, to int, do func()) {
	way := p.ways[[2]int{from, to}]
	switch {
	case way.Cut || p.ways[[2]int{to, from}].Cut: // no answer comes either, so nothing more is sent
		p.net.after(pathCheckInterval, func() { p.pass(from, to, do) })
	case way.Reset:
		p.reset()
	case way.Delay > 0 || way.Jitter > 0:
		p.net.after(float64(way.Delay)+float64(way.Jitter)*p.net.chance.Float64(), do)
	case way.BytesPerSecond > 0:
		p.net.after(endpointListBytes*1000/float64(way.BytesPerSecond), do)
	default:
		p.net.after(p.net.way(), do)
	}
}

// reset ends the watch, as its connection was reset.
func (p *process) reset() {
	if w := p.follow; w != nil {
		p.unwatch()
		p.take(relay.WatchFailed{Watch: w.number, Err: errReset})
	}
}

// OnUpdate delivers the endpoint list or its changes.
func (w *follower) OnUpdate(update *relay.EndpointUpdate) {
	w.tell(func() {
		p := w.p
		p.notifyObserver(update)
		p.net.tell("%s news %d of %d", p.address, len(update.Endpoints), update.Index)
		dated := *update
		dated.DiscoveryTime = p.net.now
		p.take(relay.EndpointsUpdated{Watch: w.number, Update: &dated})
	})
}

// notifyObserver tells the observer what the relay is notified of by an update.
func (p *process) notifyObserver(update *relay.EndpointUpdate) {
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		p.told[e.Name] = true
		listed[e.Name] = true
		p.watch.EndpointUpdated(p.net.now, p.number, e.Name, e.Status, e.StartedAt)
	}
	if !update.Complete {
		return
	}
	for _, name := range sorted(p.told) {
		if !listed[name] {
			p.watch.EndpointUpdated(p.net.now, p.number, name, "left", 0)
		}
	}
}

// OnHeartbeat delivers an empty line.
func (w *follower) OnHeartbeat() {
	w.tell(func() { w.p.take(relay.WatchHeartbeat{Watch: w.number}) })
}

// OnFailure delivers the end of the watch.
func (w *follower) OnFailure(err error) {
	w.tell(func() {
		w.p.follow = nil
		w.p.take(relay.WatchFailed{Watch: w.number, Err: err})
	})
}
