package balancer

import "valeshift/internal/admission"

// maxStoredKeys is the most client keys in a snapshot, or in the reservations passed on to another process or
// relay.
const maxStoredKeys = 4096

// retryAfter returns the Retry-After for a rejected client, in milliseconds. While the fleet recovers, it also
// records a reservation for the client at that time (package admission).
func (b *Balancer) retryAfter(session *Session, now float64) float64 {
	if b.admission == nil {
		return b.attempts.maxRetryAfter
	}
	return b.admission.RetryAfter(b.attempts.maxRetryAfter, session.Key, now, b.rng.Float64())
}

// Reservations returns the times at which rejected clients were told to retry, by client key.
func (b *Balancer) Reservations(now float64) map[uint64]float64 {
	return b.admission.Reservations(now, maxStoredKeys)
}

// RestoreReservations adds the reservations of this relay's previous incarnation, or of another relay.
func (b *Balancer) RestoreReservations(now float64, reservations map[uint64]float64) {
	if len(reservations) > 0 {
		b.admissionControl().RestoreReservations(now, b.attempts.maxRetryAfter, reservations)
	}
}

// DropReservation removes the reservation of that client key.
func (b *Balancer) DropReservation(key uint64) { b.admission.DropReservation(key) }

// SetRecovering sets whether the fleet recovers from a full outage, and this relay's share of the capacity of
// backends in slow start (0: the same as every relay's). The fleet never counts as recovering if backends
// can't be polled, because only their reports show when they are full.
func (b *Balancer) SetRecovering(recovering bool, share float64) {
	b.admissionControl().SetRecovering(recovering && b.poller.enabled, share, b.slowStart.relays)
}

// admissionControl returns the admission controller, and creates it on first use.
func (b *Balancer) admissionControl() *admission.Controller {
	if b.admission == nil {
		b.admission = admission.New()
	}
	return b.admission
}
