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
	coordinatorTick          = 10.0 // ms
	askLeaderEveryTicks      = 25
	relayAddressPrefix       = "peer-"
	coordinatorAddressPrefix = "voter-"
)

// coordinatorProcess is a coordinator that runs beside a relay's process: what kills one kills both, and the
// simulated network treats them as one machine.
type coordinatorProcess struct {
	sim      *Sim
	machine  int
	process  *relayProcess
	core     *coordinator.Core
	disk     []byte // durable state
	isSaving bool   // nothing more is sent until the state is durable
}

func coordinatorAddress(machine int) string { return fmt.Sprint(coordinatorAddressPrefix, machine) }

// coordinatorMembers are the voters that the experiment asks for, one on each of the first machines.
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

// zonesToDecideOn are the zones as a coordinator's configuration names them.
func (s *Sim) zonesToDecideOn() (zones []failover.Zone) {
	for zone := range s.experiment.Fleet.Zones {
		zones = append(zones, failover.Zone{Name: experiment.Zone(zone), Region: s.experiment.Region(zone)})
	}
	return zones
}

// startCoordinator starts the coordinator of a machine with what its disk holds.
func (s *Sim) startCoordinator(machine int, p *relayProcess) {
	var disk []byte
	if former := s.coordinatorProcesses[machine]; former != nil {
		disk = former.disk
	}
	members := s.coordinatorMembers()
	rng := s.experiment.Rand("voter", 1000*machine+s.machines[machine].starts)
	core, err := coordinator.New(p.clock(), members[machine], members, s.zonesToDecideOn(), disk, rng)
	if err != nil {
		panic(fmt.Sprintf("start coordinator %d with the disk that it wrote: %v", machine, err))
	}
	c := &coordinatorProcess{sim: s, machine: machine, process: p, core: core, disk: disk}
	s.coordinatorProcesses[machine] = c
	c.tick()
}

// tick has the coordinator go on with time, until its process ends.
func (c *coordinatorProcess) tick() {
	if c.process.isExited {
		return
	}
	if !c.process.isFrozen {
		now := c.process.clock()
		c.core.Tick(now, c.sim.wallClock(c.machine))
		c.askLeader(now)
		c.performEffects()
	}
	c.sim.network.after(coordinatorTick, c.tick)
}

// askLeader asks the leader for its announcement, if another coordinator leads.
func (c *coordinatorProcess) askLeader(now float64) {
	leader := c.core.AnnouncementSource(now)
	if leader != "" && int(now/coordinatorTick)%askLeaderEveryTicks == 0 {
		c.send(leader, failover.ObservationsDatagram, nil)
	}
}

// performEffects saves and sends what the core has ready, in this order.
func (c *coordinatorProcess) performEffects() {
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

// save makes the state durable after the time that a disk takes; a process that ends before loses it.
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
		c.performEffects()
	})
}

func (c *coordinatorProcess) sendMessages(messages []consensus.OutgoingMessage) {
	for _, message := range messages {
		c.send(message.To, failover.ConsensusDatagram, message.Data)
	}
}

// send sends to another coordinator; these datagrams are not sealed here.
func (c *coordinatorProcess) send(to string, kind byte, content []byte) {
	c.sendDatagram(to, append([]byte{kind}, content...))
}

func (c *coordinatorProcess) sendDatagram(to string, data []byte) {
	c.sim.sendDatagram(c.machine, membership.Datagram{To: to, Data: data}, coordinatorAddress(c.machine))
}

// receive takes a datagram from another coordinator, or a sealed one from a relay.
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
	c.performEffects()
}

// answer sends the announcement to whoever reported or asked: sealed to a relay.
func (c *coordinatorProcess) answer(to string, isRelay bool, announcement []byte) {
	if !isRelay {
		c.send(to, failover.AnnouncementDatagram, announcement)
		return
	}
	content := append([]byte{failover.AnnouncementDatagram}, announcement...)
	c.sendDatagram(to, membership.Seal(fleetKey, content))
}
