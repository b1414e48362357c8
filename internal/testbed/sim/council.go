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

const voterTick = 10.0

// seat is a voter on a relay's machine: what kills one kills both, and the ways between machines are one.
type seat struct {
	s      *Sim
	k      int
	p      *process
	core   *coordinator.Core
	disk   []byte
	saving bool
}

func voterAddress(k int) string { return fmt.Sprintf("voter-%d", k) }

func (s *Sim) voters() (all []consensus.Member, addresses []string) {
	for k := range s.x.Relays.Coordinators {
		all = append(all, consensus.Member{Name: fmt.Sprint("v", k), Address: voterAddress(k)})
		addresses = append(addresses, voterAddress(k))
	}
	return all, addresses
}

// vote starts the voter of a machine, on what its disk has.
func (s *Sim) vote(k int, p *process) {
	var disk []byte
	if s.seats[k] != nil {
		disk = s.seats[k].disk
	}
	all, _ := s.voters()
	var zones []failover.Zone
	for z := range s.x.Fleet.Zones {
		zones = append(zones, failover.Zone{Name: experiment.Zone(z), Region: s.x.Region(z)})
	}
	core, err := coordinator.New(p.clock(), all[k], all, zones, disk, s.x.Rand("voter", 1000*k+s.lives[k]))
	if err != nil {
		panic(err) // of a disk that it wrote itself
	}
	v := &seat{s: s, k: k, p: p, core: core, disk: disk}
	s.seats[k] = v
	v.tick()
}

func (v *seat) tick() {
	if v.p.over {
		return
	}
	if !v.p.frozen {
		v.core.Tick(v.p.clock(), v.s.wall(v.k))
		if to := v.core.AnnouncementSource(v.p.clock()); to != "" && int(v.p.clock()/voterTick)%25 == 0 {
			v.send(to, failover.ObservationsDatagram, nil)
		}
		v.carry()
	}
	v.s.net.after(voterTick, v.tick)
}

func (v *seat) carry() {
	for !v.saving {
		out := v.core.Ready()
		if out.DurableState != nil {
			v.saving = true
			v.s.net.after(syncTime, func() {
				if !v.p.over { // else it is lost with the power
					v.disk, v.saving = out.DurableState, false
					v.sends(out.Messages)
					v.core.Advance()
					v.carry()
				}
			})
			return
		}
		if len(out.Messages) == 0 {
			return
		}
		v.sends(out.Messages)
	}
}

func (v *seat) sends(all []consensus.OutgoingMessage) {
	for _, m := range all {
		v.send(m.To, failover.ConsensusDatagram, m.Data)
	}
}

func (v *seat) send(to string, kind byte, data []byte) {
	v.s.datagram(v.k, membership.Datagram{To: to, Data: append([]byte{kind}, data...)}, voterAddress(v.k))
}

// heard takes a datagram for a voter; a relay's is sealed, and a voter's word to it as well.
func (v *seat) heard(from string, data []byte) {
	relay := strings.HasPrefix(from, "peer-")
	if relay {
		body, err := membership.Open(fleetKey, data)
		if err != nil {
			return
		}
		data = body
	}
	now := v.p.clock()
	switch data[0] {
	case failover.ConsensusDatagram:
		v.core.ReceiveMessage(now, data[1:])
	case failover.ObservationsDatagram:
		if word, err := v.core.ReceiveObservations(now, data[1:]); err == nil && relay {
			v.s.datagram(v.k, membership.Datagram{To: from,
				Data: membership.Seal(fleetKey, append([]byte{failover.AnnouncementDatagram}, word...))}, voterAddress(v.k))
		} else if err == nil {
			v.send(from, failover.AnnouncementDatagram, word)
		}
	case failover.AnnouncementDatagram:
		v.core.ReceiveAnnouncement(now, data[1:])
	}
	v.carry()
}
