package sim

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"valeshift/internal/fleet"
	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
	"valeshift/internal/testbed/experiment"
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
	memory *store.MemoryFS
	older  *store.MemoryFS // as it was early in the run
	fault  string
}

// mates drives one life's side of the fleet under virtual time, as fleet.Run does on sockets and a disk.
type mates struct {
	s     *Sim
	i     int
	p     *process
	core  *fleet.Core
	store *store.Store
	dueAt float64 // of what others hold; 0: it is not waited for
}

func peerAddress(i int) string { return fmt.Sprintf("peer-%d", i) }

// join gives a process its side of the fleet, where the experiment has relays keep something or know of
// others.
func (s *Sim) join(i int, p *process) {
	x := s.x
	if !x.Relays.Membership && !x.Relays.Disk {
		return
	}
	chance := x.Rand("mates", i*1000+s.lives[i])
	own := membership.MemberState{Name: fmt.Sprintf("relay-%d", i), Zone: experiment.Zone(i % x.Fleet.Zones),
		Incarnation: chance.Uint64()}
	var seeds []string
	if x.Relays.Membership {
		own.Address = peerAddress(i)
		for j := range x.Relays.Count {
			if j != i && len(seeds) < mostSeeds {
				seeds = append(seeds, peerAddress(j))
			}
		}
	}
	m := &mates{s: s, i: i, p: p, core: fleet.New(p.clock(), own, seeds, fleetKey, x.Relays.Disk, chance)}
	if x.Relays.Coordinators > 0 {
		coordinators := s.coordinatorAddresses()
		m.core.FollowCoordinators(own.Name, own.Zone, coordinators, fleetKey, chance)
		if i < len(coordinators) {
			s.startCoordinator(i, p)
		}
	}
	p.mates = m
	p.take(relay.IncarnationChanged{})
	if x.Relays.Replicas > 0 {
		m.do(m.core.EnableReplication(own.Name, own.Incarnation, x.Relays.Replicas, float64(x.Relays.MarkerRetention), x.Relays.ReplicatesAffinity,
			fleetKey, chance))
	}
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
	m.do(m.core.Restore(m.p.clock(), s, found, err))
}

func (m *mates) tick() {
	if m.p.over {
		return
	}
	if now := m.p.clock(); !m.p.frozen {
		m.do(m.core.Tick(now, m.s.wall(m.i), m.s.reducer[m.i].Status(now)))
		if m.core.IsObservationDue(now) {
			zones, demand := m.s.reducer[m.i].ZoneObservations(now)
			m.do(m.core.SendObservations(now, zones, demand))
		}
		if m.store != nil && m.core.IsSnapshotDue(now) {
			m.save(m.core.RecordSnapshot(now, m.s.reducer[m.i].Snapshot()), nil)
		}
	}
	m.s.net.after(tickEvery, m.tick)
}

func (m *mates) save(r store.Record, done func(error)) {
	if m.store == nil {
		return
	}
	m.store.Put(r, done)
	m.s.net.after(syncTime, func() {
		if !m.p.over {
			m.store.Flush() // a disk that fails is told of by the store's own tests
		}
	})
}

// trust is what the relay asks for; nothing of it is done in the event that asks.
func (m *mates) trust(f relay.ReplicationRequest) {
	m.s.net.after(0, func() {
		if !m.p.over {
			m.do(m.core.HandleReplicationEffect(m.p.clock(), f))
		}
	})
}

func (m *mates) do(acts []fleet.Action) {
	for _, a := range acts {
		switch {
		case a.Send != nil:
			m.s.datagram(m.i, *a.Send, peerAddress(m.i))
		case a.Query != nil:
			m.ask(*a.Query)
		case a.Persist != nil:
			var done func(error)
			if number := a.ConfirmDecision; number > 0 {
				done = func(error) { m.core.ConfirmDecisionPersisted(m.p.clock(), number) }
			} else if then := a.ReplicationWrite; then != nil {
				done = func(err error) {
					if err == nil && !m.p.over {
						m.do(m.core.CompleteReplicationWrite(m.p.clock(), then))
					}
				}
			}
			m.save(*a.Persist, done)
		case a.Event != nil:
			m.p.take(a.Event)
		case a.Log != "":
			m.s.net.tell("relay %d fleet: %s", m.i, a.Log)
		}
	}
	now := m.p.clock()
	if wait := m.core.ReplicationDelay(now); !math.IsInf(wait, 1) && (m.dueAt == 0 || now+wait < m.dueAt) {
		due := now + max(wait, 0.01)
		m.dueAt = due
		m.s.net.after(due-now, func() {
			if m.p.over || m.dueAt != due {
				return
			}
			if m.dueAt = 0; !m.p.frozen {
				m.do(m.core.TickReplication(m.p.clock()))
			}
		})
	}
}

