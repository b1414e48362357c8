package model

import "math/rand"

const (
	plannedRemovalDelay = 300.0 // for which clients are still dealt to a relay that stops as planned
	healthCheckInterval = 100.0 // of a relay that starts
)

// loadBalancer stands in for the load balancer that deals clients out among the relays: to those of their own
// zone, where one serves. Its health checks go over the workload's host.
type loadBalancer struct {
	host   Host
	relays []targetRelay
	checks map[uint64]int // relay by the connection of a health check
	closed bool
}

// targetRelay is what the load balancer knows of a relay.
type targetRelay struct {
	address     string
	zone        int
	isUp        bool
	change      int  // number of the last change that was ordered; what was scheduled before it is void
	isReplacing bool // nobody may be rejected meanwhile
}

func newLoadBalancer(host Host, addresses []string, zones []int) loadBalancer {
	l := loadBalancer{host: host, checks: map[uint64]int{}}
	for i, address := range addresses {
		l.relays = append(l.relays, targetRelay{address: address, zone: zones[i], isUp: true})
	}
	return l
}

// pick draws a relay for a client of a zone. It returns false where no relay is up.
func (l *loadBalancer) pick(zone int, rng *rand.Rand) (relay int, ok bool) {
	upInZone, up := 0, 0
	for _, r := range l.relays {
		if !r.isUp {
			continue
		}
		up++
		if r.zone == zone {
			upInZone++
		}
	}
	if up == 0 {
		return 0, false
	}
	n := rng.Intn(max(upInZone, 1))
	if upInZone == 0 {
		n = rng.Intn(up)
	}
	for i, r := range l.relays {
		if !r.isUp || (upInZone > 0 && r.zone != zone) {
			continue
		}
		if n == 0 {
			return i, true
		}
		n--
	}
	return 0, false
}

// remove has nobody dealt to a relay any more, after a delay.
func (l *loadBalancer) remove(relay int, delay float64) {
	l.relays[relay].change++
	change := l.relays[relay].change
	l.host.After(delay, func() {
		if l.relays[relay].change == change {
			l.relays[relay].isUp = false
		}
	})
}

// restore checks a relay's health until it serves, and deals clients to it from then on.
func (l *loadBalancer) restore(relay int) {
	l.relays[relay].change++
	l.relays[relay].isUp = false
	l.checkHealth(relay, l.relays[relay].change)
}

func (l *loadBalancer) checkHealth(relay, change int) {
	if l.relays[relay].change != change || l.relays[relay].isUp || l.closed {
		return
	}
	conn := l.host.Dial(l.relays[relay].address)
	l.checks[conn] = relay
	l.host.After(healthCheckInterval, func() {
		if l.isCheck(conn) {
			delete(l.checks, conn)
			l.host.Close(conn)
		}
		l.checkHealth(relay, change)
	})
}

// isCheck tells whether a connection is that of a health check.
func (l *loadBalancer) isCheck(conn uint64) bool {
	_, isCheck := l.checks[conn]
	return isCheck
}

// checkSucceeded is called when a relay has answered a health check.
func (l *loadBalancer) checkSucceeded(conn uint64) {
	l.relays[l.checks[conn]].isUp = true
	delete(l.checks, conn)
	l.host.Close(conn)
}
