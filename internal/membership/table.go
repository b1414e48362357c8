package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxMembers = 4096 // number of other relays that are tracked; further ones are ignored

	minSuspicionTimeout = 1200.0   // milliseconds without an update
	suspicionFactor     = 6.0      // suspicion timeout as a multiple of the mean time between updates of one member
	goneFactor          = 2.0      // time without an update until a member is gone, in suspicion timeouts
	expireAfter         = 600000.0 // milliseconds without an update until a member is removed
)

// Members returns the other relays with their liveness and age as of now, ordered by name.
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

// Address returns the address at which a member can be reached, or an empty string if there is none.
func (v *View) Address(m Member) string { return v.address(&m) }

func (v *View) address(m *Member) string {
	if v.SeedsOnly {
		return m.seedAddress
	}
	return cmp.Or(m.seedAddress, m.Address)
}

// suspicionTimeout returns how many milliseconds without an update make a member suspected. The timeout grows with the
// fleet, because a datagram has room for only some of the members.
func (v *View) suspicionTimeout() float64 {
	statesPerPeriod := float64(typicalStates * 2 * fanOut)
	updateInterval := float64(len(v.names))/statesPerPeriod*gossipPeriod + gossipPeriod
	return max(minSuspicionTimeout, suspicionFactor*updateInterval)
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

// merge applies a received state, which is the sender's own (direct) or one that it passes on.
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
	v.newestFirst.MoveToFront(m.listElement)
}

// add begins to track a new member.
func (v *View) add(now float64, s MemberState) {
	if len(v.names) >= maxMembers {
		return
	}
	m := &Member{MemberState: s, HeardAt: now, ageAt: now, ClockOffset: math.NaN()}
	m.listElement = v.newestFirst.PushFront(m)
	v.members[s.Name] = m
	at, _ := slices.BinarySearch(v.names, s.Name)
	v.names = slices.Insert(v.names, at, s.Name)
}

// mergeOwn applies a received state with this relay's own name. It is a state of this incarnation, of a former one,
// whose boot this one must exceed, or of another process that is running under the same name.
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

// bindSeed records that a member answers from a seed address.
func (v *View) bindSeed(seed, name string) {
	m := v.members[name]
	if m == nil {
		return
	}
	v.namesBySeed[seed] = name
	m.seedAddress = seed
}

// expire removes the members that have been gone for longer than expireAfter.
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
		v.newestFirst.Remove(m.listElement)
		delete(v.members, name)
		return true
	})
}
