//go:build faultdisk

package main

import (
	"os"
	"time"

	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// openFolder returns the disk of the build with the tag faultdisk, which differs from the one that serves by this
// alone: it loses what was not synced when the process is killed, and can be full, read-only or slow.
func openFolder(path string) store.FS { return faultdisk.New(path) }

// clock returns the time, off by what the file says that VALELAB_CLOCK names.
func clock() time.Time { return time.Now().Add(faultdisk.ReadClockOffset(os.Getenv("VALELAB_CLOCK"))) }
