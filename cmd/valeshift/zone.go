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

// zoneCommand passes its words on to zoneLine, whose fields are read only then: each start of the relay
// would pay for them by a twentieth of its CPU.
type zoneCommand struct {
	Words []string `arg:"" name:"words" optional:"" help:"What to do, and flags: docs/council.md tells."`
}

// Run reads the words, and does what they say.
func (c *zoneCommand) Run() error {
	return words(&zoneLine{}, "valeshift zone", c.Words)
}

type zoneLine struct {
	Do      string        `arg:"" name:"do" enum:"status,history,empty,return,hold" help:"What is to be done."`
	Zone    string        `arg:"" name:"zone" optional:"" help:"The zone that is ordered."`
	Council []string      `name:"council" required:"" placeholder:"ADDRESS" help:"Where operators call a voter, each."`
	Reason  string        `name:"reason" help:"Why it is ordered."`
	Who     string        `name:"who" env:"USER" help:"Who orders it."`
	For     time.Duration `name:"for" help:"When the order ends. 0: with the next."`
	Force   bool          `name:"force" help:"Also where no zone is left to serve."`
	ID      string        `name:"id" help:"Of the order: given again under it, it is one order."`
}

var errNobody = errors.New("no voter that was asked leads")

// Run asks the voters, or has whoever leads take an order.
func (c *zoneLine) Run() error {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if c.Do == "status" || c.Do == "history" {
		return c.show(client)
	}
	if c.Zone == "" {
		return errors.New("which zone?")
	}
	o := failover.OperatorOrder{ID: c.ID, Zone: c.Zone, Action: failover.OrderAction(c.Do), Reason: c.Reason, IssuedBy: c.Who, Force: c.Force}
	if o.ID == "" {
		o.ID = rand.Text()
	}
	if c.For > 0 {
		o.ExpiresAt = float64(time.Now().Add(c.For).UnixMilli())
	}
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	err = errNobody
	for _, address := range c.Council {
		answer, failed := client.Post("http://"+address+"/order", "application/json", bytes.NewReader(body))
		if failed != nil {
			err = fmt.Errorf("%w; %v", err, failed)
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
		answer.Body.Close()
		switch answer.StatusCode {
		case http.StatusOK:
			var e failover.Decision
			if err := json.Unmarshal(text, &e); err != nil {
				return err
			}
			fmt.Printf("decision %d, order %s\n", e.Number, o.ID)
			zones(e.Zones)
			return nil
		case http.StatusMisdirectedRequest:
		default: // it may hold all the same: under its ID it can be asked again
			return fmt.Errorf("order %s: %s", o.ID, strings.TrimSpace(string(text)))
		}
	}
	return err
}

// show takes the word of whoever leads; without one, of each for itself.
func (c *zoneLine) show(client *http.Client) error {
	type status struct {
		Me struct {
			Name string `json:"Name"`
		} `json:"Me"`
		Leads  bool                     `json:"Leads"`
		Leader string                   `json:"Leader"`
		Role   string                   `json:"Role"`
		Aside  string                   `json:"Aside"`
		Number uint64                   `json:"Number"`
		Zones  []failover.Zone          `json:"Zones"`
		Orders []failover.OperatorOrder `json:"Orders"`
	}
	led := false
	for _, address := range c.Council {
		var s status
		if err := get(client, address, "/status", &s); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", address, err)
			continue
		}
		fmt.Printf("%s  %s: %s, leads %t, decision %d%s\n", address, s.Me.Name, s.Role, s.Leads, s.Number, s.Aside)
		if led = led || s.Leads; !s.Leads {
			continue
		}
		if c.Do == "history" {
			var all []failover.Decision
			if err := get(client, address, "/history", &all); err != nil {
				return err
			}
			for _, e := range all {
				at := time.UnixMilli(int64(e.ProposedAt)).UTC().Format(time.RFC3339)
				if e.Rejection != "" {
					e.Cause += failover.Cause("; refused: " + e.Rejection)
				}
				fmt.Printf("  %d  %s  %s\n", e.Number, at, e.Cause)
			}
			continue
		}
		zones(s.Zones)
		for _, o := range s.Orders {
			fmt.Printf("  order %s: %s %s by %s: %s\n", o.ID, o.Action, o.Zone, o.IssuedBy, o.Reason)
		}
	}
	if !led {
		return errNobody
	}
	return nil
}

func get(client *http.Client, address, path string, into any) error {
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(io.LimitReader(answer.Body, 8<<20)).Decode(into)
}

func zones(all []failover.Zone) {
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	for _, z := range all {
		to := ""
		for _, p := range z.Diversions {
			to += fmt.Sprintf(" %s %.2f", p.Zone, p.Fraction)
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%.2f\tto%s\t%s\n", z.Name, z.Region, z.State, z.Share, to, z.Reason)
	}
	w.Flush()
}
