// Package baseline has the policies that the lab holds the decision module against, behind the module's own
// calls, so that the same relay runs on them: random choice, round robin, least links of the relay's own, the
// better of two by those, least links within the own zone, and perfect sight, which knows every server's load
// at the moment; and perfect sight
// that keeps the rules, which sends nothing where a server or the store has no room. They serve in no
// deployment. Each link has as many setup tries as the module's, under the same rules of repeating.
package baseline

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"valeshift/balancer"
)

// Policy is one baseline in one relay.
type Policy struct {
	policy     string
	zone       int // the relay's own
	zones      []int
	chance     *rand.Rand
	categories []balancer.Class
	mostTries  int
	maxBack    float64
	truth      func(id uint32) float64 // load, for perfect sight
	bears      func(id uint32) bool    // one more link, for the one that keeps the rules

	index   map[uint32]int
	ids     []uint32
	ready   []bool
	links   []int
	mention []bool
	whole   bool
	turn    int
	state   map[*balancer.Session]*link
	askAt   float64
	shifts  []int
}

type link struct {
	server, tries int
	out, open     bool
	gone, ran     bool
}

// New takes the policy's name, the relay's zone, what its chance is drawn from, the categories, the most
// setup tries of a link, the longest time to come back that may be told, the servers' true loads, which only
// "sight" reads, and whether they bear one more link, which only "sight-kept" does.
func New(policy string, zone int, seed uint64, categories []balancer.Class, mostTries int, maxBack float64,
	truth func(id uint32) float64, bears func(id uint32) bool) (*Policy, error) {
	switch policy {
	case "random", "round-robin", "least", "two", "near", "sight", "sight-kept":
	default:
		return nil, fmt.Errorf("variants: no baseline is called %q", policy)
	}
	return &Policy{policy: policy, zone: zone, chance: rand.New(rand.NewSource(int64(seed))),
		categories: categories,
		mostTries:  mostTries, maxBack: maxBack, truth: truth, bears: bears, index: map[uint32]int{},
		state: map[*balancer.Session]*link{}, askAt: math.Inf(1)}, nil
}

// Assign says where the link goes, or that it is given up.
func (m *Policy) Assign(now float64, l *balancer.Session) balancer.Decision {
	s := m.state[l]
	if s == nil {
		s = &link{server: -1}
		m.state[l] = s
	}
	once := s.ran && m.categories[l.Class].Idempotency != balancer.Idempotent
	if s.tries >= m.mostTries || now >= l.Deadline || once {
		return m.end(l, s)
	}
	server := m.choose(s.server)
	if server < 0 {
		return m.end(l, s)
	}
	s.server, s.out = server, true
	s.tries++
	m.links[server]++
	return balancer.Decision{Kind: balancer.Assign, Backend: m.ids[server], Timeout: l.Deadline - now, Attempt: s.tries - 1}
}

func (m *Policy) end(l *balancer.Session, s *link) balancer.Decision {
	delete(m.state, l)
	if !s.ran || m.categories[l.Class].Idempotency == balancer.Idempotent {
		return balancer.Decision{Kind: balancer.Reject, Wait: m.maxBack}
	}
	return balancer.Decision{Kind: balancer.Fail}
}

// choose picks among the servers that are ready, but for the one that the link was tried on last.
func (m *Policy) choose(not int) int {
	some := m.shifts[:0]
	for s, ready := range m.ready {
		if ready && s != not && (m.policy != "sight-kept" || m.bears(m.ids[s])) {
			some = append(some, s)
		}
	}
	m.shifts = some
	if len(some) == 0 {
		return -1
	}
	least := func(of []int, figure func(s int) float64) int {
		best, by := -1, math.Inf(1)
		from := m.chance.Intn(len(of)) // so that equal ones take turns
		for i := range of {
			if s := of[(from+i)%len(of)]; figure(s) < by {
				best, by = s, figure(s)
			}
		}
		return best
	}
	own := func(s int) float64 { return float64(m.links[s]) }
	switch m.policy {
	case "round-robin":
		m.turn++
		return some[m.turn%len(some)]
	case "least":
		return least(some, own)
	case "near":
		home := slices.DeleteFunc(slices.Clone(some), func(s int) bool { return m.zones[s] != m.zone })
		if len(home) == 0 {
			home = some
		}
		return least(home, own)
	case "two":
		return least([]int{some[m.chance.Intn(len(some))], some[m.chance.Intn(len(some))]}, own)
	case "sight", "sight-kept":
		return least(some, func(s int) float64 { return m.truth(m.ids[s]) })
	}
	return some[m.chance.Intn(len(some))]
}

