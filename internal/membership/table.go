package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxMembers = 4096 // further names are ignored

	minSuspicionTimeout = 1200.0   // milliseconds
	suspicionFactor     = 6.0      // times the mean time between two news of one relay
	goneFactor          = 2.0      // times the suspicion timeout
	expireAfter         = 600000.0 // milliseconds without news
)

// Members returns the other relays as they are seen now, by name.
func (v *View) Members(now float64) []Member {
	all := make([]Member, 0, len(v.names))
	for _, name := range v.names {
		m := *v.members[name]
		m.Liveness = v.liveness(now, &m)
		m.AgeMillis += now - m.ageAt
		all = append(all, m)
	}
	return all
}

// Address returns where a member can be reached; empty: nowhere.
func (v *View) Address(m Member) string { return v.address(&m) }

func (v *View) address(m *Member) string {
	if v.SeedsOnly {
		return m.seedAddress
	}
	return cmp.Or(m.seedAddress, m.Address)
}

// suspicionTimeout is how long a relay may be without news before it is suspected. It grows with the fleet, as
// each datagram has room for a part of the members only.
func (v *View) suspicionTimeout() float64 {
	statesPerPeriod := float64(usualStates * 2 * fanOut)
	newsInterval := float64(len(v.names))/statesPerPeriod*gossipPeriod + gossipPeriod
	return max(minSuspicionTimeout, suspicionFactor*newsInterval)
}

func (v *View) liveness(now float64, m *Member) Liveness {
	silence := now - m.HeardAt
	timeout := v.suspicionTimeout()
	switch {
	case silence < timeout:
		return Alive
	case silence < goneFactor*timeout:
		return Suspected
	}
	return Gone
}

// merge takes in a state: the sender's own (direct), or one that it passes on.
func (v *View) merge(now float64, s MemberState, direct bool) {
	if s.Name == v.local.Name {
		v.mergeOwn(now, s, direct)
		return
	}
	m := v.members[s.Name]
	if m == nil {
		v.add(now, s)
		return
	}
	if !supersedes(s, m.MemberState) {
		return
	}
	s.OrderNumber, s.Draining = laterOrder(s, m.MemberState)
	m.MemberState = s
	m.HeardAt = now
	m.ageAt = now
	v.newestFirst.MoveToFront(m.recency)
}

// add begins to track a relay that was not known.
func (v *View) add(now float64, s MemberState) {
	if len(v.names) >= maxMembers {
		return
	}
	m := &Member{MemberState: s, HeardAt: now, ageAt: now, ClockOffset: math.NaN()}
	m.recency = v.newestFirst.PushFront(m)
	v.members[s.Name] = m
	at, _ := slices.BinarySearch(v.names, s.Name)
	v.names = slices.Insert(v.names, at, s.Name)
}

// mergeOwn takes in what others know under this relay's name: of its former incarnations, whose boot this one
// must be above, or of a second process that runs now.
func (v *View) mergeOwn(now float64, s MemberState, direct bool) {
	v.local.OrderNumber, v.local.Draining = laterOrder(s, v.local)
	if s.Incarnation == v.local.Incarnation {
		return
	}
	if direct {
		v.DuplicateSeenAt = now
	}
	v.RestoreBoot(s.Boot)
}

// bindSeed notes from which seed's address a member answers.
func (v *View) bindSeed(seed, name string) {
	m := v.members[name]
	if m == nil {
		return
	}
	v.namesBySeed[seed] = name
	m.seedAddress = seed
}

// expire forgets the members that have been gone for long.
func (v *View) expire(now float64) {
	v.names = slices.DeleteFunc(v.names, func(name string) bool {
		m := v.members[name]
		if now <= m.HeardAt+expireAfter {
			return false
		}
		for seed, boundName := range v.namesBySeed {
			if boundName == name {
				delete(v.namesBySeed, seed)
			}
		}
		v.newestFirst.Remove(m.recency)
		delete(v.members, name)
		return true
	})
}
