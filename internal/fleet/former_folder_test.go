package fleet

import (
	"bytes"
	"errors"
	"log/slog"
	"math/rand"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/replication"
	"valeshift/internal/store"
)

const (
	folderNow      = now + 4000             // time at which writeFolder stops its relays
	folderOwner    = "r1"                   // name of the relay that the folder belongs to
	folderKey      = "a key that all share" // key of that relay's fleet
	folderDecision = 21                     // number of the coordinators' decision that the relay followed
)

// network is some relays, each with a store, that exchange datagrams by direct calls instead of sockets.
type network struct {
	t      *testing.T
	names  []string
	cores  map[string]*Core
	stores map[string]*store.Store
}

// execute executes the actions of a relay's core. Queries fail.
func (n *network) execute(now float64, name string, actions []Action) {
	core := n.cores[name]
	for _, a := range actions {
		switch {
		case a.Send != nil && n.cores[a.Send.To] != nil:
			n.execute(now, a.Send.To, n.cores[a.Send.To].ReceiveDatagram(now, name, a.Send.Data))
		case a.Query != nil:
			core.ReceiveAnswer(a.Query.Name, nil, errors.New("it has just started too"))
		case a.Persist != nil:
			n.put(name, *a.Persist, func() { n.execute(now, name, core.FinishPersist(now, a, nil)) })
		}
	}
}

// put writes a record, requires that it becomes durable, and calls finish then.
func (n *network) put(name string, record store.Record, finish func()) {
	n.stores[name].Put(record, func(err error) {
		require.NoError(n.t, err)
		finish()
	})
	require.NoError(n.t, n.stores[name].Flush())
}

// run ticks all relays every 10 ms from one time to another, and returns the latter.
func (n *network) run(from, to float64) float64 {
	for ; from < to; from += 10 {
		for _, name := range n.names {
			n.execute(from, name, n.cores[name].Tick(from, from, relay.Status{Now: from}))
		}
	}
	return to
}

// start starts each relay with the content of its disk.
func (n *network) start(disks map[string]store.FS) {
	n.t.Helper()
	key := []byte(folderKey)
	for i, name := range n.names {
		s, found, err := store.Open(disks[name], name, 1<<20)
		require.NoError(n.t, err)
		rng := rand.New(rand.NewSource(int64(i + 1)))
		own := membership.MemberState{Name: name, Address: name, Zone: string(rune('a' + i)),
			Incarnation: uint64(i + 1)}
		core := New(now, own, n.names, key, true, rng)
		n.stores[name] = s
		n.cores[name] = core
		core.FollowCoordinators(name, own.Zone, []string{"v1"}, key, rng)
		n.execute(now, name, core.EnableReplication(name, own.Incarnation, 3, 5000, true, key, rng))
		n.execute(now, name, core.Restore(now, s, found, nil))
	}
}

func (n *network) stop() {
	n.t.Helper()
	for _, name := range n.names {
		require.NoError(n.t, n.stores[name].Flush())
		require.NoError(n.t, n.stores[name].Close())
	}
}

// order gives an operator's order to a relay.
func (n *network) order(now float64, name string, draining bool) {
	record, actions := n.cores[name].SetDraining(now, draining)
	n.execute(now, name, actions)
	n.put(name, record, func() {})
}

// replicateOrder replicates a relay's order to the others.
func (n *network) replicateOrder(now float64, name string) {
	_, actions := n.cores[name].ReplicateOrder(now)
	n.execute(now, name, actions)
}

// writeFolder writes the folder of relay r1: r1 starts three times, is drained by an operator, stores records and
// orders of other relays, and follows a decision of the coordinators.
func writeFolder(t *testing.T, folder string) {
	t.Helper()
	n := &network{t: t, names: []string{folderOwner, "r2", "r3"}, cores: map[string]*Core{},
		stores: map[string]*store.Store{}}
	disks := map[string]store.FS{folderOwner: store.DirFS(folder), "r2": store.NewMemoryFS(),
		"r3": store.NewMemoryFS()}
	for range 2 {
		n.start(disks)
		n.stop()
	}
	n.start(disks)
	at := n.run(now, now+2000)

	for i, request := range []relay.ReplicationRequest{
		{Operation: relay.Replicate, Record: relay.ReservationRecord, Conn: 1, Key: 77, At: at + 6e5},
		{Operation: relay.Replicate, Record: relay.ReservationRecord, Conn: 2, Key: 78, At: at + 6e5},
		{Operation: relay.Replicate, Record: relay.AttemptRecord, Conn: 3, Key: 79, At: at + 6e5, Backend: "s1",
			ExecutedAt: at},
	} {
		name := n.names[i]
		n.execute(at, name, n.cores[name].HandleReplicationRequest(at, request))
	}
	for _, draining := range []bool{true, false, true} {
		n.order(at, folderOwner, draining)
	}
	n.replicateOrder(at, folderOwner)
	n.order(at, "r2", true)
	n.replicateOrder(at, "r2")

	announcement := []byte(`w{"Number":21,"Zones":[{"Name":"a","State":"home","Share":1,"Why":""}],"Age":10,"Leads":true}`)
	sealed := membership.Seal([]byte(folderKey), announcement)
	core := n.cores[folderOwner]
	n.execute(at, folderOwner, core.ReceiveDatagram(at, "v1", sealed))
	at = n.run(at, folderNow)
	core.capacity.measured = fullSnapshot().Capacity // as after some time with enough sessions
	n.put(folderOwner, core.RecordSnapshot(at, fullSnapshot()), func() {})
	n.stop()
}

