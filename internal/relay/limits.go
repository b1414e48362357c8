package relay

import (
	"fmt"
	"math"

	"valeshift/internal/admin"
)

const (
	descriptorsPerSession = 2
	spareDescriptors      = 32 // kept for the listener, polls, the watch and dials
	siblingDescriptors    = 18 // of a process without connections: 13 when idle, the watch, the channel to its sibling
	awaitingDivisor       = 8  // one in so many descriptors may be held by clients without a request
	minAwaiting           = 4  // but no fewer than so many
)

// descriptorLimits are how many file descriptors and sessions this process may have. While there is another process of
// this relay, both share what there is.
type descriptorLimits struct {
	descriptors int // for connections, of both processes; math.MaxInt: not limited
	reserved    int // kept for other things, of each process
	sessions    int // of both processes

	ownDescriptors     int // for connections, of this process
	sessionDescriptors int // of those, for sessions
	ownSessions        int // of this process
}

// newDescriptorLimits reads the limits: maxSessions of the settings, descriptors of the configuration.
func newDescriptorLimits(config *Config, maxSessions int) (descriptorLimits, error) {
	l := descriptorLimits{descriptors: math.MaxInt, sessions: maxSessions}
	if config.MaxSockets <= 0 {
		return l, nil
	}
	l.reserved = spareDescriptors + config.ReservedDescriptors
	if config.AdminAddress != "" {
		l.reserved += admin.MaxDescriptors
	}
	l.descriptors = config.MaxSockets - l.reserved
	if l.descriptors-awaitingShare(l.descriptors) < descriptorsPerSession {
		return l, fmt.Errorf("limits.sockets: %d or more expected, got %d",
			l.reserved+minAwaiting+descriptorsPerSession, config.MaxSockets)
	}
	return l, nil
}

// awaitingShare is how many of so many descriptors clients without a request may hold.
func awaitingShare(descriptors int) int { return max(descriptors/awaitingDivisor, minAwaiting) }

// maxAwaiting is how many clients without a request there may be: descriptors that sessions can never take.
func (l *descriptorLimits) maxAwaiting() int { return awaitingShare(l.ownDescriptors) }

// siblingReserve is how many descriptors the other process needs for itself.
func (l *descriptorLimits) siblingReserve() int {
	return siblingDescriptors + l.reserved - spareDescriptors
}

// allow sets what this process may have.
func (l *descriptorLimits) allow(descriptors, sessions int) {
	l.ownDescriptors = descriptors
	l.ownSessions = sessions
	l.sessionDescriptors = descriptors
	if descriptors < math.MaxInt {
		l.sessionDescriptors -= l.maxAwaiting()
	}
}

// isExceededBy tells whether so many sessions and connections for polls need more descriptors than there are for them.
func (l *descriptorLimits) isExceededBy(sessions, polling int) bool {
	return descriptorsPerSession*sessions+polling > l.sessionDescriptors
}

// isShortOfDescriptors tells whether sessions and polls need more descriptors than there are for them.
func (m *StateMachine) isShortOfDescriptors() bool {
	return m.limits.isExceededBy(m.queue.sessions, m.conns.polling)
}

// shareLimits holds this process to its part of the descriptors and sessions while there is another process. A parent
// keeps what it has, or half of what there is where that is more; a child gets the rest. What is reserved for dials and
// the like is there once for both.
func (m *StateMachine) shareLimits() {
	descriptors, sessions := m.limits.descriptors, m.limits.sessions
	limited := descriptors < math.MaxInt
	half := (descriptors - m.limits.siblingReserve()) / 2
	switch {
	case m.siblings.hasChild:
		if limited {
			descriptors = min(max(half, len(m.conns.byID)), descriptors)
		}
		sessions = max(sessions/2, m.queue.sessions)
	case m.siblings.hasParent && m.siblings.handoff != nil:
		if limited {
			descriptors -= min(m.siblings.handoff.Descriptors, descriptors)
		}
		sessions -= min(m.siblings.handoff.Sessions, sessions)
	case m.siblings.hasParent:
		if limited {
			descriptors = half
		}
		sessions /= 2
	}
	if m.siblings.hasParent { // however little the parent leaves
		descriptors = max(descriptors, minAwaiting+descriptorsPerSession)
		sessions = max(sessions, 1)
	}
	m.limits.allow(descriptors, sessions)
}
