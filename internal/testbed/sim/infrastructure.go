package sim

import (
	"fmt"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// NewHost adds a host in a zone and returns it with its address.
func (s *Sim) NewHost(zone int) (model.Host, string) {
	d := s.network.addNode(fmt.Sprintf("10.1.%d.%d:9000", len(s.network.nodeList)/250, len(s.network.nodeList)%250), zone)
	return nodeHost{d}, d.address
}

// Bind has an actor called back about the connections of an address.
func (s *Sim) Bind(address string, actor model.Actor) { s.network.nodes[address].actor = actor }

// SetUnreachable blocks all traffic to and from an address, or unblocks it.
func (s *Sim) SetUnreachable(address string, unreachable bool) {
	s.network.logf("%s dark %t", address, unreachable)
	s.network.nodes[address].isUnreachable = unreachable
	s.network.deliverUnblocked()
}

// SetRefusing makes an address refuse new connections, or accept them again.
func (s *Sim) SetRefusing(address string, refusing bool) {
	s.network.logf("%s refuse %t", address, refusing)
	s.network.nodes[address].isRefusing = refusing
}

// IsolateZone cuts a zone off from the other zones, or reconnects it.
func (s *Sim) IsolateZone(zone int, isolated bool) {
	s.network.logf("zone %d cut %t", zone, isolated)
	s.network.isolatedZones[zone] = isolated
	s.network.deliverUnblocked()
}

// DrainRelay gives a relay the operators' order to drain, or revokes it.
func (s *Sim) DrainRelay(i int, drain bool) {
	s.network.logf("relay %d lame duck %t", i, drain)
	p := s.machines[i].process
	p.handle(relay.DrainRequested{On: drain})
	if p.fleetNode != nil && !p.isExited {
		p.fleetNode.setDraining(drain)
	}
}

// KillRelay kills a relay's processes at once; data that was not synced to its disk may be lost.
func (s *Sim) KillRelay(i int) {
	s.network.logf("relay %d killed", i)
	s.machines[i].formerCounters = s.machines[i].stateMachine.Counters
	s.machines[i].knownEndpoints = s.savedEndpoints()
	p := s.machines[i].process
	p.exitNow(true)
	s.losePower(i)
	if p.sibling != nil && !p.sibling.isExited {
		p.sibling.exitNow(true)
	}
}

// FreezeRelay suspends a relay's process, as SIGSTOP does, or resumes it.
func (s *Sim) FreezeRelay(i int, frozen bool) {
	s.network.logf("relay %d frozen %t", i, frozen)
	if p := s.machines[i].process; !p.isExited {
		p.freeze(frozen)
	}
}

// wallClock returns the time by the clock of a relay's machine.
func (s *Sim) wallClock(i int) float64 { return s.network.now + s.machines[i].clockOffset }

// SetClockOffset sets the clock of a relay's machine ahead of the true time, in milliseconds. A running process keeps
// the offset that it started with.
func (s *Sim) SetClockOffset(i int, ahead float64) {
	s.network.logf("relay %d clock %v ms ahead", i, ahead)
	s.machines[i].clockOffset = ahead
}

// SetImpairment sets the impairment of the path from one machine to another, in that direction only.
func (s *Sim) SetImpairment(from, to int, impairment experiment.Impairment) {
	s.impairments[[2]int{from, to}] = impairment
	if impairment.Reset && from == experiment.Discovery && !s.machines[to].process.isExited {
		s.machines[to].process.resetWatches()
	}
}

// StopRelay asks a relay to shut down gracefully, and kills it if it still runs when the platform's time limit ends.
func (s *Sim) StopRelay(i int) {
	s.network.logf("relay %d stops", i)
	p := s.machines[i].process
	p.handle(relay.ShutdownRequested{})
	s.network.after(s.experiment.KillAfter(), func() {
		if !p.isExited {
			p.exitNow(true)
			s.relayExited(i)
		}
	})
}

// StartRelay starts a relay again.
func (s *Sim) StartRelay(i int) {
	s.network.logf("relay %d starts", i)
	if err := s.startProcess(i); err != nil {
		panic(err) // can't fail: an earlier process was built from the same configuration
	}
}

// ReloadRelay has a relay reload its configuration, with another address of the discovery service.
func (s *Sim) ReloadRelay(i int) {
	s.network.logf("relay %d reloads", i)
	if p := s.machines[i].process; !p.isExited {
		p.handle(relay.ConfigReloaded{DiscoveryAddress: fmt.Sprintf("10.0.0.%d:1", 2+s.network.seq%200)})
	}
}
