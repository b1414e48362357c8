package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"valeshift/internal/store"
)

const (
	snapshotCheckInterval = 500 * time.Millisecond // between two checks whether a snapshot is due
	diskRetryInterval     = 2 * time.Second        // between a failed flush and the next one
)

// errNoDisk is the error for a record that is put while no store is open: no disk is configured, it has not been
// read yet, or it can't be used.
var errNoDisk = errors.New("the disk is not open")

// disk is a node's folder, and the store in it once that is open.
type disk struct {
	folder         store.FS      // nil if no disk is configured
	maxBytes       int           // size limit of the store
	flushRequested chan struct{} // capacity 1; filled while there are records to flush

	mutex sync.Mutex // guards store
	store *store.Store
}

func (d *disk) isConfigured() bool { return d.folder != nil }

// open reads the folder and opens the store, which has no time limit. Records can be put once it has returned.
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

// put queues a record to be written and requests a flush. finish may be nil; else it is called with nil once the
// record is durable, or with the error.
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
	case d.flushRequested <- struct{}{}:
	default:
	}
}

// runDisk opens the store, then writes the records that are put until the context is done, and closes the store.
func (n *Node) runDisk(ctx context.Context) {
	s, found, err := n.disk.open(n.name)
	if err != nil {
		n.log.Error("the disk can't be used: nothing is stored", "err", err)
	}
	n.update(func(core *Core) []Action { return core.Restore(n.clock.now(), s, found, err) })
	if err != nil {
		return
	}
	n.flushUntilDone(ctx, s)
	n.persistSnapshot(s)
	if err := s.Close(); err != nil {
		n.log.Warn("closing the disk's store failed", "err", err)
	}
}

// flushUntilDone flushes records as they are put, and puts a snapshot whenever one is due. After a failed flush it
// does not flush for diskRetryInterval.
func (n *Node) flushUntilDone(ctx context.Context, s *store.Store) {
	snapshotCheck := time.NewTicker(snapshotCheckInterval)
	defer snapshotCheck.Stop()
	var failedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.disk.flushRequested:
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
			n.log.Warn("flushing the disk failed: nothing is stored until a flush succeeds", "err", err)
		}
	}
}

func (n *Node) isSnapshotDue() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.IsSnapshotDue(n.clock.now())
}

// persistSnapshot puts the relay's current snapshot.
func (n *Node) persistSnapshot(s *store.Store) {
	snapshot := n.relay.snapshot()
	n.mutex.Lock()
	record := n.core.RecordSnapshot(n.clock.now(), snapshot)
	n.mutex.Unlock()
	s.Put(record, func(err error) {
		if errors.Is(err, store.ErrFull) {
			n.log.Warn("the snapshot does not fit into the disk's size limit", "bytes", len(record.Body))
		}
	})
}
