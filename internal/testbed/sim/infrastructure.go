package sim

import (
	"fmt"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// NewHost adds a host to the network.
func (s *Sim) NewHost(zone int) (model.Host, string) {
	d := s.network.addNode(fmt.Sprintf("10.1.%d.%d:9000", len(s.network.nodeList)/250, len(s.network.nodeList)%250), zone)
	return nodeHost{d}, d.address
}

// Bind makes an actor the owner of an address.
func (s *Sim) Bind(address string, actor model.Actor) { s.network.nodes[address].actor = actor }

// SetUnreachable stops all traffic to and from an address, or lets it pass again.
func (s *Sim) SetUnreachable(address string, dark bool) {
	s.network.logf("%s dark %t", address, dark)
	s.network.nodes[address].isUnreachable = dark
	s.network.deliverDelayed()
}

// SetRefusing has an address refuse new connections, or accept them again.
func (s *Sim) SetRefusing(address string, refuse bool) {
	s.network.logf("%s refuse %t", address, refuse)
	s.network.nodes[address].isRefusing = refuse
}

// IsolateZone cuts a zone off from the others, or joins it again.
func (s *Sim) IsolateZone(zone int, cut bool) {
	s.network.logf("zone %d cut %t", zone, cut)
	s.network.isolatedZones[zone] = cut
	s.network.deliverDelayed()
}

// DrainRelay has operators drain a relay, or take it back to work.
func (s *Sim) DrainRelay(i int, on bool) {
	s.network.logf("relay %d lame duck %t", i, on)
	p := s.machines[i].process
	p.handle(relay.DrainRequested{On: on})
	if p.fleetNode != nil && !p.isExited {
		p.fleetNode.setDraining(on)
	}
}

// KillRelay ends a relay at once.
func (s *Sim) KillRelay(i int) {
	s.network.logf("relay %d killed", i)
	s.machines[i].formerCounters = s.machines[i].stateMachine.Counters
	s.machines[i].knownEndpoints = s.endpointsToKeep()
	p := s.machines[i].process
	p.exitNow(true)
	s.losePower(i)
	if p.sibling != nil && !p.sibling.isExited {
		p.sibling.exitNow(true)
	}
}

// FreezeRelay suspends a relay's process, or has it go on.
func (s *Sim) FreezeRelay(i int, on bool) {
	s.network.logf("relay %d frozen %t", i, on)
	if p := s.machines[i].process; !p.isExited {
		p.freeze(on)
	}
}

// wallClock returns the time by the clock of a relay's machine.
func (s *Sim) wallClock(i int) float64 { return s.network.now + s.machines[i].clockOffset }

// SetClockOffset sets the clock of a relay's machine ahead by so many milliseconds. A process keeps the clock that it
// started with.
func (s *Sim) SetClockOffset(i int, ahead float64) {
	s.network.logf("relay %d clock %v ms ahead", i, ahead)
	s.machines[i].clockOffset = ahead
}

// SetImpairment impairs the path between two machines in that direction.
func (s *Sim) SetImpairment(from, to int, way experiment.Impairment) {
	s.impairments[[2]int{from, to}] = way
	if way.Reset && from == experiment.Discovery && !s.machines[to].process.isExited {
		s.machines[to].process.resetWatch()
	}
}

// StopRelay has a relay shut down gracefully; if it has not by the time that the platform gives, it is killed.
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
		panic(err) // it was built from the same before
	}
}

// ReloadRelay gives a relay the other address of discovery.
func (s *Sim) ReloadRelay(i int) {
	s.network.logf("relay %d reloads", i)
	if p := s.machines[i].process; !p.isExited {
		p.handle(relay.ConfigReloaded{DiscoveryAddress: fmt.Sprintf("10.0.0.%d:1", 2+s.network.seq%200)})
	}
}
