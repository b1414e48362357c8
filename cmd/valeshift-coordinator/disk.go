//go:build !faultdisk

package main

import "valeshift/internal/store"

func folder(path string) store.FS { return store.DirFS(path) }
