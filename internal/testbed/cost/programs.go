package cost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/procstat"
)

const (
	startTimeout      = 20 * time.Second      // for a program to establish its first session
	startPollInterval = 20 * time.Millisecond // between two attempts to establish it
	heartbeatInterval = 2 * time.Second       // between two heartbeats of discovery
)

// Machines of the loopback network that the programs' addresses belong to.
const (
	forwarderMachine = iota
	relayMachine
)

// program is a program to be started, which serves sessions at an address.
type program struct {
	name    string
	command []string
	env     []string // variables added to the testbed's environment
	stdin   io.Reader
	address string
	logFile string
}

// start starts the program and waits until a session can be established.
func (g program) start(ctx context.Context) (*path, error) {
	cmd := exec.CommandContext(ctx, g.command[0], g.command[1:]...)
	cmd.Env = append(os.Environ(), g.env...)
	cmd.Stdin = g.stdin
	log, err := os.Create(g.logFile)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", g.name, err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", g.name, err)
	}
	p := &path{name: g.name, cmd: cmd, address: func() string { return g.address }}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPollInterval) {
		if conn, _, err := p.open(); err == nil {
			conn.Close()
			return p, nil
		}
	}
	p.stop()
	return nil, fmt.Errorf("start %s: it does not serve; its log is %s", g.name, g.logFile)
}

func startForwarder(
	ctx context.Context,
	plan Plan,
	b *backends,
	loopback *procstat.LoopbackNetwork,
) (*path, error) {
	address, err := loopback.AssignAddress(forwarderMachine)
	if err != nil {
		return nil, err
	}
	return program{
		name:    "forwarder",
		command: append(slices.Clone(plan.ForwarderCommand), address),
		env:     []string{"GOMAXPROCS=2"},
		stdin:   strings.NewReader(strings.Join(b.addresses, "\n")),
		address: address,
		logFile: filepath.Join(plan.Dir, "forwarder.log"),
	}.start(ctx)
}

// startRelay starts a relay, and a discovery service that sends it the list of backends.
func startRelay(ctx context.Context, plan Plan, b *backends, loopback *procstat.LoopbackNetwork) (*path, error) {
	address, err := loopback.AssignAddress(relayMachine)
	if err != nil {
		return nil, err
	}
	list, err := encodeEndpointList(b)
	if err != nil {
		return nil, err
	}
	discovery, err := startDiscovery(ctx, list)
	if err != nil {
		return nil, err
	}
	admin, err := loopback.AssignAddress(relayMachine)
	if err != nil {
		discovery.close()
		return nil, err
	}
	configFile, err := writeRelayConfig(plan.Dir, address, admin, discovery.address, list)
	if err != nil {
		discovery.close()
		return nil, err
	}
	relay, err := program{
		name:    "relay",
		command: plan.RelayCommand,
		env:     []string{"RELAY_CONFIG=" + configFile, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_DISCOVERY="},
		address: address,
		logFile: filepath.Join(plan.Dir, "relay.log"),
	}.start(ctx)
	if err != nil {
		discovery.close()
		return nil, err
	}
	relay.release = discovery.close
	relay.admin = admin
	relay.discovery = discovery
	return relay, nil
}

// endpointList is the endpoint list as discovery sends it.
type endpointList struct {
	Endpoints []endpoint `json:"endpoints"`
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
}

type endpoint struct {
	Address     string `json:"address"`
	Group       int    `json:"group"`
	Name        string `json:"name"`
	SinceMillis int    `json:"since_ms"`
	Status      string `json:"status"`
	Weight      int    `json:"weight"`
	Zone        string `json:"zone"`
}

func encodeEndpointList(b *backends) ([]byte, error) {
	list := endpointList{Index: 1, Snapshot: true}
	for i, address := range b.addresses {
		list.Endpoints = append(list.Endpoints, endpoint{
			Address: address,
			Name:    fmt.Sprintf("s-%05d", i),
			Status:  "active",
			Weight:  1,
			Zone:    "a",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode endpoint list: %w", err)
	}
	return data, nil
}

// discovery is a stand-in for the platform's discovery service.
type discovery struct {
	address string
	server  *http.Server
	endless atomic.Bool // whether it sends the list again and again, without pause
}

// startDiscovery starts a discovery service that answers every watch with the list, followed by heartbeats. It runs
// until the context ends or close is called.
func startDiscovery(ctx context.Context, list []byte) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	firstLine := append(slices.Clone(list), '\n')
	d := &discovery{address: listener.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(firstLine)
		for {
			w.(http.Flusher).Flush()
			for d.endless.Load() && r.Context().Err() == nil {
				w.Write(firstLine)
			}
			select {
			case <-time.After(heartbeatInterval):
				w.Write([]byte("\n"))
			case <-r.Context().Done():
				return
			}
		}
	})}
	go d.server.Serve(listener)
	context.AfterFunc(ctx, d.close)
	return d, nil
}

func (d *discovery) close() { d.server.Close() }

// relayConfig is the platform's configuration of a relay.
type relayConfig struct {
	Admin     string          `json:"ops"`
	Discovery string          `json:"discovery"`
	Known     json.RawMessage `json:"known"` // the endpoint list that the relay had last, as stored by the platform
	Limits    relayLimits     `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"`
	Settings  any             `json:"settings"`
}

type relayLimits struct {
	Cores int `json:"cores"`
}

// writeRelayConfig writes the relay's configuration file and returns its path.
func writeRelayConfig(dir, listen, admin, discovery string, list []byte) (string, error) {
	x := experiment.Default()
	x.Relays.Count = 1
	x.Traffic = []experiment.Traffic{{Class: "chat", Tenant: "all", HardLimit: 3000, Load: 0.1, Rate: 1}}
	if err := x.Complete(); err != nil {
		return "", fmt.Errorf("relay settings: %w", err)
	}
	data, err := json.Marshal(relayConfig{
		Admin:     admin,
		Discovery: discovery,
		Known:     list,
		Limits:    relayLimits{Cores: 1},
		Listen:    listen,
		Name:      "cost",
		Seed:      "5",
		Settings:  x.RelaySettings(0),
	})
	if err != nil {
		return "", fmt.Errorf("encode relay configuration: %w", err)
	}
	file := filepath.Join(dir, "cost.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return "", fmt.Errorf("write relay configuration: %w", err)
	}
	return file, nil
}
