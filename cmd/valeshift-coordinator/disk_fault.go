//go:build faultdisk

package main

import (
	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// folder opens a folder on a disk that loses what was not synced when the process is killed, and that can be
// full, read-only or slow. The tag faultdisk changes nothing else.
func folder(path string) store.FS { return faultdisk.Folder(path) }
