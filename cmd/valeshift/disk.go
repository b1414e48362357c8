//go:build !faultdisk

package main

import (
	"time"

	"valeshift/internal/store"
)

func openFolder(path string) store.FS { return store.DirFS(path) }

var clock = time.Now
