package sim

import (
	"math/rand"

	"valeshift/internal/store"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/faultdisk"
)

const (
	diskReadTime     = 5.0      // milliseconds of virtual time to read a disk
	slowDiskReadTime = 10000.0  // milliseconds of virtual time to read a disk with the fault DiskSlow
	diskSyncTime     = 1.0      // milliseconds of virtual time to sync a write
	diskMaxBytes     = 64 << 20 // bytes that a relay's store may take on its disk
)

// simulatedDisk is the disk of one relay, held in memory.
type simulatedDisk struct {
	memory    *store.MemoryFS
	olderCopy *store.MemoryFS // copy of an early state of the disk, for the fault DiskOlder; nil until it is taken
	fault     experiment.DiskFault
}

// readTime returns how many milliseconds it takes to read the disk.
func (d *simulatedDisk) readTime() float64 {
	if d.fault == experiment.DiskSlow {
		return slowDiskReadTime
	}
	return diskReadTime
}

// losePower drops a random part of the data that a relay had not synced to its disk.
func (s *Sim) losePower(relay int) {
	s.machines[relay].disk.memory.LosePower(func(unsynced int) int { return s.network.rng.Intn(unsynced + 1) })
}

// DamageDisk applies a disk fault to a relay that is down.
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
		if d.olderCopy != nil {
			d.memory = d.olderCopy.Clone()
		}
	case experiment.DiskOfAnotherRelay:
		another := s.machines[(relay+1)%len(s.machines)].disk
		d.memory = another.memory.Clone()
	case experiment.DiskFull, experiment.DiskReadOnly:
		d.memory.InjectFault = failWrites
	}
}

// failWrites fails the calls that write data, as a full or read-only disk does.
func failWrites(call string) error {
	if call == "write" || call == "append" {
		return store.ErrNoSpace
	}
	return nil
}
