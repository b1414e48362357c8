// Command valeshift-testbed plays experiments on the relay: under virtual time, or on loopback sockets.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"valeshift/internal/testbed/cost"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/explore"
	"valeshift/internal/testbed/live"
	"valeshift/internal/testbed/report"
	"valeshift/internal/testbed/sim"
)

type line struct {
	Fleet   fleetCommand   `cmd:"" help:"Play it with machines: relay processes with disks, ways and clocks of their own, which know of each other."`
	Sim     simCommand     `cmd:"" help:"Play an experiment file under virtual time: the real reducers on a simulated network."`
	Load    loadCommand    `cmd:"" help:"Play it on loopback sockets: relay processes, stand-in servers and discovery."`
	Hunt    huntCommand    `cmd:"" help:"Draw experiments over a range of seeds, check the rules on each, shrink what breaks one."`
	Check   checkCommand   `cmd:"" help:"Read an experiment file, name the field that is wrong; play nothing."`
	Cost    costCommand    `cmd:"" help:"Measure what a relay costs on loopback, beside a bare forwarder and direct connections."`
	Forward forwardCommand `cmd:"" hidden:""`
	Demo    demoCommand    `cmd:"" help:"Two relays, ten servers and a failure on loopback within 30 s, ending with a report."`
}

type forwardCommand struct {
	Address string `arg:"" help:"Where to listen."`
}

// Run serves until it is stopped.
func (c *forwardCommand) Run(ctx context.Context) error {
	return cost.RunForwarder(ctx, os.Stdin, c.Address)
}

type costCommand struct {
	Servers  []int         `default:"20,200,1000,5000" help:"Sizes of the fleet, one after the other."`
	Clients  int           `default:"16" help:"Clients that open and reset links one after another."`
	Lasts    time.Duration `default:"3s" help:"How long each measurement takes."`
	Standing int           `default:"100" help:"Links that send lines."`
	Every    time.Duration `default:"10ms" help:"Between a link's lines."`
	Idle     int           `default:"1000" help:"Links that stand for the measurement of memory; 0: none."`
	Rounds   int           `default:"2" help:"In which the relay, the forwarder and direct connections take turns."`
	Relay    string        `help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	JSON     string        `help:"Write the figures to this file." type:"path"`
}

// Run measures each size.
func (c *costCommand) Run(ctx context.Context) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	relay, err := program(c.Relay)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "valeshift-testbed")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []*cost.Result
	for _, n := range c.Servers {
		figures, err := cost.Measure(ctx, cost.Plan{RelayCommand: []string{relay}, ForwarderCommand: []string{own, "forward"},
			Servers: n, Clients: c.Clients, Duration: c.Lasts, ActiveSessions: c.Standing, LineInterval: c.Every, IdleSessions: c.Idle,
			Rounds: c.Rounds, Dir: dir})
		if err != nil {
			return err
		}
		for _, f := range figures {
			fmt.Printf("%5d servers  %-9s %7.0f set-ups/s (%d failed) %7.0f a CPU second  line p50 %.3f p99 %.3f "+
				"p99.9 %.3f ms  %.1f us CPU a line  %.0f bytes a link (%d)\n", f.Servers, f.Path, f.SetupsPerSecond, f.Failed,
				f.SetupsPerCPUSecond, f.LineP50Millis, f.LineP99Millis, f.LineP999Millis, f.CPUMicrosPerLine, f.BytesPerSession, f.IdleSessions)
		}
		all = append(all, figures...)
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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var l line
	asked := kong.Parse(&l, kong.Name("valeshift-testbed"), kong.UsageOnError(),
		kong.Description("A model of the fleet, with a load and experiment tool."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	asked.FatalIfErrorf(asked.Run())
}

// program is the relay's: the one that is named, or valeshift beside this one.
func program(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	own, err := os.Executable()
	return filepath.Join(filepath.Dir(own), "valeshift"), err
}

// out says where a report goes.
type out struct {
	Report string `help:"Write the report to this path, as NAME.html and NAME.json." placeholder:"NAME" type:"path"`
}

func (o out) write(r *report.Report) error {
	if o.Report == "" {
		return nil
	}
	page, err := r.HTML()
	if err != nil {
		return err
	}
	text, err := r.JSON()
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.Report+".html", page, 0o644); err != nil {
		return err
	}
	fmt.Printf("report: %s.html\n", o.Report)
	return os.WriteFile(o.Report+".json", text, 0o644)
}

// say prints a run, and gives an error where it broke a rule that it is held to.
func say(r *report.Run, held bool, more string) error {
	fmt.Printf("%-12s %s: service %.4f, worst second %.3f, answers %v, rules broken %v %s\n", r.Variant, r.Mode,
		r.ServedShare, r.WorstSecond, r.Answers, r.ViolationCounts, more)
	if !held || len(r.ViolationCounts) == 0 {
		return nil
	}
	for _, b := range r.Violations {
		fmt.Println("  ", b)
	}
	return fmt.Errorf("%s broke a rule", r.Variant)
}

type simCommand struct {
	out
	File  string  `arg:"" help:"The experiment, in TOML."`
	Seed  *uint64 `help:"Play this seed in place of the file's."`
	Trace string  `help:"Write what passes on the network, event by event, to this file." placeholder:"FILE"`
}

// Run plays all variants, one after the other. Only the first is held to the rules.
func (c *simCommand) Run() error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		x.Seed = *c.Seed
	}
	r := report.New(x)
	var broken error
	for i, variant := range x.Variants {
		s := sim.New(x, variant, nil)
		if c.Trace != "" && i == 0 {
			f, err := os.Create(c.Trace)
			if err != nil {
				return err
			}
			defer f.Close()
			s = sim.New(x, variant, f)
		}
		result, err := s.Run()
		if err != nil {
			return err
		}
		run := r.AddRun(x, report.Outcome{
			Variant:       variant,
			Mode:          report.Simulated,
			Metrics:       result.Tally,
			FaultSpans:    result.Marks,
			Audit:         result.Audit,
			ColdOverloads: result.Fallen,
		})
		err = say(run, i == 0, fmt.Sprintf("(%.1f simulated seconds a second, %.2f M events/s)",
			float64(x.Length)/1000/result.Took.Seconds(), float64(result.Events)/1e6/result.Took.Seconds()))
		if broken == nil {
			broken = err
		}
	}
	if err := c.write(r); err != nil {
		return err
	}
	return broken
}

type loadCommand struct {
	out
	File  string `arg:"" help:"The experiment, in TOML."`
	Relay string `help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Logs  string `help:"The folder for the relays' logs and configurations." type:"path"`
}

