package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"time"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/explore"
	"valeshift/internal/testbed/live"
)

const (
	processAttempts   = 2           // most runs of an experiment for which the machine is too slow
	printedViolations = 3           // most violations printed for each finding
	progressInterval  = time.Second // least time between two progress lines
)

type huntCommand struct {
	From        uint64 `name:"from" default:"1" help:"The first seed."`
	Count       uint64 `name:"count" default:"200" help:"How many."`
	Shrink      int    `name:"shrink" default:"150" help:"The most experiments played to shrink one that was found; 0: none are."`
	Out         string `name:"out" default:"found" help:"The folder that what was found goes to, one experiment file each." type:"path"`
	MaxFindings int    `name:"most" default:"10" help:"Stop looking after so many."`

	Processes   bool   `name:"processes" help:"Draw schedules for relay processes on loopback, each some seconds long."`
	Parallelism int    `name:"side" default:"4" help:"With processes: so many schedules side by side."`
	Relay       string `name:"relay" help:"With processes: the relay's program; valeshift-faultdisk beside this one, if none is named." type:"path"`

	behindSchedule atomic.Int64 // number of experiments not counted because the machine was too slow for them
}

// Run generates and runs an experiment per seed, and writes those that break a rule as files.
func (c *huntCommand) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	exploration := explore.Exploration{
		From:        c.From,
		To:          c.From + c.Count,
		Generate:    explore.Generate,
		Play:        explore.Play,
		Parallelism: runtime.GOMAXPROCS(0),
	}
	if c.Processes {
		var err error
		if c.Relay, err = findFaultDiskRelay(c.Relay); err != nil {
			return err
		}
		exploration.Generate = explore.GenerateForProcesses
		exploration.Play = func(x *experiment.Experiment) *explore.Finding { return c.runProcesses(ctx, x) }
		exploration.Parallelism = c.Parallelism
	}
	var findings []*explore.Finding
	exploration.OnFinding = func(f *explore.Finding) {
		findings = append(findings, f)
		printFinding(f) // before shrinking, which may take long
		if len(findings) >= c.MaxFindings {
			stop()
		}
	}
	began := time.Now()
	printedAt := began
	played := 0
	exploration.OnPlayed = func(n int) {
		played = n
		if time.Since(printedAt) > progressInterval {
			printedAt = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d played, %d found ", n, c.Count, len(findings))
		}
	}
	exploration.Run(ctx)
	fmt.Fprint(os.Stderr, "\r")
	fmt.Printf("%d seeds from %d on in %.1f s: %d break a rule\n", played, c.From, time.Since(began).Seconds(),
		len(findings))
	if n := c.behindSchedule.Load(); n > 0 {
		fmt.Printf("%d of them are not counted, as this machine was too slow for them\n", n)
	}
	return c.writeFindings(findings, exploration.Play)
}

// writeFindings shrinks the findings and writes them to files. It returns an error if there are any findings.
func (c *huntCommand) writeFindings(findings []*explore.Finding, play explore.Player) error {
	for _, f := range findings {
		if c.Shrink > 0 {
			f = explore.Shrink(f, c.Shrink, play)
		}
		if err := c.writeFinding(f); err != nil {
			return err
		}
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d experiments break a rule", len(findings))
	}
	return nil
}

// writeFinding writes a finding as an experiment file, and prints its path and violations.
func (c *huntCommand) writeFinding(f *explore.Finding) error {
	text, err := f.Text()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	path := filepath.Join(c.Out, fmt.Sprintf("seed-%d.toml", f.Seed))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	fmt.Println(path)
	printFinding(f)
	return nil
}

// printFinding prints how often an experiment broke each rule, and its first violations.
func printFinding(f *explore.Finding) {
	fmt.Printf("seed %d: %v %s\n", f.Seed, f.Counts, f.Panic)
	for _, v := range f.Violations[:min(len(f.Violations), printedViolations)] {
		fmt.Println("  ", v)
	}
}

// runProcesses runs an experiment with relay processes. It repeats a run for which the machine was too slow; if that
// happens in each of processAttempts runs, the experiment is not counted. The relays' logs and disks are kept only if
// the experiment breaks a rule or can't be run.
func (c *huntCommand) runProcesses(ctx context.Context, x *experiment.Experiment) *explore.Finding {
	dir := filepath.Join(c.Out, x.Name)
	for range processAttempts {
		os.RemoveAll(dir)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return &explore.Finding{Experiment: x, Panic: err.Error()}
		}
		result, err := live.Play(ctx, x, c.Relay, dir)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return &explore.Finding{Experiment: x, Panic: err.Error()}
		case result.BehindSchedule:
			continue
		}
		found := explore.NewFinding(x, result.Auditor)
		if found == nil {
			os.RemoveAll(dir)
		}
		return found
	}
	c.behindSchedule.Add(1)
	os.RemoveAll(dir)
	return nil
}
