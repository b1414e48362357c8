package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

func TestBootstrap(t *testing.T) {
	for _, voters := range []int{1, 3, 5, 7} {
		c := newCluster(t, voters, int64(voters), plantedFaults{})
		require.True(t, c.canCommit(5000), "%d voters", voters)
		assert.Empty(t, c.checkHistory())
	}
	c := newCluster(t, 3, 1, plantedFaults{})
	c.kill(2)
	assert.False(t, c.canCommit(5000), "a bootstrap needs all voters")
	c.start(2)
	assert.True(t, c.canCommit(5000))
}

func TestNewRejects(t *testing.T) {
	c := newCluster(t, 3, 1, plantedFaults{})
	for name, test := range map[string]struct {
		self Member
		disk string
		want error
	}{
		"a name that is not configured": {Member{Name: "x"}, "", ErrNotConfigured},
		"a disk that is no JSON":        {c.configured[0], "{", ErrUnreadableDisk},
		"a disk of another version":     {c.configured[0], `{"Version":9}`, ErrUnreadableDisk},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(0, test.self, c.configured, []byte(test.disk), &register{cluster: c}, c.rng)
			assert.ErrorIs(t, err, test.want)
		})
	}
}

// TestSurvivesFaults injects one fault into each cluster. Once the fault has ended, the cluster has to commit
// entries again, and all voters have to reach the same state.
func TestSurvivesFaults(t *testing.T) {
	for name, inject := range map[string]func(c *cluster){
		"the leader is killed": func(c *cluster) { c.kill(c.leaderIndex()) },
		"the leader is suspended, and wakes believing that it leads": func(c *cluster) {
			c.hosts[c.leaderIndex()].suspended = true
			c.run(c.now+4000, c.readOrWrite)
		},
		"the leader receives nothing": func(c *cluster) {
			leader := c.leaderIndex()
			for i := range c.hosts {
				c.severed[[2]int{i, leader}] = true
			}
			c.run(c.now+4000, c.readOrWrite)
		},
		"nobody receives what the leader sends": func(c *cluster) {
			leader := c.leaderIndex()
			for i := range c.hosts {
				c.severed[[2]int{leader, i}] = true
			}
			c.run(c.now+4000, c.readOrWrite)
		},
		"all lose power": func(c *cluster) {
			for i := range c.hosts {
				c.kill(i)
			}
		},
		"a third of the messages is lost, and some are late": func(c *cluster) {
			c.loss = 0.33
			c.delay = 80
			c.run(c.now+4000, c.readOrWrite)
		},
		"the clocks run at different rates": func(c *cluster) {
			for i, host := range c.hosts {
				host.clockRate = 0.85 + 0.3*float64(i)/float64(len(c.hosts)-1)
				host.tickedAt = c.clock(i)
				host.lease.nextRenewalAt = 0
				host.identity.nextQueryAt = 0
			}
			c.run(c.now+4000, c.readOrWrite)
		},
		"two disks are wiped, one after the other": func(c *cluster) {
			for i := range 2 {
				c.kill(i)
				c.hosts[i].disk = nil
				c.start(i)
				c.run(c.now+3000, c.readOrWrite)
				status := c.hosts[4].Status()
				assert.Contains(c.t, status.Voters, c.hosts[i].self, "%+v", status)
			}
		},
		"an older disk comes back": func(c *cluster) {
			c.kill(3)
			c.hosts[3].disk = c.hosts[3].earlierDisk
			c.start(3)
			c.run(c.now+3000, c.readOrWrite)
			status := c.hosts[3].Status()
			assert.Contains(c.t, status.DiskDiscardedReason, "knows of start")
			assert.Contains(c.t, status.Voters, c.hosts[3].self, "voter 3 is admitted as a new member")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 42, plantedFaults{})
			require.True(t, c.canCommit(5000))
			c.copyDisks()
			c.run(c.now+3000, c.readOrWrite)
			require.GreaterOrEqual(t, c.leaderIndex(), 0)
			inject(c)
			c.run(c.now+2000, c.readOrWrite)
			c.heal()
			c.run(c.now+3000, c.readOrWrite)
			assert.True(t, c.canCommit(3000), "the cluster commits entries again")
			c.run(c.now+1000, c.readOrWrite)
			c.run(c.now+500, nil)
			assert.Empty(t, c.checkHistory())
			for i, host := range c.hosts {
				assert.Equal(t, c.hosts[0].register.count, host.register.count, "voter %d has all entries", i)
			}
		})
	}
}

