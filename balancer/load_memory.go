package balancer

// endedLoadRetention is for how many milliseconds a load is kept at least. It is kept at most twice as long, while
// others are stored.
const endedLoadRetention = 60000.0

// loadMemory keeps session loads by client key for a limited time. It has two generations, of which the older is
// dropped as a whole, so that its size stays bounded.
type loadMemory struct {
	recent    map[uint64]float64
	older     map[uint64]float64
	rotatedAt float64
}

func (m *loadMemory) store(now float64, key uint64, load float64) {
	if m.recent == nil || now > m.rotatedAt+endedLoadRetention {
		m.older = m.recent
		m.recent = map[uint64]float64{}
		m.rotatedAt = now
	}
	m.recent[key] = load
}

func (m *loadMemory) lookup(key uint64) (load float64, found bool) {
	if load, found = m.recent[key]; found {
		return load, true
	}
	load, found = m.older[key]
	return load, found
}

// newest returns up to count loads by key. Those of the recent generation take precedence.
func (m *loadMemory) newest(count int) map[uint64]float64 {
	loads := map[uint64]float64{}
	for _, half := range []map[uint64]float64{m.recent, m.older} {
		for key, load := range half {
			if _, found := loads[key]; !found && len(loads) < count {
				loads[key] = load
			}
		}
	}
	return loads
}