// AttemptFinished says what follows the outcome of a setup try, or of its link.
func (m *Policy) AttemptFinished(now float64, l *balancer.Session, outcome balancer.AttemptOutcome, last bool) balancer.Decision {
	s := m.state[l]
	if s == nil || !s.out {
		return balancer.Decision{}
	}
	s.out = false
	m.links[s.server]--
	if last || s.open || s.gone {
		delete(m.state, l)
		return balancer.Decision{}
	}
	s.ran = s.ran || (outcome != balancer.OutcomeRejected && outcome != balancer.OutcomeUnreachable && outcome != balancer.OutcomeNotSent)
	return m.Assign(now, l)
}

// NextAction asks for the list where it has failed. Baselines send no probes.
func (m *Policy) NextAction(now float64) balancer.Action {
	if now >= m.askAt {
		m.askAt = math.Inf(1)
		return balancer.Action{Kind: balancer.ActionSubscribe}
	}
	return balancer.Action{Wait: m.askAt - now}
}

// BeginEndpointUpdate starts news of the list.
func (m *Policy) BeginEndpointUpdate(whole bool) {
	m.whole = whole
	clear(m.mention)
}

// UpdateEndpoint takes one entry.
func (m *Policy) UpdateEndpoint(endpoint balancer.Endpoint) {
	s, known := m.index[endpoint.ID]
	if !known {
		s = len(m.ids)
		m.index[endpoint.ID] = s
		m.ids, m.ready, m.links = append(m.ids, endpoint.ID), append(m.ready, false), append(m.links, 0)
		m.mention, m.zones = append(m.mention, false), append(m.zones, endpoint.Zone)
	}
	m.zones[s] = endpoint.Zone
	m.ready[s], m.mention[s] = endpoint.State == balancer.Ready, true
}

// EndEndpointUpdate closes the news.
func (m *Policy) EndEndpointUpdate(float64) {
	for s, mentioned := range m.mention {
		m.ready[s] = m.ready[s] && (mentioned || !m.whole)
	}
	m.askAt = math.Inf(1)
}

// WatchFailed has the list asked for again soon.
func (m *Policy) WatchFailed(now float64) { m.askAt = now + 200 + 200*m.chance.Float64() }

// PollFinished takes nothing.
func (m *Policy) PollFinished(float64, uint32, bool, []float64) {}

// LoadReported takes nothing.
func (m *Policy) LoadReported(float64, uint32, []float64) {}

// SessionEstablished takes that a link stands.
func (m *Policy) SessionEstablished(_ float64, l *balancer.Session) {
	if s := m.state[l]; s != nil {
		s.open = true
	}
}

// LoadMeasured takes nothing.
func (m *Policy) LoadMeasured(*balancer.Session, float64) {}

// SessionResumed takes a link that stood before.
func (m *Policy) SessionResumed(_ float64, l *balancer.Session, id uint32) {
	if s, known := m.index[id]; known {
		m.state[l] = &link{server: s, out: true, open: true}
		m.links[s]++
	}
}

// ClientDisconnected takes that the client has left.
func (m *Policy) ClientDisconnected(l *balancer.Session) bool {
	s := m.state[l]
	if s == nil {
		return false
	}
	s.gone = true
	if !s.out {
		delete(m.state, l)
	}
	return s.out
}

// DrainDelay spreads what must go over a second and a half, to the end of the time there is.
func (m *Policy) DrainDelay(nth, of int, within float64) float64 {
	return max(within-1500, 0) + 1500*float64(nth)/float64(of)
}

