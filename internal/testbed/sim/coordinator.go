package sim

import (
	"fmt"
	"strings"

	"valeshift/internal/consensus"
	"valeshift/internal/coordinator"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/testbed/experiment"
)

const (
	coordinatorTick          = 10.0 // milliseconds of virtual time between two ticks of a coordinator
	askLeaderEveryTicks      = 25   // ticks between two requests for the leader's announcement
	relayAddressPrefix       = "peer-"
	coordinatorAddressPrefix = "voter-"
)

// coordinatorProcess is a coordinator that runs beside a relay's process. Whatever kills one kills both, and the
// simulated network treats them as one machine.
type coordinatorProcess struct {
	sim      *Sim
	machine  int           // number of the machine and of its relay
	process  *relayProcess // process of the relay on the same machine
	core     *coordinator.Core
	disk     []byte // state that was made durable last
	isSaving bool   // a save is in progress; nothing is sent until the state is durable
}

func coordinatorAddress(machine int) string { return fmt.Sprint(coordinatorAddressPrefix, machine) }

// coordinatorMembers returns the voters of the experiment, one on each of the first machines.
func (s *Sim) coordinatorMembers() (members []consensus.Member) {
	for machine := range s.experiment.Relays.Coordinators {
		members = append(members, consensus.Member{
			Name:    fmt.Sprint("v", machine),
			Address: coordinatorAddress(machine),
		})
	}
	return members
}

func (s *Sim) coordinatorAddresses() (addresses []string) {
	for _, member := range s.coordinatorMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// configuredZones returns the zones as a coordinator's configuration lists them.
func (s *Sim) configuredZones() (zones []failover.Zone) {
	for zone := range s.experiment.Fleet.Zones {
		zones = append(zones, failover.Zone{Name: experiment.Zone(zone), Region: s.experiment.Region(zone)})
	}
	return zones
}

// startCoordinator starts the coordinator of a machine with the state on its disk.
func (s *Sim) startCoordinator(machine int, p *relayProcess) {
	var disk []byte
	if former := s.coordinatorProcesses[machine]; former != nil {
		disk = former.disk
	}
	members := s.coordinatorMembers()
	rng := s.experiment.Rand("voter", 1000*machine+s.machines[machine].starts)
	core, err := coordinator.New(p.clock(), members[machine], members, s.configuredZones(), disk, rng)
	if err != nil {
		panic(fmt.Sprintf("start coordinator %d with the disk that it wrote: %v", machine, err))
	}
	c := &coordinatorProcess{sim: s, machine: machine, process: p, core: core, disk: disk}
	s.coordinatorProcesses[machine] = c
	c.tick()
}

// tick advances the coordinator and schedules the next tick, until its process ends. A frozen process skips its ticks.
func (c *coordinatorProcess) tick() {
	if c.process.isExited {
		return
	}
	if !c.process.isFrozen {
		now := c.process.clock()
		c.core.Tick(now, c.sim.wallClock(c.machine))
		c.askLeader(now)
		c.processReady()
	}
	c.sim.network.after(coordinatorTick, c.tick)
}

// askLeader requests the leader's announcement from time to time, if another coordinator leads.
func (c *coordinatorProcess) askLeader(now float64) {
	leader := c.core.AnnouncementSource(now)
	if leader != "" && int(now/coordinatorTick)%askLeaderEveryTicks == 0 {
		c.send(leader, failover.ObservationsDatagram, nil)
	}
}

// processReady saves the core's pending state and sends its pending messages, in this order.
func (c *coordinatorProcess) processReady() {
	for !c.isSaving {
		ready := c.core.Ready()
		if ready.DurableState != nil {
			c.save(ready)
			return
		}
		if len(ready.Messages) == 0 {
			return
		}
		c.sendMessages(ready.Messages)
	}
}

// save makes the state durable after diskSyncTime. A process that ends before that loses it.
func (c *coordinatorProcess) save(ready consensus.Ready) {
	c.isSaving = true
	c.sim.network.after(diskSyncTime, func() {
		if c.process.isExited {
			return
		}
		c.disk = ready.DurableState
		c.isSaving = false
		c.sendMessages(ready.Messages)
		c.core.Advance()
		c.processReady()
	})
}

func (c *coordinatorProcess) sendMessages(messages []consensus.OutgoingMessage) {
	for _, message := range messages {
		c.send(message.To, failover.ConsensusDatagram, message.Data)
	}
}

// send sends a datagram to another coordinator. These datagrams are not sealed in the simulation.
func (c *coordinatorProcess) send(to string, kind byte, content []byte) {
	c.sendDatagram(to, append([]byte{kind}, content...))
}

func (c *coordinatorProcess) sendDatagram(to string, data []byte) {
	c.sim.sendDatagram(c.machine, membership.Datagram{To: to, Data: data}, coordinatorAddress(c.machine))
}

// receive handles a datagram from another coordinator, or a sealed one from a relay.
func (c *coordinatorProcess) receive(from string, data []byte) {
	isFromRelay := strings.HasPrefix(from, relayAddressPrefix)
	if isFromRelay {
		content, err := membership.Open(fleetKey, data)
		if err != nil {
			return
		}
		data = content
	}
	now := c.process.clock()
	kind, content := data[0], data[1:]
	switch kind {
	case failover.ConsensusDatagram:
		c.core.ReceiveMessage(now, content)
	case failover.ObservationsDatagram:
		announcement, err := c.core.ReceiveObservations(now, content)
		if err == nil {
			c.answer(from, isFromRelay, announcement)
		}
	case failover.AnnouncementDatagram:
		c.core.ReceiveAnnouncement(now, content)
	}
	c.processReady()
}

// answer sends the announcement to the relay or coordinator that sent observations or asked for it. Only what is sent
// to a relay is sealed.
func (c *coordinatorProcess) answer(to string, isRelay bool, announcement []byte) {
	if !isRelay {
		c.send(to, failover.AnnouncementDatagram, announcement)
		return
	}
	content := append([]byte{failover.AnnouncementDatagram}, announcement...)
	c.sendDatagram(to, membership.Seal(fleetKey, content))
}
