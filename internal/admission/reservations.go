package admission

const (
	// reservationEarly and reservationLate are how far from the time that a client was told it may come back.
	reservationEarly = 300.0
	reservationLate  = 700.0
	// reservationRotation is how long a half of the reservations is written to, and then kept.
	reservationRotation = 10000.0
	maxReservations     = 1 << 16 // in each half
)

// reservations are the times at which rejected clients were told to come back, by key. There are two halves, the
// older of which is dropped as a whole.
type reservations struct {
	recent    map[uint64]float64
	older     map[uint64]float64
	rotatedAt float64
}

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

// isDue tells whether the client of that key was told to come back about now. A key of 0 is no client's.
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

// RetryAfter returns after which time a client of that key that is rejected is told to come back, at the most
// longest. While the fleet recovers it is drawn from the second half of that, so that clients don't all come at
// one moment; the draw is from 0 to 1.
func (c *Controller) RetryAfter(longest float64, key uint64, now, draw float64) float64 {
	if !c.isRecovering() || longest <= 0 {
		return longest
	}
	wait := longest * (0.5 + 0.5*draw)
	c.reservations.add(now, key, now+wait)
	return wait
}

// DropReservation forgets the reservation of that key: others hold it, and it is looked up there.
func (c *Controller) DropReservation(key uint64) {
	if c == nil {
		return
	}
	delete(c.reservations.recent, key)
	delete(c.reservations.older, key)
}

// Reservations returns up to limit reservations, by key, whose times lie ahead or just behind.
func (c *Controller) Reservations(now float64, limit int) map[uint64]float64 {
	reserved := map[uint64]float64{}
	if c == nil {
		return reserved
	}
	for _, half := range []map[uint64]float64{c.reservations.older, c.reservations.recent} {
		for key, due := range half {
			if now < due+reservationLate && len(reserved) < limit {
				reserved[key] = due
			}
		}
	}
	return reserved
}

// RestoreReservations takes the reservations of the life before, but for those at times that no client could have
// been told: longest is the longest wait.
func (c *Controller) RestoreReservations(now, longest float64, reserved map[uint64]float64) {
	for key, due := range reserved {
		if now < due+reservationLate && due < now+longest {
			c.reservations.add(now, key, due)
		}
	}
}
