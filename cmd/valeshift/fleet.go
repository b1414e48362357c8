package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"valeshift/internal/fleet"
)

// fleetCommand is "valeshift fleet". It parses its own arguments, for the reason given at zoneCommand.
type fleetCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"Addresses, or leave and one: docs/recovery.md tells."`
}

// Run parses the arguments and runs the subcommand that they name.
func (c *fleetCommand) Run() error {
	var subcommands struct {
		Show  fleetShow  `cmd:"" name:"show" default:"withargs" help:"What relays store, and what they know of each other."`
		Leave fleetLeave `cmd:"" name:"leave" help:"Drain a relay, and say when it can be switched off."`
	}
	return runSubcommand(&subcommands, "valeshift fleet", c.Words)
}

// fleetShow prints the status of relays.
type fleetShow struct {
	Addresses []string      `arg:"" name:"addresses" help:"Where operators call the relays, address:port each."`
	JSON      bool          `name:"json" help:"Print what each relay answers, as it is."`
	Within    time.Duration `name:"within" default:"1s" help:"How long a relay's answer is waited for."`
}

// errNotAllAnswered is returned when the status of at least one relay could not be fetched.
var errNotAllAnswered = errors.New("not all relays have answered")

// Run prints the status of each relay that answers, and returns an error if any of them does not.
func (c *fleetShow) Run() error {
	client := newAdminClient(c.Within)
	var failure error
	for _, address := range c.Addresses {
		var status fleet.Status
		text, err := fetchJSON(client, address, "/_fleet", &status)
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "valeshift fleet: %s: %v\n", address, err)
			failure = errNotAllAnswered
		case c.JSON:
			fmt.Printf("%s\n", text)
		default:
			printFleetStatus(os.Stdout, address, &status)
		}
	}
	return failure
}

// fleetLeave drains a relay.
type fleetLeave struct {
	Address string        `arg:"" name:"address" help:"Where operators call the relay, address:port."`
	Within  time.Duration `name:"within" default:"60s" help:"How long it has for it. It goes on after that as well."`
	Every   time.Duration `name:"every" default:"500ms" hidden:""`
}

// drainCallTimeout bounds each HTTP call to a draining relay, which answers an order only once it is durable.
const drainCallTimeout = 3 * time.Second

// Run orders the relay to drain, and waits until nothing depends on it any more: it has no established session, and
// stores no record for other relays.
func (c *fleetLeave) Run() error {
	client := newAdminClient(drainCallTimeout)
	answer, err := c.orderDrain(client)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Within)
	printed := ""
	for {
		status, err := c.fetchDraining(client, answer)
		if err != nil {
			return err
		}
		remaining := countDependents(status)
		if remaining.isEmpty() {
			fmt.Printf("%s: nothing depends on it any more: it can be switched off\n", c.Address)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s; the relay goes on draining", remaining)
		}
		if text := remaining.String(); text != printed {
			fmt.Printf("%s: %s\n", c.Address, text)
			printed = text
		}
		time.Sleep(c.Every)
	}
}

// orderDrain sends the order to drain, and returns the body of the answer. An answer other than 200 is printed and not
// treated as an error: the order may be in effect all the same, and only not be durable yet.
func (c *fleetLeave) orderDrain(client *http.Client) ([]byte, error) {
	answer, err := client.Post("http://"+c.Address+"/_lameduck/on", "", nil)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes)) // whatever part of the body arrived is used
	text = bytes.TrimSpace(text)
	if answer.StatusCode != http.StatusOK {
		fmt.Printf("%s: %s\n", c.Address, text)
	}
	return text, nil
}

// fetchDraining fetches the relay's status, and returns an error if the relay is not draining; that error quotes
// answer, which is the relay's answer to the order.
func (c *fleetLeave) fetchDraining(client *http.Client, answer []byte) (*fleet.Status, error) {
	var status fleet.Status
	if _, err := fetchJSON(client, c.Address, "/_fleet", &status); err != nil {
		return nil, fmt.Errorf("the relay was ordered to drain, but its status can't be fetched: %w", err)
	}
	if !status.Draining {
		return nil, fmt.Errorf("the relay is not draining: %s", answer)
	}
	return &status, nil
}

// dependents counts what still depends on a draining relay.
type dependents struct {
	sessions int // established sessions
	records  int // records stored for other relays
}

// countDependents reads the counts from a relay's status.
func countDependents(s *fleet.Status) dependents {
	count := dependents{sessions: s.Sessions}
	if s.Replication != nil {
		for _, kind := range s.Replication.Kinds {
			count.records += kind.Stored
		}
	}
	return count
}

func (d dependents) isEmpty() bool { return d == dependents{} }

// String returns the counts as a message to the operator.
func (d dependents) String() string {
	return fmt.Sprintf("%d sessions and %d records of others are left", d.sessions, d.records)
}

// printFleetStatus prints a relay's status in a readable form.
func printFleetStatus(to io.Writer, address string, s *fleet.Status) {
	printRelay(to, address, s)
	printReplication(to, s.Replication)
	for _, line := range s.Recovery.Accepted {
		fmt.Fprintf(to, "  accepted: %s\n", line)
	}
	for _, line := range s.Recovery.Discarded {
		fmt.Fprintf(to, "  discarded: %s\n", line)
	}
	printMembers(to, s.Members)
}

// printRelay prints the part of the status that is about the relay itself.
func printRelay(to io.Writer, address string, s *fleet.Status) {
	recovery := s.Recovery
	fmt.Fprintf(to, "%s  %s for %.1f s: %s\n", address, recovery.Phase, recovery.PhaseMillis/1000, recovery.Reason)
	fmt.Fprintf(to, "  start %d, order %d, draining %t, %d sessions, %d rejected in the last second\n", s.Boot,
		s.Order, s.Draining, s.Sessions, s.RejectedLastSecond)
	fmt.Fprintf(to, "  list confirmed by discovery %t, %d of %d backends warming up, this relay's share of their capacity %.3f\n",
		recovery.EndpointsConfirmed, s.WarmingUp, s.Usable, recovery.CapacityShare)
	if s.DiskFault != "" {
		fmt.Fprintf(to, "  disk: %s\n", s.DiskFault)
	}
	if s.AheadMillis != 0 {
		fmt.Fprintf(to, "  its clock is %.1f s ahead of the fleet's\n", s.AheadMillis/1000)
	}
	if s.HasDuplicate {
		fmt.Fprintln(to, "  ANOTHER PROCESS SERVES UNDER THIS RELAY'S NAME")
	}
}

// printReplication prints how many records the relay stores for others, and how replication of its own records went.
// It prints nothing where replication is off.
func printReplication(to io.Writer, s *fleet.ReplicationStatus) {
	if s == nil {
		return
	}
	fmt.Fprintf(to, "  stores %d reservations, %d attempt markers and %d orders for others; enough relays to replicate %t\n",
		s.Kinds["places"].Stored, s.Kinds["marks"].Stored, s.Kinds["orders"].Stored, s.HasEnoughMembers)
	reservations := s.Counts["places"]
	fmt.Fprintf(to, "  reservations replicated %d, not in time %d; used %d, used before %d, not found in time %d\n",
		reservations.Replicated, reservations.NotReplicated, reservations.Found, reservations.AlreadyUsed,
		reservations.Missed)
	markers := s.Counts["marks"]
	fmt.Fprintf(to, "  attempts marked %d, not in time %d; retries that met a marker %d\n",
		markers.Replicated, markers.NotReplicated, markers.Found)
	fmt.Fprintf(to, "  replication latency: p50 %.1f ms, p99 %.1f ms\n", s.P50Millis,
		s.P99Millis)
}

// printMembers prints the other members of the fleet as this relay sees them.
func printMembers(to io.Writer, members []fleet.MemberStatus) {
	table := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	for _, m := range members {
		fmt.Fprintf(table, "  %s\t%s\t%s\tstart %d\tup %.0f s\theard %.1f s ago\tzone %s\tlist %d\t%d sessions\n",
			m.Name, m.State, m.Phase, m.Boot, m.AgeMillis/1000, m.SilentMillis/1000, m.Zone, m.EndpointsVersion,
			m.Sessions)
	}
	table.Flush()
}
