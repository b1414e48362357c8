package balancer

const (
	watchSilenceShare     = 0.8    // share of the watch timeout after which a silent list is watched anew
	watchIntervalPerRelay = 1000.0 // time between the watches of two relays, at the least
	firstWatchSpread      = 20.0   // time between the first watches of two relays
	firstWatchBackoff     = 200.0  // after one failure; doubled with each further one
	maxWatchBackoff       = 1000.0 // mean wait before a retry; the jitter is half of it either way
	maxBackoffPerTimeout  = 2.5    // times the watch timeout, which bounds it too
	maxWatchFailures      = 6      // failures that double the backoff
	relaysPerWatchBackoff = 32     // so many relays double it too
)

// endpointWatch is when and how the endpoint list is watched.
type endpointWatch struct {
	isRequired bool    // changes come only while the list is watched
	timeout    float64 // silence after which a watch counts as dead; +Inf: never
	nextAt     float64 // when to watch the list anew
	failures   int     // in a row
}

// scheduleWatch sets when the list is watched anew, after an update.
func (b *Balancer) scheduleWatch(now float64) {
	b.watch.failures = 0
	b.watch.nextAt = now + b.watchSilence()
	if !b.listReceived && b.watch.isRequired { // the cached list at the start is no answer
		b.watch.nextAt = now + b.rng.Float64()*min(firstWatchSpread*(b.quotas.relays-1), b.watch.timeout/2)
	}
}

// WatchFailed schedules a retry after a failed call or a broken watch: exponential backoff with jitter. It is
// bounded, as a relay counts as notified of a change a fixed time after discovery can be reached again.
func (b *Balancer) WatchFailed(now float64) {
	b.watch.failures = min(b.watch.failures+1, maxWatchFailures)
	doubled := float64(int(firstWatchBackoff) << (b.watch.failures - 1))
	backoff := doubled * (1 + b.quotas.relays/relaysPerWatchBackoff)
	mean := min(backoff, maxWatchBackoff, maxBackoffPerTimeout*b.watch.timeout)
	b.watch.nextAt = now + mean*(0.5+b.rng.Float64())
}

// watchSilence returns after how many silent milliseconds the list is watched anew. It grows with the number
// of relays, as hundreds of them would overload discovery, which then notifies nobody of a drain.
func (b *Balancer) watchSilence() float64 {
	return max(b.watch.timeout*watchSilenceShare, b.quotas.relays*watchIntervalPerRelay)
}
