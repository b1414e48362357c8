//go:build !faultdisk

package main

import "valeshift/internal/store"

// folder opens a folder of the file system.
func folder(path string) store.FS { return store.DirFS(path) }
