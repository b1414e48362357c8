package sim

import (
	"errors"
	"fmt"
	"math"

	"valeshift/internal/fleet"
	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
	"valeshift/internal/testbed/experiment"
)

// Times are milliseconds of the virtual clock.
const (
	fleetTick    = 50.0 // between two ticks of a relay's part in the fleet, as fleet.Node does
	queryTimeout = 500.0
	maxSeeds     = 12   // as operators would name some relays, not all
	minTimer     = 0.01 // against a timer that is due at once, again and again
)

// fleetKey is the key that all relays of a run share.
var fleetKey = []byte("the key of the lab's fleet")

// errNoAnswer tells that a query was not answered in time.
var errNoAnswer = errors.New("no answer in time")

// fleetNode drives one incarnation of a relay's part in the fleet under virtual time, as fleet.Node does with sockets and a
// disk.
type fleetNode struct {
	sim              *Sim
	number           int
	process          *relayProcess
	core             *fleet.Core
	store            *store.Store // nil: not read yet, or there is none
	replicationDueAt float64      // 0: no timer is set
}

func peerAddress(number int) string { return fmt.Sprint(relayAddressPrefix, number) }

// startFleetNode gives a process its part in the fleet, where the experiment has relays know of each other or have
// disks.
func (s *Sim) startFleetNode(number int, p *relayProcess) {
	relays := s.experiment.Relays
	if !relays.Membership && !relays.Disk {
		return
	}
	// The label is part of the seed: runs repeat by it.
	rng := s.experiment.Rand("mates", number*1000+s.machines[number].starts)
	own := membership.MemberState{Name: fmt.Sprintf("relay-%d", number),
		Zone: experiment.Zone(number % s.experiment.Fleet.Zones), Incarnation: rng.Uint64()}
	var seeds []string
	if relays.Membership {
		own.Address = peerAddress(number)
		seeds = s.seedsOf(number)
	}
	core := fleet.New(p.clock(), own, seeds, fleetKey, relays.Disk, rng)
	n := &fleetNode{sim: s, number: number, process: p, core: core}
	if relays.Coordinators > 0 {
		coordinators := s.coordinatorAddresses()
		core.FollowCoordinators(own.Name, own.Zone, coordinators, fleetKey, rng)
		if number < len(coordinators) {
			s.startCoordinator(number, p)
		}
	}
	p.fleetNode = n
	p.handle(relay.IncarnationChanged{})
	if relays.Replicas > 0 {
		n.execute(core.EnableReplication(own.Name, own.Incarnation, relays.Replicas,
			float64(relays.MarkerRetention), relays.ReplicatesAffinity, fleetKey, rng))
	}
	if relays.Disk {
		s.network.after(s.machines[number].disk.readTime(), n.readDisk)
	}
	n.tick()
}

// seedsOf returns the addresses of other relays that a relay knows from the start.
func (s *Sim) seedsOf(number int) []string {
	var seeds []string
	for other := range s.experiment.Relays.Count {
		if other != number && len(seeds) < maxSeeds {
			seeds = append(seeds, peerAddress(other))
		}
	}
	return seeds
}

// readDisk opens the store on the relay's disk.
func (n *fleetNode) readDisk() {
	if n.process.isExited {
		return
	}
	owner := fmt.Sprintf("relay-%d", n.number)
	opened, found, err := store.Open(n.sim.machines[n.number].disk.memory, owner, diskMaxBytes)
	if err == nil {
		n.store = opened
	}
	n.execute(n.core.Restore(n.process.clock(), opened, found, err))
}

// tick advances the core, until its process ends. A process that is stopped skips its ticks.
func (n *fleetNode) tick() {
	if n.process.isExited {
		return
	}
	if !n.process.isFrozen {
		n.advance(n.process.clock())
	}
	n.sim.network.after(fleetTick, n.tick)
}

func (n *fleetNode) advance(now float64) {
	stateMachine := n.sim.machines[n.number].stateMachine
	n.execute(n.core.Tick(now, n.sim.wallClock(n.number), stateMachine.Status(now)))
	if n.core.IsObservationDue(now) {
		zones, demand := stateMachine.ZoneObservations(now)
		n.execute(n.core.SendObservations(now, zones, demand))
	}
	if n.store != nil && n.core.IsSnapshotDue(now) {
		n.put(n.core.RecordSnapshot(now, stateMachine.Snapshot()), nil)
	}
}

