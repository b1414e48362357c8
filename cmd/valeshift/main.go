// Command valeshift is one relay on sockets.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"valeshift/internal/config"
	"valeshift/internal/fleet"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// line is the command line.
type line struct {
	Operator string `name:"operator" help:"The operators' file, in TOML. None: its defaults." placeholder:"FILE" env:"VALESHIFT_OPERATOR"`

	Run   runCommand   `cmd:"" name:"run" default:"1" help:"Serve until SIGTERM (what is done with no arguments)."`
	Check checkCommand `cmd:"" name:"check" help:"Read all configuration and name the field that is wrong; start nothing."`
	Fleet fleetCommand `cmd:"" name:"fleet" passthrough:"" help:"Ask relays what they keep and hear of each other."`
	Zone  zoneCommand  `cmd:"" name:"zone" passthrough:"" help:"Ask the council on zones, or order it."`

	Holdings replicationCommand `cmd:"" name:"holdings" passthrough:"" help:"Ask relays what they hold for each other."`
	Version  versionCommand     `cmd:"" name:"version" help:"Say which build this is."`
}

func main() {
	// Before all else: against a signal that comes early ending the program.
	signals := signals{on(syscall.SIGTERM, os.Interrupt), on(syscall.SIGUSR1), on(syscall.SIGHUP)}
	var l line
	run := func() error { return runCommand{}.Run(&l, signals) }
	if len(os.Args) > 1 {
		asked := kong.Parse(&l, kong.Name("valeshift"), kong.UsageOnError(),
			kong.Description("A balancer for long-lived connections. RELAY_CONFIG names the platform's file."))
		run = func() error { return asked.Run(&l, signals) }
	} else { // as the platform starts it: what commands there are costs such a start nothing
		l.Operator = os.Getenv("VALESHIFT_OPERATOR")
	}
	if err := run(); err != nil {
		os.Exit(1)
	}
}

type signals struct{ stop, print, reload <-chan struct{} }

type runCommand struct{}

// Run serves. All errors are logged here, in the form that the operators chose.
func (runCommand) Run(l *line, signals signals) error {
	log := config.NewLogger(os.Stderr, config.Log{})
	told, file, err := read(l, relay.LoadConfig)
	if err != nil {
		log.Slog().Error("bad configuration", "err", err)
		return err
	}
	log.Configure(file.Log)
	// One more than the cores: while the poller sits in its system call, another thread serves the rest at once.
	runtime.GOMAXPROCS(max(int(told.Cores), 1) + 1)
	if told.MemoryMB > 0 {
		part := 0.6
		if told.SocketFD > 0 { // two processes at times, under one limit
			part /= 2
		}
		debug.SetMemoryLimit(int64(told.MemoryMB * part * (1 << 20)))
	}
	told.Clock = clock
	told.MaxReportAgeMillis = float64(file.Backends.MaxReportAge)
	mates, err := mates(told, file, log.Slog())
	if err != nil {
		log.Slog().Error("bad configuration", "err", err)
		return err
	}
	again := func() (*relay.Config, func(), error) {
		told, file, err := read(l, relay.ReloadConfig)
		if err != nil {
			return nil, nil, err
		}
		return told, func() { log.Configure(file.Log) }, nil
	}
	err = relay.Serve(told, mates, again, log.Slog(), signals.stop, signals.print, signals.reload)
	if err != nil {
		log.Slog().Error("can't serve", "err", err)
	}
	return err
}

// mates is what the operators' file says of other relays and a disk; nil where it names neither.
func mates(told *relay.Config, file *config.File, log *slog.Logger) (relay.Fleet, error) {
	p := file.Peers
	if p.Listen == "" && file.Disk.Folder == "" {
		return nil, nil
	}
	var others *fleet.Config
	if p.Listen != "" {
		others = &fleet.Config{Listen: p.Listen, Zone: p.Zone, Region: p.Region, KeyFile: p.KeyFile, Seeds: p.Seeds,
			SeedsOnly: p.SeedsOnly, Voters: file.Coordinators.Voters, Copies: file.Replication.Copies,
			MarkerRetentionMillis: float64(file.Replication.MarkerRetention), ReplicateAffinity: file.Replication.Affinity}
	}
	var disk store.FS
	if file.Disk.Folder != "" {
		disk = folder(file.Disk.Folder)
	}
	told.ReservedDescriptors = fleet.MaxDescriptors
	return fleet.NewNode(told.Name, others, disk, file.Disk.MaxMegabytes<<20, clock, log)
}

type checkCommand struct{}

// Run checks what a start would, by the same steps.
func (checkCommand) Run(l *line) error {
	told, file, err := read(l, relay.LoadConfig)
	if err == nil {
		_, err = mates(told, file, slog.New(slog.DiscardHandler))
	}
	if err == nil {
		err = relay.CheckConfig(told)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "valeshift: check:", err)
		return err
	}
	_, err = fmt.Printf("ok: %s listens on %s, discovery %s, %d servers known\n",
		told.Name, told.Listen, told.Discovery, len(told.InitialEndpoints.Endpoints))
	return err
}

type versionCommand struct{}

// Run prints the build.
func (versionCommand) Run() error { return say(os.Stdout) }

func say(to io.Writer) error {
	number, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		number = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	_, err := fmt.Fprintf(to, "valeshift %s%s %s\n", number, revision, runtime.Version())
	return err
}

// read reads the platform's file by the function given, and the operators'.
func read(l *line, platform func(func(string) string) (*relay.Config, error)) (*relay.Config, *config.File,
	error) {
	told, err := platform(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	file, err := config.Load(l.Operator)
	return told, file, err
}

func on(signals ...os.Signal) <-chan struct{} {
	from, to := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(from, signals...)
	go func() {
		for range from {
			to <- struct{}{}
		}
	}()
	return to
}
