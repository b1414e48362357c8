package replication

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Member is a relay of the fleet that can store records. This relay is a member too.
type Member struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Draining    bool // a draining member is not chosen as a replica of new records
}

// memberList is the list of members known to be alive. Relays may have different views of it: it decides which members
// are asked, and never changes the replicas of an existing record.
type memberList []Member

// UpdateMembers sets the members that can store records, which include this relay. If a name was added or removed,
// other relays may look up records at members that don't store them, so the records' locations are published again.
func (r *Replicator) UpdateMembers(members []Member) {
	sameNames := slices.EqualFunc(members, r.members, func(a, b Member) bool { return a.Name == b.Name })
	r.members = members
	if !sameNames {
		r.publisher.restart()
	}
}

// HasEnoughMembers reports whether there are enough members that aren't draining to store all copies of a record.
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

// rank returns the n preferred members for records of that key, by rendezvous hashing: all relays with the same view
// of the members get the same order. The members alternate between zones, and no zone comes twice before each has come
// once, so that the loss of a zone takes as few copies as possible.
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

// rankByZone returns the members grouped by zone. Each zone is sorted by hash, and the zones by their first members.
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

// rendezvousHash returns a member's FNV-1a hash for a key, with its bits mixed once more: names that differ only in
// their last characters would otherwise get adjacent hashes.
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
