package coordinator

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/failover"
)

// processScenario is five coordinator processes, and relays that follow their announcements. Its steps depend on one
// another: each starts from the state that the previous one left.
type processScenario struct {
	t      *testing.T
	voters []*voterProcess
	relays *simulatedRelays
}

// TestVotersByProcesses injects faults into five coordinator processes one after the other: failing zones, killed,
// suspended and isolated leaders, lost and outdated disks, and loss of power. Orders have to keep their effect, and
// all histories have to be equal at the end.
func TestVotersByProcesses(t *testing.T) {
	s := &processScenario{t: t, voters: startVoters(t, 5)}
	s.relays = startRelays(t, 18, s.voters)
	s.leader()
	s.relays.awaitFollowed("")

	s.loseZone()
	s.submitOrders()
	s.submitContradictingOrders()
	s.killLeader()
	s.suspendLeader()
	s.isolateLeader()
	s.muteLeader()
	s.replaceDisks()
	s.reloadZones()
	s.losePower()
	s.compareHistories()
	assert.Empty(t, s.relays.violations)
}

func (s *processScenario) leader() int {
	s.t.Helper()
	return awaitLeader(s.t, s.voters)
}

// requireOrderAccepted submits an order that has to be accepted.
func (s *processScenario) requireOrderAccepted(voter int, id, zone, action string) {
	s.t.Helper()
	code, text := s.voters[voter].submitOrder(id, zone, action)
	require.Equal(s.t, http.StatusOK, code, text)
}

// assertOrderNotAccepted submits an order that must not be accepted, for whatever reason.
func (s *processScenario) assertOrderNotAccepted(voter int, id, zone, action string) {
	s.t.Helper()
	code, text := s.voters[voter].submitOrder(id, zone, action)
	assert.NotEqual(s.t, http.StatusOK, code, text)
}

func (s *processScenario) status(voter int) (status Status) {
	s.t.Helper()
	require.NoError(s.t, s.voters[voter].get("/status", &status))
	return status
}

func (s *processScenario) loseZone() {
	s.relays.setFailingZones("b")
	took := s.relays.awaitFollowed("b emptied")
	s.t.Logf("all relays follow the loss of a zone after %v", took)
	assert.Less(s.t, took, 3*time.Second)
}

func (s *processScenario) submitOrders() {
	leader := s.leader()
	code, text := s.voters[(leader+1)%5].submitOrder("o1", "c", "empty")
	assert.Equal(s.t, http.StatusMisdirectedRequest, code, text)
	s.requireOrderAccepted(leader, "o1", "c", "empty")
	code, text = s.voters[leader].submitOrder("o1", "c", "empty")
	assert.Equal(s.t, http.StatusOK, code, "the same order submitted again: "+text)
	code, text = s.voters[leader].submitOrder("o2", "nowhere", "empty")
	assert.Equal(s.t, http.StatusConflict, code, text)
	s.relays.awaitFollowed("b emptied, c emptied")
}

// submitContradictingOrders submits two contradicting orders at once. The one that was decided last must be in force.
func (s *processScenario) submitContradictingOrders() {
	leader := s.leader()
	var codes [2]int
	var both sync.WaitGroup
	for i, action := range []string{"empty", "return"} {
		both.Go(func() { codes[i], _ = s.voters[leader].submitOrder("both-"+action, "d", action) })
	}
	both.Wait()
	require.Equal(s.t, [2]int{http.StatusOK, http.StatusOK}, codes)
	orders := s.status(leader).Orders
	last := orders[len(orders)-1]
	s.relays.awaitFollowed(map[failover.OrderAction]string{
		failover.ActionEmpty:  "b emptied, c emptied, d emptied",
		failover.ActionReturn: "b emptied, c emptied",
	}[last.Action])
	s.requireOrderAccepted(leader, "o2b", "d", "return")
}

// killLeader kills the leader. Orders that it has confirmed must stay in force.
func (s *processScenario) killLeader() {
	before := s.relays.highestAnnounced()
	killed := s.leader()
	s.voters[killed].kill()
	s.leader()
	s.voters[killed].start()
	s.relays.awaitFollowed("b emptied, c emptied")
	assert.GreaterOrEqual(s.t, s.relays.highestAnnounced(), before)
}

// suspendLeader suspends the leader until another one leads. After it wakes up, it still believes that it leads, but
// must not accept orders.
func (s *processScenario) suspendLeader() {
	suspended := s.leader()
	s.voters[suspended].cmd.Process.Signal(syscall.SIGSTOP)
	leader := awaitLeader(s.t, s.voters, others(5, suspended)...)
	s.requireOrderAccepted(leader, "o3", "c", "return")
	s.voters[suspended].cmd.Process.Signal(syscall.SIGCONT)
	s.assertOrderNotAccepted(suspended, "o4", "a", "empty")
	s.relays.awaitFollowed("b emptied")
}

