package main

import (
	"fmt"

	"valeshift/internal/testbed/experiment"
)

type checkCommand struct {
	File string `arg:"" name:"file" help:"The experiment, in TOML."`
}

// Run parses the file and prints a summary of it, or returns an error that names the invalid field.
func (c *checkCommand) Run() error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %s, %d relays, %d backends, %d kinds of traffic, %d faults\n", x.Name, x.Relays.Count,
		x.Fleet.Backends, len(x.Traffic), len(x.Faults))
	return nil
}
