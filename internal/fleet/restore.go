package fleet

import (
	"fmt"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// diskState is the state of this relay's disk.
type diskState struct {
	hasDisk   bool   // a disk is configured, and reading it has not failed
	diskRead  bool   // Restore has restored what was on the disk
	diskFault string // what is wrong with the disk, for operators; empty if nothing is
	boot      uint64 // number of this start of the relay, which is stored; 0 until it is known
}

func newDiskState(hasDisk bool) diskState {
	if hasDisk {
		return diskState{hasDisk: true, diskFault: "being read"}
	}
	return diskState{diskFault: "none is named"}
}

// Restore restores the state from the store that was opened at the start, or takes the error that prevented that. A
// stored order is in effect at once; whether the stored snapshot is used is up to the recovery plan.
func (c *Core) Restore(now float64, s *store.Store, found store.Recovery, err error) []Action {
	if err != nil {
		c.hasDisk = false
		c.diskFault = err.Error()
		return c.planActions(c.plan.ReceiveDisk(now, recovery.DiskResult{Fault: err.Error()}))
	}
	c.diskRead = true
	actions := c.reportDamage(found)
	actions = append(actions, c.startBoot(now, found.LastBoot))
	actions = append(actions, c.restoreOrder(s)...)
	c.restoreReplicas(now, s, found.LastBoot)
	if record, isStored := s.Get(store.KindDecision, ""); isStored && c.coordinators != nil {
		c.coordinators.follower.Restore(record.Body)
	}
	return append(actions, c.planActions(c.plan.ReceiveDisk(now, c.restoreSnapshot(s)))...)
}

// reportDamage sets the disk's fault, and logs it if some of the disk's data could not be read.
func (c *Core) reportDamage(found store.Recovery) []Action {
	c.diskFault = ""
	if found.Damaged == 0 && found.TornBytes == 0 {
		return nil
	}
	c.diskFault = fmt.Sprintf("%d damaged pieces passed over, %d bytes cut off", found.Damaged, found.TornBytes)
	return logActions("disk: " + c.diskFault)
}

// startBoot gives this start a boot number above those that the disk and the other relays know.
func (c *Core) startBoot(now float64, lastBoot uint64) Action {
	c.boot = lastBoot + 1
	if c.membership != nil {
		c.membership.RestoreBoot(lastBoot)
		c.boot = c.membership.LocalState().Boot
	}
	return c.persistBoot(now)
}

// persistBoot stores the boot number of this start. The body must not be empty: a record without one deletes the
// stored record.
func (c *Core) persistBoot(now float64) Action {
	record := &store.Record{Kind: store.KindBoot, Boot: c.boot, UnixMillis: now, Body: []byte("x")}
	return Action{Persist: record}
}

// restoreSnapshot reads the snapshot on the disk. Its values are used in later snapshots for what this relay has not
// learned itself yet.
func (c *Core) restoreSnapshot(s *store.Store) recovery.DiskResult {
	record, isStored := s.Get(store.KindSnapshot, "")
	if !isStored {
		return recovery.DiskResult{}
	}
	snapshot, err := relay.ParseSnapshot(record.Body)
	if err != nil {
		return recovery.DiskResult{Fault: err.Error()}
	}
	if c.snapshots.isEmpty() {
		c.snapshots.last = snapshot
	}
	return recovery.DiskResult{Snapshot: snapshot}
}
