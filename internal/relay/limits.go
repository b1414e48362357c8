package relay

import (
	"fmt"
	"math"

	"valeshift/internal/admin"
)

const (
	descriptorsPerSession = 2  // one for the client, one for the backend
	spareDescriptors      = 32 // descriptors kept for the listener, polls, the watch and dials
	siblingDescriptors    = 20 // needed by a process without connections: 15 when idle, the watch and calls beside it, the sibling channel
	awaitingDivisor       = 8  // clients without a request may hold one in this many descriptors
	minAwaiting           = 4  // least number of descriptors for clients without a request
)

// descriptorLimits limits how many file descriptors and sessions this process may have. While there is another process
// of this relay, the two share the relay's limits.
type descriptorLimits struct {
	descriptors int // descriptors for connections, of both processes together; math.MaxInt: no limit
	reserved    int // descriptors that each process keeps for other purposes
	sessions    int // sessions of both processes together

	ownDescriptors     int // this process's descriptors for connections
	sessionDescriptors int // the part of ownDescriptors that sessions and polls may use
	ownSessions        int // this process's sessions
}

// newDescriptorLimits computes the limits: maxSessions comes from the settings, the descriptors from the configuration.
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

// awaitingShare returns how many of the given descriptors clients without a request may hold.
func awaitingShare(descriptors int) int { return max(descriptors/awaitingDivisor, minAwaiting) }

// maxAwaiting returns how many clients may be without a request. Sessions never use the descriptors of that share.
func (l *descriptorLimits) maxAwaiting() int { return awaitingShare(l.ownDescriptors) }

// siblingReserve returns how many descriptors the other process needs besides its connections.
func (l *descriptorLimits) siblingReserve() int {
	return siblingDescriptors + l.reserved - spareDescriptors
}

// setOwnLimits sets the limits of this process.
func (l *descriptorLimits) setOwnLimits(descriptors, sessions int) {
	l.ownDescriptors = descriptors
	l.ownSessions = sessions
	l.sessionDescriptors = descriptors
	if descriptors < math.MaxInt {
		l.sessionDescriptors -= l.maxAwaiting()
	}
}

// isExceededBy reports whether the given numbers of sessions and poll connections need more descriptors than sessions and
// polls may use.
func (l *descriptorLimits) isExceededBy(sessions, pollConns int) bool {
	return descriptorsPerSession*sessions+pollConns > l.sessionDescriptors
}

// isShortOfDescriptors reports whether sessions and polls need more descriptors than they may use.
func (m *StateMachine) isShortOfDescriptors() bool {
	return m.limits.isExceededBy(m.queue.sessions, m.conns.pollConns)
}

// shareLimits sets this process's share of the descriptors and sessions while there is another process. A parent keeps
// what it uses, or half of the total if that is more; a child gets the rest. The descriptors reserved for dials and
// similar purposes exist once for both processes.
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
	if m.siblings.hasParent { // a minimum, however little the parent leaves
		descriptors = max(descriptors, minAwaiting+descriptorsPerSession)
		sessions = max(sessions, 1)
	}
	m.limits.setOwnLimits(descriptors, sessions)
}
