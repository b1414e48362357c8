package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"valeshift/internal/jsonstream"
)

const (
	discoveryConnectTimeout = time.Second // for a connect to discovery, which is then tried again

	// dateTruncationMillis is half of the second to which HTTP dates are truncated: their mean error.
	dateTruncationMillis = 500
)

var errWatchEnded = errors.New("watch: ended")

// discoveryWatch watches the endpoint list at discovery over HTTP, and passes what it receives to the state machine as
// events, those of one watch in order. It keeps no list, doesn't interpret entries, and doesn't decide when to ask again.
type discoveryWatch struct {
	client *http.Client
	handle func(Event)
	stops  map[uint64]context.CancelFunc // by the ID of a watch that was not stopped: ends it
}

func newDiscoveryWatch(handle func(Event)) *discoveryWatch {
	dialer := &net.Dialer{Timeout: discoveryConnectTimeout, KeepAlive: -1}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &discoveryWatch{
		client: &http.Client{Transport: transport},
		handle: handle,
		stops:  map[uint64]context.CancelFunc{},
	}
}

// stopAllBut ends all watches but those with the given IDs. Late events of a watch that has ended carry its ID, by which
// the state machine drops them.
func (d *discoveryWatch) stopAllBut(keep []uint64) {
	for id, stop := range d.stops {
		if !slices.Contains(keep, id) {
			stop()
			delete(d.stops, id)
		}
	}
}

// start opens a watch with that ID. The goroutine ends soon after the watch is stopped; its last event is WatchFailed.
func (d *discoveryWatch) start(address string, id, after uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	d.stops[id] = cancel
	go func() {
		err := d.follow(ctx, address, id, after)
		cancel()
		d.handle(WatchFailed{Watch: id, Err: err})
	}()
}

// follow passes on changes after the given version, and returns why the watch has ended. Errors begin with "watch", or
// with "list" if the list itself is malformed.
func (d *discoveryWatch) follow(ctx context.Context, address string, id, after uint64) error {
	url := "http://" + address + "/api/targets?watch=1&after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", response.StatusCode)
	}
	clock := newDiscoveryClock(response)
	stream := jsonstream.NewScanner(response.Body)
	for stream.Scan() {
		if len(stream.Object()) == 0 {
			d.handle(WatchHeartbeat{Watch: id})
			continue
		}
		update, err := parseEndpointUpdate(stream.Object())
		if err != nil {
			return err
		}
		update.DiscoveryTime = clock.now()
		d.handle(EndpointsUpdated{Watch: id, Update: update})
	}
	return streamError(stream.Err())
}

func streamError(err error) error {
	switch {
	case err == nil:
		return errWatchEnded
	case errors.Is(err, jsonstream.ErrNotObject), errors.Is(err, jsonstream.ErrNesting):
		return fmt.Errorf("list: %w", err)
	default:
		return fmt.Errorf("watch: %w", err)
	}
}

// discoveryClock estimates discovery's clock from the date of its response, to within half a second.
type discoveryClock struct {
	answeredMillis float64 // discovery's time when it answered, in Unix milliseconds; 0: the response had no date
	receivedAt     time.Time
}

func newDiscoveryClock(response *http.Response) discoveryClock {
	clock := discoveryClock{receivedAt: time.Now()}
	date, err := http.ParseTime(response.Header.Get("Date"))
	if err == nil {
		clock.answeredMillis = float64(date.UnixMilli()) + dateTruncationMillis
	}
	return clock
}

// now returns discovery's time in Unix milliseconds; 0 if it is not known.
func (c discoveryClock) now() float64 {
	if c.answeredMillis <= 0 {
		return 0
	}
	return c.answeredMillis + float64(time.Since(c.receivedAt))/float64(time.Millisecond)
}
