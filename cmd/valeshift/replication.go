package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"valeshift/internal/fleet"
	"valeshift/internal/replication"
)

// replicationCommand is "valeshift holdings". It parses its arguments by itself, as zoneCommand does.
type replicationCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"Addresses, or export or verify and addresses: docs/replication.md."`
}

// Run runs the subcommand.
func (c *replicationCommand) Run() error {
	var subcommands struct {
		Show   replicationSummary `cmd:"" name:"show" default:"withargs" help:"How many records of each kind relays store, and how far they are replicated."`
		Export replicationExport  `cmd:"" name:"export" help:"Each record that relays store, as a line of JSON."`
		Verify replicationVerify  `cmd:"" name:"verify" help:"Compare the records that relays store, and fail where they contradict each other."`
	}
	return runSubcommand(&subcommands, "valeshift holdings", c.Words)
}

// relayAddresses are the arguments of all subcommands.
type relayAddresses struct {
	Addresses []string      `arg:"" name:"addresses" help:"Where operators call the relays, address:port each."`
	Within    time.Duration `name:"within" default:"3s" help:"How long an answer is waited for."`
}

// fetch reads a JSON document from a relay.
func (a *relayAddresses) fetch(address, path string, into any) error {
	if _, err := fetchJSON(newAdminClient(a.Within), address, path, into); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// fetchStatus reads a relay's replication status. It fails where replication is off.
func (a *relayAddresses) fetchStatus(address string) (*fleet.ReplicationStatus, error) {
	var status fleet.Status
	if err := a.fetch(address, "/_fleet", &status); err != nil {
		return nil, err
	}
	if status.Replication == nil {
		return nil, fmt.Errorf("%s: it replicates nothing, as its operators' file names no copies", address)
	}
	return status.Replication, nil
}

// forEachPage reads all records that a relay stores, and calls visit with each page as it comes.
func (a *relayAddresses) forEachPage(address string, visit func(page *replication.Page) error) error {
	for partition := range replication.Partitions {
		var page replication.Page
		if err := a.fetch(address, fmt.Sprintf("/_holdings?part=%d", partition), &page); err != nil {
			return err
		}
		if err := visit(&page); err != nil {
			return err
		}
	}
	return nil
}

// replicationSummary is the subcommand show.
type replicationSummary struct {
	relayAddresses
}

// Run prints the sums over all relays.
func (c *replicationSummary) Run() error {
	statuses := map[string]replication.KindStatus{}
	counts := map[string]replication.Counts{}
	for _, address := range c.Addresses {
		status, err := c.fetchStatus(address)
		if err != nil {
			return err
		}
		if !status.HasEnoughMembers {
			fmt.Printf("%s: not enough relays to replicate\n", address)
		}
		for kind, one := range status.Kinds {
			sum := statuses[kind]
			sum.Add(one)
			statuses[kind] = sum
		}
		for kind, one := range status.Counts {
			sum := counts[kind]
			sum.Add(one)
			counts[kind] = sum
		}
	}
	return printSummary(os.Stdout, statuses, counts)
}

// printSummary prints a line for each kind. Its columns are explained in docs/replication.md.
func printSummary(to io.Writer, statuses map[string]replication.KindStatus,
	counts map[string]replication.Counts) error {
	table := tabwriter.NewWriter(to, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tcopies\topen\tunder-copied\tshort\tpromised\trefused\tfull\tsought\tfound\tused before\tmissed\t")
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		status := statuses[kind]
		count := counts[kind]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t", kind, status.Stored, status.Open, status.UnderReplicated,
			status.BelowQuorum)
		fmt.Fprintf(table, "%d\t%d\t%d\t", count.Replicated, count.NotReplicated, count.RejectedFull)
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t\n", count.Lookups, count.Found, count.AlreadyUsed, count.Missed)
	}
	return table.Flush()
}

// replicationExport is the subcommand export.
type replicationExport struct {
	relayAddresses
}

// exportedRecord is a line of the export.
type exportedRecord struct {
	Relay string `json:"Holder"` // that stores the record
	replication.RecordSnapshot
}

// Run prints each record.
func (c *replicationExport) Run() error {
	out := json.NewEncoder(os.Stdout)
	for _, address := range c.Addresses {
		err := c.forEachPage(address, func(page *replication.Page) error { return exportPage(out, page) })
		if err != nil {
			return err
		}
	}
	return nil
}

func exportPage(out *json.Encoder, page *replication.Page) error {
	for _, record := range page.Records {
		if err := out.Encode(exportedRecord{page.Relay, record}); err != nil {
			return fmt.Errorf("writing a record: %w", err)
		}
	}
	return nil
}

// replicationVerify is the subcommand verify.
type replicationVerify struct {
	relayAddresses
}

// errNotVerified is the failure of verify where the relays have answered.
var errNotVerified = errors.New("records contradict each other or are below their quorum")

// Run prints how far records are replicated. It fails where something contradicts itself, or a record is below its
// quorum.
func (c *replicationVerify) Run() error {
	var pages []replication.Page
	for _, address := range c.Addresses {
		err := c.forEachPage(address, func(page *replication.Page) error {
			pages = append(pages, *page)
			return nil
		})
		if err != nil {
			return err
		}
	}
	reports := replication.Verify(pages)
	isBroken := false
	for _, kind := range slices.Sorted(maps.Keys(reports)) {
		report := reports[kind]
		printReport(os.Stdout, kind, report)
		isBroken = isBroken || len(report.Inconsistencies) > 0 || report.BelowQuorum > 0
	}
	if isBroken {
		return errNotVerified
	}
	return nil
}

func printReport(to io.Writer, kind string, report *replication.Report) {
	fmt.Fprintf(to, "%s: %d open, %d whole, %d under-copied, %d short, %d with holders that were not asked\n", kind,
		report.Records, report.FullyReplicated, report.UnderReplicated, report.BelowQuorum, report.Unknown)
	for _, inconsistency := range report.Inconsistencies {
		fmt.Fprintln(to, "  WRONG:", inconsistency)
	}
}
