package admission

const (
	reservationEarly = 300.0 // milliseconds by which a client may come back before the time it was given
	reservationLate  = 700.0 // milliseconds by which a client may come back after the time it was given
	// reservationRotation is for how many milliseconds reservations are added to one generation before the next one
	// replaces it. The former generation is kept for as long again.
	reservationRotation = 10000.0
	maxReservations     = 1 << 16 // number of reservations in one generation
)

// reservations are the times at which rejected clients were told to come back, by key. They are kept in two
// generations, so that old ones are dropped all at once.
type reservations struct {
	recent    map[uint64]float64 // the generation that is added to
	older     map[uint64]float64 // the generation before it
	rotatedAt float64            // when the recent generation was begun
}

// add records at which time the client with that key was told to come back.
func (r *reservations) add(now float64, key uint64, due float64) {
	if r.recent == nil || now > r.rotatedAt+reservationRotation {
		r.older = r.recent
		r.recent = map[uint64]float64{}
		r.rotatedAt = now
	}
	if key != 0 && len(r.recent) < maxReservations {
		r.recent[key] = due
	}
}

// isDue reports whether the client with that key was told to come back about now. Key 0 stands for a client without a
// key.
func (r *reservations) isDue(key uint64, now float64) bool {
	if key == 0 {
		return false
	}
	due, isReserved := r.recent[key]
	if !isReserved {
		due, isReserved = r.older[key]
	}
	return isReserved && now > due-reservationEarly && now < due+reservationLate
}

// RetryAfter returns the time after which a rejected client with that key is told to come back, maxWait at most. While
// the fleet is recovering, the time is spread over the second half of maxWait by a random number from 0 to 1, so that
// clients don't all come back at the same moment, and it is recorded as a reservation.
func (c *Controller) RetryAfter(maxWait float64, key uint64, now, random float64) float64 {
	if !c.isRecovering() || maxWait <= 0 {
		return maxWait
	}
	wait := maxWait * (0.5 + 0.5*random)
	c.reservations.add(now, key, now+wait)
	return wait
}

// DropReservation removes the reservation of that key, because other relays store it and it is looked up there.
func (c *Controller) DropReservation(key uint64) {
	if c == nil {
		return
	}
	delete(c.reservations.recent, key)
	delete(c.reservations.older, key)
}

// Reservations returns up to limit reservations, by key, that can still be used.
func (c *Controller) Reservations(now float64, limit int) map[uint64]float64 {
	reserved := map[uint64]float64{}
	if c == nil {
		return reserved
	}
	for _, generation := range []map[uint64]float64{c.reservations.older, c.reservations.recent} {
		for key, due := range generation {
			if now < due+reservationLate && len(reserved) < limit {
				reserved[key] = due
			}
		}
	}
	return reserved
}

// RestoreReservations adds reservations from before the start or from another relay. It leaves out those that have
// expired, and those further ahead than maxWait, which no client can have been given.
func (c *Controller) RestoreReservations(now, maxWait float64, reserved map[uint64]float64) {
	for key, due := range reserved {
		if now < due+reservationLate && due < now+maxWait {
			c.reservations.add(now, key, due)
		}
	}
}