// isolateLeader cuts the leader off from the others in both directions. It must not accept orders then, and the
// others have to elect a new leader.
func (s *processScenario) isolateLeader() {
	isolated := s.leader()
	rest := others(5, isolated)
	s.voters[isolated].setCuts(s.voters, rest, true, true)
	time.Sleep(700 * time.Millisecond)
	s.assertOrderNotAccepted(isolated, "o5", "a", "empty")
	leader := awaitLeader(s.t, s.voters, rest...)
	s.requireOrderAccepted(leader, "o6", "d", "empty")
	s.voters[isolated].setCuts(s.voters, rest, false, false)
	s.relays.awaitFollowed("b emptied, d emptied")
}

// muteLeader cuts the paths from the leader to the others, while it still hears them. The others have to elect a new
// leader.
func (s *processScenario) muteLeader() {
	muted := s.leader()
	rest := others(5, muted)
	s.voters[muted].setCuts(s.voters, rest, true, false)
	leader := awaitLeader(s.t, s.voters, rest...)
	s.requireOrderAccepted(leader, "o7", "d", "return")
	s.voters[muted].setCuts(s.voters, rest, false, false)
	s.relays.awaitFollowed("b emptied")
}

// replaceDisks restarts one voter on an older copy of its disk, and another on an empty disk.
func (s *processScenario) replaceDisks() {
	older := filepath.Join(s.voters[0].dir, "older")
	require.NoError(s.t, os.CopyFS(older, os.DirFS(s.voters[0].diskPath())))
	s.requireOrderAccepted(s.leader(), "o8", "e", "empty")

	s.voters[0].kill()
	require.NoError(s.t, os.RemoveAll(s.voters[0].diskPath()))
	require.NoError(s.t, os.Rename(older, s.voters[0].diskPath()))
	s.voters[0].start()
	s.awaitAdmitted(0, "with an older disk")

	s.voters[1].kill()
	require.NoError(s.t, os.RemoveAll(s.voters[1].diskPath()))
	require.NoError(s.t, os.MkdirAll(s.voters[1].diskPath(), 0o700))
	s.voters[1].start()
	s.awaitAdmitted(1, "with a wiped disk")
}

// awaitAdmitted waits until a voter is admitted as a new member and has all decisions.
func (s *processScenario) awaitAdmitted(voter int, message string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		var own, leaderStatus Status
		if s.voters[voter].get("/status", &own) != nil || s.voters[s.leader()].get("/status", &leaderStatus) != nil {
			return false
		}
		isVoter := slices.Contains(leaderStatus.Voters, own.Self) && len(leaderStatus.Voters) == 5
		return own.DiskConfirmed && isVoter && own.DecisionNumber == leaderStatus.DecisionNumber
	}, 15*time.Second, 100*time.Millisecond, message)
}

// reloadZones changes the zones in all configuration files, one voter after the other. An invalid zone must change
// nothing; then one zone is replaced by another.
func (s *processScenario) reloadZones() {
	s.reload(`name = "f"`, `name = ""`, "zone.5.name")
	s.reload(`name = ""`, `name = "g"`, "msg=zones")
	require.Eventually(s.t, func() bool {
		var status Status
		names := ""
		if s.voters[s.leader()].get("/status", &status) == nil {
			for _, zone := range status.Zones {
				names += zone.Name
			}
		}
		return names == "abcdeg"
	}, 10*time.Second, 100*time.Millisecond)
	s.relays.awaitFollowed("b emptied, e emptied")
}

// reload changes each voter's configuration file, makes the voter read it again, and waits until its log contains
// the given text.
func (s *processScenario) reload(from, to, logged string) {
	s.t.Helper()
	for _, voter := range s.voters {
		text, err := os.ReadFile(voter.configPath)
		require.NoError(s.t, err)
		text = bytes.Replace(text, []byte(from), []byte(to), 1)
		require.NoError(s.t, os.WriteFile(voter.configPath, text, 0o600))
		require.NoError(s.t, voter.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(s.t, func() bool {
			log, err := os.ReadFile(voter.logPath())
			return err == nil && strings.Contains(string(log), logged)
		}, 5*time.Second, 20*time.Millisecond, logged)
	}
}

// losePower kills all voters at once. After a restart, the earlier decisions must still be in force, and numbers must
// continue to increase.
func (s *processScenario) losePower() {
	before := s.relays.highestAnnounced()
	for _, voter := range s.voters {
		voter.kill()
	}
	for _, voter := range s.voters {
		voter.start()
	}
	s.leader()
	s.relays.awaitFollowed("b emptied, e emptied")
	s.relays.setFailingZones("")
	s.relays.awaitFollowed("e emptied")
	assert.Greater(s.t, s.relays.highestAnnounced(), before)
}

// compareHistories checks that all voters have the same history of decisions.
func (s *processScenario) compareHistories() {
	var histories [5][]failover.Decision
	require.Eventually(s.t, func() bool {
		for i, voter := range s.voters {
			if voter.get("/history", &histories[i]) != nil || len(histories[i]) != len(histories[0]) {
				return false
			}
		}
		return true
	}, 10*time.Second, 100*time.Millisecond)
	for i := range histories {
		assert.Equal(s.t, histories[0], histories[i], "voter %d", i)
	}
}
