//go:build !faultdisk

package main

import (
	"time"

	"valeshift/internal/store"
)

// openFolder returns the file system below a folder, in which the relay stores its state.
func openFolder(path string) store.FS { return store.DirFS(path) }

// clock returns the current time.
var clock = time.Now
