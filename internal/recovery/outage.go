package recovery

import "fmt"

// youngAgeLimit is the age under which a relay was started by the same outage.
const youngAgeLimit = 15000.0

// DetectFullOutage tells an outage of the whole fleet from this relay's own restart, by how long the others have
// run: that needs no clock to be right. With nobody heard it is taken for a full one, as what follows of that is
// the more careful.
func DetectFullOutage(peers []Peer) (isFull bool, reason string) {
	young := 0
	for _, peer := range peers {
		if peer.AgeMillis < youngAgeLimit || peer.Phase != Normal {
			young++
		}
	}
	switch {
	case len(peers) == 0:
		return true, "no other relay is heard"
	case 2*young > len(peers):
		return true, fmt.Sprintf("%d of %d other relays have just started too", young, len(peers))
	}
	return false, fmt.Sprintf("%d of %d other relays have run for long: only this one restarted",
		len(peers)-young, len(peers))
}
