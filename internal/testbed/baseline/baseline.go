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

// Module is one baseline in one relay.
type Module struct {
	policy     string
	zone       int // the relay's own
	zones      []int
	chance     *rand.Rand
	categories []balancer.Category
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
	state   map[*balancer.Link]*link
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
func New(policy string, zone int, seed uint64, categories []balancer.Category, mostTries int, maxBack float64,
	truth func(id uint32) float64, bears func(id uint32) bool) (*Module, error) {
	switch policy {
	case "random", "round-robin", "least", "two", "near", "sight", "sight-kept":
	default:
		return nil, fmt.Errorf("variants: no baseline is called %q", policy)
	}
	return &Module{policy: policy, zone: zone, chance: rand.New(rand.NewSource(int64(seed))),
		categories: categories,
		mostTries:  mostTries, maxBack: maxBack, truth: truth, bears: bears, index: map[uint32]int{},
		state: map[*balancer.Link]*link{}, askAt: math.Inf(1)}, nil
}

// Place says where the link goes, or that it is given up.
func (m *Module) Place(now float64, l *balancer.Link) balancer.Answer {
	s := m.state[l]
	if s == nil {
		s = &link{server: -1}
		m.state[l] = s
	}
	once := s.ran && m.categories[l.Category].Effect != balancer.Replayable
	if s.tries >= m.mostTries || now >= l.Limit || once {
		return m.end(l, s)
	}
	server := m.choose(s.server)
	if server < 0 {
		return m.end(l, s)
	}
	s.server, s.out = server, true
	s.tries++
	m.links[server]++
	return balancer.Answer{Verdict: balancer.Send, Backend: m.ids[server], Timeout: l.Limit - now, Round: s.tries - 1}
}

func (m *Module) end(l *balancer.Link, s *link) balancer.Answer {
	delete(m.state, l)
	if !s.ran || m.categories[l.Category].Effect == balancer.Replayable {
		return balancer.Answer{Verdict: balancer.Reject, Wait: m.maxBack}
	}
	return balancer.Answer{Verdict: balancer.Fail}
}

// choose picks among the servers that are ready, but for the one that the link was tried on last.
func (m *Module) choose(not int) int {
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

// After says what follows the outcome of a setup try, or of its link.
func (m *Module) After(now float64, l *balancer.Link, outcome balancer.Outcome, last bool) balancer.Answer {
	s := m.state[l]
	if s == nil || !s.out {
		return balancer.Answer{}
	}
	s.out = false
	m.links[s.server]--
	if last || s.open || s.gone {
		delete(m.state, l)
		return balancer.Answer{}
	}
	s.ran = s.ran || (outcome != balancer.TurnedAway && outcome != balancer.Unreachable && outcome != balancer.Unsent)
	return m.Place(now, l)
}

// Next asks for the list where it has failed. Baselines send no probes.
func (m *Module) Next(now float64) balancer.Due {
	if now >= m.askAt {
		m.askAt = math.Inf(1)
		return balancer.Due{Subscribe: true}
	}
	return balancer.Due{Wait: m.askAt - now}
}

// ListBegan starts news of the list.
func (m *Module) ListBegan(whole bool) {
	m.whole = whole
	clear(m.mention)
}

// Listed takes one entry.
func (m *Module) Listed(id uint32, zone int, cond balancer.Condition, _ int, _, _ float64) {
	s, known := m.index[id]
	if !known {
		s = len(m.ids)
		m.index[id] = s
		m.ids, m.ready, m.links = append(m.ids, id), append(m.ready, false), append(m.links, 0)
		m.mention, m.zones = append(m.mention, false), append(m.zones, zone)
	}
	m.zones[s] = zone
	m.ready[s], m.mention[s] = cond == balancer.Ready, true
}

// ListEnded closes the news.
func (m *Module) ListEnded(float64) {
	for s, mentioned := range m.mention {
		m.ready[s] = m.ready[s] && (mentioned || !m.whole)
	}
	m.askAt = math.Inf(1)
}

// ListFailed has the list asked for again soon.
func (m *Module) ListFailed(now float64) { m.askAt = now + 200 + 200*m.chance.Float64() }

// Probed takes nothing.
func (m *Module) Probed(float64, uint32, bool, []float64) {}

// Reported takes nothing.
func (m *Module) Reported(float64, uint32, []float64) {}

// Accepted takes that a link stands.
func (m *Module) Accepted(_ float64, l *balancer.Link) {
	if s := m.state[l]; s != nil {
		s.open = true
	}
}

// Weighed takes nothing.
func (m *Module) Weighed(*balancer.Link, float64) {}

// Resumed takes a link that stood before.
func (m *Module) Resumed(_ float64, l *balancer.Link, id uint32) {
	if s, known := m.index[id]; known {
		m.state[l] = &link{server: s, out: true, open: true}
		m.links[s]++
	}
}

// Vanished takes that the client has left.
func (m *Module) Vanished(l *balancer.Link) bool {
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

// Leave spreads what must go over a second and a half, to the end of the time there is.
func (m *Module) Leave(nth, of int, within float64) float64 {
	return max(within-1500, 0) + 1500*float64(nth)/float64(of)
}

// Lost is never held of a server.
func (m *Module) Lost(uint32, float64) bool { return false }

// View tells the links booked on a server.
func (m *Module) View(id uint32) (int, float64, bool) {
	s, known := m.index[id]
	if !known {
		return 0, math.Inf(-1), true
	}
	return m.links[s], math.Inf(-1), !m.ready[s]
}

// Knows tells whether there is such a category.
func (m *Module) Knows(category int) bool { return category < len(m.categories) }

// Census counts the servers listed, and those of them that no link is sent to.
func (m *Module) Census() (listed, avoided int) {
	for s := range m.ids {
		if !m.ready[s] {
			avoided++
		}
	}
	return len(m.ids), avoided
}

// Fit, Yield, Record and Inherit are of two processes of one relay, which the baselines know nothing of.
func (m *Module) Fit(float64) bool { return true }

// Yield does nothing: there is no budget of cold servers.
func (m *Module) Yield(bool) {}

// Record is empty: nothing is learnt.
func (m *Module) Record(now float64) balancer.Record { return balancer.Record{At: now} }

// Inherit takes nothing.
func (m *Module) Inherit(float64, *balancer.Record) error { return nil }

// Adopted takes a link that stood at another process.
func (m *Module) Adopted(now float64, l *balancer.Link, id uint32, _ float64, _ bool) {
	m.Resumed(now, l, id)
}

// Unasked takes that a probe was not sent; the baselines send none.
func (m *Module) Unasked(uint32) {}

// Learnt and what follows are of a fleet that recovers, which baselines know nothing of.
func (m *Module) Learnt() balancer.Learnt { return balancer.Learnt{} }

// Recall takes nothing.
func (m *Module) Recall(balancer.Learnt) bool { return false }

// Recover changes nothing.
func (m *Module) Recover(bool, float64) {}

// Warmth says that all are warm.
func (m *Module) Warmth(float64) (cold, usable int) { return 0, len(m.ids) }

// Restart changes nothing.
func (m *Module) Restart(float64) {}

// Suppose changes nothing.
func (m *Module) Suppose(float64) {}

// Shift changes nothing.
func (m *Module) Shift(float64) {}

// Hush changes nothing.
func (m *Module) Hush(float64) {}

// Late changes nothing.
func (m *Module) Late(float64) {}

// Placed is nothing, as figures are not looked at so.
func (m *Module) Placed() float64 { return 0 }

// Others changes nothing.
func (m *Module) Others(float64) {}

// Direct changes nothing: no policy here knows of zones decided in common.
func (m *Module) Direct([]balancer.Direction) {}

// Zones gives nothing.
func (m *Module) Zones(float64) ([]balancer.ZoneLook, float64) { return nil, 0 }

// Ran changes nothing: no policy here hears of others' tries.
func (m *Module) Ran(*balancer.Link, uint32, float64) {}

// Prefer changes nothing either.
func (m *Module) Prefer(*balancer.Link, uint32) {}

// Forgo changes nothing.
func (m *Module) Forgo(uint64) {}

// Told is nobody.
func (m *Module) Told(float64) map[uint64]float64 { return nil }

// Promised takes nothing.
func (m *Module) Promised(float64, map[uint64]float64) {}
