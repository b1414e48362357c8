package balancer

import "valeshift/internal/admission"

// maxStoredKeys bounds the entries by client key in what is handed on.
const maxStoredKeys = 4096

// retryAfter returns the Retry-After of a rejected client, in milliseconds. While the fleet recovers that
// reserves a time for the client (package admission).
func (b *Balancer) retryAfter(session *Session, now float64) float64 {
	if b.admission == nil {
		return b.attempts.maxRetryAfter
	}
	return b.admission.RetryAfter(b.attempts.maxRetryAfter, session.Key, now, b.rng.Float64())
}

// Reservations returns when rejected clients are expected again, by key.
func (b *Balancer) Reservations(now float64) map[uint64]float64 {
	return b.admission.Reservations(now, maxStoredKeys)
}

// RestoreReservations adds the reservations of this relay's last incarnation, or of another relay.
func (b *Balancer) RestoreReservations(now float64, reservations map[uint64]float64) {
	if len(reservations) > 0 {
		b.admissionControl().RestoreReservations(now, b.attempts.maxRetryAfter, reservations)
	}
}

// DropReservation forgets the reservation of that key.
func (b *Balancer) DropReservation(key uint64) { b.admission.DropReservation(key) }

// SetRecovering sets whether the fleet recovers from a full outage, and this relay's share of the capacity of
// backends in slow start (0: an even one). It has no effect where backends can't be polled: only their
// reports show when they are full.
func (b *Balancer) SetRecovering(recovering bool, share float64) {
	b.admissionControl().SetRecovering(recovering && b.poller.enabled, share, b.slowStart.relays)
}

// admissionControl returns the admission controller, created at its first use.
func (b *Balancer) admissionControl() *admission.Controller {
	if b.admission == nil {
		b.admission = admission.New()
	}
	return b.admission
}
