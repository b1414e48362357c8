package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"valeshift/internal/fleet"
)

type fleetCommand struct {
	Addresses []string      `arg:"" help:"Where operators call the relays, address:port each."`
	JSON      bool          `help:"Print what each relay says, as it says it."`
	Within    time.Duration `default:"1s" help:"How long a relay is waited for."`
}

// Run asks each relay, and shows what it says of itself and of the others.
func (c *fleetCommand) Run() error {
	client := http.Client{Timeout: c.Within, Transport: &http.Transport{DisableKeepAlives: true}}
	var failed error
	for _, address := range c.Addresses {
		text, err := c.ask(&client, address)
		var s fleet.Status
		if err == nil && !c.JSON {
			err = json.Unmarshal(text, &s)
		}
		switch {
		case err != nil:
			failed = fmt.Errorf("%s: %w", address, err)
			fmt.Fprintln(os.Stderr, "valeshift: fleet:", failed)
		case c.JSON:
			fmt.Printf("%s\n", text)
		default:
			show(os.Stdout, address, &s)
		}
	}
	return failed
}

func (c *fleetCommand) ask(client *http.Client, address string) ([]byte, error) {
	answer, err := client.Get("http://" + address + "/_fleet")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("the relay keeps nothing and knows no others, as its operators' file names neither")
	}
	return io.ReadAll(io.LimitReader(answer.Body, 8<<20))
}

func show(to io.Writer, address string, s *fleet.Status) {
	p := s.Recovery
	fmt.Fprintf(to, "%s  %s for %.1f s: %s\n", address, p.Phase, p.For/1000, p.Why)
	fmt.Fprintf(to, "  start %d, order %d, empty %t, %d links, %d turned away in the last second\n", s.Boot,
		s.Order, s.Lame, s.Links, s.Waiting)
	fmt.Fprintf(to, "  list told by discovery %t, %d of %d servers cold, this relay's part of what they bear %.3f\n",
		p.ListTold, s.Cold, s.Usable, p.Part)
	if s.Disk != "" {
		fmt.Fprintf(to, "  disk: %s\n", s.Disk)
	}
	if s.Ahead != 0 {
		fmt.Fprintf(to, "  its time is %.1f s ahead of the fleet's\n", s.Ahead/1000)
	}
	if s.Twin {
		fmt.Fprintln(to, "  ANOTHER PROCESS SERVES UNDER THIS RELAY'S NAME")
	}
	if h := s.Holdings; h != nil {
		n := h.Counts["places"]
		fmt.Fprintf(to, "  holds %d places, %d marks and %d orders for others; enough relays for a promise %t\n",
			h.Held["places"], h.Held["marks"], h.Held["orders"], h.Able)
		fmt.Fprintf(to, "  places held by others %d, not in time %d; taken %d, used before %d, not got in time %d\n",
			n.Promised, n.Refused, n.Took, n.Again, n.Missed)
		n = h.Counts["marks"]
		fmt.Fprintf(to, "  tries marked at others %d, not in time %d; clients' further tries that met a mark %d\n",
			n.Promised, n.Refused, n.Took)
		fmt.Fprintf(to, "  the latest words took %.1f ms to be held in the middle, %.1f ms at p99\n", h.P50, h.P99)
	}
	for _, line := range p.Took {
		fmt.Fprintf(to, "  believed: %s\n", line)
	}
	for _, line := range p.Left {
		fmt.Fprintf(to, "  left out: %s\n", line)
	}
	w := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	for _, m := range s.Members {
		fmt.Fprintf(w, "  %s\t%s\t%s\tstart %d\tup %.0f s\theard %.1f s ago\tzone %s\tlist %d\t%d links\n",
			m.Name, m.State, m.Phase, m.Boot, m.Age/1000, m.Quiet/1000, m.Zone, m.List, m.Links)
	}
	w.Flush()
}
