package relay

// This file speaks to discovery over HTTP: it owns the watch that is open, reads what it says, and hands it
// on as events in the order it came. It must never keep a list, judge what an entry means, or decide when to
// ask again.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"valeshift/internal/jsonstream"
)

// Endpoint is a backend as the list has it. Bad says why it can't be used; only its name counts then.
type Endpoint struct {
	Name      string  `json:"Name"`
	Address   string  `json:"Address"`
	Zone      string  `json:"Zone"`
	Status    string  `json:"Status"`
	Group     int     `json:"Group"`
	Weight    float64 `json:"Weight"`
	StartedAt float64 `json:"Since"`
	Invalid   string  `json:"Bad"`
}

// EndpointUpdate is a list, or the changes of one.
type EndpointUpdate struct {
	Index         uint64     `json:"Index"`
	Complete      bool       `json:"Whole"`
	Endpoints     []Endpoint `json:"Entries"`
	DiscoveryTime float64    `json:"-"` // discovery's; 0: not told
}

func parseEndpointUpdate(text []byte) (*EndpointUpdate, error) {
	var raw struct {
		Index     *uint64 `json:"index"`
		Snapshot  *bool   `json:"snapshot"`
		Endpoints []struct {
			Name    string   `json:"name"`
			Address string   `json:"address"`
			Zone    string   `json:"zone"`
			Status  string   `json:"status"`
			Group   int      `json:"group"`
			Weight  *float64 `json:"weight"`
			Since   float64  `json:"since_ms"`
		} `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("list: index, snapshot and endpoints expected")
	}
	n := &EndpointUpdate{Index: *raw.Index, Complete: *raw.Snapshot}
	for _, r := range raw.Endpoints {
		e := Endpoint{Name: r.Name, Address: r.Address, Zone: r.Zone, Status: r.Status, Group: r.Group,
			Weight: 1, StartedAt: r.Since}
		if r.Weight != nil {
			e.Weight = *r.Weight
		}
		// Against one bad entry taking the others out: it is marked, and what was known of it stays.
		_, err := netip.ParseAddrPort(e.Address)
		switch {
		case e.Name == "":
			e.Invalid = "a name expected"
		case e.Status != "active" && e.Status != "leaving" && e.Status != "left":
			e.Invalid = fmt.Sprintf("status %q is not known", e.Status)
		case err != nil && e.Status != "left":
			e.Invalid = fmt.Sprintf("address:port expected, got %q", e.Address)
		}
		n.Endpoints = append(n.Endpoints, e)
	}
	return n, nil
}

// discoveryTime is discovery's clock as it answered, to half a second; 0: it does not say.
func discoveryTime(answer *http.Response) float64 {
	at, err := http.ParseTime(answer.Header.Get("Date"))
	if err != nil {
		return 0
	}
	return float64(at.UnixMilli()) + 500 // cut off to seconds there
}

// connectTimeout is for a connection to discovery to come up; a machine that does not answer is asked again.
const connectTimeout = time.Second

// discoveryWatch holds one watch at a time.
type discoveryWatch struct {
	client *http.Client
	handle func(Event)
	stop   context.CancelFunc
}

func newDiscoveryWatch(take func(Event)) *discoveryWatch {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &discoveryWatch{handle: take, stop: func() {}, client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// start opens a watch at the address in place of the one before, whose events are known by their number and
// dropped.
func (d *discoveryWatch) start(address string, number, after uint64) {
	d.stop()
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() {
		err := d.follow(ctx, address, number, after)
		stop()
		d.handle(WatchFailed{Watch: number, Err: err})
	}()
}

func (d *discoveryWatch) follow(ctx context.Context, address string, number, after uint64) error {
	url := "http://" + address + "/api/targets?watch=1&after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	answer, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", answer.StatusCode)
	}
	clock, came := discoveryTime(answer), time.Now()
	stream := jsonstream.NewScanner(answer.Body)
	for stream.Scan() {
		if len(stream.Object()) == 0 {
			d.handle(WatchHeartbeat{Watch: number})
			continue
		}
		news, err := parseEndpointUpdate(stream.Object())
		if err != nil {
			return err
		}
		if clock > 0 {
			news.DiscoveryTime = clock + float64(time.Since(came))/float64(time.Millisecond)
		}
		d.handle(EndpointsUpdated{Watch: number, Update: news})
	}
	switch err := stream.Err(); {
	case errors.Is(err, jsonstream.ErrNotObject), errors.Is(err, jsonstream.ErrNesting):
		return fmt.Errorf("list: %w", err)
	case err != nil:
		return fmt.Errorf("watch: %w", err)
	}
	return errors.New("watch: ended")
}
