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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/testbed/netem"
	"valeshift/internal/testbed/procstat"
)

const key = "a key that all share"

var zoneNames = []string{"a", "b", "c", "d", "e", "f"}

// voterProcess is the process of one coordinator, with a folder as its disk and an emulated network path to each of
// the others.
type voterProcess struct {
	t            *testing.T
	name         string
	dir          string
	binary       string
	adminAddress string
	udpAddress   string
	proxyHost    string // IP address on which the near ends of its paths listen
	configPath   string
	paths        map[int]*netem.Proxy // emulated paths to the other voters, by index
	cmd          *exec.Cmd            // nil while the process is not running
}

// startVoters starts coordinators. They are built with a disk that loses on a kill what was not synced.
func startVoters(t *testing.T, count int) (all []*voterProcess) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "valeshift-coordinator")
	output, err := exec.Command("go", "build", "-tags", "faultdisk", "-o", binary,
		"valeshift/cmd/valeshift-coordinator").CombinedOutput()
	require.NoError(t, err, "%s", output)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key"), []byte(key), 0o600))
	loopback := claimLoopback(t)
	for i := range count {
		v := &voterProcess{
			t:         t,
			name:      fmt.Sprint("v", i),
			dir:       filepath.Join(dir, fmt.Sprint(i)),
			binary:    binary,
			proxyHost: loopback.ProxyHost(i),
			paths:     map[int]*netem.Proxy{},
		}
		require.NoError(t, os.MkdirAll(v.diskPath(), 0o700))
		v.udpAddress, err = loopback.AssignAddress(i)
		require.NoError(t, err)
		all = append(all, v)
		t.Cleanup(v.kill)
	}
	for i, v := range all {
		v.adminAddress, err = loopback.AssignAddress(i)
		require.NoError(t, err)
		v.writeConfig(i, all)
		v.start()
	}
	return all
}

// claimLoopback claims a loopback network that only this test uses.
func claimLoopback(t *testing.T) *procstat.LoopbackNetwork {
	t.Helper()
	network, err := procstat.ClaimLoopbackNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { network.Close() })
	return network
}

func (v *voterProcess) diskPath() string { return filepath.Join(v.dir, "disk") }

func (v *voterProcess) logPath() string { return filepath.Join(v.dir, "log") }

// writeConfig writes the configuration of voter i, which reaches each of the others through an emulated path.
func (v *voterProcess) writeConfig(i int, all []*voterProcess) {
	v.t.Helper()
	text := fmt.Sprintf("name = %q\nops = %q\nkey-file = %q\nfolder = %q\n", v.name, v.adminAddress,
		filepath.Join(filepath.Dir(v.dir), "key"), v.diskPath())
	for k, other := range all {
		address := other.udpAddress
		if k != i {
			address = v.openPath(i, k, other)
		}
		text += fmt.Sprintf("[[voter]]\nname = %q\naddress = %q\n", other.name, address)
	}
	for k, zone := range zoneNames {
		text += fmt.Sprintf("[[zone]]\nname = %q\nregion = \"r%d\"\n", zone, k/3)
	}
	v.configPath = filepath.Join(v.dir, "coordinator.toml")
	require.NoError(v.t, os.WriteFile(v.configPath, []byte(text), 0o600))
}

// openPath opens the emulated path from voter i to voter k, and returns the address of its near end.
func (v *voterProcess) openPath(i, k int, other *voterProcess) (address string) {
	v.t.Helper()
	path, err := netem.New(v.proxyHost, other.udpAddress, rand.New(rand.NewSource(int64(10*i+k))))
	require.NoError(v.t, err)
	v.t.Cleanup(path.Close)
	v.paths[k] = path
	return path.Address
}

func (v *voterProcess) start() {
	v.t.Helper()
	log, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.t, err)
	defer log.Close()
	v.cmd = exec.Command(v.binary, v.configPath)
	v.cmd.Stderr = log
	require.NoError(v.t, v.cmd.Start())
}

func (v *voterProcess) kill() {
	if v.cmd != nil {
		v.cmd.Process.Kill()
		v.cmd.Wait()
		v.cmd = nil
	}
}

// setCuts cuts or restores the paths between this voter and the given ones: there sets whether nothing passes to
// them, and back whether nothing passes from them.
func (v *voterProcess) setCuts(all []*voterProcess, others []int, there, back bool) {
	own := slices.Index(all, v)
	for _, k := range others {
		if k != own {
			v.paths[k].SetImpairments(netem.Impairment{Cut: there}, netem.Impairment{Cut: there})
			all[k].paths[own].SetImpairments(netem.Impairment{Cut: back}, netem.Impairment{Cut: back})
		}
	}
}

