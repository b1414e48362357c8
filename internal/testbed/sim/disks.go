package sim

import (
	"math/rand"

	"valeshift/internal/store"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/faultdisk"
)

// Times are milliseconds of the virtual clock.
const (
	diskReadTime     = 5.0
	slowDiskReadTime = 10000.0
	diskSyncTime     = 1.0
	diskMaxBytes     = 64 << 20
)

// simulatedDisk is one relay's disk.
type simulatedDisk struct {
	memory *store.MemoryFS
	older  *store.MemoryFS // as it was early in the run
	fault  experiment.DiskFault
}

// readTime is how long it takes to read the disk.
func (d *simulatedDisk) readTime() float64 {
	if d.fault == experiment.DiskSlow {
		return slowDiskReadTime
	}
	return diskReadTime
}

// losePower takes what was not synced from a relay's disk.
func (s *Sim) losePower(relay int) {
	s.machines[relay].disk.memory.LosePower(func(unsynced int) int { return s.network.rng.Intn(unsynced + 1) })
}

// DamageDisk does something to the disk of a relay that is down.
func (s *Sim) DamageDisk(relay int, fault experiment.DiskFault) {
	d := s.machines[relay].disk
	d.fault = fault
	rng := rand.New(rand.NewSource(s.network.rng.Int63()))
	switch fault {
	case experiment.DiskWiped:
		d.memory = store.NewMemoryFS()
	case experiment.DiskTorn:
		d.memory.MutateFiles(func(_ string, data []byte) []byte { return data[:rng.Intn(len(data)+1)] })
	case experiment.DiskFlipped:
		d.memory.MutateFiles(func(_ string, data []byte) []byte { return faultdisk.FlipBits(data, rng) })
	case experiment.DiskOlder:
		if d.older != nil {
			d.memory = d.older.Clone()
		}
	case experiment.DiskAnothers:
		another := s.machines[(relay+1)%len(s.machines)].disk
		d.memory = another.memory.Clone()
	case experiment.DiskFull, experiment.DiskReadOnly:
		d.memory.InjectFault = failWrites
	}
}

// failWrites fails the calls that a full disk fails.
func failWrites(call string) error {
	if call == "write" || call == "append" {
		return store.ErrNoSpace
	}
	return nil
}
