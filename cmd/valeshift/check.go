package main

import (
	"fmt"
	"log/slog"
	"os"

	"valeshift/internal/relay"
)

type checkCommand struct{}

// Run validates the configuration by the same steps as a start of the relay, and prints a summary of it.
func (checkCommand) Run(arguments *commandLine) error {
	configuration, err := check(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, "valeshift: check:", err)
		return err
	}
	_, err = fmt.Printf("ok: %s listens on %s, discovery %s, %d backends known\n", configuration.Name,
		configuration.Listen, configuration.Discovery, len(configuration.InitialEndpoints.Endpoints))
	return err
}

// check loads and validates both files without starting the relay.
func check(arguments *commandLine) (*relay.Config, error) {
	relayConfig, operatorFile, err := loadConfiguration(arguments, relay.LoadConfig)
	if err != nil {
		return nil, err
	}
	if _, err := newFleet(relayConfig, operatorFile, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	return relayConfig, relay.CheckConfig(relayConfig)
}
