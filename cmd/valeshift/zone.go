package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"valeshift/internal/failover"
)

const (
	coordinatorTimeout = 4 * time.Second // time limit of one call to a coordinator
	maxOrderAnswer     = 1 << 20         // most bytes read of the answer to an order
	maxStatusAnswer    = 8 << 20         // most bytes read of a status or a history
)

// zoneCommand is "valeshift zone". It hands its words to zoneArguments, whose fields kong inspects only then: as part
// of commandLine they would add a twentieth to the CPU time of each start of the relay.
type zoneCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"What to do, and flags: docs/coordinator.md tells."`
}

// Run parses the words and runs the action that they name.
func (c *zoneCommand) Run() error {
	return runSubcommand(&zoneArguments{}, "valeshift zone", c.Words)
}

// zoneArguments is the command line of `valeshift zone`. Action is showStatus, showHistory or one of failover's order
// actions.
type zoneArguments struct {
	Action       string        `arg:"" name:"do" enum:"status,history,empty,return,hold" help:"What to do."`
	Zone         string        `arg:"" name:"zone" optional:"" help:"The zone that the order is for."`
	Coordinators []string      `name:"council" required:"" placeholder:"ADDRESS" help:"Coordinators' admin addresses."`
	Reason       string        `name:"reason" help:"Why the order is given."`
	IssuedBy     string        `name:"who" env:"USER" help:"Who gives the order."`
	Duration     time.Duration `name:"for" help:"How long the order holds. 0: until another replaces it."`
	Force        bool          `name:"force" help:"Apply the order even if it leaves no zone that serves."`
	OrderID      string        `name:"id" help:"ID of the order: sent again under its ID, it is applied once."`
}

// The values of zoneArguments.Action that give no order.
const (
	showStatus  = "status"
	showHistory = "history"
)

var (
	errNoLeader = errors.New("none of the coordinators that were asked is the leader")
	errNoZone   = errors.New("an order needs a zone")
)

// Run prints the status or the history, or sends an order.
func (a *zoneArguments) Run() error {
	client := &http.Client{
		Timeout:   coordinatorTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	if a.Action == showStatus || a.Action == showHistory {
		return a.show(client)
	}
	return a.sendOrder(client)
}

// order returns the order that the arguments describe, with a random ID if none was given.
func (a *zoneArguments) order() failover.OperatorOrder {
	order := failover.OperatorOrder{
		ID:       a.OrderID,
		Zone:     a.Zone,
		Action:   failover.OrderAction(a.Action),
		Reason:   a.Reason,
		IssuedBy: a.IssuedBy,
		Force:    a.Force,
	}
	if order.ID == "" {
		order.ID = rand.Text()
	}
	if a.Duration > 0 {
		order.ExpiresAt = float64(time.Now().Add(a.Duration).UnixMilli())
	}
	return order
}

// sendOrder sends the order to each coordinator in turn until the leader answers, and prints its decision. Coordinators
// that can't be reached, or don't lead, are skipped.
func (a *zoneArguments) sendOrder(client *http.Client) error {
	if a.Zone == "" {
		return errNoZone
	}
	order := a.order()
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	failure := errNoLeader
	for _, address := range a.Coordinators {
		decision, err := postOrder(client, address, body)
		var refused *orderError
		switch {
		case err == nil:
			fmt.Printf("decision %d, order %s\n", decision.Number, order.ID)
			printZones(decision.Zones)
			return nil
		case errors.As(err, &refused):
			return fmt.Errorf("order %s: %w", order.ID, err)
		case !errors.Is(err, errNoLeader):
			failure = fmt.Errorf("%w; %v", failure, err)
		}
	}
	return failure
}

// orderError is the leader's answer to an order that it has not decided on, or has rejected. The order may take effect
// all the same, and can be sent again under its ID.
type orderError struct{ answer string }

// Error returns the leader's answer.
func (e *orderError) Error() string { return e.answer }

// postOrder sends the order to one coordinator. The error is errNoLeader if the coordinator does not lead, an
// *orderError if it did not decide, and any other if it can't be reached.
func postOrder(client *http.Client, address string, body []byte) (decision failover.Decision, err error) {
	response, err := client.Post("http://"+address+"/order", "application/json", bytes.NewReader(body))
	if err != nil {
		return decision, err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswer))
	switch response.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(text, &decision); err != nil {
			return decision, &orderError{answer: fmt.Sprintf("read the decision: %v", err)}
		}
		return decision, nil
	case http.StatusMisdirectedRequest:
		return decision, errNoLeader
	default:
		return decision, &orderError{answer: strings.TrimSpace(string(text))}
	}
}

// coordinatorStatus has the fields of a coordinator's status that this command prints.
type coordinatorStatus struct {
	Self struct {
		Name string `json:"Name"`
	} `json:"Me"`
	HasLease            bool                     `json:"Leads"`
	Role                string                   `json:"Role"`
	DiskDiscardedReason string                   `json:"Aside"`
	DecisionNumber      uint64                   `json:"Number"`
	Zones               []failover.Zone          `json:"Zones"`
	Orders              []failover.OperatorOrder `json:"Orders"`
}

// show prints a line for each coordinator, followed for the leader by the zones and orders, or by the history of
// decisions. It returns errNoLeader if none of them leads.
func (a *zoneArguments) show(client *http.Client) error {
	leaderFound := false
	for _, address := range a.Coordinators {
		var status coordinatorStatus
		if err := getJSON(client, address, "/status", &status); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", address, err)
			continue
		}
		fmt.Printf("%s  %s: %s, leads %t, decision %d%s\n", address, status.Self.Name, status.Role,
			status.HasLease, status.DecisionNumber, status.DiskDiscardedReason)
		if !status.HasLease {
			continue
		}
		leaderFound = true
		if a.Action == showHistory {
			if err := printHistory(client, address); err != nil {
				return err
			}
			continue
		}
		printZones(status.Zones)
		printOrders(status.Orders)
	}
	if !leaderFound {
		return errNoLeader
	}
	return nil
}

func printHistory(client *http.Client, address string) error {
	var history []failover.Decision
	if err := getJSON(client, address, "/history", &history); err != nil {
		return err
	}
	for _, decision := range history {
		at := time.UnixMilli(int64(decision.ProposedAt)).UTC().Format(time.RFC3339)
		text := decision.Cause.String()
		if decision.Rejection != "" {
			text += "; refused: " + decision.Rejection
		}
		fmt.Printf("  %d  %s  %s\n", decision.Number, at, text)
	}
	return nil
}

func printZones(zones []failover.Zone) {
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	for _, zone := range zones {
		diversions := ""
		for _, diversion := range zone.Diversions {
			diversions += fmt.Sprintf(" %s %.2f", diversion.Zone, diversion.Fraction)
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%.2f\tto%s\t%s\n", zone.Name, zone.Region, zone.State, zone.Share, diversions,
			zone.Reason)
	}
	w.Flush()
}

func printOrders(orders []failover.OperatorOrder) {
	for _, order := range orders {
		fmt.Printf("  order %s: %s %s by %s: %s\n", order.ID, order.Action, order.Zone, order.IssuedBy, order.Reason)
	}
}

// getJSON decodes a JSON document from a coordinator's admin API into a value.
func getJSON(client *http.Client, address, path string, into any) error {
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusAnswer)).Decode(into); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
