package membership

import "slices"

const (
	fanOut       = 2  // members that each round of gossip goes to
	goneInterval = 10 // one round in so many goes to a gone member too: separated islands meet again
	usualStates  = 20 // in a datagram, as a rule: from it the suspicion timeout is reckoned

	// In a fleet of more than twice usualStates a datagram skips each state with this chance, so that not all
	// relays pass on the same ones.
	skipChance = 0.6

	maxAnswersPerSecond = 50 // so that a flood of datagrams does not have this relay flood others
)

// selectTargets draws the addresses that this round of gossip goes to: members that are not gone; each time a
// seed that has not answered yet; and now and then a member that is gone.
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
	if v.rng.Intn(goneInterval) == 0 || len(present) == 0 {
		pick(gone)
	}
	return targets
}

// addressesByLiveness returns the members' addresses in the order of their names. One that can't be reached
// has an empty address.
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

// silentSeeds returns the seeds from which no member has answered.
func (v *View) silentSeeds() (silent []string) {
	for _, seed := range v.seeds {
		if v.namesBySeed[seed] == "" {
			silent = append(silent, seed)
		}
	}
	return silent
}

// composeDatagram returns a datagram with this relay's state and as many others as there is room for, the
// latest news first.
func (v *View) composeDatagram(now float64, to string, asksForAnswer bool) Datagram {
	data := appendHeader(make([]byte, 0, maxDatagramBytes), asksForAnswer, now+v.ClockOffset)
	v.local.AgeMillis = now - v.startedAt
	data = appendState(data, v.local)
	count := 1
	for e := v.newestFirst.Front(); e != nil; e = e.Next() {
		m := e.Value.(*Member)
		if v.liveness(now, m) == Gone {
			break // passed on, its state would make it look alive elsewhere, and so would all older ones
		}
		if len(v.names) > 2*usualStates && v.rng.Float64() < skipChance {
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

// answerBudget is a token bucket that limits the answers.
type answerBudget struct {
	left      float64
	updatedAt float64
}

// take takes one answer from the budget, and tells whether there was one.
func (b *answerBudget) take(now float64) bool {
	earned := (now - b.updatedAt) * maxAnswersPerSecond / 1000
	b.left = min(b.left+earned, maxAnswersPerSecond)
	b.updatedAt = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
