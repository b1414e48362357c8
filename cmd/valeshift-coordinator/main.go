// Command valeshift-coordinator is one voter of the council that decides which zones serve. It is a program of
// its own, as what it is made of would cost each start of a relay a quarter more.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"valeshift/internal/coordinator"
	"valeshift/internal/fleet"
)

const callTime = 5 * time.Second

func main() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	var l struct {
		Check string `help:"Read this file and name the field that is wrong; start nothing." placeholder:"FILE"`
		File  string `arg:"" optional:"" help:"The voter's file, in TOML."`
	}
	kong.Parse(&l, kong.Name("valeshift-coordinator"), kong.UsageOnError(),
		kong.Description("A voter of the council that decides which zones serve."))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	err := errors.New("which file?")
	switch {
	case l.Check != "":
		_, err = coordinator.LoadConfig(l.Check)
	case l.File != "":
		err = serve(l.File, log, signals)
	}
	if err != nil {
		log.Error("can't serve", "err", err)
		os.Exit(1)
	}
}

func serve(path string, log *slog.Logger, signals <-chan os.Signal) error {
	f, err := coordinator.LoadConfig(path)
	if err != nil {
		return err
	}
	key, err := fleet.ReadKey(f.KeyFile)
	if err != nil {
		return err
	}
	called, err := net.Listen("tcp", f.AdminAddress)
	if err != nil {
		return fmt.Errorf("ops: %w", err)
	}
	me, voters, zones := f.Topology()
	r, err := coordinator.Start(me, voters, zones, key, folder(f.Folder), log)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r.Handler(), ReadTimeout: callTime, WriteTimeout: callTime,
		MaxHeaderBytes: 4 << 10}
	go server.Serve(called)
	log.Info("voting", "name", me.Name, "listen", me.Address, "ops", called.Addr().String())
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		next, err := f.Reload(path)
		if err != nil {
			log.Error("nothing is changed", "err", err)
			continue
		}
		f = next
		_, _, zones = f.Topology()
		r.SetZones(zones)
		log.Info("zones", "count", len(zones))
	}
	server.Close()
	r.Stop()
	return nil
}
