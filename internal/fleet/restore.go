package fleet

import (
	"fmt"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// diskState is what is known of this relay's disk.
type diskState struct {
	hasDisk   bool
	diskRead  bool   // Restore has taken what was on it
	diskFault string // what operators are told is wrong with it; empty: nothing
	boot      uint64 // the number of this start, as it was stored; 0: not known yet
}

func newDiskState(hasDisk bool) diskState {
	if hasDisk {
		return diskState{hasDisk: true, diskFault: "being read"}
	}
	return diskState{diskFault: "none is named"}
}

// Restore takes what the store had at the start, or why there is none. An order on it is in effect at once;
// the rest is for the recovery plan to judge.
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

// reportDamage logs what of the disk could not be read.
func (c *Core) reportDamage(found store.Recovery) []Action {
	c.diskFault = ""
	if found.Damaged == 0 && found.TornBytes == 0 {
		return nil
	}
	c.diskFault = fmt.Sprintf("%d damaged pieces passed over, %d bytes cut off", found.Damaged, found.TornBytes)
	return logActions("disk: " + c.diskFault)
}

// startBoot numbers this start above all that the disk and the other relays know of.
func (c *Core) startBoot(now float64, lastBoot uint64) Action {
	c.boot = lastBoot + 1
	if c.membership != nil {
		c.membership.RestoreBoot(lastBoot)
		c.boot = c.membership.LocalState().Boot
	}
	return c.persistBoot(now)
}

// persistBoot stores the number of this start. A record without a body would take the former one back.
func (c *Core) persistBoot(now float64) Action {
	record := &store.Record{Kind: store.KindBoot, Boot: c.boot, UnixMillis: now, Body: []byte("x")}
	return Action{Persist: record}
}

// restoreSnapshot reads the snapshot that the disk has. It stands in for what this relay doesn't know itself.
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
