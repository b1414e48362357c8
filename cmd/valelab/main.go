// Command valelab plays experiments on the relay: under virtual time, or on loopback sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"valeshift/internal/lab/experiment"
	"valeshift/internal/lab/hunt"
	"valeshift/internal/lab/sim"
)

type line struct {
	Sim  simCommand  `cmd:"" help:"Play an experiment file under virtual time: the real reducers on a simulated network."`
	Hunt huntCommand `cmd:"" help:"Draw experiments over a range of seeds, check the rules on each, shrink what breaks one."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var l line
	asked := kong.Parse(&l, kong.Name("valelab"), kong.UsageOnError(),
		kong.Description("A model of the fleet, with a load and experiment tool."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	asked.FatalIfErrorf(asked.Run())
}

type simCommand struct {
	File  string  `arg:"" help:"The experiment, in TOML."`
	Seed  *uint64 `help:"Play this seed in place of the file's."`
	Trace string  `help:"Write what passes on the network, event by event, to this file." placeholder:"FILE"`
}

// Run plays all variants, one after the other.
func (c *simCommand) Run() error {
	x, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		x.Seed = *c.Seed
	}
	broken := 0
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
		r, err := s.Run()
		if err != nil {
			return err
		}
		from, to := float64(x.Warm), float64(x.Length)
		fmt.Printf("%-12s service %.4f  answers %v  fallen %d  rules %v  %.1f simulated s/s, %.2f M events/s\n",
			variant, r.Tally.Service(from, to), r.Tally.Answers, r.Fallen, r.Audit.Counts,
			to/1000/r.Took.Seconds(), float64(r.Events)/1e6/r.Took.Seconds())
		if i == 0 {
			broken = r.Audit.Broken()
			for _, b := range r.Audit.Breaks {
				fmt.Println("  ", b)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d times a rule was broken by %s", broken, x.Variants[0])
	}
	return nil
}

type huntCommand struct {
	From   uint64 `default:"1" help:"The first seed."`
	Count  uint64 `default:"200" help:"How many."`
	Shrink int    `default:"150" help:"The most experiments played to shrink one that was found; 0: none are."`
	Out    string `default:"found" help:"The folder that what was found goes to, one experiment file each." type:"path"`
	Most   int    `default:"10" help:"Stop looking after so many."`
}

// Run hunts.
func (c *huntCommand) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	began := time.Now()
	var all []*hunt.Found
	last := time.Now()
	hunt.Hunt(ctx, c.From, c.From+c.Count, func(f *hunt.Found) {
		if all = append(all, f); len(all) >= c.Most {
			stop()
		}
	}, func(n int) {
		if time.Since(last) > time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d played, %d found ", n, c.Count, len(all))
		}
	})
	fmt.Printf("%d seeds from %d on in %.1f s: %d break a rule\n", c.Count, c.From, time.Since(began).Seconds(),
		len(all))
	for _, f := range all {
		if c.Shrink > 0 {
			f = hunt.Shrink(f, c.Shrink)
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
		for _, b := range f.Breaks[:min(len(f.Breaks), 3)] {
			fmt.Println("  ", b)
		}
	}
	if len(all) > 0 {
		return fmt.Errorf("%d experiments break a rule", len(all))
	}
	return nil
}
