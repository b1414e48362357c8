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
	processAttempts   = 2 // to play an experiment for which the machine was too slow
	printedViolations = 3 // of each finding
	progressInterval  = time.Second
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

	behindSchedule atomic.Int64 // experiments that are not counted, as the machine was too slow for them
}

// Run draws and plays the experiments, and writes the findings as files.
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
		exploration.Play = func(x *experiment.Experiment) *explore.Finding { return c.playProcesses(ctx, x) }
		exploration.Parallelism = c.Parallelism
	}
	var findings []*explore.Finding
	exploration.OnFinding = func(f *explore.Finding) {
		findings = append(findings, f)
		printFinding(f) // before it is shrunk, which may take long
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
		fmt.Printf("%d of them were too much for this machine, and are not counted\n", n)
	}
	return c.writeFindings(findings, exploration.Play)
}

// writeFindings shrinks the findings and writes them. It returns an error where there are any.
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

// printFinding prints which rules an experiment breaks.
func printFinding(f *explore.Finding) {
	fmt.Printf("seed %d: %v %s\n", f.Seed, f.Counts, f.Panic)
	for _, v := range f.Violations[:min(len(f.Violations), printedViolations)] {
		fmt.Println("  ", v)
	}
}

// playProcesses plays an experiment with relay processes. One that the machine was too slow for, again and
// again, is not counted. Logs and disks stay of what breaks a rule.
func (c *huntCommand) playProcesses(ctx context.Context, x *experiment.Experiment) *explore.Finding {
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
