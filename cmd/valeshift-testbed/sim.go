package main

import (
	"fmt"
	"io"
	"os"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/report"
	"valeshift/internal/testbed/sim"
)

type simCommand struct {
	reportFlag
	File  string  `arg:"" name:"file" help:"The experiment, in TOML."`
	Seed  *uint64 `name:"seed" help:"Play this seed in place of the file's."`
	Trace string  `name:"trace" help:"Write what passes on the network, event by event, to this file." placeholder:"FILE"`
}

// Run simulates all variants, one after the other. Only the first is traced and checked against the rules.
func (c *simCommand) Run() error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		x.Seed = *c.Seed
	}
	r := report.New(x)
	var violation error
	for i, variant := range x.Variants {
		isFirst := i == 0
		run, err := c.runVariant(x, variant, isFirst, r)
		if err != nil {
			return err
		}
		if isFirst {
			violation = checkRules(run)
		}
	}
	if err := c.write(r); err != nil {
		return err
	}
	return violation
}

// runVariant simulates one variant and adds its run to the report.
func (c *simCommand) runVariant(x *experiment.Experiment, variant string, traced bool, r *report.Report) (*report.Run,
	error) {
	var trace io.Writer
	if c.Trace != "" && traced {
		file, err := os.Create(c.Trace)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		trace = file
	}
	result, err := sim.New(x, variant, trace).Run()
	if err != nil {
		return nil, err
	}
	run := r.AddRun(x, report.Outcome{
		Variant:            variant,
		Mode:               report.Simulated,
		Metrics:            result.Metrics,
		FaultSpans:         result.FaultSpans,
		Audit:              result.Auditor,
		SlowStartOverloads: result.SlowStartOverloads,
	})
	seconds := result.RealTime.Seconds()
	printRun(run, fmt.Sprintf("(%.1f simulated seconds a second, %.2f M events/s)",
		float64(x.Length)/1000/seconds, float64(result.Events)/1e6/seconds))
	return run, nil
}
