//go:build faultdisk

package main

import (
	"valeshift/internal/store"
	"valeshift/internal/testbed/faultdisk"
)

// openFolder returns a disk with fault injection: it loses whatever was not synced when the process is killed, and
// can be full, read-only or slow. This is all that sets the build with the tag faultdisk apart from the production
// build.
func openFolder(path string) store.FS { return faultdisk.New(path) }
