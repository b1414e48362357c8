package cost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valeshift/internal/testbed/procstat"
)

// This file measures the lines of usual sessions beside peers that send to the relay without pause.

// FloodKind is a kind of peer that sends without pause.
type FloodKind string

// The kinds of peers.
const (
	FloodPolls     FloodKind = "polls"     // backends that answer load polls without end
	FloodBackends  FloodKind = "backends"  // backends that send lines on a session without end, to a client that reads them
	FloodClients   FloodKind = "clients"   // clients that send lines on a session without end
	FloodOperators FloodKind = "operators" // operators that call the admin API without pause
	FloodDiscovery FloodKind = "discovery" // a discovery service that sends the list without end
)

// FloodKinds lists all kinds.
func FloodKinds() []FloodKind {
	return []FloodKind{FloodPolls, FloodBackends, FloodClients, FloodOperators, FloodDiscovery}
}

// FloodResult holds the figures of usual sessions beside that many peers of a kind.
type FloodResult struct {
	Kind          FloodKind
	Peers         int
	Lines         int64
	LineP50Millis float64 // round-trip time of a line
	LineP99Millis float64
	LineMaxMillis float64
	FloodedBytes  float64 // bytes a second that flooding peers of the kinds backends and clients passed through the relay
}

var (
	endlessPollAnswer = []byte(strings.Repeat(string(pollAnswer), floodChunkBytes/len(pollAnswer)))
	endlessRequest    = []byte("FLOOD\r\n") // a line that a backend answers without end
	unansweredLine    = []byte("SINK 0123456789 0123456789 0123456789 0123456789\r\n")
	endlessLine       = []byte(strings.Repeat(string(testLine), floodChunkBytes/len(testLine)))
	endlessUnanswered = []byte(strings.Repeat(string(unansweredLine), floodChunkBytes/len(unansweredLine)))
)

const (
	floodChunkBytes = 64 << 10               // bytes that a flooding peer writes at once
	floodLeadTime   = 500 * time.Millisecond // from the start of the flood to the first measured line
)

// flood is the peers that send to a relay without pause.
type flood struct {
	relay    *path
	backends *backends
	peers    sync.WaitGroup
	passed   atomic.Int64 // bytes that have passed through the relay
}

// MeasureFlood measures the lines of usual sessions beside that many peers of the kind. The relay is a fresh one.
func MeasureFlood(ctx context.Context, plan Plan, kind FloodKind, peers int) (FloodResult, error) {
	backends, err := startBackends(plan.Servers)
	if err != nil {
		return FloodResult{}, err
	}
	defer backends.close()
	loopback, err := procstat.ClaimLoopbackNetwork()
	if err != nil {
		return FloodResult{}, err
	}
	defer loopback.Close()
	relay, err := startRelay(ctx, plan, backends, loopback)
	if err != nil {
		return FloodResult{}, err
	}
	f := &flood{relay: relay, backends: backends}
	defer f.peers.Wait()
	defer relay.stop() // ends the peers' connections
	if err := f.start(ctx, kind, peers); err != nil {
		return FloodResult{}, err
	}
	time.Sleep(floodLeadTime)
	before := f.passed.Load()
	end := time.Now().Add(plan.Duration)
	lineMicros := newLineHistogram()
	if err := relay.runLines(ctx, plan, lineMicros); err != nil {
		return FloodResult{}, fmt.Errorf("beside %d %s: %w", peers, kind, err)
	}
	time.Sleep(time.Until(end)) // without usual sessions there are no lines to wait for
	passed := float64(f.passed.Load()-before) / plan.Duration.Seconds()
	return newFloodResult(kind, peers, lineMicros, passed), nil
}

func newFloodResult(kind FloodKind, peers int, lineMicros *hdrhistogram.Histogram, passed float64) FloodResult {
	return FloodResult{
		Kind:          kind,
		Peers:         peers,
		Lines:         lineMicros.TotalCount(),
		LineP50Millis: float64(lineMicros.ValueAtQuantile(50)) / 1000,
		LineP99Millis: float64(lineMicros.ValueAtQuantile(99)) / 1000,
		LineMaxMillis: float64(lineMicros.Max()) / 1000,
		FloodedBytes:  passed,
	}
}

// start starts the peers. There is one discovery service at most.
func (f *flood) start(ctx context.Context, kind FloodKind, peers int) error {
	switch kind {
	case FloodPolls:
		f.backends.endlessPolls.Store(int32(peers))
	case FloodDiscovery:
		f.relay.discovery.endless.Store(peers > 0)
		context.AfterFunc(ctx, func() { f.relay.discovery.endless.Store(false) })
	case FloodOperators:
		for range peers {
			f.peers.Go(func() { f.callWithoutPause(ctx) })
		}
	case FloodBackends, FloodClients:
		for range peers {
			if err := f.openSession(kind); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("flood: kind %q is not known", kind)
	}
	return nil
}

// openSession opens a session on which one side sends without pause, until the relay ends.
func (f *flood) openSession(kind FloodKind) error {
	conn, _, err := f.relay.open()
	if err != nil {
		return err
	}
	f.peers.Go(func() {
		defer conn.Close()
		counter := (*byteCounter)(&f.passed)
		if kind == FloodClients {
			writeEndlessly(io.MultiWriter(conn, counter), endlessUnanswered)
			return
		}
		conn.Write(endlessRequest)
		io.Copy(counter, conn)
	})
	return nil
}

// callWithoutPause calls the admin API until the relay ends.
func (f *flood) callWithoutPause(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + f.relay.admin + "/metrics")
		if err != nil {
			return
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// byteCounter counts the bytes that are written to it.
type byteCounter atomic.Int64

// Write implements io.Writer.
func (c *byteCounter) Write(data []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(data)))
	return len(data), nil
}

// writeEndlessly writes the chunk again and again, until an error such as the end of the connection.
func writeEndlessly(out io.Writer, chunk []byte) {
	for {
		if _, err := out.Write(chunk); err != nil {
			return
		}
	}
}
