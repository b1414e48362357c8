package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Relay is one relay of a fleet, over all its starts.
type Relay struct {
	*Process
	Name   string
	Listen string // where clients connect
	Admin  string // where operators call

	rig         *Rig
	environment []string
}

// FleetConfig says what a fleet of relays is given.
type FleetConfig struct {
	Zones     []string       // zones; there is one relay in each
	Settings  map[string]any // the platform's settings, without zone
	Operator  string         // further sections of the operators' file
	Discovery *Discovery
}

// StartFleet starts a relay in each zone. Each knows the others, has a folder as its disk and stores records for
// others.
func (r *Rig) StartFleet(config FleetConfig) (relays []*Relay) {
	key := r.Write("key", "a key that all relays share")
	var peers, quoted []string
	for range config.Zones {
		address := FreeAddress()
		peers = append(peers, address)
		quoted = append(quoted, fmt.Sprintf("%q", address))
	}
	for i, zone := range config.Zones {
		name := fmt.Sprintf("n%d", i)
		folder := filepath.Join(r.Dir, name+".disk")
		Check(os.MkdirAll(folder, 0o700))
		operator := r.Write(name+".toml", fmt.Sprintf("[peers]\nlisten = %q\nseeds = [%s]\nzone = %q\nkey-file = %q\n"+
			"[disk]\nfolder = %q\n%s", peers[i], strings.Join(quoted, ", "), zone, key, folder, config.Operator))
		relay := &Relay{Name: name, Listen: FreeAddress(), Admin: FreeAddress(), rig: r}
		settings := map[string]any{"zone": i, "me": i, "replicas-of-me": len(config.Zones), "localities": config.Zones}
		for field, value := range config.Settings {
			settings[field] = value
		}
		relay.environment = append(r.configure(relay, settings, config.Discovery), "VALESHIFT_OPERATOR="+operator)
		relay.Restart()
		relays = append(relays, relay)
	}
	return relays
}

// StartRelay starts a relay that knows of no others, with the platform's settings alone.
func (r *Rig) StartRelay(name string, settings map[string]any, discovery *Discovery) *Relay {
	relay := &Relay{Name: name, Listen: FreeAddress(), Admin: FreeAddress(), rig: r}
	relay.environment = append(r.configure(relay, settings, discovery), "VALESHIFT_OPERATOR=")
	relay.Restart()
	return relay
}

// configure writes the platform's file for a relay and returns the environment that the platform sets.
func (r *Rig) configure(relay *Relay, settings map[string]any, discovery *Discovery) []string {
	text, err := json.Marshal(map[string]any{"name": relay.Name, "listen": relay.Listen, "ops": relay.Admin,
		"discovery": discovery.Address, "seed": "8c1f30d27a5be964", "known": discovery.List(),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings})
	Check(err)
	folder := filepath.Join(r.Dir, relay.Name+".tmp")
	Check(os.MkdirAll(folder, 0o700))
	return []string{
		"RELAY_CONFIG=" + r.Write(relay.Name+".json", string(text)), "RELAY_NAME=" + relay.Name,
		"RELAY_LISTEN=" + relay.Listen, "RELAY_DISCOVERY=" + discovery.Address, "RELAY_OPS=" + relay.Admin,
		"TMPDIR=" + folder,
	}
}

// Restart starts the relay, which does not run.
func (l *Relay) Restart() { l.Process = l.rig.Start(l.Name, l.rig.RunCommand(), l.environment...) }

// fleetStatus is the part of a relay's status that the cases read.
type fleetStatus struct {
	Recovery struct{ Phase string }
	Members  []struct{ State string }
	Holdings struct{ Able bool }
}

// AwaitFleet waits until each relay sees all others alive and can have its records stored by others.
func (r *Rig) AwaitFleet(relays []*Relay) {
	r.Await("all relays know each other and store records for each other", 30*time.Second, func() bool {
		for _, relay := range relays {
			var status fleetStatus
			if !GetJSON(relay.Admin, "/_fleet", &status) || status.Recovery.Phase != "normal" || !status.Holdings.Able {
				return false
			}
			alive := 0
			for _, member := range status.Members {
				if member.State == "alive" {
					alive++
				}
			}
			if alive < len(relays)-1 {
				return false
			}
		}
		return true
	})
}

// Marks returns the keys for which the relays store an attempt marker that is open, as operators see them.
func (r *Rig) Marks(relays []*Relay) map[string]bool {
	const parts, callers = 64, 4
	keys := map[string]bool{}
	var mutex sync.Mutex
	var reading sync.WaitGroup
	for _, relay := range relays {
		for first := range callers {
			reading.Go(func() {
				for part := first; part < parts; part += callers {
					for _, key := range relay.marks(part) {
						mutex.Lock()
						keys[key] = true
						mutex.Unlock()
					}
				}
			})
		}
	}
	reading.Wait()
	r.Note("other relays hold open markers for %d keys", len(keys))
	return keys
}

// marks returns the keys of the open attempt markers in one part of the records that the relay stores.
func (l *Relay) marks(part int) (keys []string) {
	var page struct {
		Records []struct{ Kind, Key, State string }
	}
	GetJSON(l.Admin, fmt.Sprintf("/_holdings?part=%d", part), &page)
	for _, record := range page.Records {
		if record.Kind == "marks" && record.State == "open" {
			keys = append(keys, record.Key)
		}
	}
	return keys
}
