package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	"valeshift/internal/membership"
	"valeshift/internal/testbed/netem"
	"valeshift/internal/testbed/procstat"
)

const key = "a key that all share"

// voterProcess is one voter's process with a folder as its disk and a way of its own to each other.
type voterProcess struct {
	t            *testing.T
	name         string
	dir          string
	binary       string
	adminAddress string
	file         string
	udpAddress   string
	paths        map[int]*netem.Proxy // to the others
	cmd          *exec.Cmd
}

// startVoters are processes of the lab's build: a kill loses what was not synced.
func startVoters(t *testing.T, count int) (all []*voterProcess) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "valeshift-coordinator")
	said, err := exec.Command("go", "build", "-tags", "faultdisk", "-o", binary,
		"valeshift/cmd/valeshift-coordinator").CombinedOutput()
	require.NoError(t, err, "%s", said)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key"), []byte(key), 0o600))
	for i := range count {
		m := &voterProcess{t: t, name: fmt.Sprint("v", i), dir: filepath.Join(dir, fmt.Sprint(i)), binary: binary,
			paths: map[int]*netem.Proxy{}}
		require.NoError(t, os.MkdirAll(filepath.Join(m.dir, "disk"), 0o700))
		m.udpAddress, err = procstat.FreeAddressOn(fmt.Sprintf("127.0.10.%d", i+1))
		require.NoError(t, err)
		all = append(all, m)
		t.Cleanup(m.kill)
	}
	for i, m := range all {
		m.adminAddress, err = procstat.FreeAddressOn(fmt.Sprintf("127.0.10.%d", i+1))
		require.NoError(t, err)
		text := fmt.Sprintf("name = %q\nops = %q\nkey-file = %q\nfolder = %q\n", m.name, m.adminAddress, filepath.Join(dir,
			"key"),
			filepath.Join(m.dir, "disk"))
		for k, to := range all {
			address := to.udpAddress
			if k != i {
				m.paths[k], err = netem.New(fmt.Sprintf("127.0.10.%d", i+1), to.udpAddress,
					rand.New(rand.NewSource(int64(10*i+k))))
				require.NoError(t, err)
				t.Cleanup(m.paths[k].Close)
				address = m.paths[k].Address
			}
			text += fmt.Sprintf("[[voter]]\nname = %q\naddress = %q\n", to.name, address)
		}
		for k, z := range []string{"a", "b", "c", "d", "e", "f"} {
			text += fmt.Sprintf("[[zone]]\nname = %q\nregion = \"r%d\"\n", z, k/3)
		}
		m.file = filepath.Join(m.dir, "council.toml")
		require.NoError(t, os.WriteFile(m.file, []byte(text), 0o600))
		m.start()
	}
	return all
}

func (m *voterProcess) start() {
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(m.t, err)
	defer log.Close()
	m.cmd = exec.Command(m.binary, m.file)
	m.cmd.Stderr = log
	require.NoError(m.t, m.cmd.Start())
}

func (m *voterProcess) kill() {
	if m.cmd != nil {
		m.cmd.Process.Kill()
		m.cmd.Wait()
		m.cmd = nil
	}
}

// cut has nothing pass between this voter and those given, one way or both.
func (m *voterProcess) cut(all []*voterProcess, others []int, there, back bool) {
	i := slices.Index(all, m)
	for _, k := range others {
		if k != i {
			m.paths[k].SetImpairments(netem.Impairment{Cut: there}, netem.Impairment{Cut: there})
			all[k].paths[i].SetImpairments(netem.Impairment{Cut: back}, netem.Impairment{Cut: back})
		}
	}
}

