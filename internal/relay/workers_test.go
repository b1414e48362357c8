package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A job starts at once even if all workers are busy, and idle workers, up to maxIdleWorkers, are kept for later jobs.
func TestJobsRunAtOnce(t *testing.T) {
	var pool workerPool
	t.Cleanup(pool.stop)
	const jobs = 3 * maxIdleWorkers
	busy := make(chan bool, jobs)
	release := make(chan bool)
	for round := range 2 {
		for range jobs {
			pool.run(func() {
				busy <- true
				<-release
			})
		}
		for range jobs {
			<-busy
		}
		for range jobs {
			release <- true
		}
		require.Eventually(t, func() bool {
			pool.mutex.Lock()
			defer pool.mutex.Unlock()
			return len(pool.idle) == maxIdleWorkers
		}, 5*time.Second, time.Millisecond, "round %d", round)
	}
}
