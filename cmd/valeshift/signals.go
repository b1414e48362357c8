package main

import (
	"os"
	"os/signal"
	"syscall"

	"valeshift/internal/relay"
)

// processSignals has a channel for each action that a signal to the process triggers.
type processSignals relay.Signals

// catchSignals installs the signal handlers, which stay until the process ends.
func catchSignals() *processSignals {
	return &processSignals{
		Shutdown:    notify(syscall.SIGTERM, os.Interrupt),
		LogCounters: notify(syscall.SIGUSR1),
		Reload:      notify(syscall.SIGHUP),
	}
}

// notify returns a channel that gets a value for each of the signals. While a value has not been received yet, at most
// one more signal is queued, and others are dropped. The goroutine runs until the process ends.
func notify(signals ...os.Signal) <-chan struct{} {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	forwarded := make(chan struct{})
	go func() {
		for range received {
			forwarded <- struct{}{}
		}
	}()
	return forwarded
}
