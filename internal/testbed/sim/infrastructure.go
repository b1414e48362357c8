package sim

import (
	"fmt"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// NewHost adds a host to the network.
func (s *Sim) NewHost(zone int) (model.Host, string) {
	d := s.net.node(fmt.Sprintf("10.1.%d.%d:9000", len(s.net.order)/250, len(s.net.order)%250), zone)
	return host{d}, d.address
}

// Bind makes an actor the owner of an address.
func (s *Sim) Bind(address string, actor model.Actor) { s.net.nodes[address].actor = actor }

// SetUnreachable stops all traffic to and from an address, or lets it pass again.
func (s *Sim) SetUnreachable(address string, dark bool) {
	s.net.tell("%s dark %t", address, dark)
	s.net.nodes[address].dark = dark
	s.net.reopened()
}

// SetRefusing has an address refuse new connections, or accept them again.
func (s *Sim) SetRefusing(address string, refuse bool) {
	s.net.tell("%s refuse %t", address, refuse)
	s.net.nodes[address].refuse = refuse
}

// IsolateZone cuts a zone off from the others, or joins it again.
func (s *Sim) IsolateZone(zone int, cut bool) {
	s.net.tell("zone %d cut %t", zone, cut)
	s.net.cut[zone] = cut
	s.net.reopened()
}

// DrainRelay has operators drain a relay, or take it back to work.
func (s *Sim) DrainRelay(i int, on bool) {
	s.net.tell("relay %d lame duck %t", i, on)
	p := s.relays[i]
	p.take(relay.DrainRequested{On: on})
	if p.fleetNode != nil && !p.over {
		p.fleetNode.setDraining(on)
	}
}

// KillRelay ends a relay at once.
func (s *Sim) KillRelay(i int) {
	s.net.tell("relay %d killed", i)
	s.past[i] = s.reducer[i].Counters
	s.known[i] = s.keeps()
	p := s.relays[i]
	p.stop(true)
	s.losePower(i)
	if p.beside != nil && !p.beside.over {
		p.beside.stop(true)
	}
}

// FreezeRelay suspends a relay's process, or has it go on.
func (s *Sim) FreezeRelay(i int, on bool) {
	s.net.tell("relay %d frozen %t", i, on)
	if p := s.relays[i]; !p.over {
		p.freeze(on)
	}
}

// wall returns the time by the clock of a relay's machine.
func (s *Sim) wall(i int) float64 { return s.net.now + s.clocks[i] }

// SetClockOffset sets the clock of a relay's machine ahead by so many milliseconds. A process keeps the clock that it
// started with.
func (s *Sim) SetClockOffset(i int, ahead float64) {
	s.net.tell("relay %d clock %v ms ahead", i, ahead)
	s.clocks[i] = ahead
}

// SetImpairment impairs the path between two machines in that direction.
func (s *Sim) SetImpairment(from, to int, way experiment.Impairment) {
	s.ways[[2]int{from, to}] = way
	if way.Reset && from == experiment.Discovery && !s.relays[to].over {
		s.relays[to].reset()
	}
}

// StopRelay has a relay shut down gracefully; if it has not by the time that the platform gives, it is killed.
func (s *Sim) StopRelay(i int) {
	s.net.tell("relay %d stops", i)
	p := s.relays[i]
	p.take(relay.ShutdownRequested{})
	s.net.after(s.x.KillAfter(), func() {
		if !p.over {
			p.stop(true)
			s.ended(i)
		}
	})
}

// StartRelay starts a relay again.
func (s *Sim) StartRelay(i int) {
	s.net.tell("relay %d starts", i)
	if err := s.start(i); err != nil {
		panic(err) // it was built from the same before
	}
}

// ReloadRelay gives a relay the other address of discovery.
func (s *Sim) ReloadRelay(i int) {
	s.net.tell("relay %d reloads", i)
	if p := s.relays[i]; !p.over {
		p.take(relay.ConfigReloaded{DiscoveryAddress: fmt.Sprintf("10.0.0.%d:1", 2+s.net.seq%200)})
	}
}
