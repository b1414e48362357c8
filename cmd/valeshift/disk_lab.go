//go:build lab

package main

import (
	"os"
	"time"

	"valeshift/internal/lab/spoiled"
	"valeshift/internal/store"
)

// The lab's build differs from the one that serves by this alone: its disk loses what was not synced when the
// process is killed, and can be full, read-only or slow.
func folder(path string) store.FS { return spoiled.Folder(path) }

// clock is off by what the file says that VALELAB_CLOCK names.
func clock() time.Time { return time.Now().Add(spoiled.Clock(os.Getenv("VALELAB_CLOCK"))) }
