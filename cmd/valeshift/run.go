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

	// heapShare is the part of the platform's memory limit that the garbage collector keeps the heap to.
	heapShare = 0.6
)

type runCommand struct{}

// Run serves until the process is to end. All errors are logged here, in the form that the operators chose.
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

// loadConfiguration reads the platform's file, by one of the relay's two functions for that, and the operators'.
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

// limitRuntime keeps Go's runtime to the cores and the memory that the platform gives.
func limitRuntime(relayConfig *relay.Config) {
	// One more than the cores: while the poller is in its system call, another thread serves the rest at once.
	runtime.GOMAXPROCS(max(int(relayConfig.Cores), 1) + 1)
	if relayConfig.MemoryMB <= 0 {
		return
	}
	share := heapShare
	if relayConfig.SocketFD > 0 { // two processes share the limit while one replaces the other
		share /= 2
	}
	debug.SetMemoryLimit(int64(relayConfig.MemoryMB * share * bytesPerMB))
}

// newFleet returns what the operators' file says of other relays and a disk; nil where it names neither.
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

// fleetConfig returns nil where the relay is to know no other.
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
