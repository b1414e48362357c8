package model

// maxStoreBacklog is the work that may wait at the session store before it counts as busy, in ms.
const maxStoreBacklog = 200.0

// SessionStore is the store that all backends share. It handles the set-ups of sessions one after the other.
type SessionStore struct {
	rate   float64 // set-ups per second; 0: set-ups take no time
	factor float64 // multiplies the rate
	freeAt float64 // time at which all set-ups given to it so far are done
}

// NewSessionStore returns a store that handles that many set-ups per second; with 0 they take no time.
func NewSessionStore(rate float64) *SessionStore { return &SessionStore{rate: rate, factor: 1} }

// SetRateFactor multiplies the store's rate by factor from now on. Set-ups given to it before are not delayed.
func (s *SessionStore) SetRateFactor(factor float64) { s.factor = factor }

// enqueue adds a set-up to the store's queue and returns when it will be done.
func (s *SessionStore) enqueue(now float64) (doneAt float64) {
	if s.rate <= 0 {
		return now
	}
	s.freeAt = max(s.freeAt, now) + 1000/(s.rate*s.factor)
	return s.freeAt
}

func (s *SessionStore) isBusy(now float64) bool { return s.freeAt > now+maxStoreBacklog }