// IsUnresponsive is never held of a server.
func (m *Policy) IsUnresponsive(uint32, float64) bool { return false }

// BackendStatus tells the links booked on a server.
func (m *Policy) BackendStatus(id uint32) balancer.BackendStatus {
	s, known := m.index[id]
	if !known {
		return balancer.BackendStatus{ReportedAt: math.Inf(-1), IsAvoided: true}
	}
	return balancer.BackendStatus{Sessions: m.links[s], ReportedAt: math.Inf(-1), IsAvoided: !m.ready[s]}
}

// HasClass tells whether there is such a category.
func (m *Policy) HasClass(category int) bool { return category < len(m.categories) }

// Counts counts the servers listed, and those of them that no link is sent to.
func (m *Policy) Counts() (listed, avoided int) {
	for s := range m.ids {
		if !m.ready[s] {
			avoided++
		}
	}
	return len(m.ids), avoided
}

// IsReady, Yield, Record and Inherit are of two processes of one relay, which the baselines know nothing of.
func (m *Policy) IsReady(float64) bool { return true }

// SetDraining does nothing: there is no budget of cold servers.
func (m *Policy) SetDraining(bool) {}

// Snapshot is empty: nothing is learnt.
func (m *Policy) Snapshot(now float64) balancer.Snapshot { return balancer.Snapshot{TakenAt: now} }

// Restore takes nothing.
func (m *Policy) Restore(float64, *balancer.Snapshot) error { return nil }

// SessionReceived takes a link that stood at another process.
func (m *Policy) SessionReceived(now float64, l *balancer.Session, id uint32, _ float64, _ bool) {
	m.SessionResumed(now, l, id)
}

// PollNotSent takes that a probe was not sent; the baselines send none.
func (m *Policy) PollNotSent(uint32) {}

// Estimates and what follows are of a fleet that recovers, which baselines know nothing of.
func (m *Policy) Estimates() balancer.Estimates { return balancer.Estimates{} }

// RestoreEstimates takes nothing.
func (m *Policy) RestoreEstimates(balancer.Estimates) bool { return false }

// SetRecovering changes nothing.
func (m *Policy) SetRecovering(bool, float64) {}

// WarmingUp says that all are warm.
func (m *Policy) WarmingUp(float64) (cold, usable int) { return 0, len(m.ids) }

// AssumeRetriesSpent changes nothing.
func (m *Policy) AssumeRetriesSpent(float64) {}

// AssumeEndpoints changes nothing.
func (m *Policy) AssumeEndpoints(float64) {}

// ShiftStartTimes changes nothing.
func (m *Policy) ShiftStartTimes(float64) {}

// Pause changes nothing.
func (m *Policy) Pause(float64) {}

// SetMaxReportAge changes nothing.
func (m *Policy) SetMaxReportAge(float64) {}

// UnreportedLoad is nothing, as figures are not looked at so.
func (m *Policy) UnreportedLoad() float64 { return 0 }

// SetRemoteLoad changes nothing.
func (m *Policy) SetRemoteLoad(float64) {}

// SetZoneWeights changes nothing: no policy here knows of zones decided in common.
func (m *Policy) SetZoneWeights([]balancer.ZoneWeight) {}

// ZoneObservations gives nothing.
func (m *Policy) ZoneObservations(float64) ([]balancer.ZoneObservation, float64) { return nil, 0 }

// RecordEarlierAttempt changes nothing: no policy here hears of others' tries.
func (m *Policy) RecordEarlierAttempt(*balancer.Session, uint32, float64) {}

// PreferBackend changes nothing either.
func (m *Policy) PreferBackend(*balancer.Session, uint32) {}

// DropReservation changes nothing.
func (m *Policy) DropReservation(uint64) {}

// Reservations is nobody.
func (m *Policy) Reservations(float64) map[uint64]float64 { return nil }

// RestoreReservations takes nothing.
func (m *Policy) RestoreReservations(float64, map[uint64]float64) {}
