//go:build !faultdisk

package main

import (
	"time"

	"valeshift/internal/store"
)

func folder(path string) store.FS { return store.DirFS(path) }

var clock = time.Now
