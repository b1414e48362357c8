//go:build faultdisk

package main

import (
	"os"
	"time"

	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// The lab's build differs from the one that serves by this alone: its disk loses what was not synced when the
// process is killed, and can be full, read-only or slow.
func folder(path string) store.FS { return faultdisk.Folder(path) }

// clock is off by what the file says that VALELAB_CLOCK names.
func clock() time.Time { return time.Now().Add(faultdisk.Clock(os.Getenv("VALELAB_CLOCK"))) }
