package sim

import (
	"errors"
	"fmt"
	"math/rand"

	"valeshift/internal/fleet"
	"valeshift/internal/lab/experiment"
	"valeshift/internal/peers"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

const (
	tickEvery = 50.0 // of a relay's side of the fleet
	readTime  = 5.0  // of a disk that is well
	slowDisk  = 10000.0
	syncTime  = 1.0
	askTime   = 500.0
	diskMost  = 64 << 20
	overtaken = 30.0
)

var fleetKey = []byte("the key of the lab's fleet")

// disk is one relay's, and what becomes of it.
type disk struct {
	memory *store.Memory
	older  *store.Memory // as it was early in the run
	fault  string
}

// mates drives one life's side of the fleet under virtual time, as fleet.Run does on sockets and a disk.
type mates struct {
	s     *Sim
	i     int
	p     *process
	core  *fleet.Core
	store *store.Store
}

func peerAddress(i int) string { return fmt.Sprintf("peer-%d", i) }

// join gives a process its side of the fleet, where the experiment has relays keep something or know of others.
func (s *Sim) join(i int, p *process) {
	x := s.x
	if !x.Relays.Peers && !x.Relays.Disk {
		return
	}
	chance := x.Chance("mates", i*1000+s.lives[i])
	own := peers.Word{Name: fmt.Sprintf("relay-%d", i), Zone: experiment.Zone(i % x.Fleet.Zones),
		Life: chance.Uint64()}
	var seeds []string
	if x.Relays.Peers {
		own.Address = peerAddress(i)
		for j := range x.Relays.Count {
			if j != i && len(seeds) < mostSeeds {
				seeds = append(seeds, peerAddress(j))
			}
		}
	}
	m := &mates{s: s, i: i, p: p, core: fleet.New(s.net.now, own, seeds, fleetKey, x.Relays.Disk, chance)}
	p.mates = m
	p.take(relay.Event{Kind: relay.Restarted})
	if x.Relays.Disk {
		wait := readTime
		if s.disks[i].fault == "slow" {
			wait = slowDisk
		}
		s.net.after(wait, m.read)
	}
	m.tick()
}

const mostSeeds = 12 // as operators would name some, not all

func (m *mates) read() {
	if m.p.over {
		return
	}
	s, found, err := store.Open(m.s.disks[m.i].memory, fmt.Sprintf("relay-%d", m.i), diskMost)
	if err == nil {
		m.store = s
	}
	m.do(m.core.Disk(m.s.net.now, s, found, err))
}

func (m *mates) tick() {
	if m.p.over {
		return
	}
	if now := m.s.net.now; !m.p.frozen {
		m.do(m.core.Tick(now, m.s.reducer[m.i].Seen(now)))
		if m.store != nil && m.core.Keeps(now) {
			m.save(m.core.Keep(now, m.s.reducer[m.i].Kept()))
		}
	}
	m.s.net.after(tickEvery, m.tick)
}

func (m *mates) save(r store.Record) {
	if m.store == nil {
		return
	}
	m.store.Put(r, nil)
	m.s.net.after(syncTime, func() {
		if !m.p.over {
			m.store.Flush() // a disk that fails is told of by the store's own tests
		}
	})
}

func (m *mates) do(acts []fleet.Act) {
	for _, a := range acts {
		switch {
		case a.Send != nil:
			m.s.datagram(m.i, *a.Send)
		case a.Ask != nil:
			m.ask(*a.Ask)
		case a.Save != nil:
			m.save(*a.Save)
		case a.Tell != nil:
			m.p.take(*a.Tell)
		case a.Note != "":
			m.s.net.tell("relay %d fleet: %s", m.i, a.Note)
		}
	}
}

// reach gives who stands at an address now, if it can be reached from that relay.
func (s *Sim) reach(from int, address string) *mates {
	var to int
	if _, err := fmt.Sscanf(address, "peer-%d", &to); err != nil || to >= len(s.relays) {
		return nil
	}
	p := s.relays[to]
	if p.over || p.frozen || p.mates == nil || !s.net.passes(s.relays[from].node, p.node) {
		return nil
	}
	return p.mates
}

func (s *Sim) datagram(from int, d peers.Datagram) {
	var to int
	fmt.Sscanf(d.To, "peer-%d", &to)
	way, times := s.ways[[2]int{from, to}], 1
	switch {
	case way.Cut || s.lot() < way.Loss:
		return
	case s.lot() < way.Double:
		times = 2
	}
	for range times {
		wait := s.net.way() + float64(way.Delay) + float64(way.Jitter)*s.lot()
		if s.lot() < way.Reorder {
			wait += overtaken
		}
		s.net.after(wait, func() {
			if m := s.reach(from, d.To); m != nil {
				m.do(m.core.Heard(s.net.now, peerAddress(from), d.Data))
			}
		})
	}
}

func (s *Sim) lot() float64 { return s.net.chance.Float64() }

var errSilent = errors.New("no answer in time")

func (m *mates) ask(q fleet.Question) {
	over := false
	answered := func(text []byte, err error) {
		if !over && !m.p.over {
			over = true
			m.core.Answered(q.Name, text, err)
		}
	}
	m.s.net.after(askTime, func() { answered(nil, errSilent) })
	var to int
	fmt.Sscanf(q.Address, "peer-%d", &to)
	there, back := m.s.ways[[2]int{m.i, to}], m.s.ways[[2]int{to, m.i}]
	if there.Cut || back.Cut || there.Reset || back.Reset {
		return
	}
	m.s.net.after(m.s.net.way()+float64(there.Delay), func() {
		other := m.s.reach(m.i, q.Address)
		if other == nil {
			return
		}
		text := other.core.Answer(m.s.net.now, m.s.reducer[to].Kept())
		m.s.net.after(m.s.net.way()+float64(back.Delay), func() { answered(text, nil) })
	})
}

// lose takes what was not synced from a relay's disk, as its machine has lost power.
func (s *Sim) lose(i int) {
	s.disks[i].memory.PowerLoss(func(unsynced int) int { return s.net.chance.Intn(unsynced + 1) })
}

// Disk does something to the disk of a relay that is down.
func (s *Sim) Disk(i int, what string) {
	d := s.disks[i]
	d.fault = what
	chance := rand.New(rand.NewSource(s.net.chance.Int63()))
	switch what {
	case "wiped":
		d.memory = store.NewMemory()
	case "torn":
		d.memory.Change(func(_ string, data []byte) []byte { return data[:chance.Intn(len(data)+1)] })
	case "flipped":
		d.memory.Change(func(_ string, data []byte) []byte {
			for range 8 {
				if len(data) > 0 {
					data[chance.Intn(len(data))] ^= 1 << chance.Intn(8)
				}
			}
			return data
		})
	case "older":
		if d.older != nil {
			d.memory = d.older.Copy()
		}
	case "another's":
		d.memory = s.disks[(i+1)%len(s.disks)].memory.Copy()
	case "full", "read-only":
		d.memory.Fails = func(call string) error {
			if call == "write" || call == "append" {
				return store.ErrNoSpace
			}
			return nil
		}
	}
}

// Phases are how far the relays that live are from their starts.
func (s *Sim) Phases() (all [recovery.Normal + 1]int) {
	for _, p := range s.relays {
		if p.mates != nil && !p.over {
			for n := range all {
				if p.mates.core.Status(s.net.now).Recovery.Phase == recovery.Phase(n).String() {
					all[n]++
				}
			}
		}
	}
	return all
}
