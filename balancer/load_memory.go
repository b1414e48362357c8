package balancer

// endedLoadRetention is how many milliseconds a load is remembered, twice that at the most.
const endedLoadRetention = 60000.0

// loadMemory keeps loads by key. It has two halves, the older dropped whole, so that it stays bounded.
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

// newest returns at most count loads by key, the recent ones first.
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
