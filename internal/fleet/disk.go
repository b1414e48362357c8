package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"valeshift/internal/store"
)

const (
	snapshotCheckInterval = 500 * time.Millisecond
	diskRetryInterval     = 2 * time.Second // after a failed flush
)

// errNoDisk tells that there is no store to put a record into.
var errNoDisk = errors.New("there is no disk to store it on")

// disk is a node's folder, and its store once that is open.
type disk struct {
	folder   store.FS // nil: there is none
	maxBytes int
	written  chan struct{} // has room for one: there is something to flush

	mutex sync.Mutex // over store
	store *store.Store
}

func (d *disk) isNamed() bool { return d.folder != nil }

// open reads the folder, however long that takes; records can be put from then on.
func (d *disk) open(owner string) (*store.Store, store.Recovery, error) {
	s, found, err := store.Open(d.folder, owner, d.maxBytes)
	if err != nil {
		return nil, found, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.store = s
	return s, found, nil
}

// put has a record written soon. Finish, where not nil, is called once it is durable, or with why it is not.
func (d *disk) put(record store.Record, finish func(error)) {
	d.mutex.Lock()
	s := d.store
	d.mutex.Unlock()
	if s == nil {
		if finish != nil {
			finish(errNoDisk)
		}
		return
	}
	s.Put(record, finish)
	select {
	case d.written <- struct{}{}:
	default:
	}
}

// runDisk reads the disk, and writes what is put from then on.
func (n *Node) runDisk(ctx context.Context) {
	s, found, err := n.disk.open(n.name)
	if err != nil {
		n.log.Error("the disk can't be used, nothing is stored", "err", err)
	}
	n.update(func(core *Core) []Action { return core.Restore(n.clock.now(), s, found, err) })
	if err != nil {
		return
	}
	n.flushUntilDone(ctx, s)
	n.persistSnapshot(s)
	if err := s.Close(); err != nil {
		n.log.Warn("closing the disk's store", "err", err)
	}
}

// flushUntilDone flushes what is put, and puts a snapshot each time one is due.
func (n *Node) flushUntilDone(ctx context.Context, s *store.Store) {
	snapshotCheck := time.NewTicker(snapshotCheckInterval)
	defer snapshotCheck.Stop()
	var failedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.disk.written:
		case <-snapshotCheck.C:
			if n.isSnapshotDue() {
				n.persistSnapshot(s)
			}
		}
		if time.Since(failedAt) < diskRetryInterval {
			continue
		}
		if err := s.Flush(); err != nil {
			failedAt = time.Now()
			n.log.Warn("flushing the disk: nothing is stored for now", "err", err)
		}
	}
}

func (n *Node) isSnapshotDue() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.IsSnapshotDue(n.clock.now())
}

// persistSnapshot puts the relay's snapshot as of now.
func (n *Node) persistSnapshot(s *store.Store) {
	snapshot := n.relay.snapshot()
	n.mutex.Lock()
	record := n.core.RecordSnapshot(n.clock.now(), snapshot)
	n.mutex.Unlock()
	s.Put(record, func(err error) {
		if errors.Is(err, store.ErrFull) {
			n.log.Warn("the snapshot is larger than the disk may hold", "bytes", len(record.Body))
		}
	})
}
