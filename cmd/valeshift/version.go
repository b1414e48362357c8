package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the module, its revision if the build recorded one, and the version of Go.
func (versionCommand) Run() error {
	version := "unknown"
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(os.Stdout, "valeshift %s%s %s\n", version, revision, runtime.Version())
	return err
}
