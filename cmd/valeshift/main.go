// Command valeshift is the relay, a load balancer for long-lived connections. Without arguments it serves, which is
// how the platform starts it. Its subcommands check the configuration, query the status of relays and coordinators,
// and send them orders.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// operatorFileVariable is the environment variable that names the operators' file.
const operatorFileVariable = "VALESHIFT_OPERATOR"

// commandLine is the grammar of the command line. Fleet, Zone and Holdings parse their own arguments.
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
	// This comes first, as a signal that arrives before its handler is installed would end the process.
	signals := catchSignals()
	if err := runCommandLine(signals); err != nil {
		os.Exit(1)
	}
}

// runCommandLine runs the command that the arguments name, which prints or logs its own errors.
func runCommandLine(signals *processSignals) error {
	arguments := &commandLine{}
	if len(os.Args) == 1 { // how the platform starts it: skips the cost of building a parser
		arguments.OperatorFile = os.Getenv(operatorFileVariable)
		return arguments.Run.Run(arguments, signals)
	}
	command := kong.Parse(arguments, kong.Name("valeshift"), kong.UsageOnError(),
		kong.Description("A balancer for long-lived connections. RELAY_CONFIG names the platform's file."))
	return command.Run(arguments, signals)
}
