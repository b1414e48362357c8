package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Endpoint is a backend as the endpoint list has it.
type Endpoint struct {
	Name      string  `json:"Name"`
	Address   string  `json:"Address"`
	Zone      string  `json:"Zone"`
	Status    string  `json:"Status"` // one of those below, or the endpoint is invalid
	Group     int     `json:"Group"`
	Weight    float64 `json:"Weight"`
	StartedAt float64 `json:"Since"` // in Unix milliseconds
	Invalid   string  `json:"Bad"`   // why the endpoint can't be used: only its name counts then
}

// What discovery says of an endpoint.
const (
	EndpointActive  = "active"
	EndpointLeaving = "leaving" // it drains
	EndpointLeft    = "left"
)

// EndpointUpdate is the endpoint list, or the changes of it.
type EndpointUpdate struct {
	Index         uint64     `json:"Index"` // the list's version
	Complete      bool       `json:"Whole"` // endpoints that it doesn't have have left
	Endpoints     []Endpoint `json:"Entries"`
	DiscoveryTime float64    `json:"-"` // discovery's clock in Unix milliseconds; 0: not told
}

// listMessage is the form in which discovery sends the list.
type listMessage struct {
	Index     *uint64           `json:"index"`
	Snapshot  *bool             `json:"snapshot"`
	Endpoints []endpointMessage `json:"endpoints"`
}

type endpointMessage struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Status  string   `json:"status"`
	Group   int      `json:"group"`
	Weight  *float64 `json:"weight"` // 1 where it is missing
	Since   float64  `json:"since_ms"`
}

func parseEndpointUpdate(text []byte) (*EndpointUpdate, error) {
	var message listMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if message.Index == nil || message.Snapshot == nil || message.Endpoints == nil {
		return nil, errors.New("list: index, snapshot and endpoints expected")
	}
	update := &EndpointUpdate{Index: *message.Index, Complete: *message.Snapshot}
	for i := range message.Endpoints {
		update.Endpoints = append(update.Endpoints, message.Endpoints[i].endpoint())
	}
	return update, nil
}

// endpoint returns the endpoint, marked where it can't be used: one bad entry must not take the others out, and what was
// known of it stays.
func (m *endpointMessage) endpoint() Endpoint {
	endpoint := Endpoint{
		Name:      m.Name,
		Address:   m.Address,
		Zone:      m.Zone,
		Status:    m.Status,
		Group:     m.Group,
		Weight:    1,
		StartedAt: m.Since,
	}
	if m.Weight != nil {
		endpoint.Weight = *m.Weight
	}
	endpoint.Invalid = endpoint.validate()
	return endpoint
}

// validate returns why the endpoint can't be used; empty where it can.
func (e *Endpoint) validate() string {
	if e.Name == "" {
		return "a name expected"
	}
	switch e.Status {
	case EndpointLeft:
		return ""
	case EndpointActive, EndpointLeaving:
	default:
		return fmt.Sprintf("status %q is not known", e.Status)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Sprintf("address:port expected, got %q", e.Address)
	}
	return ""
}
