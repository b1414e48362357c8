package membership

import "slices"

const (
	fanOut              = 2  // number of members that each round of gossip is sent to
	goneContactInterval = 10 // mean number of rounds between datagrams to gone members, which let partitions rejoin
	typicalStates       = 20 // typical number of states in a datagram, from which the suspicion timeout is derived

	// skipProbability is the chance that a datagram leaves out a state, in a fleet of more than twice typicalStates
	// members. It keeps the relays from all passing on the same states.
	skipProbability = 0.6

	maxAnswersPerSecond = 50 // answers per second, so that a flood of datagrams doesn't make this relay flood others
)

// selectTargets draws the addresses that this round of gossip is sent to: members that are not gone, one seed that has
// not answered yet, and from time to time a member that is gone.
func (v *View) selectTargets(now float64) (targets []string) {
	present, gone := v.addressesByLiveness(now)
	silentSeeds := v.silentSeeds()
	pick := func(addresses []string) {
		if len(addresses) == 0 {
			return
		}
		address := addresses[v.rng.Intn(len(addresses))]
		if address != "" && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	for range fanOut {
		pick(present)
	}
	pick(silentSeeds)
	if v.rng.Intn(goneContactInterval) == 0 || len(present) == 0 {
		pick(gone)
	}
	return targets
}

// addressesByLiveness returns the addresses of the members, ordered by name. The address of a member that can't be
// reached is empty.
func (v *View) addressesByLiveness(now float64) (present, gone []string) {
	for _, name := range v.names {
		m := v.members[name]
		if v.liveness(now, m) == Gone {
			gone = append(gone, v.address(m))
		} else {
			present = append(present, v.address(m))
		}
	}
	return present, gone
}

// silentSeeds returns the seed addresses from which no member has answered.
func (v *View) silentSeeds() (silent []string) {
	for _, seed := range v.seeds {
		if v.namesBySeed[seed] == "" {
			silent = append(silent, seed)
		}
	}
	return silent
}

// composeDatagram returns a datagram with this relay's state and as many states of other members as fit, the most
// recently updated first.
func (v *View) composeDatagram(now float64, to string, asksForAnswer bool) Datagram {
	data := appendHeader(make([]byte, 0, maxDatagramBytes), asksForAnswer, now+v.ClockOffset)
	v.local.AgeMillis = now - v.startedAt
	data = appendState(data, v.local)
	count := 1
	for e := v.newestFirst.Front(); e != nil; e = e.Next() {
		m := e.Value.(*Member)
		if v.liveness(now, m) == Gone {
			break // passing on this state or an older one would make a gone member look alive to other relays
		}
		if len(v.names) > 2*typicalStates && v.rng.Float64() < skipProbability {
			continue
		}
		s := m.MemberState
		s.AgeMillis += now - m.ageAt
		longer := appendState(data, s)
		if len(longer) > maxDatagramBytes-datagramTagBytes {
			break
		}
		data = longer
		count++
	}
	setStateCount(data, count)
	data = sealDatagram(v.key, data)
	v.Counts.Sent++
	v.Counts.SentBytes += uint64(len(data))
	return Datagram{To: to, Data: data}
}

// answerBudget is a token bucket that limits the rate of answers.
type answerBudget struct {
	tokens    float64
	updatedAt float64
}

// take takes a token for one answer and reports whether there was one.
func (b *answerBudget) take(now float64) bool {
	earned := (now - b.updatedAt) * maxAnswersPerSecond / 1000
	b.tokens = min(b.tokens+earned, maxAnswersPerSecond)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
