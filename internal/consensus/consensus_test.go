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
		require.True(t, c.canDecide(5000), "%d voters", voters)
		assert.Empty(t, c.checkHistory())
	}
	c := newCluster(t, 3, 1, plantedFaults{})
	c.kill(2)
	assert.False(t, c.canDecide(5000), "all have to take part in the bootstrap")
	c.start(2)
	assert.True(t, c.canDecide(5000))
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
			_, err := New(0, test.self, c.configured, []byte(test.disk), &ledger{cluster: c}, c.rng)
			assert.ErrorIs(t, err, test.want)
		})
	}
}

// TestSurvivesFaults has one thing after the other go wrong; after each all heals, and the cluster goes on.
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
			assert.Contains(c.t, status.Voters, c.hosts[3].self, "admitted as new")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 42, plantedFaults{})
			require.True(t, c.canDecide(5000))
			c.copyDisks()
			c.run(c.now+3000, c.readOrWrite)
			require.GreaterOrEqual(t, c.leaderIndex(), 0)
			inject(c)
			c.run(c.now+2000, c.readOrWrite)
			c.heal()
			c.run(c.now+3000, c.readOrWrite)
			assert.True(t, c.canDecide(3000), "it goes on")
			c.run(c.now+1000, c.readOrWrite)
			c.run(c.now+500, nil)
			assert.Empty(t, c.checkHistory())
			for i, host := range c.hosts {
				assert.Equal(t, c.hosts[0].ledger.count, host.ledger.count, "voter %d has all", i)
			}
		})
	}
}

// TestDecisionTakesOneRoundTrip checks that a decision takes one round trip between voters, and what their
// disks take: far under three.
func TestDecisionTakesOneRoundTrip(t *testing.T) {
	const oneWayMillis = 100.0
	for _, voters := range []int{3, 5, 7} {
		c := newCluster(t, voters, 9, plantedFaults{})
		c.delay = oneWayMillis
		c.jitter = 0
		require.True(t, c.canDecide(20000))
		c.run(c.now+3000, nil)
		for range 5 {
			before := len(c.decisions)
			proposedAt := c.now
			leader := c.leaderIndex()
			require.GreaterOrEqual(t, leader, 0)
			c.write(leader)
			for len(c.decisions) == before && c.now < proposedAt+20*oneWayMillis {
				c.run(c.now+simulationStepMillis, nil)
			}
			assert.Less(t, (c.now-proposedAt)/(2*oneWayMillis), 1.3, "round trips, %d voters", voters)
			c.run(c.now+500, nil)
		}
	}
}

// TestLostSnapshotIsResent has a voter come back that was away for longer than entries are kept, and loses the
// first snapshots that it is sent: the leader hears nothing of that, and sends it again.
func TestLostSnapshotIsResent(t *testing.T) {
	c := newCluster(t, 3, 5, plantedFaults{})
	require.True(t, c.canDecide(5000))
	away := (c.leaderIndex() + 1) % 3
	c.kill(away)
	for range 3 * compactionThreshold {
		c.run(c.now+20, nil)
		c.write(c.leaderIndex())
	}
	lost := 0
	c.shouldDrop = func(to int, data []byte) bool {
		if to != away || lost >= 3 || !isSnapshot(data) {
			return false
		}
		lost++
		return true
	}
	leader := c.leaderIndex()
	c.start(away)
	c.run(c.now+3000, nil)
	assert.Equal(t, 3, lost)
	assert.Equal(t, leader, c.leaderIndex(), "nobody else came to lead, who would send it anyway")
	assert.Equal(t, c.hosts[leader].ledger.count, c.hosts[away].ledger.count)
	assert.Empty(t, c.checkHistory())
}

// isSnapshot tells whether an encoded message sends a snapshot.
func isSnapshot(data []byte) bool {
	m, err := decodeMessage(data)
	if err != nil {
		return false
	}
	raftMessage, err := m.decodeRaft()
	return err == nil && raftMessage.Type == raftpb.MsgSnap
}

// copyDisks keeps a copy of each disk, which a test can bring back.
func (c *cluster) copyDisks() {
	for _, host := range c.hosts {
		host.earlierDisk = host.disk
	}
}

// areAllRunning tells whether no voter is down or suspended.
func (c *cluster) areAllRunning() bool {
	for _, host := range c.hosts {
		if host.down || host.suspended {
			return false
		}
	}
	return true
}

// runRandomSchedule plays a schedule that a seed draws, and returns the violations.
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
		case 6: // one machine at a time has lost its disk
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

// replaceDisk restarts a voter on an empty disk or on an older one, as drawn.
func (c *cluster) replaceDisk(i int) {
	c.kill(i)
	c.hosts[i].disk = nil
	if c.rng.Intn(2) == 0 {
		c.hosts[i].disk = c.hosts[i].earlierDisk
	}
	c.start(i)
	c.run(c.now+3000, c.readOrWrite)
}

// scheduleCount returns how many schedules are played: few of them in short mode, which the race detector
// runs in many times slower and with nothing to find, as there is one goroutine.
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

// runEarlyVotes has one voter campaign all the time, as it doesn't hear the leader, and three others restart
// just as nobody hears the leader any more.
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

// TestPlantedFaultsAreDetected plants faults: a check that none of them trips is worth nothing.
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
			assert.Fail(t, "never detected")
		})
	}
	for seed := range scheduleCount(20) {
		assert.Empty(t, runEarlyVotes(t, seed, plantedFaults{}), "seed %d", seed)
	}
}

// detectViolations plays a schedule. A panic of Raft's own checks counts as a violation.
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
