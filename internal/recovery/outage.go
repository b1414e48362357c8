package recovery

import "fmt"

// youngAgeLimit is the age, in milliseconds, below which another relay counts as restarted by the same outage.
const youngAgeLimit = 15000.0

// DetectFullOutage reports whether the whole fleet was down, rather than only this relay. It goes by how long the
// other relays have been running, so it doesn't depend on correct clocks. If no other relay is heard, a full outage
// is assumed, because the recovery from one is the more careful.
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
