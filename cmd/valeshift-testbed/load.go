package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/live"
	"valeshift/internal/testbed/report"
)

var errBehindSchedule = errors.New("the machine was too slow for the schedule: the run is not counted")

type loadCommand struct {
	reportFlag
	File  string `arg:"" name:"file" help:"The experiment, in TOML."`
	Relay string `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Logs  string `name:"logs" help:"The folder for the relays' logs and configurations." type:"path"`
}

// Run plays the relay's own policy on sockets.
func (c *loadCommand) Run(ctx context.Context) error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.play(ctx, x)
}

// play plays an experiment with relay processes, and writes its report.
func (c *loadCommand) play(ctx context.Context, x *experiment.Experiment) error {
	relay, err := relayPath(c.Relay)
	if err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", tempPattern); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	stopProgress := showProgress(float64(x.Length)/1000 + 5)
	result, err := live.Play(ctx, x, relay, dir)
	stopProgress()
	if err != nil {
		return err
	}
	r := report.New(x)
	run := r.AddRun(x, report.Outcome{
		Variant:            experiment.Policies[0],
		Mode:               report.OnSockets,
		Metrics:            result.Metrics,
		FaultSpans:         result.FaultSpans,
		Audit:              result.Auditor,
		SlowStartOverloads: result.SlowStartOverloads,
	})
	run.IsLate = result.BehindSchedule
	run.Memory = result.Memory
	run.CPU = result.CPU
	printRun(run, fmt.Sprintf("(%.0f ms behind its schedule at the most)", result.Metrics.MaxLag))
	var broken error
	if !run.IsLate {
		broken = checkRules(run)
	}
	if err := c.write(r); err != nil {
		return err
	}
	if run.IsLate {
		return errBehindSchedule
	}
	return broken
}

// showProgress prints each second how much of a run is over, until stop is called.
func showProgress(totalSeconds float64) (stop func()) {
	done := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		began := time.Now()
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s ", time.Since(began).Seconds(), totalSeconds)
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
		fmt.Fprint(os.Stderr, "\r")
	}
}

type fleetCommand struct {
	loadCommand
}

// Run plays the file with relays that know of each other and have disks, whatever it says of that. Their logs
// and disks stay in the folder that is named, or else in a temporary one.
func (c *fleetCommand) Run(ctx context.Context) error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	x.Relays.Membership = true
	x.Relays.Disk = true
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", x.Name+".machines-"); err != nil {
			return err
		}
	}
	if c.Relay, err = findFaultDiskRelay(c.Relay); err != nil {
		return err
	}
	fmt.Printf("logs, operators' files and disks of the machines: %s\n", c.Logs)
	return c.play(ctx, x)
}

//go:embed demo.toml
var demo []byte

type demoCommand struct {
	Relay string `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Out   string `name:"out" default:"demo" help:"Where the report goes: NAME.html and NAME.json." placeholder:"NAME" type:"path"`
}

// Run plays the experiment that is built in.
func (c *demoCommand) Run(ctx context.Context) error {
	x, err := experiment.Parse(demo)
	if err != nil {
		return err
	}
	load := &loadCommand{reportFlag: reportFlag{Report: c.Out}, Relay: c.Relay}
	return load.play(ctx, x)
}
