package model

import "math/rand"

const (
	plannedRemovalDelay = 300.0 // time for which clients are still sent to a relay that stops or drains as planned, in ms
	healthCheckInterval = 100.0 // time between two health checks of a relay that starts, in ms
)

// loadBalancer simulates the load balancer in front of the relays, which sends clients to relays of their own zone,
// or to any relay if none of their zone is up. Its health checks use the workload's host.
type loadBalancer struct {
	host         Host
	relays       []targetRelay
	healthChecks map[uint64]int // number of the relay that is checked, by connection of the health check
	closed       bool
}

// targetRelay is what the load balancer knows of a relay.
type targetRelay struct {
	address     string
	zone        int
	isUp        bool
	generation  int  // number of the last removal or restoration; what earlier ones have scheduled is void
	isReplacing bool // its process is being replaced, and no client may be rejected meanwhile
}

func newLoadBalancer(host Host, addresses []string, zones []int) loadBalancer {
	l := loadBalancer{host: host, healthChecks: map[uint64]int{}}
	for i, address := range addresses {
		l.relays = append(l.relays, targetRelay{address: address, zone: zones[i], isUp: true})
	}
	return l
}

// pick returns a random relay for a client of the zone, or false if no relay is up.
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

// remove stops sending clients to a relay after a delay in ms.
func (l *loadBalancer) remove(relay int, delay float64) {
	l.relays[relay].generation++
	generation := l.relays[relay].generation
	l.host.After(delay, func() {
		if l.relays[relay].generation == generation {
			l.relays[relay].isUp = false
		}
	})
}

// restore checks a relay's health until it serves, and sends clients to it again from then on.
func (l *loadBalancer) restore(relay int) {
	l.relays[relay].generation++
	l.relays[relay].isUp = false
	l.checkHealth(relay, l.relays[relay].generation)
}

func (l *loadBalancer) checkHealth(relay, generation int) {
	if l.relays[relay].generation != generation || l.relays[relay].isUp || l.closed {
		return
	}
	conn := l.host.Dial(l.relays[relay].address)
	l.healthChecks[conn] = relay
	l.host.After(healthCheckInterval, func() {
		if l.isHealthCheck(conn) {
			delete(l.healthChecks, conn)
			l.host.Close(conn)
		}
		l.checkHealth(relay, generation)
	})
}

// isHealthCheck reports whether a connection is that of a health check.
func (l *loadBalancer) isHealthCheck(conn uint64) bool {
	_, isHealthCheck := l.healthChecks[conn]
	return isHealthCheck
}

// checkSucceeded is called when a relay has answered a health check.
func (l *loadBalancer) checkSucceeded(conn uint64) {
	l.relays[l.healthChecks[conn]].isUp = true
	delete(l.healthChecks, conn)
	l.host.Close(conn)
}
