package main

import (
	"os"
	"os/signal"
	"syscall"

	"valeshift/internal/relay"
)

// processSignals are the signals that the relay follows, from the start of the process to its end.
type processSignals relay.Signals

func catchSignals() *processSignals {
	return &processSignals{
		Shutdown:    notify(syscall.SIGTERM, os.Interrupt),
		LogCounters: notify(syscall.SIGUSR1),
		Reload:      notify(syscall.SIGHUP),
	}
}

// notify returns a channel that brings each of the signals as soon as the last one was received; of those that come
// meanwhile, one. Its goroutine ends with the process.
func notify(signals ...os.Signal) <-chan struct{} {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, signals...)
	notified := make(chan struct{})
	go func() {
		for range caught {
			notified <- struct{}{}
		}
	}()
	return notified
}