// setDraining gives the relay an operators' order.
func (n *fleetNode) setDraining(draining bool) {
	record, actions := n.core.SetDraining(n.process.clock(), draining)
	n.execute(actions)
	n.put(record, nil)
}

// replicate handles a request of the relay, though not within the event that makes it.
func (n *fleetNode) replicate(r relay.ReplicationRequest) {
	n.sim.network.after(0, func() {
		if !n.process.isExited {
			n.execute(n.core.HandleReplicationRequest(n.process.clock(), r))
		}
	})
}

// execute does what the core asks for.
func (n *fleetNode) execute(actions []fleet.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			n.sim.sendDatagram(n.number, *a.Send, peerAddress(n.number))
		case a.Query != nil:
			n.query(*a.Query)
		case a.Persist != nil:
			n.persist(a)
		case a.Event != nil:
			n.process.handle(a.Event)
		case a.Log != "":
			n.sim.network.logf("relay %d fleet: %s", n.number, a.Log)
		}
	}
	n.setReplicationTimer()
}

// persist has an action's record written, and tells the core what came of it where it waits for that.
func (n *fleetNode) persist(a fleet.Action) {
	if !a.AwaitsPersistence() {
		n.put(*a.Persist, nil)
		return
	}
	n.put(*a.Persist, func(err error) {
		if !n.process.isExited {
			n.execute(n.core.FinishPersist(n.process.clock(), a, err))
		}
	})
}

// put has a record written. Without a store nothing is.
func (n *fleetNode) put(record store.Record, finish func(error)) {
	if n.store == nil {
		return
	}
	n.store.Put(record, finish)
	n.sim.network.after(diskSyncTime, func() {
		if !n.process.isExited {
			n.store.Flush() // finish takes the error
		}
	})
}

// setReplicationTimer has replication go on when it is due, where it isn't due before.
func (n *fleetNode) setReplicationTimer() {
	now := n.process.clock()
	wait := n.core.ReplicationDelay(now)
	isSetBefore := n.replicationDueAt != 0 && n.replicationDueAt <= now+wait
	if math.IsInf(wait, 1) || isSetBefore {
		return
	}
	dueAt := now + max(wait, minTimer)
	n.replicationDueAt = dueAt
	n.sim.network.after(dueAt-now, func() {
		if n.process.isExited || n.replicationDueAt != dueAt {
			return
		}
		n.replicationDueAt = 0
		if !n.process.isFrozen {
			n.execute(n.core.TickReplication(n.process.clock()))
		}
	})
}

// query puts a query to another relay. An answer that comes late counts as none.
func (n *fleetNode) query(q fleet.Query) {
	isFinished := false
	finish := func(text []byte, err error) {
		if !isFinished && !n.process.isExited {
			isFinished = true
			n.core.ReceiveAnswer(q.Name, text, err)
		}
	}
	net := n.sim.network
	net.after(queryTimeout, func() { finish(nil, errNoAnswer) })
	to := machineNumber(q.Address)
	there, back := n.sim.impairments[[2]int{n.number, to}], n.sim.impairments[[2]int{to, n.number}]
	if there.Cut || back.Cut || there.Reset || back.Reset {
		return
	}
	net.after(net.drawTravelTime()+float64(there.Delay), func() {
		other := n.sim.reachableNode(n.number, q.Address)
		if other == nil {
			return
		}
		text := other.core.AnswerQuery(other.process.clock(), n.sim.machines[to].stateMachine.Snapshot())
		net.after(net.drawTravelTime()+float64(back.Delay), func() { finish(text, nil) })
	})
}

// Phases returns how many of the relays that are alive are in each phase of their recovery.
func (s *Sim) Phases() [recovery.Normal + 1]int {
	var count [recovery.Normal + 1]int
	for _, m := range s.machines {
		p := m.process
		if p.fleetNode == nil || p.isExited {
			continue
		}
		name := p.fleetNode.core.Status(p.clock()).Recovery.Phase
		for phase := range count {
			if name == recovery.Phase(phase).String() {
				count[phase]++
			}
		}
	}
	return count
}
