//go:build !faultdisk

package main

import "valeshift/internal/store"

// openFolder returns the file system below a folder, in which the coordinator stores its state.
func openFolder(path string) store.FS { return store.DirFS(path) }
