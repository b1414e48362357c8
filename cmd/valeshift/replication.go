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

// replicationCommand is "valeshift holdings". It parses its own arguments, for the reason given at zoneCommand.
type replicationCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"Addresses, or export or verify and addresses: docs/replication.md."`
}

// Run parses the arguments and runs the subcommand that they name.
func (c *replicationCommand) Run() error {
	var subcommands struct {
		Show   replicationSummary `cmd:"" name:"show" default:"withargs" help:"How many records of each kind relays store, and how far they are replicated."`
		Export replicationExport  `cmd:"" name:"export" help:"Each record that relays store, as a line of JSON."`
		Verify replicationVerify  `cmd:"" name:"verify" help:"Compare the records that relays store, and fail where they contradict each other."`
	}
	return runSubcommand(&subcommands, "valeshift holdings", c.Words)
}

// relayAddresses has the arguments that show, export and verify share.
type relayAddresses struct {
	Addresses []string      `arg:"" name:"addresses" help:"Where operators call the relays, address:port each."`
	Within    time.Duration `name:"within" default:"3s" help:"How long an answer is waited for."`
}

// fetch reads a JSON document from a relay's admin API.
func (a *relayAddresses) fetch(address, path string, into any) error {
	if _, err := fetchJSON(newAdminClient(a.Within), address, path, into); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// fetchStatus returns a relay's replication status, or an error if replication is off there.
func (a *relayAddresses) fetchStatus(address string) (*fleet.ReplicationStatus, error) {
	var status fleet.Status
	if err := a.fetch(address, "/_fleet", &status); err != nil {
		return nil, err
	}
	if status.Replication == nil {
		return nil, fmt.Errorf("%s: replication is off, as its operators' file sets no holdings.copies", address)
	}
	return status.Replication, nil
}

// forEachPage fetches all records that a relay stores, one page per partition, and calls visit with each page.
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

// replicationSummary is "valeshift holdings show", the default.
type replicationSummary struct {
	relayAddresses
}

// Run prints the sums over all relays.
func (c *replicationSummary) Run() error {
	statusByKind := map[string]replication.KindStatus{}
	countsByKind := map[string]replication.Counts{}
	for _, address := range c.Addresses {
		status, err := c.fetchStatus(address)
		if err != nil {
			return err
		}
		if !status.HasEnoughMembers {
			fmt.Printf("%s: not enough relays to replicate\n", address)
		}
		for kind, addend := range status.Kinds {
			sum := statusByKind[kind]
			sum.Add(addend)
			statusByKind[kind] = sum
		}
		for kind, addend := range status.Counts {
			sum := countsByKind[kind]
			sum.Add(addend)
			countsByKind[kind] = sum
		}
	}
	return printSummary(os.Stdout, statusByKind, countsByKind)
}

// printSummary prints a table with a row for each kind of record. docs/replication.md explains its columns.
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

// replicationExport is "valeshift holdings export".
type replicationExport struct {
	relayAddresses
}

// exportedRecord is one line of the export: a stored record and where it is stored.
type exportedRecord struct {
	Relay string `json:"Holder"` // name of the relay that stores the record
	replication.RecordSnapshot
}

// Run prints each record that the relays store, as a line of JSON.
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

// exportPage writes the records of a page, one line each.
func exportPage(out *json.Encoder, page *replication.Page) error {
	for _, record := range page.Records {
		if err := out.Encode(exportedRecord{page.Relay, record}); err != nil {
			return fmt.Errorf("write record: %w", err)
		}
	}
	return nil
}

// replicationVerify is "valeshift holdings verify".
type replicationVerify struct {
	relayAddresses
}

// errNotVerified is returned when all relays have answered and their records don't pass the check.
var errNotVerified = errors.New("records contradict each other or are below their quorum")

// Run prints how far records are replicated. It returns an error if records contradict each other, or if one is stored
// on fewer relays than its quorum.
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
	failed := false
	for _, kind := range slices.Sorted(maps.Keys(reports)) {
		report := reports[kind]
		printReport(os.Stdout, kind, report)
		failed = failed || len(report.Inconsistencies) > 0 || report.BelowQuorum > 0
	}
	if failed {
		return errNotVerified
	}
	return nil
}

// printReport prints the counts for one kind of record, and its inconsistencies.
func printReport(to io.Writer, kind string, report *replication.Report) {
	fmt.Fprintf(to, "%s: %d open, %d whole, %d under-copied, %d short, %d with holders that were not asked\n", kind,
		report.Records, report.FullyReplicated, report.UnderReplicated, report.BelowQuorum, report.Unknown)
	for _, inconsistency := range report.Inconsistencies {
		fmt.Fprintln(to, "  WRONG:", inconsistency)
	}
}
