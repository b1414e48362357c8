package replication

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Member is a relay that can store records; this relay is one as well.
type Member struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Draining    bool // it is given no new records
}

// memberList is the members that are known to be alive. Relays may have different views of it: it only decides
// who is asked, never what a record's replicas are once it is made.
type memberList []Member

// UpdateMembers sets who can store records now, this relay included. Where names have changed, other relays may
// look up a record at members that don't store it: those are notified of its location.
func (r *Replicator) UpdateMembers(members []Member) {
	sameNames := slices.EqualFunc(members, r.members, func(a, b Member) bool { return a.Name == b.Name })
	r.members = members
	if !sameNames {
		r.publisher.restart()
	}
}

// HasEnoughMembers reports whether there are members enough for all copies of a record.
func (r *Replicator) HasEnoughMembers() bool {
	return len(r.members.rank("", r.copies, false)) >= r.copies
}

func (l memberList) isDraining(name string) bool {
	return slices.ContainsFunc(l, func(m Member) bool { return m.Name == name && m.Draining })
}

func (l memberList) names() map[string]bool {
	names := make(map[string]bool, len(l))
	for _, m := range l {
		names[m.Name] = true
	}
	return names
}

// rankedMember is a member with its rendezvous hash for a key.
type rankedMember struct {
	Member
	hash uint64
}

func (m rankedMember) compare(other rankedMember) int {
	return cmp.Or(cmp.Compare(m.hash, other.hash), cmp.Compare(m.Name, other.Name))
}

// rank returns the first n members in the order in which they store records of that key. It is drawn by rendezvous
// hashing, the same at all relays with the same view. No zone comes twice before each has come once, so that the
// loss of a zone takes few copies.
func (l memberList) rank(key string, n int, includeDraining bool) []Member {
	zones := l.rankByZone(key, includeDraining)
	var ranked []Member
	for depth := 0; len(ranked) < n; depth++ {
		before := len(ranked)
		for _, zone := range zones {
			if depth < len(zone) && len(ranked) < n {
				ranked = append(ranked, zone[depth].Member)
			}
		}
		if len(ranked) == before {
			break
		}
	}
	return ranked
}

// rankByZone returns each zone's members in order, and the zones in the order of their first members.
func (l memberList) rankByZone(key string, includeDraining bool) [][]rankedMember {
	byZone := map[string][]rankedMember{}
	for _, m := range l {
		if m.Draining && !includeDraining {
			continue
		}
		byZone[m.Zone] = append(byZone[m.Zone], rankedMember{m, rendezvousHash(key, m.Name)})
	}
	zones := make([][]rankedMember, 0, len(byZone))
	for _, zone := range byZone {
		slices.SortFunc(zone, rankedMember.compare)
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b []rankedMember) int { return a[0].compare(b[0]) })
	return zones
}

// rendezvousHash mixes the bits of an FNV hash once more: names that differ in their end only would otherwise come out
// side by side.
func rendezvousHash(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
