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

const (
	fleetTick        = 50.0  // milliseconds of virtual time between two ticks of a fleet.Core, as in fleet.Node
	queryTimeout     = 500.0 // milliseconds of virtual time after which a query counts as unanswered
	maxSeedAddresses = 12    // relays that a relay knows at its start, as operators would name some relays, not all
	minTimerDelay    = 0.01  // least delay of a timer in milliseconds; a timer due at once could stop virtual time
)

// fleetKey is the key that all relays of a run share.
var fleetKey = []byte("the key of the lab's fleet")

// errNoAnswer is the error of a query that was not answered in time.
var errNoAnswer = errors.New("no answer in time")

// fleetNode runs the fleet.Core of one relay process in virtual time, as fleet.Node does with sockets and a disk.
type fleetNode struct {
	sim              *Sim
	number           int // number of the relay and of its machine
	process          *relayProcess
	core             *fleet.Core
	store            *store.Store // nil until the disk has been read, or if there is none
	replicationDueAt float64      // time in milliseconds of the replication timer by the process's clock; 0 if none is set
}

func peerAddress(number int) string { return fmt.Sprint(relayAddressPrefix, number) }

// startFleetNode starts a process's fleetNode, and the coordinator on its machine if there is one. It does nothing if
// the experiment has neither membership nor disks.
func (s *Sim) startFleetNode(number int, p *relayProcess) {
	relays := s.experiment.Relays
	if !relays.Membership && !relays.Disk {
		return
	}
	// The label "mates" is part of the seed: with another label, every run would change.
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

// seedsOf returns the addresses of other relays that a relay knows at its start.
func (s *Sim) seedsOf(number int) []string {
	var seeds []string
	for other := range s.experiment.Relays.Count {
		if other != number && len(seeds) < maxSeedAddresses {
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

// tick advances the core and schedules the next tick, until the process ends. A frozen process skips its ticks.
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

// setDraining passes the core an operators' order to drain, or to serve again.
func (n *fleetNode) setDraining(draining bool) {
	record, actions := n.core.SetDraining(n.process.clock(), draining)
	n.execute(actions)
	n.put(record, nil)
}

// replicate passes the core a request of the relay, after the event that the relay is handling.
func (n *fleetNode) replicate(r relay.ReplicationRequest) {
	n.sim.network.after(0, func() {
		if !n.process.isExited {
			n.execute(n.core.HandleReplicationRequest(n.process.clock(), r))
		}
	})
}

// execute performs the core's actions.
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

// persist writes an action's record to the store, and reports the outcome to the core if the action awaits it.
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

// put writes a record to the store and calls finish, if not nil, with the outcome. Without a store it does nothing.
func (n *fleetNode) put(record store.Record, finish func(error)) {
	if n.store == nil {
		return
	}
	n.store.Put(record, finish)
	n.sim.network.after(diskSyncTime, func() {
		if !n.process.isExited {
			n.store.Flush() // its error goes to finish
		}
	})
}

// setReplicationTimer sets a timer for the core's next replication tick, unless an earlier one is set.
func (n *fleetNode) setReplicationTimer() {
	now := n.process.clock()
	wait := n.core.ReplicationDelay(now)
	isSetBefore := n.replicationDueAt != 0 && n.replicationDueAt <= now+wait
	if math.IsInf(wait, 1) || isSetBefore {
		return
	}
	dueAt := now + max(wait, minTimerDelay)
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

// query sends a query to another relay. An answer after queryTimeout is ignored.
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
	requestPath, answerPath := n.sim.impairments[[2]int{n.number, to}], n.sim.impairments[[2]int{to, n.number}]
	if requestPath.Cut || answerPath.Cut || requestPath.Reset || answerPath.Reset {
		return
	}
	net.after(net.drawDelay()+float64(requestPath.Delay), func() {
		other := n.sim.reachableNode(n.number, q.Address)
		if other == nil {
			return
		}
		text := other.core.AnswerQuery(other.process.clock(), n.sim.machines[to].stateMachine.Snapshot())
		net.after(net.drawDelay()+float64(answerPath.Delay), func() { finish(text, nil) })
	})
}

// Phases returns the number of running relays in each phase of the recovery.
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
