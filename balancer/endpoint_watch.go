package balancer

const (
	watchRenewalShare     = 0.8    // share of the watch timeout after which a silent watch is renewed
	watchIntervalPerRelay = 1000.0 // shortest mean time between the renewals of two relays, in milliseconds
	firstWatchSpread      = 20.0   // mean time between the first watches of two relays, in milliseconds
	firstWatchBackoff     = 200.0  // backoff after one failure, in milliseconds; doubled with each further one
	maxWatchBackoff       = 1000.0 // highest mean backoff, in milliseconds; the jitter is half of the mean either way
	maxBackoffPerTimeout  = 2.5    // highest mean backoff as a multiple of the watch timeout
	maxWatchFailures      = 6      // number of consecutive failures after which the backoff is not doubled further
	relaysPerWatchBackoff = 32     // number of relays that doubles the backoff
)

// endpointWatch is the state of the watch of the endpoint list.
type endpointWatch struct {
	isRequired bool    // whether changes are received only while the list is watched
	timeout    float64 // milliseconds of silence after which a watch counts as broken; +Inf: never
	nextAt     float64 // time at which the watch is started again
	failures   int     // number of consecutive failures, up to maxWatchFailures
}

// scheduleWatch sets, after an update, when the watch is started again.
func (b *Balancer) scheduleWatch(now float64) {
	b.watch.failures = 0
	b.watch.nextAt = now + b.watchRenewalInterval()
	if !b.listReceived && b.watch.isRequired { // the first list is a cached one and did not come from a watch
		b.watch.nextAt = now + b.rng.Float64()*min(firstWatchSpread*(b.quotas.relays-1), b.watch.timeout/2)
	}
}

// WatchFailed schedules a retry after a failed call or a broken watch, with exponential backoff and jitter. The
// backoff is bounded, as a relay counts as notified of a change a fixed time after discovery can be reached again.
func (b *Balancer) WatchFailed(now float64) {
	b.watch.failures = min(b.watch.failures+1, maxWatchFailures)
	doubled := float64(int(firstWatchBackoff) << (b.watch.failures - 1))
	backoff := doubled * (1 + b.quotas.relays/relaysPerWatchBackoff)
	mean := min(backoff, maxWatchBackoff, maxBackoffPerTimeout*b.watch.timeout)
	b.watch.nextAt = now + mean*(0.5+b.rng.Float64())
}

// watchRenewalInterval returns the milliseconds of silence after which the watch is renewed. It grows with the
// number of relays: hundreds of them would otherwise overload discovery, which would then notify no relay of a
// drain.
func (b *Balancer) watchRenewalInterval() float64 {
	return max(b.watch.timeout*watchRenewalShare, b.quotas.relays*watchIntervalPerRelay)
}
