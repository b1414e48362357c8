package balancer

import "valeshift/internal/admission"

// maxStoredKeys bounds what is handed on by client key, against a record without bound.
const maxStoredKeys = 4096

// retryAfter is how many milliseconds a rejected client is told to wait. While the fleet recovers that
// reserves a time for the client (package admission).
func (b *Balancer) retryAfter(session *Session, now float64) float64 {
	if b.admission == nil {
		return b.attempts.maxRetryAfter
	}
	return b.admission.RetryAfter(b.attempts.maxRetryAfter, session.Key, now, b.rng.Float64())
}

// Reservations returns when clients were told to come again, by key.
func (b *Balancer) Reservations(now float64) map[uint64]float64 {
	return b.admission.Reservations(now, maxStoredKeys)
}

// RestoreReservations takes whom this relay's last incarnation, or another relay, told to come again.
func (b *Balancer) RestoreReservations(now float64, reservations map[uint64]float64) {
	if len(reservations) > 0 {
		b.admissionControl().RestoreReservations(now, b.attempts.maxRetryAfter, reservations)
	}
}

// DropReservation forgets the reservation of that key.
func (b *Balancer) DropReservation(key uint64) { b.admission.DropReservation(key) }

// SetRecovering takes whether the fleet recovers from a full outage, and which share of what backends in slow
// start bear this relay is to take; 0: an even one. Where backends can't be polled nothing follows of it:
// their reports are what shows that one in slow start has had enough, whatever is known from before.
func (b *Balancer) SetRecovering(recovering bool, share float64) {
	b.admissionControl().SetRecovering(recovering && b.poller.enabled, share, b.slowStart.relays)
}

// admissionControl returns the admission control, which begins with its first use.
func (b *Balancer) admissionControl() *admission.Controller {
	if b.admission == nil {
		b.admission = admission.New()
	}
	return b.admission
}
