package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"valeshift/internal/testbed/cost"
)

type floodCommand struct {
	Kinds          []string      `name:"kinds" default:"polls,backends,clients,operators,discovery" help:"Which peers send without pause."`
	Peers          []int         `name:"peers" default:"0,1,4,8" help:"How many, one after the other."`
	Backends       int           `name:"servers" default:"20" help:"Size of the fleet."`
	Duration       time.Duration `name:"lasts" default:"5s" help:"How long each measurement takes."`
	ActiveSessions int           `name:"standing" default:"100" help:"Usual sessions, which send lines."`
	LineInterval   time.Duration `name:"every" default:"50ms" help:"Between a session's lines."`
	Relay          string        `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
}

// Run measures each kind and number of peers, and prints the results.
func (c *floodCommand) Run(ctx context.Context) error {
	relay, err := relayPath(c.Relay)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", tempDirPrefix)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	plan := cost.Plan{
		RelayCommand:   []string{relay},
		Servers:        c.Backends,
		Duration:       c.Duration,
		ActiveSessions: c.ActiveSessions,
		LineInterval:   c.LineInterval,
		Dir:            dir,
	}
	for _, kind := range c.Kinds {
		for _, peers := range c.Peers {
			r, err := cost.MeasureFlood(ctx, plan, cost.FloodKind(kind), peers)
			if err != nil {
				fmt.Printf("%-9s %d peers  failed: %v\n", kind, peers, err)
				continue
			}
			fmt.Printf("%-9s %d peers  %6d lines  p50 %.3f p99 %.3f max %.3f ms  %.0f MB/s flooded\n",
				r.Kind, r.Peers, r.Lines, r.LineP50Millis, r.LineP99Millis, r.LineMaxMillis, r.FloodedBytes/1e6)
		}
	}
	return nil
}
