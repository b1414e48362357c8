// Command valeshift is the relay. Without arguments it serves, as the platform starts it; its subcommands check the
// configuration, and ask relays and coordinators how they fare or give them orders.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

const operatorFileVariable = "VALESHIFT_OPERATOR"

// commandLine is what can be asked for. Fleet, Zone and Holdings parse their own arguments.
type commandLine struct {
	OperatorFile string `name:"operator" help:"The operators' file, in TOML. None: its defaults." placeholder:"FILE" env:"VALESHIFT_OPERATOR"`

	Run   runCommand   `cmd:"" name:"run" default:"1" help:"Serve until SIGTERM (what is done with no arguments)."`
	Check checkCommand `cmd:"" name:"check" help:"Read all configuration and name the field that is wrong; start nothing."`
	Fleet fleetCommand `cmd:"" name:"fleet" passthrough:"" help:"Ask relays what they know of each other, or drain one."`
	Zone  zoneCommand  `cmd:"" name:"zone" passthrough:"" help:"Ask the coordinators about zones, or give them an order."`

	Holdings replicationCommand `cmd:"" name:"holdings" passthrough:"" help:"Ask relays what they store for each other."`
	Version  versionCommand     `cmd:"" name:"version" help:"Print which build this is."`
}

func main() {
	// Before all else: a signal that comes early would end the program.
	signals := catchSignals()
	if err := runCommandLine(signals); err != nil {
		os.Exit(1)
	}
}

// runCommandLine does what the arguments ask for. The command has printed or logged its error.
func runCommandLine(signals *processSignals) error {
	arguments := &commandLine{}
	if len(os.Args) == 1 { // the platform's start doesn't pay for parsing
		arguments.OperatorFile = os.Getenv(operatorFileVariable)
		return arguments.Run.Run(arguments, signals)
	}
	command := kong.Parse(arguments, kong.Name("valeshift"), kong.UsageOnError(),
		kong.Description("A balancer for long-lived connections. RELAY_CONFIG names the platform's file."))
	return command.Run(arguments, signals)
}
