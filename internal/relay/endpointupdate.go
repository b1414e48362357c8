package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Endpoint is one backend's entry in the endpoint list.
type Endpoint struct {
	Name      string  `json:"Name"`
	Address   string  `json:"Address"`
	Zone      string  `json:"Zone"`
	Status    string  `json:"Status"` // EndpointActive, EndpointLeaving or EndpointLeft; else the endpoint is invalid
	Group     int     `json:"Group"`
	Weight    float64 `json:"Weight"`
	StartedAt float64 `json:"Since"` // start of the backend in Unix milliseconds
	Invalid   string  `json:"Bad"`   // why the endpoint can't be used; only its name is meaningful then
}

// Values of Endpoint.Status.
const (
	EndpointActive  = "active"
	EndpointLeaving = "leaving" // the backend drains
	EndpointLeft    = "left"
)

// EndpointUpdate is the endpoint list, or changes to it.
type EndpointUpdate struct {
	Index         uint64     `json:"Index"` // version of the list
	Complete      bool       `json:"Whole"` // the whole list: backends missing from it have left
	Endpoints     []Endpoint `json:"Entries"`
	DiscoveryTime float64    `json:"-"` // discovery's clock in Unix milliseconds; 0 if not known
}

// listMessage is the JSON form in which discovery sends the list.
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
	Weight  *float64 `json:"weight"` // defaults to 1
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

// endpoint converts the message. An invalid entry is marked instead of refused, so that it neither invalidates the
// other entries nor changes what was known of its backend.
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

// validate returns why the endpoint can't be used; empty if it can.
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
