//go:build faultdisk

package main

import (
	"os"
	"time"

	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// openFolder returns a disk with fault injection: it loses whatever was not synced when the process is killed, and
// can be full, read-only or slow. This and clock are all that sets the build with the tag faultdisk apart from the
// production build.
func openFolder(path string) store.FS { return faultdisk.New(path) }

// clock returns the current time plus the offset in the file that VALELAB_CLOCK names.
func clock() time.Time { return time.Now().Add(faultdisk.ReadClockOffset(os.Getenv("VALELAB_CLOCK"))) }
