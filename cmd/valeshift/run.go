package main

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"valeshift/internal/config"
	"valeshift/internal/fleet"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

const (
	bytesPerMB = 1 << 20

	// heapFraction is the part of the platform's memory limit that is set as Go's soft memory limit.
	heapFraction = 0.6
)

type runCommand struct{}

// Run serves until the relay is shut down. It logs all errors, in the format that the operators' file sets.
func (runCommand) Run(arguments *commandLine, signals *processSignals) error {
	logger := config.NewLogger(os.Stderr, config.Log{})
	log := logger.Slog()
	relayConfig, operatorFile, err := loadConfiguration(arguments, relay.LoadConfig)
	if err != nil {
		log.Error("bad configuration", "err", err)
		return err
	}
	logger.Configure(operatorFile.Log)
	limitRuntime(relayConfig)
	relayConfig.Clock = clock
	relayConfig.MaxReportAgeMillis = float64(operatorFile.Backends.MaxReportAge)
	fleetNode, err := newFleet(relayConfig, operatorFile, log)
	if err != nil {
		log.Error("bad configuration", "err", err)
		return err
	}
	reload := func() (*relay.Config, func(), error) {
		relayConfig, operatorFile, err := loadConfiguration(arguments, relay.ReloadConfig)
		if err != nil {
			return nil, nil, err
		}
		return relayConfig, func() { logger.Configure(operatorFile.Log) }, nil
	}
	err = relay.Serve(relayConfig, relay.Options{
		Log:     log,
		Fleet:   fleetNode,
		Reload:  reload,
		Signals: relay.Signals(*signals),
	})
	if err != nil {
		log.Error("can't serve", "err", err)
	}
	return err
}

// loadConfiguration reads the platform's file, by the given function (relay.LoadConfig or relay.ReloadConfig), and the
// operators' file.
func loadConfiguration(arguments *commandLine, load func(getenv func(string) string) (*relay.Config, error)) (
	*relay.Config, *config.File, error) {
	relayConfig, err := load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	operatorFile, err := config.Load(arguments.OperatorFile)
	if err != nil {
		return nil, nil, err
	}
	return relayConfig, operatorFile, nil
}

// limitRuntime sets GOMAXPROCS and Go's memory limit by the cores and the memory that the platform grants.
func limitRuntime(relayConfig *relay.Config) {
	// One more than the cores, so that other goroutines keep running while the poller blocks in its system call.
	runtime.GOMAXPROCS(max(int(relayConfig.Cores), 1) + 1)
	if relayConfig.MemoryMB <= 0 {
		return
	}
	fraction := heapFraction
	if relayConfig.SocketFD > 0 { // while a child replaces its parent, both processes share the limit
		fraction /= 2
	}
	debug.SetMemoryLimit(int64(relayConfig.MemoryMB * fraction * bytesPerMB))
}

// newFleet returns the relay's node in the fleet, with the membership and the disk that the operators' file
// configures, or nil if it configures neither.
func newFleet(relayConfig *relay.Config, operatorFile *config.File, log *slog.Logger) (relay.Fleet, error) {
	if operatorFile.Peers.Listen == "" && operatorFile.Disk.Folder == "" {
		return nil, nil
	}
	var disk store.FS
	if operatorFile.Disk.Folder != "" {
		disk = openFolder(operatorFile.Disk.Folder)
	}
	relayConfig.ReservedDescriptors = fleet.MaxDescriptors
	return fleet.NewNode(relayConfig.Name, fleetConfig(operatorFile), disk,
		operatorFile.Disk.MaxMegabytes*bytesPerMB, clock, log)
}

// fleetConfig returns the membership configuration, or nil if the operators' file sets no address to listen on for
// other relays.
func fleetConfig(operatorFile *config.File) *fleet.Config {
	peers := &operatorFile.Peers
	if peers.Listen == "" {
		return nil
	}
	return &fleet.Config{
		Listen:                peers.Listen,
		Zone:                  peers.Zone,
		Region:                peers.Region,
		KeyFile:               peers.KeyFile,
		Seeds:                 peers.Seeds,
		SeedsOnly:             peers.SeedsOnly,
		Voters:                operatorFile.Coordinators.Voters,
		Copies:                operatorFile.Replication.Copies,
		MarkerRetentionMillis: float64(operatorFile.Replication.MarkerRetention),
		ReplicateAffinity:     operatorFile.Replication.Affinity,
	}
}
