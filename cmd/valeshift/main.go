// Command valeshift is one relay on sockets.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"valeshift/internal/relay"
)

func main() {
	// Before all else: against a signal that comes early ending the program.
	stop, print, reload := on(syscall.SIGTERM, os.Interrupt), on(syscall.SIGUSR1), on(syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	told, err := relay.ReadTold(os.Getenv)
	if err != nil {
		log.Error("bad configuration", "err", err)
		os.Exit(1)
	}
	// One more than the cores: while the poller sits in its system call, another thread serves the rest at once.
	runtime.GOMAXPROCS(max(int(told.Cores), 1) + 1)
	if told.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(told.MemoryMB * 0.6 * (1 << 20)))
	}
	again := func() (*relay.Told, error) { return relay.ReadAgain(os.Getenv) }
	if err := relay.Serve(told, again, log, stop, print, reload); err != nil {
		log.Error("can't serve", "err", err)
		os.Exit(1)
	}
}

func on(signals ...os.Signal) <-chan struct{} {
	from, to := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(from, signals...)
	go func() {
		for range from {
			to <- struct{}{}
		}
	}()
	return to
}
