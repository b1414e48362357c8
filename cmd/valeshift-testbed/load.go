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

// errBehindSchedule is returned for a run that started its actions too late.
var errBehindSchedule = errors.New("the machine was too slow for the schedule: the run is not counted")

type loadCommand struct {
	reportFlag
	File  string `arg:"" name:"file" help:"The experiment, in TOML."`
	Relay string `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Logs  string `name:"logs" help:"The folder for the relays' logs and configurations." type:"path"`
}

// Run runs the experiment with relay processes on loopback sockets, which use the relay's own policy only.
func (c *loadCommand) Run(ctx context.Context) error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.runExperiment(ctx, x)
}

// runExperiment runs an experiment with relay processes, prints its result and writes its report. It returns an error
// if a rule is broken or the machine was too slow.
func (c *loadCommand) runExperiment(ctx context.Context, x *experiment.Experiment) error {
	relay, err := relayPath(c.Relay)
	if err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", tempDirPrefix); err != nil {
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
	var violation error
	if !run.IsLate {
		violation = checkRules(run)
	}
	if err := c.write(r); err != nil {
		return err
	}
	if run.IsLate {
		return errBehindSchedule
	}
	return violation
}

// showProgress prints the elapsed time of a run every second, until stop is called.
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

// Run runs the experiment with relays that form a fleet and have disks, whatever the file sets. Their logs and disks
// are kept in the folder for logs, or in a temporary folder if none is named.
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
	return c.runExperiment(ctx, x)
}

// demo is the experiment file of the demo command.
//
//go:embed demo.toml
var demo []byte

type demoCommand struct {
	Relay string `name:"relay" help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Out   string `name:"out" default:"demo" help:"Where the report goes: NAME.html and NAME.json." placeholder:"NAME" type:"path"`
}

// Run runs the built-in experiment.
func (c *demoCommand) Run(ctx context.Context) error {
	x, err := experiment.Parse(demo)
	if err != nil {
		return err
	}
	load := &loadCommand{reportFlag: reportFlag{Report: c.Out}, Relay: c.Relay}
	return load.runExperiment(ctx, x)
}