// A relay restores its whole state from a folder that this build has written, and from one of an earlier build:
// testdata/folder.
func TestStartOnFormerFolder(t *testing.T) {
	written := t.TempDir()
	writeFolder(t, written)
	former := filepath.Join("testdata", "folder")
	if *update {
		require.NoError(t, os.RemoveAll(former))
		require.NoError(t, os.CopyFS(former, os.DirFS(written)))
	}
	for _, c := range []struct {
		name   string
		folder string
	}{
		{"of a former build", former},
		{"of this build", written},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "folder")
			require.NoError(t, os.CopyFS(folder, os.DirFS(c.folder)))
			node, events := startNode(t, folder)
			requireRestored(t, events)
			status, isStatus := node.Status().(Status)
			require.True(t, isStatus)
			assertStatus(t, status)
			assertReplicas(t, node)
		})
	}
}

// startNode starts a relay's node with a copy of a folder as its disk. It is stopped when the test ends.
func startNode(t *testing.T, folder string) (*Node, <-chan relay.Event) {
	t.Helper()
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte(folderKey), 0o600))
	began := time.Now()
	clock := func() time.Time { return time.UnixMilli(folderNow).Add(time.Since(began)) }
	config := &Config{Listen: "127.0.0.1:0", Zone: "a", Region: "north", KeyFile: keyFile,
		Voters: []string{"127.0.0.1:1"}, Copies: 3, MarkerRetentionMillis: 5000, ReplicateAffinity: true}
	var log bytes.Buffer
	node, err := NewNode(folderOwner, config, store.DirFS(folder), 1<<20, clock,
		slog.New(slog.NewTextHandler(&log, nil)))
	require.NoError(t, err)
	events := make(chan relay.Event, 1000)
	require.NoError(t, node.Start(folderNow,
		func(e relay.Event) { events <- e },
		func() relay.Status { return relay.Status{Now: folderNow} },
		func() *relay.Snapshot { return &relay.Snapshot{Version: 1} },
		func() (map[string]balancer.ZoneObservation, float64) { return nil, 0 }))
	t.Cleanup(func() {
		node.Stop()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return node, events
}

// requireRestored waits until the relay has been notified of its order and its snapshot, and checks both.
func requireRestored(t *testing.T, events <-chan relay.Event) {
	t.Helper()
	var restored *relay.Snapshot
	isDraining := false
	timeout := time.After(10 * time.Second)
	for restored == nil || !isDraining {
		select {
		case event := <-events:
			switch e := event.(type) {
			case relay.StateRestored:
				restored = e.Snapshot
			case relay.DrainRequested:
				isDraining = e.On
			}
		case <-timeout:
			require.FailNow(t, "state not restored within 10 s", "snapshot %v, draining %t", restored, isDraining)
		}
	}
	want := fullSnapshot()
	assert.Equal(t, want.Endpoints, restored.Endpoints)
	assert.Equal(t, want.Capacity, restored.Capacity)
	assert.Equal(t, want.MeanLoad, restored.MeanLoad)
	assert.Equal(t, want.Classes, restored.Classes)
	assert.Equal(t, want.RetryAt, restored.RetryAt)
}

func assertStatus(t *testing.T, s Status) {
	t.Helper()
	assert.Equal(t, uint64(4), s.Boot, "the folder was written by three starts, this is the fourth")
	assert.Equal(t, uint64(3), s.Order)
	assert.True(t, s.Draining)
	assert.Empty(t, s.DiskFault)
	assert.Equal(t, uint64(folderDecision), s.Coordinators.Number, "no decision with a lower number may be followed")
	assert.Equal(t, 2, s.Replication.Kinds["places"].Stored, "stored reservations")
	assert.Equal(t, 2, s.Replication.Kinds["orders"].Stored, "stored orders: its own and another relay's")
	assert.Equal(t, 1, s.Replication.Kinds["marks"].Stored)
}

func assertReplicas(t *testing.T, node *Node) {
	t.Helper()
	type summary struct{ kind, key, owner, body, state string }
	found := map[summary]int{}
	for partition := range replication.Partitions {
		page, isPage := node.ReplicationPage(partition).(*replication.Page)
		require.True(t, isPage)
		for _, r := range page.Records {
			found[summary{r.Kind, r.Key, r.Owner, string(r.Body), string(r.State)}]++
			assert.Len(t, r.Replicas, 3)
		}
	}
	assert.Equal(t, map[summary]int{
		{"places", "000000000000004d", "r1", "", "open"}:           1,
		{"places", "000000000000004e", "r2", "", "open"}:           1,
		{"marks", "000000000000004f", "r3", "s1", "open"}:          1,
		{"orders", "r1", "r1", `{"Number":3,"Lame":true}`, "open"}: 1,
		{"orders", "r2", "r2", `{"Number":1,"Lame":true}`, "open"}: 1,
	}, found)
}