// TestDecisionTakesOneRoundTrip checks that committing an entry takes one round trip between voters, plus the
// time that their disks take, and so far less than three round trips.
func TestDecisionTakesOneRoundTrip(t *testing.T) {
	const oneWayMillis = 100.0
	for _, voters := range []int{3, 5, 7} {
		c := newCluster(t, voters, 9, plantedFaults{})
		c.delay = oneWayMillis
		c.jitter = 0
		require.True(t, c.canCommit(20000))
		c.run(c.now+3000, nil)
		for range 5 {
			before := len(c.committedEntries)
			proposedAt := c.now
			leader := c.leaderIndex()
			require.GreaterOrEqual(t, leader, 0)
			c.write(leader)
			for len(c.committedEntries) == before && c.now < proposedAt+20*oneWayMillis {
				c.run(c.now+simulationStepMillis, nil)
			}
			assert.Less(t, (c.now-proposedAt)/(2*oneWayMillis), 1.3, "round trips, %d voters", voters)
			c.run(c.now+500, nil)
		}
	}
}

// TestLostSnapshotIsResent guards against a follower that never gets a snapshot because the first ones were
// lost. A voter restarts after it was down for longer than the log keeps entries, and the first three snapshots
// sent to it are dropped. The leader gets no report of that, and has to send the snapshot again.
func TestLostSnapshotIsResent(t *testing.T) {
	c := newCluster(t, 3, 5, plantedFaults{})
	require.True(t, c.canCommit(5000))
	lagging := (c.leaderIndex() + 1) % 3
	c.kill(lagging)
	for range 3 * compactionThreshold {
		c.run(c.now+20, nil)
		c.write(c.leaderIndex())
	}
	lost := 0
	c.shouldDrop = func(to int, data []byte) bool {
		if to != lagging || lost >= 3 || !isSnapshot(data) {
			return false
		}
		lost++
		return true
	}
	leader := c.leaderIndex()
	c.start(lagging)
	c.run(c.now+3000, nil)
	assert.Equal(t, 3, lost)
	assert.Equal(t, leader, c.leaderIndex(), "the leader must not change: a new one would send the snapshot anyway")
	assert.Equal(t, c.hosts[leader].register.count, c.hosts[lagging].register.count)
	assert.Empty(t, c.checkHistory())
}

// isSnapshot reports whether an encoded message carries a snapshot.
func isSnapshot(data []byte) bool {
	m, err := decodeMessage(data)
	if err != nil {
		return false
	}
	raftMessage, err := m.decodeRaft()
	return err == nil && raftMessage.Type == raftpb.MsgSnap
}

// copyDisks keeps a copy of each disk, to which a test can return later.
func (c *cluster) copyDisks() {
	for _, host := range c.hosts {
		host.earlierDisk = host.disk
	}
}

// areAllRunning reports whether no voter is down or suspended.
func (c *cluster) areAllRunning() bool {
	for _, host := range c.hosts {
		if host.down || host.suspended {
			return false
		}
	}
	return true
}

// runRandomSchedule runs a schedule of faults that is drawn from a seed, and returns the violations.
func runRandomSchedule(t *testing.T, seed int64, faults plantedFaults) []string {
	t.Helper()
	c := newCluster(t, 3+2*int(seed%2), seed, faults)
	c.run(3000, nil)
	c.copyDisks()
	for range 14 {
		i := c.rng.Intn(len(c.hosts))
		switch c.rng.Intn(9) {
		case 0, 1:
			c.kill(i)
		case 2:
			c.hosts[i].suspended = true
		case 3:
			from := c.rng.Intn(len(c.hosts))
			to := c.rng.Intn(len(c.hosts))
			c.severed[[2]int{from, to}] = true
		case 4:
			c.restoreNetwork()
		case 5:
			c.loss = 0.4 * c.rng.Float64()
			c.delay = 60 * c.rng.Float64()
		case 6: // at most one machine at a time loses its disk
			if c.areAllRunning() && c.leaderIndex() >= 0 && c.loss == 0 && len(c.severed) == 0 {
				c.replaceDisk(i)
			}
		default:
			c.startAll()
		}
		c.run(c.now+100+1500*c.rng.Float64(), c.readOrWrite)
	}
	return c.checkHistory()
}

