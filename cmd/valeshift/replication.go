package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"valeshift/internal/fleet"
	"valeshift/internal/replication"
)

// replicationCommand passes its words on, as zoneCommand does.
type replicationCommand struct {
	Words []string `arg:"" optional:"" help:"Addresses, or export or verify and some: docs/holdings.md."`
}

// Run reads the words, and does what they say.
func (c *replicationCommand) Run() error {
	var l struct {
		Show   replicationSummary `cmd:"" default:"withargs" help:"How many of each kind relays hold, and how whole that is."`
		Export replicationExport  `cmd:"" help:"Each record that relays hold, as a line of JSON."`
		Verify replicationVerify  `cmd:"" help:"Hold what relays have against each other."`
	}
	return words(&l, "valeshift holdings", c.Words)
}

type relayAddresses struct {
	Addresses []string      `arg:"" help:"Where operators call the relays, address:port each."`
	Within    time.Duration `default:"3s" help:"How long an answer is waited for."`
}

type replicationSummary struct {
	relayAddresses
}

// Run sums what the relays say.
func (c *replicationSummary) Run() error {
	standing, counts := map[string]replication.KindStatus{}, map[string]replication.Counts{}
	for _, address := range c.Addresses {
		var s fleet.Status
		if _, err := ask(calls(c.Within), address, "/_fleet", &s); err != nil {
			return fmt.Errorf("%s: %w", address, err)
		}
		if s.Replication == nil {
			return fmt.Errorf("%s: it holds nothing for others, as its operators' file names no copies", address)
		}
		if !s.Replication.HasEnoughMembers {
			fmt.Printf("%s: not enough relays for a promise\n", address)
		}
		for kind, k := range s.Replication.Kinds {
			sum := standing[kind]
			sum.Stored, sum.Open, sum.UnderReplicated, sum.BelowQuorum = sum.Stored+k.Stored, sum.Open+k.Open, sum.UnderReplicated+k.UnderReplicated,
				sum.BelowQuorum+k.BelowQuorum
			standing[kind] = sum
		}
		for kind, k := range s.Replication.Counts {
			sum := counts[kind]
			sum.Add(k)
			counts[kind] = sum
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tcopies\topen\tunder-copied\tshort\tpromised\trefused\tfull\tsought\tfound\tused before\tmissed\t")
	for _, kind := range sorted(counts) {
		s, n := standing[kind], counts[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", kind, s.Stored, s.Open, s.UnderReplicated, s.BelowQuorum,
			n.Replicated, n.NotReplicated, n.RejectedFull, n.Lookups, n.Found, n.AlreadyUsed, n.Missed)
	}
	return w.Flush()
}

func sorted[T any](of map[string]T) (all []string) {
	for kind := range of {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// readPages reads all that a relay holds.
func (c *relayAddresses) readPages(address string, take func(p *replication.Page) error) error {
	for part := range replication.Partitions {
		var p replication.Page
		if _, err := ask(calls(c.Within), address, fmt.Sprintf("/_holdings?part=%d", part), &p); err != nil {
			return fmt.Errorf("%s: %w", address, err)
		}
		if err := take(&p); err != nil {
			return err
		}
	}
	return nil
}

type replicationExport struct {
	relayAddresses
}

// Run writes out each record.
func (c *replicationExport) Run() error {
	out := json.NewEncoder(os.Stdout)
	for _, address := range c.Addresses {
		if err := c.readPages(address, func(p *replication.Page) error {
			for _, r := range p.Records {
				if err := out.Encode(struct {
					Holder string `json:"Holder"`
					replication.RecordSnapshot
				}{p.Relay, r}); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

type replicationVerify struct {
	relayAddresses
}

// Run says how whole copies are, and fails where something contradicts itself or is not whole.
func (c *replicationVerify) Run() error {
	var all []replication.Page
	for _, address := range c.Addresses {
		if err := c.readPages(address, func(p *replication.Page) error { all = append(all, *p); return nil }); err != nil {
			return err
		}
	}
	found, bad := replication.Verify(all), 0
	for _, kind := range sorted(found) {
		f := found[kind]
		fmt.Printf("%s: %d open, %d whole, %d under-copied, %d short, %d with holders that were not asked\n", kind,
			f.Records,
			f.FullyReplicated, f.UnderReplicated, f.BelowQuorum, f.Unknown)
		for _, what := range f.Inconsistencies {
			fmt.Println("  WRONG:", what)
		}
		bad += len(f.Inconsistencies) + f.BelowQuorum
	}
	if bad > 0 {
		return errors.New("not all is as it was promised")
	}
	return nil
}