var client = http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *voterProcess) get(path string, into any) error {
	answer, err := client.Get("http://" + m.adminAddress + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(into)
}

// submitOrder gives an order to this voter.
func (m *voterProcess) submitOrder(id, zone, do string) (code int, said string) {
	body, _ := json.Marshal(failover.OperatorOrder{ID: id, Zone: zone, Action: do, Reason: "test", IssuedBy: "t"})
	answer, err := client.Post("http://"+m.adminAddress+"/order", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// awaitLeader waits for one that leads among those given.
func awaitLeader(t *testing.T, all []*voterProcess, among ...int) int {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for i, m := range all {
			var s Status
			if (len(among) == 0 || slices.Contains(among, i)) && m.cmd != nil && m.get("/status", &s) == nil &&
				s.HasLease {
				return i
			}
		}
	}
	for _, m := range all {
		text, _ := os.ReadFile(filepath.Join(m.dir, "log"))
		t.Logf("%s: %s", m.name, text)
	}
	require.Fail(t, "nobody leads")
	return -1
}

// simulatedRelays are followers: each tells a voter what it sees, once in a while, and takes its word.
type simulatedRelays struct {
	t             *testing.T
	mutex         sync.Mutex
	failingZones  string // zone
	announced     map[uint64]string
	highestNumber map[int]uint64
	following     map[int]string
	violations    []string
}

func (r *simulatedRelays) run(all []*voterProcess, i int, ended <-chan struct{}) {
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return
	}
	defer conn.Close()
	buffer := make([]byte, maxDatagramBytes)
	for n := i; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
		e := failover.Observations{Relay: fmt.Sprint("r", i), Zone: string(rune('a' + i%6)), Demand: 1,
			ByZone: map[string]failover.Observation{}}
		r.mutex.Lock()
		for k := range 6 {
			z := string(rune('a' + k))
			l := failover.Observation{Attempts: 10, Load: 4, Capacity: 10}
			if strings.Contains(r.failingZones, z) {
				l.FailedAttempts = 9
			}
			e.ByZone[z] = l
		}
		r.mutex.Unlock()
		sealed := membership.Seal([]byte(key), append([]byte{failover.ObservationsDatagram}, e.Encode()...))
		for k := range all { // to all voters: who leads is one of them
			to, _ := net.ResolveUDPAddr("udp", all[k].udpAddress)
			conn.WriteToUDP(sealed, to)
		}
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			got, _, err := conn.ReadFromUDP(buffer)
			if err != nil {
				break
			}
			body, err := membership.Open([]byte(key), buffer[:got])
			var w failover.Announcement
			if err == nil && body[0] == failover.AnnouncementDatagram && json.Unmarshal(body[1:], &w) == nil && w.AgeMillis >= 0 {
				r.receive(i, w)
			}
		}
	}
}

func (r *simulatedRelays) receive(i int, w failover.Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []string
	for _, z := range w.Zones {
		if z.State != failover.Home {
			all = append(all, z.Name+" "+string(z.State))
		}
	}
	text := strings.Join(all, ", ")
	if was, there := r.announced[w.Number]; there && was != text {
		r.violations = append(r.violations, fmt.Sprintf("%d is %q and %q", w.Number, was, text))
	}
	r.announced[w.Number] = text
	if w.Number >= r.highestNumber[i] { // a lower one is not followed
		r.highestNumber[i], r.following[i] = w.Number, text
	}
}

