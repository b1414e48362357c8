// Command valeshift-testbed runs experiments on the relay: simulated in virtual time, or with relay processes on
// loopback sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine has the subcommands. Scripts depend on the names of subcommands and flags, so each name is set explicitly
// instead of derived from the field.
type commandLine struct {
	Fleet   fleetCommand   `cmd:"" name:"fleet" help:"Play it with machines: relay processes with disks, networks and clocks of their own, which know of each other."`
	Sim     simCommand     `cmd:"" name:"sim" help:"Play an experiment file under virtual time: the relay's own state machines on a simulated network."`
	Load    loadCommand    `cmd:"" name:"load" help:"Play it on loopback sockets: relay processes, stand-in backends and discovery."`
	Hunt    huntCommand    `cmd:"" name:"hunt" help:"Draw experiments over a range of seeds, check the rules on each, shrink what breaks one."`
	Check   checkCommand   `cmd:"" name:"check" help:"Read an experiment file, name the field that is wrong; play nothing."`
	Cost    costCommand    `cmd:"" name:"cost" help:"Measure what a relay costs on loopback, beside a bare forwarder and direct connections."`
	Flood   floodCommand   `cmd:"" name:"flood" help:"Measure the lines of usual sessions beside peers of a relay that send without pause."`
	Forward forwardCommand `cmd:"" name:"forward" hidden:""`
	Demo    demoCommand    `cmd:"" name:"demo" help:"Two relays, ten backends and a failure on loopback within 30 s, ending with a report."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands commandLine
	parsed := kong.Parse(&commands,
		kong.Name("valeshift-testbed"),
		kong.Description("A model of the fleet, with a load and experiment tool."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}

const (
	relayProgram    = "valeshift"         // file name of the relay's program
	faultDiskSuffix = "-faultdisk"        // suffix of that name for the build with disk fault injection
	tempDirPrefix   = "valeshift-testbed" // prefix of the names of temporary folders
)

// relayPath returns the path of the relay's program: the one that is named, or else the one in this program's folder.
func relayPath(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	own, err := os.Executable()
	return filepath.Join(filepath.Dir(own), relayProgram), err
}

// faultDiskRelayPath does the same for the relay that is built with the tag faultdisk, whose disk can be made to fail
// and loses what was not synced.
func faultDiskRelayPath(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	path, err := relayPath("")
	return path + faultDiskSuffix, err
}

// findFaultDiskRelay returns that path if the program exists, or else an error that says how to build it.
func findFaultDiskRelay(named string) (string, error) {
	path, err := faultDiskRelayPath(named)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%w; build it with: go build -tags faultdisk -o %s ./cmd/valeshift", err, path)
	}
	return path, nil
}