var client = http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get sends a GET request to the HTTP API and decodes the answer.
func (v *voterProcess) get(path string, into any) error {
	response, err := client.Get("http://" + v.adminAddress + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// submitOrder submits an operator order to this voter. Code 0 means that there was no answer.
func (v *voterProcess) submitOrder(id, zone, action string) (code int, text string) {
	body, _ := json.Marshal(failover.OperatorOrder{
		ID:       id,
		Zone:     zone,
		Action:   failover.OrderAction(action),
		Reason:   "test",
		IssuedBy: "t",
	})
	response, err := client.Post("http://"+v.adminAddress+"/order", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// awaitLeader waits for a leader among the given voters (or among all voters, if none are given) and returns its
// index.
func awaitLeader(t *testing.T, all []*voterProcess, among ...int) int {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for i, v := range all {
			if len(among) > 0 && !slices.Contains(among, i) || v.cmd == nil {
				continue
			}
			var status Status
			if v.get("/status", &status) == nil && status.HasLease {
				return i
			}
		}
	}
	for _, v := range all {
		text, _ := os.ReadFile(v.logPath())
		t.Logf("%s: %s", v.name, text)
	}
	require.Fail(t, "no voter leads")
	return -1
}

// others returns the indexes of all voters except one.
func others(count, except int) (rest []int) {
	for i := range count {
		if i != except {
			rest = append(rest, i)
		}
	}
	return rest
}

// simulatedRelays are relays that send observations to all voters and follow the announcements.
type simulatedRelays struct {
	t     *testing.T
	count int

	mutex         sync.Mutex
	failingZones  string            // names of the zones in which most attempts fail, one letter each
	announced     map[uint64]string // zones that are not home, by the number of the announcement
	highestNumber map[int]uint64    // highest announced number, by relay
	following     map[int]string    // zones that are not home in the announcement that a relay follows, by relay
	violations    []string
}

// startRelays starts relays that stop at the end of the test.
func startRelays(t *testing.T, count int, voters []*voterProcess) *simulatedRelays {
	t.Helper()
	r := &simulatedRelays{
		t:             t,
		count:         count,
		announced:     map[uint64]string{},
		highestNumber: map[int]uint64{},
		following:     map[int]string{},
	}
	stopped := make(chan struct{})
	var goroutines sync.WaitGroup
	for i := range count {
		goroutines.Go(func() { r.run(voters, i, stopped) })
	}
	t.Cleanup(func() {
		close(stopped)
		goroutines.Wait()
	})
	return r
}

// run runs one relay until stopped is closed.
func (r *simulatedRelays) run(voters []*voterProcess, i int, stopped <-chan struct{}) {
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return
	}
	defer conn.Close()
	for {
		select {
		case <-stopped:
			return
		case <-time.After(200 * time.Millisecond):
		}
		observations := r.observe(i)
		body := append([]byte{failover.ObservationsDatagram}, observations.Encode()...)
		sealed := membership.Seal([]byte(key), body)
		for _, voter := range voters { // to all of them, as the leader is among them
			address, _ := net.ResolveUDPAddr("udp", voter.udpAddress)
			conn.WriteToUDP(sealed, address)
		}
		r.receiveAll(conn, i)
	}
}

// observe returns a relay's current observations.
func (r *simulatedRelays) observe(i int) failover.Observations {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	observations := failover.Observations{
		Relay:  fmt.Sprint("r", i),
		Zone:   zoneNames[i%len(zoneNames)],
		Demand: 1,
		ByZone: map[string]failover.Observation{},
	}
	for _, zone := range zoneNames {
		seen := failover.Observation{Attempts: 10, Load: 4, Capacity: 10}
		if strings.Contains(r.failingZones, zone) {
			seen.FailedAttempts = 9
		}
		observations.ByZone[zone] = seen
	}
	return observations
}

// receiveAll receives announcements for 50 ms.
func (r *simulatedRelays) receiveAll(conn *net.UDPConn, i int) {
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		body, err := membership.Open([]byte(key), buffer[:size])
		if err != nil || body[0] != failover.AnnouncementDatagram {
			continue
		}
		var announcement failover.Announcement
		if json.Unmarshal(body[1:], &announcement) == nil && announcement.AgeMillis >= 0 {
			r.follow(i, announcement)
		}
	}
}

// follow checks that all announcements with the same number have the same content, and makes the relay follow the
// announcement unless it follows a newer one.
func (r *simulatedRelays) follow(i int, announcement failover.Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var away []string
	for _, zone := range announcement.Zones {
		if zone.State != failover.Home {
			away = append(away, fmt.Sprintf("%s %s", zone.Name, zone.State))
		}
	}
	text := strings.Join(away, ", ")
	number := announcement.Number
	if earlier, isKnown := r.announced[number]; isKnown && earlier != text {
		r.violations = append(r.violations, fmt.Sprintf("decision %d is both %q and %q", number, earlier, text))
	}
	r.announced[number] = text
	if number >= r.highestNumber[i] {
		r.highestNumber[i] = number
		r.following[i] = text
	}
}

// setFailingZones sets the zones in which most attempts fail from now on.
func (r *simulatedRelays) setFailingZones(zones string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failingZones = zones
}

// highestAnnounced returns the highest number announced so far.
func (r *simulatedRelays) highestAnnounced() (highest uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for number := range r.announced {
		highest = max(highest, number)
	}
	return highest
}

// countFollowing returns how many relays follow the wanted announcement.
func (r *simulatedRelays) countFollowing(want string) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range r.count {
		if text, hasAny := r.following[i]; hasAny && text == want {
			count++
		}
	}
	return count
}

// awaitFollowed waits until all relays follow the wanted announcement, and returns how long that took.
func (r *simulatedRelays) awaitFollowed(want string) time.Duration {
	r.t.Helper()
	from := time.Now()
	for time.Since(from) < 20*time.Second {
		if r.countFollowing(want) == r.count {
			return time.Since(from)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	require.Fail(r.t, "not followed by all relays: "+want, "%v", r.following)
	return 0
}