// awaitFollowed waits until all relays follow that, and gives how long it took.
func (r *simulatedRelays) awaitFollowed(count int, want string) time.Duration {
	r.t.Helper()
	from := time.Now()
	for time.Since(from) < 20*time.Second {
		r.mutex.Lock()
		n := 0
		for i := range count {
			if text, there := r.following[i]; there && text == want {
				n++
			}
		}
		r.mutex.Unlock()
		if n == count {
			return time.Since(from)
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(r.t, "not followed: "+want, "%v", r.following)
	return 0
}

// Five voters' processes, with all that can break between them, and followers that watch what they say.
func TestVotersByProcesses(t *testing.T) {
	all := startVoters(t, 5)
	ended := make(chan struct{})
	followers := &simulatedRelays{t: t, announced: map[uint64]string{}, highestNumber: map[int]uint64{}, following: map[int]string{}}
	var done sync.WaitGroup
	for i := range 18 {
		done.Go(func() { followers.run(all, i, ended) })
	}
	defer func() { close(ended); done.Wait() }()
	say := func(zones string) {
		followers.mutex.Lock()
		defer followers.mutex.Unlock()
		followers.failingZones = zones
	}
	number := func() (n uint64) {
		followers.mutex.Lock()
		defer followers.mutex.Unlock()
		for k := range followers.announced {
			n = max(n, k)
		}
		return n
	}
	l := awaitLeader(t, all)
	followers.awaitFollowed(18, "")

	say("b")
	took := followers.awaitFollowed(18, "b emptied")
	t.Logf("a lost zone is followed by all after %v", took)
	assert.Less(t, took, 3*time.Second)

	code, said := all[(l+1)%5].submitOrder("o1", "c", "empty")
	assert.Equal(t, http.StatusMisdirectedRequest, code, said)
	code, said = all[l].submitOrder("o1", "c", "empty")
	require.Equal(t, http.StatusOK, code, said)
	code, said = all[l].submitOrder("o1", "c", "empty")
	assert.Equal(t, http.StatusOK, code, "given twice: "+said)
	code, said = all[l].submitOrder("o2", "nowhere", "empty")
	assert.Equal(t, http.StatusConflict, code, said)
	followers.awaitFollowed(18, "b emptied, c emptied")

	var codes [2]int // two orders that contradict each other, in one instant
	var both sync.WaitGroup
	for i, do := range []string{"empty", "return"} {
		both.Go(func() { codes[i], _ = all[l].submitOrder("both-"+do, "d", do) })
	}
	both.Wait()
	require.Equal(t, [2]int{http.StatusOK, http.StatusOK}, codes)
	var s Status
	require.NoError(t, all[l].get("/status", &s))
	last := s.Orders[len(s.Orders)-1] // the later number holds, at all
	followers.awaitFollowed(18, map[string]string{"empty": "b emptied, c emptied, d emptied",
		"return": "b emptied, c emptied"}[last.Action])
	code, said = all[l].submitOrder("o2b", "d", "return")
	require.Equal(t, http.StatusOK, code, said)

	was := number()
	all[l].kill() // an order that was answered outlives whoever took it
	next := awaitLeader(t, all)
	all[l].start()
	followers.awaitFollowed(18, "b emptied, c emptied")
	assert.GreaterOrEqual(t, number(), was)

	all[next].cmd.Process.Signal(syscall.SIGSTOP) // one that sleeps wakes and believes that it leads
	awake := []int{0, 1, 2, 3, 4}
	awake = slices.DeleteFunc(awake, func(i int) bool { return i == next })
	l = awaitLeader(t, all, awake...)
	code, said = all[l].submitOrder("o3", "c", "return")
	require.Equal(t, http.StatusOK, code, said)
	all[next].cmd.Process.Signal(syscall.SIGCONT)
	code, said = all[next].submitOrder("o4", "a", "empty")
	assert.NotEqual(t, http.StatusOK, code, said)
	followers.awaitFollowed(18, "b emptied")

	l = awaitLeader(t, all) // a leader that is cut off takes no orders, and the others go on
	rest := slices.DeleteFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return i == l })
	all[l].cut(all, rest, true, true)
	time.Sleep(700 * time.Millisecond)
	code, said = all[l].submitOrder("o5", "a", "empty")
	assert.NotEqual(t, http.StatusOK, code, said)
	next = awaitLeader(t, all, rest...)
	code, said = all[next].submitOrder("o6", "d", "empty")
	require.Equal(t, http.StatusOK, code, said)
	all[l].cut(all, rest, false, false)
	followers.awaitFollowed(18, "b emptied, d emptied")

	l = awaitLeader(t, all) // one way only: it hears all, and nobody hears it
	rest = slices.DeleteFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return i == l })
	all[l].cut(all, rest, true, false)
	next = awaitLeader(t, all, rest...)
	code, said = all[next].submitOrder("o7", "d", "return")
	require.Equal(t, http.StatusOK, code, said)
	all[l].cut(all, rest, false, false)
	followers.awaitFollowed(18, "b emptied")

	copied := filepath.Join(all[0].dir, "older") // an older disk, and one that is wiped
	require.NoError(t, os.CopyFS(copied, os.DirFS(filepath.Join(all[0].dir, "disk"))))
	l = awaitLeader(t, all)
	code, said = all[l].submitOrder("o8", "e", "empty")
	require.Equal(t, http.StatusOK, code, said)
	for i, what := range []string{"older", "wiped"} {
		all[i].kill()
		disk := filepath.Join(all[i].dir, "disk")
		require.NoError(t, os.RemoveAll(disk))
		if what == "older" {
			require.NoError(t, os.Rename(copied, disk))
		} else {
			require.NoError(t, os.MkdirAll(disk, 0o700))
		}
		all[i].start()
		require.Eventually(t, func() bool {
			var own, s Status
			return all[i].get("/status", &own) == nil && all[awaitLeader(t, all)].get("/status", &s) == nil &&
				own.DiskConfirmed &&
				slices.Contains(s.Voters, own.Self) && len(s.Voters) == 5 && own.DecisionNumber == s.DecisionNumber
		}, 15*time.Second, 100*time.Millisecond, "let in as new: "+what)
	}

	reload := func(from, to, says string) {
		for _, m := range all {
			text, err := os.ReadFile(m.file)
			require.NoError(t, err)
			text = bytes.Replace(text, []byte(from), []byte(to), 1)
			require.NoError(t, os.WriteFile(m.file, text, 0o600))
			require.NoError(t, m.cmd.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool {
				log, err := os.ReadFile(filepath.Join(m.dir, "log"))
				return err == nil && strings.Contains(string(log), says)
			}, 5*time.Second, 20*time.Millisecond, says)
		}
	}
	reload(`name = "f"`, `name = ""`, "zone.5.name") // a file that is wrong changes nothing
	reload(`name = ""`, `name = "g"`, "msg=zones")   // one zone goes and another comes, voter by voter
	require.Eventually(t, func() bool {
		var s Status
		names := ""
		if all[awaitLeader(t, all)].get("/status", &s) == nil {
			for _, z := range s.Zones {
				names += z.Name
			}
		}
		return names == "abcdeg"
	}, 10*time.Second, 100*time.Millisecond)
	followers.awaitFollowed(18, "b emptied, e emptied")

	was = number()
	for _, m := range all { // power is lost: all that was answered holds
		m.kill()
	}
	for _, m := range all {
		m.start()
	}
	l = awaitLeader(t, all)
	followers.awaitFollowed(18, "b emptied, e emptied")
	say("")
	followers.awaitFollowed(18, "e emptied")
	assert.Greater(t, number(), was)
	var histories [5][]failover.Decision
	require.Eventually(t, func() bool {
		for i, m := range all {
			if m.get("/history", &histories[i]) != nil || len(histories[i]) != len(histories[0]) {
				return false
			}
		}
		return true
	}, 10*time.Second, 100*time.Millisecond)
	for i := range all {
		assert.Equal(t, histories[0], histories[i], "voter %d", i)
	}
	assert.Empty(t, followers.violations)
}

func TestLoadConfigNamesTheField(t *testing.T) {
	good := "name = \"v\"\nops = \"127.0.0.1:0\"\nkey-file = \"k\"\nfolder = \"f\"\n" +
		"[[voter]]\nname = \"v\"\naddress = \"127.0.0.1:7\"\n[[zone]]\nname = \"a\"\n"
	path := filepath.Join(t.TempDir(), "f")
	for _, c := range [][3]string{{"", "", ""}, {`name = "v"`, `name = "x"`, "name: one of the voters"},
		{"127.0.0.1:7", "x", "voter.0.address"},
		{"[[zone]]\nname = \"a\"\n", "", "zone: 1 to"}, {`folder = "f"`, "", "folder:"}, {`key-file = "k"`, "",
			"key-file:"},
		{"127.0.0.1:0", "x", "ops:"}, {`name = "a"`, `name = ""`, "zone.0.name"}, {"[[zone]]",
			"[[voter]]\nname = \"w\"\n[[zone]]", "voter: 1, 3"},
		{"folder", "folders", "no such field"}} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, c[0], c[1], 1)), 0o600))
		_, err := LoadConfig(path)
		if c[2] == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, c[2])
		}
	}
}
