package balancer

// endedLoadRetention is the shortest time for which a load is kept, in milliseconds. As long as other loads are
// stored, no load is kept for more than twice that time.
const endedLoadRetention = 60000.0

// sessionLoadCache keeps session loads by client key for a limited time. It has two generations, of which the older is
// dropped as a whole, so that its size stays bounded.
type sessionLoadCache struct {
	recent    map[uint64]float64
	older     map[uint64]float64
	rotatedAt float64 // when recent was started
}

func (c *sessionLoadCache) store(now float64, key uint64, load float64) {
	if c.recent == nil || now > c.rotatedAt+endedLoadRetention {
		c.older = c.recent
		c.recent = map[uint64]float64{}
		c.rotatedAt = now
	}
	c.recent[key] = load
}

func (c *sessionLoadCache) lookup(key uint64) (load float64, found bool) {
	if load, found = c.recent[key]; found {
		return load, true
	}
	load, found = c.older[key]
	return load, found
}

// newest returns up to count loads by key. Those of the recent generation take precedence.
func (c *sessionLoadCache) newest(count int) map[uint64]float64 {
	loads := map[uint64]float64{}
	for _, generation := range []map[uint64]float64{c.recent, c.older} {
		for key, load := range generation {
			if _, found := loads[key]; !found && len(loads) < count {
				loads[key] = load
			}
		}
	}
	return loads
}