// replaceDisk restarts a voter on an empty disk or on an earlier copy, chosen at random.
func (c *cluster) replaceDisk(i int) {
	c.kill(i)
	c.hosts[i].disk = nil
	if c.rng.Intn(2) == 0 {
		c.hosts[i].disk = c.hosts[i].earlierDisk
	}
	c.start(i)
	c.run(c.now+3000, c.readOrWrite)
}

// scheduleCount returns how many of n schedules to run. Short mode, in which the race detector is used, runs only
// a fifth: the race detector makes them many times slower and can't find anything, as there is one goroutine.
func scheduleCount(n int64) int64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

func TestRandomSchedules(t *testing.T) {
	for seed := range scheduleCount(25) {
		require.Empty(t, runRandomSchedule(t, seed, plantedFaults{}), "seed %d", seed)
	}
}

// runEarlyVotes cuts one voter off from the leader, so that it campaigns all the time. It then cuts the leader
// off from all voters and at the same time restarts the three others. They must not vote before the lease has
// ended.
func runEarlyVotes(t *testing.T, seed int64, faults plantedFaults) []string {
	t.Helper()
	c := newCluster(t, 5, seed, faults)
	c.run(3000, nil)
	leader := c.leaderIndex()
	require.GreaterOrEqual(t, leader, 0)
	after := func(k int) int { return (leader + k) % 5 }
	c.severed[[2]int{leader, after(1)}] = true
	c.severed[[2]int{after(1), leader}] = true
	c.run(c.now+3000, nil)
	for i := range 5 {
		c.severed[[2]int{leader, i}] = true
		c.severed[[2]int{i, leader}] = true
	}
	for _, k := range []int{2, 3, 4} {
		c.kill(after(k))
		c.start(after(k))
	}
	c.run(c.now+3000, c.readOrWrite)
	return c.checkHistory()
}

// TestPlantedFaultsAreDetected guards against checks that can't fail: it switches on each planted fault, and the
// checks have to detect it. Without a planted fault, runEarlyVotes must not find a violation.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		faults plantedFaults
		play   func(t *testing.T, seed int64, faults plantedFaults) []string
	}{
		"votes and entries are not saved":      {plantedFaults{sendUnsaved: true}, runRandomSchedule},
		"the lease is too long":                {plantedFaults{leaseFactor: 8}, runRandomSchedule},
		"a voter goes on with an older disk":   {plantedFaults{acceptStaleDisk: true}, runRandomSchedule},
		"a voter takes part right after start": {plantedFaults{voteEarly: true}, runEarlyVotes},
	} {
		t.Run(name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("many schedules, in one goroutine")
			}
			for seed := range int64(300) {
				if len(detectViolations(t, seed, test.faults, test.play)) > 0 {
					t.Log("detected with seed", seed)
					return
				}
			}
			assert.Fail(t, "the planted fault was never detected")
		})
	}
	for seed := range scheduleCount(20) {
		assert.Empty(t, runEarlyVotes(t, seed, plantedFaults{}), "seed %d", seed)
	}
}

// detectViolations runs a schedule and returns its violations. A panic by Raft's own checks counts as one.
func detectViolations(t *testing.T, seed int64, faults plantedFaults,
	play func(t *testing.T, seed int64, faults plantedFaults) []string) (violations []string) {
	t.Helper()
	defer func() {
		if p := recover(); p != nil {
			violations = append(violations, fmt.Sprint(p))
		}
	}()
	return play(t, seed, faults)
}