// Run plays the module on sockets.
func (c *loadCommand) Run(ctx context.Context) error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.play(ctx, x)
}

func (c *loadCommand) play(ctx context.Context, x *experiment.Experiment) error {
	binary, err := program(c.Relay)
	if err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		made, err := os.MkdirTemp("", "valeshift-testbed")
		if err != nil {
			return err
		}
		defer os.RemoveAll(made)
		dir = made
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	began := time.Now()
	go func() {
		for range ticker.C {
			fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s ", time.Since(began).Seconds(), float64(x.Length)/1000+5)
		}
	}()
	result, err := live.Play(ctx, x, binary, dir)
	fmt.Fprint(os.Stderr, "\r")
	if err != nil {
		return err
	}
	r := report.New(x)
	run := r.AddRun(x, report.Outcome{
		Variant:       experiment.Policies[0],
		Mode:          report.OnSockets,
		Metrics:       result.Metrics,
		FaultSpans:    result.FaultSpans,
		Audit:         result.Auditor,
		ColdOverloads: result.ColdOverloads,
	})
	run.IsLate = result.BehindSchedule
	run.Memory = result.Memory
	run.CPU = result.CPU
	broken := say(run, !result.BehindSchedule, fmt.Sprintf("(%.0f ms behind its schedule at the most)",
		result.Metrics.MaxLag))
	if err := c.write(r); err != nil {
		return err
	}
	if result.BehindSchedule {
		return fmt.Errorf("the machine was too slow for the schedule: the run is not counted")
	}
	return broken
}

type fleetCommand struct {
	loadCommand
}

// Run plays the file with relays that know of each other and have disks, whatever it says of that, and keeps
// their logs and disks: in the folder that --logs names, else in a temporary one.
func (c *fleetCommand) Run(ctx context.Context) error {
	x, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	x.Relays.Membership, x.Relays.Disk = true, true
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", x.Name+".machines-"); err != nil {
			return err
		}
	}
	if c.Relay == "" {
		if c.Relay, err = program(""); err != nil {
			return err
		}
		c.Relay += "-faultdisk" // whose disk loses what was not synced
	}
	fmt.Printf("logs, operators' files and disks of the machines: %s\n", c.Logs)
	return c.play(ctx, x)
}

