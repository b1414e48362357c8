package live

import (
	"math/rand"
	"os"
	"path/filepath"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/faultdisk"
)

// This file damages relays' disks. A relay's disk is a folder. Errors of the testbed's own file operations are ignored:
// any file may be missing from the folder, and these faults test relays that find less on their disk than they wrote.

const (
	storeLockFile = "lock"   // name of the store's lock file
	olderSuffix   = ".older" // suffix of the folder with the copy that experiment.DiskOlder restores
)

// saveDiskCopies copies each disk as it is now, for machines that later restart with an older disk.
func (r *Run) saveDiskCopies() {
	for _, p := range r.relays {
		if p.diskFolder != "" {
			copyDisk(p.diskFolder, p.diskFolder+olderSuffix)
		}
	}
}

// DamageDisk applies a fault to the disk of a relay that is down, if it has one. The fault's name is written to the
// faults file too, by which a disk that is full, read-only or slow fails once the relay runs.
func (r *Run) DamageDisk(i int, fault experiment.DiskFault) {
	p := r.relays[i]
	if p.diskFolder == "" {
		return
	}
	rng := rand.New(rand.NewSource(r.experiment.Rand("disk", 1000*i+p.launches).Int63()))
	os.WriteFile(filepath.Join(p.diskFolder, faultdisk.FaultsFile), []byte(fault), 0o600)
	switch fault {
	case experiment.DiskWiped:
		removeFiles(p.diskFolder)
	case experiment.DiskTorn:
		rewriteFiles(p.diskFolder, func(data []byte) []byte { return data[:rng.Intn(len(data))] })
	case experiment.DiskFlipped:
		rewriteFiles(p.diskFolder, func(data []byte) []byte { return faultdisk.FlipBits(data, rng) })
	case experiment.DiskOlder:
		copyDisk(p.diskFolder+olderSuffix, p.diskFolder)
	case experiment.DiskOfAnotherRelay:
		copyDisk(r.relays[(i+1)%len(r.relays)].diskFolder, p.diskFolder)
	}
}

// storeFiles returns the names of the store's files, without its lock file and the testbed's faults file.
func storeFiles(folder string) []string {
	entries, _ := os.ReadDir(folder)
	var names []string
	for _, entry := range entries {
		if entry.Name() != storeLockFile && entry.Name() != faultdisk.FaultsFile {
			names = append(names, entry.Name())
		}
	}
	return names
}

// copyDisk replaces the folder to by one with copies of the store's files in the folder from.
func copyDisk(from, to string) {
	os.RemoveAll(to)
	os.MkdirAll(to, 0o700)
	for _, name := range storeFiles(from) {
		if data, err := os.ReadFile(filepath.Join(from, name)); err == nil {
			os.WriteFile(filepath.Join(to, name), data, 0o600)
		}
	}
}

func removeFiles(folder string) {
	for _, name := range storeFiles(folder) {
		os.Remove(filepath.Join(folder, name))
	}
}

// rewriteFiles changes the content of each of the store's files that is not empty.
func rewriteFiles(folder string, change func(data []byte) []byte) {
	for _, name := range storeFiles(folder) {
		path := filepath.Join(folder, name)
		if data, err := os.ReadFile(path); err == nil && len(data) > 0 {
			os.WriteFile(path, change(data), 0o600)
		}
	}
}
