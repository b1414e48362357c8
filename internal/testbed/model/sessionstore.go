package model

// storeBusyAfter is how much work may wait at the session store before it counts as busy.
const storeBusyAfter = 200.0

// SessionStore is the store that all backends share. Sessions are set up through it one after the other.
type SessionStore struct {
	rate   float64 // set-ups a second; 0: they take no time
	factor float64 // of the rate
	freeAt float64 // when it is done with all that it was given
}

// NewSessionStore returns a store of that many set-ups a second; 0: of any number.
func NewSessionStore(rate float64) *SessionStore { return &SessionStore{rate: rate, factor: 1} }

// SetRateFactor has the store work at a part of its rate from now on. What it was given before is not done
// later.
func (s *SessionStore) SetRateFactor(factor float64) { s.factor = factor }

// enqueue gives the store one set-up and returns when that is done.
func (s *SessionStore) enqueue(now float64) (doneAt float64) {
	if s.rate <= 0 {
		return now
	}
	s.freeAt = max(s.freeAt, now) + 1000/(s.rate*s.factor)
	return s.freeAt
}

func (s *SessionStore) isBusy(now float64) bool { return s.freeAt > now+storeBusyAfter }
