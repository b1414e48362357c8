// Command valeshift-coordinator is one of the failover coordinators, which decide by consensus which zones serve.
// It is a separate program because linking its packages into the relay would make each start of a relay a quarter
// slower.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"valeshift/internal/coordinator"
	"valeshift/internal/fleet"
)

const (
	callTimeout    = 5 * time.Second // time limit for reading a request to the admin API, and for writing the answer
	maxHeaderBytes = 4 << 10         // size limit of a request's HTTP headers
)

func main() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	var arguments struct {
		Check string `help:"Read this file and name the field that is wrong; start nothing." placeholder:"FILE"`
		File  string `arg:"" optional:"" help:"The coordinator's file, in TOML."`
	}
	kong.Parse(&arguments, kong.Name("valeshift-coordinator"), kong.UsageOnError(),
		kong.Description("One of the failover coordinators, which decide which zones serve."))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(arguments.Check, arguments.File, log, signals); err != nil {
		log.Error("can't serve", "err", err)
		os.Exit(1)
	}
}

// run validates the file at checkPath if that is set, and else serves with the file at configPath.
func run(checkPath, configPath string, log *slog.Logger, signals <-chan os.Signal) error {
	switch {
	case checkPath != "":
		_, err := coordinator.LoadConfig(checkPath)
		return err
	case configPath != "":
		return serve(configPath, log, signals)
	default:
		return errors.New("a configuration file expected")
	}
}

// serve runs a coordinator until the process gets a signal other than SIGHUP, which reloads the file.
func serve(configPath string, log *slog.Logger, signals <-chan os.Signal) error {
	config, err := coordinator.LoadConfig(configPath)
	if err != nil {
		return err
	}
	key, err := fleet.ReadKey(config.KeyFile)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.AdminAddress)
	if err != nil {
		return fmt.Errorf("ops: %w", err)
	}
	self, voters, zones := config.Topology()
	node, err := coordinator.Start(self, voters, zones, key, openFolder(config.Folder), log)
	if err != nil {
		return err
	}
	stopAdmin := serveAdmin(listener, node.Handler())
	log.Info("serving", "name", self.Name, "listen", self.Address, "ops", listener.Addr().String())
	reloadUntilStopped(configPath, config, node, log, signals)
	stopAdmin()
	node.Stop()
	return nil
}

// serveAdmin serves the admin API until stop is called, which waits until the server has stopped.
func serveAdmin(listener net.Listener, handler http.Handler) (stop func()) {
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	var serving sync.WaitGroup
	serving.Go(func() { server.Serve(listener) })
	return func() {
		server.Close()
		serving.Wait()
	}
}

// reloadUntilStopped reloads the file at each SIGHUP and applies its zones, and returns at any other signal. An invalid
// file is logged and changes nothing.
func reloadUntilStopped(configPath string, config *coordinator.Config, node *coordinator.Node, log *slog.Logger,
	signals <-chan os.Signal) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		next, err := config.Reload(configPath)
		if err != nil {
			log.Error("reload refused, nothing is changed", "err", err)
			continue
		}
		config = next
		_, _, zones := config.Topology()
		node.SetZones(zones)
		log.Info("zones", "count", len(zones))
	}
}
