//go:build faultdisk

package main

import (
	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// The lab's build differs from the one that serves by this alone: its disk loses what was not synced when the
// process is killed, and can be full, read-only or slow.
func folder(path string) store.FS { return faultdisk.Folder(path) }
