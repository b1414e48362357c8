package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"valeshift/internal/fleet"
)

// fleetCommand passes its words on, as zoneCommand does.
type fleetCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"Addresses, or leave and one: docs/recovery.md tells."`
}

// Run reads the words, and does what they say.
func (c *fleetCommand) Run() error {
	var l struct {
		Show  fleetShow  `cmd:"" name:"show" default:"withargs" help:"What relays keep and hear of each other."`
		Leave fleetLeave `cmd:"" name:"leave" help:"Have a relay hand over all that it has, and say when it can be switched off."`
	}
	return runSubcommand(&l, "valeshift fleet", c.Words)
}

// runSubcommand reads a command's own words, and does what they say.
func runSubcommand(line any, name string, all []string) error {
	parser, err := kong.New(line, kong.Name(name), kong.UsageOnError())
	if err != nil {
		return err
	}
	said, err := parser.Parse(all)
	parser.FatalIfErrorf(err)
	err = said.Run()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
	}
	return err
}

type fleetShow struct {
	Addresses []string      `arg:"" name:"addresses" help:"Where operators call the relays, address:port each."`
	JSON      bool          `name:"json" help:"Print what each relay says, as it says it."`
	Within    time.Duration `name:"within" default:"1s" help:"How long a relay is waited for."`
}

// Run asks each relay, and shows what it says of itself and of the others.
func (c *fleetShow) Run() error {
	client := newAdminClient(c.Within)
	var failed error
	for _, address := range c.Addresses {
		var s fleet.Status
		text, err := fetchJSON(client, address, "/_fleet", &s)
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "valeshift fleet: %s: %v\n", address, err)
			failed = errors.New("not all relays have answered")
		case c.JSON:
			fmt.Printf("%s\n", text)
		default:
			printFleetStatus(os.Stdout, address, &s)
		}
	}
	return failed
}

// newAdminClient is how operators' calls are made: each on a connection of its own.
func newAdminClient(within time.Duration) *http.Client {
	return &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
}

// fetchJSON reads what a relay says.
func fetchJSON(client *http.Client, address, path string, into any) ([]byte, error) {
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotFound {
		return nil, errors.New("the relay keeps nothing of that kind, as its operators' file does not name it")
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return text, json.Unmarshal(text, into)
}

const maxAnswerBytes = 64 << 20 // bytes of an answer

type fleetLeave struct {
	Address string        `arg:"" name:"address" help:"Where operators call the relay, address:port."`
	Within  time.Duration `name:"within" default:"60s" help:"How long it has for it. It goes on after that as well."`
	Every   time.Duration `name:"every" default:"500ms" hidden:""`
}

// Run has the relay empty itself, and waits until nothing rests on it: no link that stands, nothing that it
// holds for others.
func (c *fleetLeave) Run() error {
	client := newAdminClient(3 * time.Second)
	answer, err := client.Post("http://"+c.Address+"/_lameduck/on", "", nil)
	if err != nil {
		return err
	}
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	answer.Body.Close()
	said := bytes.TrimSpace(text)
	if answer.StatusCode != http.StatusOK { // it may hold all the same, and not yet lie where it is to
		fmt.Printf("%s: %s\n", c.Address, said)
	}
	last := ""
	for until := time.Now().Add(c.Within); ; time.Sleep(c.Every) {
		var s fleet.Status
		if _, err := fetchJSON(client, c.Address, "/_fleet", &s); err != nil {
			return fmt.Errorf("it was told to leave, and says no more: %w", err)
		}
		if !s.Draining {
			return fmt.Errorf("it does not leave: %s", said)
		}
		left, held := s.Sessions, 0
		if s.Replication != nil {
			for _, k := range s.Replication.Kinds {
				held += k.Stored
			}
		}
		if left == 0 && held == 0 {
			fmt.Printf("%s: nothing rests on it any more: it can be switched off\n", c.Address)
			return nil
		}
		what := fmt.Sprintf("%d links and %d records of others are left", left, held)
		if time.Now().After(until) {
			return fmt.Errorf("%s; it goes on with that", what)
		}
		if what != last {
			fmt.Printf("%s: %s\n", c.Address, what)
			last = what
		}
	}
}

func printFleetStatus(to io.Writer, address string, s *fleet.Status) {
	p := s.Recovery
	fmt.Fprintf(to, "%s  %s for %.1f s: %s\n", address, p.Phase, p.PhaseMillis/1000, p.Reason)
	fmt.Fprintf(to, "  start %d, order %d, empty %t, %d links, %d turned away in the last second\n", s.Boot,
		s.Order, s.Draining, s.Sessions, s.RejectedLastSecond)
	fmt.Fprintf(to, "  list told by discovery %t, %d of %d servers cold, this relay's part of what they bear %.3f\n",
		p.EndpointsConfirmed, s.WarmingUp, s.Usable, p.CapacityShare)
	if s.DiskFault != "" {
		fmt.Fprintf(to, "  disk: %s\n", s.DiskFault)
	}
	if s.AheadMillis != 0 {
		fmt.Fprintf(to, "  its time is %.1f s ahead of the fleet's\n", s.AheadMillis/1000)
	}
	if s.HasDuplicate {
		fmt.Fprintln(to, "  ANOTHER PROCESS SERVES UNDER THIS RELAY'S NAME")
	}
	if h := s.Replication; h != nil {
		n := h.Counts["places"]
		fmt.Fprintf(to, "  holds %d places, %d marks and %d orders for others; enough relays for a promise %t\n",
			h.Kinds["places"].Stored, h.Kinds["marks"].Stored, h.Kinds["orders"].Stored, h.HasEnoughMembers)
		fmt.Fprintf(to, "  places held by others %d, not in time %d; taken %d, used before %d, not got in time %d\n",
			n.Replicated, n.NotReplicated, n.Found, n.AlreadyUsed, n.Missed)
		n = h.Counts["marks"]
		fmt.Fprintf(to, "  tries marked at others %d, not in time %d; clients' further tries that met a mark %d\n",
			n.Replicated, n.NotReplicated, n.Found)
		fmt.Fprintf(to, "  the latest words took %.1f ms to be held in the middle, %.1f ms at p99\n", h.P50Millis, h.P99Millis)
	}
	for _, line := range p.Accepted {
		fmt.Fprintf(to, "  believed: %s\n", line)
	}
	for _, line := range p.Discarded {
		fmt.Fprintf(to, "  left out: %s\n", line)
	}
	w := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	for _, m := range s.Members {
		fmt.Fprintf(w, "  %s\t%s\t%s\tstart %d\tup %.0f s\theard %.1f s ago\tzone %s\tlist %d\t%d links\n",
			m.Name, m.State, m.Phase, m.Boot, m.AgeMillis/1000, m.SilentMillis/1000, m.Zone, m.EndpointsVersion, m.Sessions)
	}
	w.Flush()
}
