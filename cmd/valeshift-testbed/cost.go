package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"valeshift/internal/testbed/cost"
)

// forwardCommand is the plain TCP forwarder that costCommand runs as a separate process, to compare the relay with.
type forwardCommand struct {
	Address string `arg:"" name:"address" help:"Where to listen."`
}

// Run forwards connections until it is stopped.
func (c *forwardCommand) Run(ctx context.Context) error {
	return cost.RunForwarder(ctx, os.Stdin, c.Address)
}

type costCommand struct {
	Backends       []int         `name:"servers" default:"20,200,1000,5000" help:"Sizes of the fleet, one after the other."`
	Clients        int           `name:"clients" default:"16" help:"Clients that open and reset sessions one after another."`
	Duration       time.Duration `name:"lasts" default:"3s" help:"How long each measurement takes."`
	ActiveSessions int           `name:"standing" default:"100" help:"Sessions that send lines."`
	LineInterval   time.Duration `name:"every" default:"10ms" help:"Between a session's lines."`
	IdleSessions   int           `name:"idle" default:"1000" help:"Sessions that are established for the measurement of memory; 0: none."`
	Rounds         int           `name:"rounds" default:"2" help:"In which the relay, the forwarder and direct connections take turns."`
	Relay          string        `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	JSON           string        `name:"json" help:"Write the figures to this file." type:"path"`
}

// Run measures each fleet size, prints the results, and writes them to a JSON file if one is named.
func (c *costCommand) Run(ctx context.Context) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	relay, err := relayPath(c.Relay)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", tempDirPrefix)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []*cost.Result
	for _, backends := range c.Backends {
		results, err := cost.Measure(ctx, cost.Plan{
			RelayCommand:     []string{relay},
			ForwarderCommand: []string{own, "forward"},
			Servers:          backends,
			Clients:          c.Clients,
			Duration:         c.Duration,
			ActiveSessions:   c.ActiveSessions,
			LineInterval:     c.LineInterval,
			IdleSessions:     c.IdleSessions,
			Rounds:           c.Rounds,
			Dir:              dir,
		})
		if err != nil {
			return err
		}
		for _, r := range results {
			printCost(r)
		}
		all = append(all, results...)
	}
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, text, 0o644)
}

// printCost prints a result as one line.
func printCost(r *cost.Result) {
	fmt.Printf("%5d backends  %-9s %7.0f set-ups/s (%d failed) %7.0f a CPU second  line p50 %.3f p99 %.3f "+
		"p99.9 %.3f ms  %.1f us CPU a line  %.0f bytes a session (%d)\n",
		r.Backends, r.Path, r.SetupsPerSecond, r.Failed, r.SetupsPerCPUSecond, r.LineP50Millis, r.LineP99Millis,
		r.LineP999Millis, r.CPUMicrosPerLine, r.BytesPerSession, r.IdleSessions)
}
