package balancer

const (
	watchSilenceShare     = 0.8    // of the watch timeout, after which a silent list is asked for anew
	watchIntervalPerRelay = 1000.0 // between the asking of one relay and the next
	firstWatchSpread      = 20.0   // the same for the first time
	firstWatchBackoff     = 200.0  // after one failure; doubled with each further one
	maxWatchBackoff       = 1000.0 // mean wait before the retry of a failed watch; half as much again at most
	maxWatchFailures      = 6      // that are counted
	relaysPerWatchBackoff = 32     // as many relays double the backoff
)

// scheduleWatch sets when the list is asked for anew, as an update has come.
func (b *Balancer) scheduleWatch(now float64) {
	b.watchFailures = 0
	b.watchAt = now + b.watchSilence()
	if !b.listReceived && b.mustWatch { // the cached list at the start is no answer
		b.watchAt = now + b.rng.Float64()*min(firstWatchSpread*(b.quotas.relays-1), b.watchTimeout/2)
	}
}

// WatchFailed takes that a call for the list failed or a watch broke, and sets the time of the retry:
// exponential backoff with jitter, bounded, as a change counts as told a fixed time after discovery can be
// reached again.
func (b *Balancer) WatchFailed(now float64) {
	b.watchFailures = min(b.watchFailures+1, maxWatchFailures)
	doubled := float64(int(firstWatchBackoff) << (b.watchFailures - 1))
	backoff := doubled * (1 + b.quotas.relays/relaysPerWatchBackoff)
	b.watchAt = now + min(backoff, maxWatchBackoff, 2.5*b.watchTimeout)*(0.5+b.rng.Float64())
}

// watchSilence is how many milliseconds without a word pass until the list is asked for anew. Against
// hundreds of relays drowning discovery: then it tells no drain.
func (b *Balancer) watchSilence() float64 {
	return max(b.watchTimeout*watchSilenceShare, b.quotas.relays*watchIntervalPerRelay)
}
