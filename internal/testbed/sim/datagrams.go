package sim

import (
	"strconv"
	"strings"

	"valeshift/internal/membership"
)

// reorderDelay is the extra delay of a reordered datagram, in milliseconds.
const reorderDelay = 30.0

// machineNumber returns the number at the end of a machine's address, or -1 if there is none.
func machineNumber(address string) int {
	_, text, _ := strings.Cut(address, "-")
	number, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return number
}

// reachableProcess returns the relay process at an address and the number of its machine. The process is nil if it has
// exited, is frozen or can't be reached from machine from.
func (s *Sim) reachableProcess(from int, address string) (*relayProcess, int) {
	to := machineNumber(address)
	if to < 0 || to >= len(s.machines) {
		return nil, 0
	}
	p := s.machines[to].process
	if p.isExited || p.isFrozen || !s.network.isPathOpen(s.machines[from].process.node, p.node) {
		return nil, to
	}
	return p, to
}

// reachableNode returns the fleet node at an address, or nil if there is none that machine from can reach.
func (s *Sim) reachableNode(from int, address string) *fleetNode {
	if p, _ := s.reachableProcess(from, address); p != nil {
		return p.fleetNode
	}
	return nil
}

// sendDatagram sends a datagram from a machine to the process that is at its destination when it arrives, with the
// impairments of the path. Sender is its source address.
func (s *Sim) sendDatagram(from int, d membership.Datagram, sender string) {
	impairment := s.impairments[[2]int{from, machineNumber(d.To)}]
	if impairment.Cut || s.draw() < impairment.Loss {
		return
	}
	copies := 1
	if s.draw() < impairment.Duplicate {
		copies = 2
	}
	for range copies {
		delay := s.network.drawDelay() + float64(impairment.Delay) + float64(impairment.Jitter)*s.draw()
		if s.draw() < impairment.Reorder {
			delay += reorderDelay
		}
		s.network.after(delay, func() { s.deliverDatagram(from, d, sender) })
	}
}

func (s *Sim) deliverDatagram(from int, d membership.Datagram, sender string) {
	p, to := s.reachableProcess(from, d.To)
	switch {
	case p == nil:
	case strings.HasPrefix(d.To, coordinatorAddressPrefix):
		if c := s.coordinatorProcesses[to]; c != nil && !c.process.isExited {
			c.receive(sender, d.Data)
		}
	case p.fleetNode != nil:
		p.fleetNode.execute(p.fleetNode.core.ReceiveDatagram(p.clock(), sender, d.Data))
	}
}

// draw returns a random number from 0 up to but not including 1.
func (s *Sim) draw() float64 { return s.network.rng.Float64() }