//go:embed demo.toml
var demo []byte

type demoCommand struct {
	Relay string `help:"The relay's program; valeshift beside this one, if none is named." type:"path"`
	Out   string `default:"demo" help:"Where the report goes: NAME.html and NAME.json." placeholder:"NAME" type:"path"`
}

// Run plays the experiment that is built in.
func (c *demoCommand) Run(ctx context.Context) error {
	x, err := experiment.Parse(demo)
	if err != nil {
		return err
	}
	load := &loadCommand{out: out{c.Out}, Relay: c.Relay}
	return load.play(ctx, x)
}

type checkCommand struct {
	File string `arg:"" help:"The experiment, in TOML."`
}

// Run checks.
func (c *checkCommand) Run() error {
	x, err := experiment.ReadFile(c.File)
	if err == nil {
		fmt.Printf("ok: %s, %d relays, %d servers, %d kinds of traffic, %d faults\n", x.Name, x.Relays.Count,
			x.Fleet.Backends, len(x.Traffic), len(x.Faults))
	}
	return err
}

type huntCommand struct {
	From   uint64 `default:"1" help:"The first seed."`
	Count  uint64 `default:"200" help:"How many."`
	Shrink int    `default:"150" help:"The most experiments played to shrink one that was found; 0: none are."`
	Out    string `default:"found" help:"The folder that what was found goes to, one experiment file each." type:"path"`
	Most   int    `default:"10" help:"Stop looking after so many."`

	Processes bool   `help:"Draw schedules for relay processes on loopback, each some seconds long."`
	Side      int    `default:"4" help:"With processes: so many schedules side by side."`
	Relay     string `help:"With processes: the relay's program; valeshift-faultdisk beside this one, if none is named." type:"path"`
	late      atomic.Int64
}

// processes plays a schedule with relay processes. One that the machine was too slow for is not counted,
// twice at the most.
func (c *huntCommand) processes(ctx context.Context, x *experiment.Experiment) *explore.Finding {
	binary := c.Relay
	if binary == "" {
		own, err := program("")
		if err != nil {
			return &explore.Finding{Experiment: x, Panic: err.Error()}
		}
		binary = own + "-faultdisk"
	}
	dir := filepath.Join(c.Out, x.Name)
	for range 2 {
		os.RemoveAll(dir)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return &explore.Finding{Experiment: x, Panic: err.Error()}
		}
		r, err := live.Play(ctx, x, binary, dir)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return &explore.Finding{Experiment: x, Panic: err.Error()}
		case r.BehindSchedule:
			continue
		}
		found := explore.NewFinding(x, r.Auditor)
		if found == nil {
			os.RemoveAll(dir) // logs and disks are kept of what broke a rule
		}
		return found
	}
	c.late.Add(1)
	os.RemoveAll(dir)
	return nil
}

// Run hunts.
func (c *huntCommand) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	began := time.Now()
	var all []*explore.Finding
	last, seen := time.Now(), 0
	side, play := runtime.GOMAXPROCS(0), explore.Play
	draw := explore.Generate
	if c.Processes {
		side, draw = c.Side, explore.GenerateForProcesses
		play = func(x *experiment.Experiment) *explore.Finding { return c.processes(ctx, x) }
	}
	each := func(seed uint64) *explore.Finding { return play(draw(seed)) }
	explore.ExploreWith(ctx, c.From, c.From+c.Count, side, each, func(f *explore.Finding) {
		if all = append(all, f); len(all) >= c.Most {
			stop()
		}
	}, func(n int) {
		if seen = n; time.Since(last) > time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d played, %d found ", n, c.Count, len(all))
		}
	})
	fmt.Fprint(os.Stderr, "\r")
	fmt.Printf("%d seeds from %d on in %.1f s: %d break a rule\n", seen, c.From, time.Since(began).Seconds(),
		len(all))
	if late := c.late.Load(); late > 0 {
		fmt.Printf("%d of them were too much for this machine, and are not counted\n", late)
	}
	for _, f := range all {
		if c.Shrink > 0 {
			f = explore.ShrinkWith(f, c.Shrink, play)
		}
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
		fmt.Printf("%s %v %s\n", path, f.Counts, f.Panic)
		for _, b := range f.Violations[:min(len(f.Violations), 3)] {
			fmt.Println("  ", b)
		}
	}
	if len(all) > 0 {
		return fmt.Errorf("%d experiments break a rule", len(all))
	}
	return nil
}
