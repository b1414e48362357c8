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

const coordinatorTick = 10.0

// coordinatorProcess is a voter on a relay's machine: what kills one kills both, and the ways between machines are one.
type coordinatorProcess struct {
	sim      *Sim
	machine  int
	process  *process
	core     *coordinator.Core
	disk     []byte
	isSaving bool
}

func coordinatorAddress(k int) string { return fmt.Sprintf("voter-%d", k) }

func (s *Sim) coordinators() (all []consensus.Member, addresses []string) {
	for k := range s.x.Relays.Coordinators {
		all = append(all, consensus.Member{Name: fmt.Sprint("v", k), Address: coordinatorAddress(k)})
		addresses = append(addresses, coordinatorAddress(k))
	}
	return all, addresses
}

// startCoordinator starts the voter of a machine, on what its disk has.
func (s *Sim) startCoordinator(k int, p *process) {
	var disk []byte
	if s.coordinatorProcesses[k] != nil {
		disk = s.coordinatorProcesses[k].disk
	}
	all, _ := s.coordinators()
	var zones []failover.Zone
	for z := range s.x.Fleet.Zones {
		zones = append(zones, failover.Zone{Name: experiment.Zone(z), Region: s.x.Region(z)})
	}
	core, err := coordinator.New(p.clock(), all[k], all, zones, disk, s.x.Rand("voter", 1000*k+s.lives[k]))
	if err != nil {
		panic(err) // of a disk that it wrote itself
	}
	v := &coordinatorProcess{sim: s, machine: k, process: p, core: core, disk: disk}
	s.coordinatorProcesses[k] = v
	v.tick()
}

func (v *coordinatorProcess) tick() {
	if v.process.over {
		return
	}
	if !v.process.frozen {
		v.core.Tick(v.process.clock(), v.sim.wall(v.machine))
		if to := v.core.AnnouncementSource(v.process.clock()); to != "" && int(v.process.clock()/coordinatorTick)%25 == 0 {
			v.send(to, failover.ObservationsDatagram, nil)
		}
		v.performEffects()
	}
	v.sim.net.after(coordinatorTick, v.tick)
}

func (v *coordinatorProcess) performEffects() {
	for !v.isSaving {
		out := v.core.Ready()
		if out.DurableState != nil {
			v.isSaving = true
			v.sim.net.after(syncTime, func() {
				if !v.process.over { // else it is lost with the power
					v.disk, v.isSaving = out.DurableState, false
					v.sendMessages(out.Messages)
					v.core.Advance()
					v.performEffects()
				}
			})
			return
		}
		if len(out.Messages) == 0 {
			return
		}
		v.sendMessages(out.Messages)
	}
}

func (v *coordinatorProcess) sendMessages(all []consensus.OutgoingMessage) {
	for _, m := range all {
		v.send(m.To, failover.ConsensusDatagram, m.Data)
	}
}

func (v *coordinatorProcess) send(to string, kind byte, data []byte) {
	v.sim.datagram(v.machine, membership.Datagram{To: to, Data: append([]byte{kind}, data...)}, coordinatorAddress(v.machine))
}

// receive takes a datagram for a voter; a relay's is sealed, and a voter's word to it as well.
func (v *coordinatorProcess) receive(from string, data []byte) {
	relay := strings.HasPrefix(from, "peer-")
	if relay {
		body, err := membership.Open(fleetKey, data)
		if err != nil {
			return
		}
		data = body
	}
	now := v.process.clock()
	switch data[0] {
	case failover.ConsensusDatagram:
		v.core.ReceiveMessage(now, data[1:])
	case failover.ObservationsDatagram:
		if word, err := v.core.ReceiveObservations(now, data[1:]); err == nil && relay {
			v.sim.datagram(v.machine, membership.Datagram{To: from,
				Data: membership.Seal(fleetKey, append([]byte{failover.AnnouncementDatagram}, word...))}, coordinatorAddress(v.machine))
		} else if err == nil {
			v.send(from, failover.AnnouncementDatagram, word)
		}
	case failover.AnnouncementDatagram:
		v.core.ReceiveAnnouncement(now, data[1:])
	}
	v.performEffects()
}