// machine is the relay's process on the machine of that address, and its number; nil: it can't be reached
// now.
func (s *Sim) machine(from int, address string) (*process, int) {
	var to int
	_, number, _ := strings.Cut(address, "-")
	if _, err := fmt.Sscan(number, &to); err != nil || to >= len(s.relays) {
		return nil, 0
	}
	p := s.relays[to]
	if p.over || p.frozen || !s.net.passes(s.relays[from].node, p.node) {
		return nil, to
	}
	return p, to
}

// reach gives who stands at an address now, if it can be reached from that relay.
func (s *Sim) reach(from int, address string) *mates {
	if p, _ := s.machine(from, address); p != nil {
		return p.mates
	}
	return nil
}

// datagram takes one from a machine, by whoever has that address there.
func (s *Sim) datagram(from int, d membership.Datagram, by string) {
	var to int
	_, number, _ := strings.Cut(d.To, "-")
	fmt.Sscan(number, &to)
	way, times := s.ways[[2]int{from, to}], 1
	switch {
	case way.Cut || s.lot() < way.Loss:
		return
	case s.lot() < way.Duplicate:
		times = 2
	}
	for range times {
		wait := s.net.way() + float64(way.Delay) + float64(way.Jitter)*s.lot()
		if s.lot() < way.Reorder {
			wait += overtaken
		}
		s.net.after(wait, func() {
			p, to := s.machine(from, d.To)
			switch {
			case p == nil:
			case strings.HasPrefix(d.To, "voter-"):
				if v := s.coordinatorProcesses[to]; v != nil && !v.process.over {
					v.receive(by, d.Data)
				}
			case p.mates != nil:
				p.mates.do(p.mates.core.ReceiveDatagram(p.clock(), by, d.Data))
			}
		})
	}
}

func (s *Sim) lot() float64 { return s.net.chance.Float64() }

var errSilent = errors.New("no answer in time")

func (m *mates) ask(q fleet.Query) {
	over := false
	answered := func(text []byte, err error) {
		if !over && !m.p.over {
			over = true
			m.core.ReceiveAnswer(q.Name, text, err)
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
		text := other.core.AnswerQuery(other.p.clock(), m.s.reducer[to].Snapshot())
		m.s.net.after(m.s.net.way()+float64(back.Delay), func() { answered(text, nil) })
	})
}

// lose takes what was not synced from a relay's disk, as its machine has lost power.
func (s *Sim) lose(i int) {
	s.disks[i].memory.LosePower(func(unsynced int) int { return s.net.chance.Intn(unsynced + 1) })
}

// DamageDisk does something to the disk of a relay that is down.
func (s *Sim) DamageDisk(i int, what string) {
	d := s.disks[i]
	d.fault = what
	chance := rand.New(rand.NewSource(s.net.chance.Int63()))
	switch what {
	case "wiped":
		d.memory = store.NewMemoryFS()
	case "torn":
		d.memory.MutateFiles(func(_ string, data []byte) []byte { return data[:chance.Intn(len(data)+1)] })
	case "flipped":
		d.memory.MutateFiles(func(_ string, data []byte) []byte {
			for range 8 {
				if len(data) > 0 {
					data[chance.Intn(len(data))] ^= 1 << chance.Intn(8)
				}
			}
			return data
		})
	case "older":
		if d.older != nil {
			d.memory = d.older.Clone()
		}
	case "another's":
		d.memory = s.disks[(i+1)%len(s.disks)].memory.Clone()
	case "full", "read-only":
		d.memory.InjectFault = func(call string) error {
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
				if p.mates.core.Status(p.clock()).Recovery.Phase == recovery.Phase(n).String() {
					all[n]++
				}
			}
		}
	}
	return all
}
