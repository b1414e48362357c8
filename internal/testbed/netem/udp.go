package netem

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	overtakeDelay    = 30 * time.Millisecond // of a datagram that is overtaken
	flowIdleTimeout  = 30 * time.Second      // after which the way back to a sender is forgotten
)

// datagramLoop forwards what comes, through a socket of its own for each sender.
func (p *Proxy) datagramLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := p.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		flow := p.flow(sender)
		if flow == nil {
			continue
		}
		data := slices.Clone(buffer[:n])
		p.sendDatagram(outbound, func() { flow.Write(data) })
	}
}

// flow returns the socket to the target that stands for a sender, or nil where none can be had.
func (p *Proxy) flow(sender *net.UDPAddr) *net.UDPConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if flow := p.udpFlows[sender.String()]; flow != nil {
		return flow
	}
	target, err := net.ResolveUDPAddr("udp", p.target)
	if err != nil {
		return nil
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	if p.closed {
		flow.Close()
		return nil
	}
	p.udpFlows[sender.String()] = flow
	p.tasks.Go(func() { p.answerLoop(flow, sender) })
	return flow
}

// answerLoop forwards to a sender what the target answers it.
func (p *Proxy) answerLoop(flow *net.UDPConn, sender *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		flow.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := flow.Read(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.forgetFlow(flow, sender)
			return
		case err != nil: // nobody listens at the target now
			continue
		}
		data := slices.Clone(buffer[:n])
		p.sendDatagram(inbound, func() { p.socket.WriteToUDP(data, sender) })
	}
}

func (p *Proxy) forgetFlow(flow *net.UDPConn, sender *net.UDPAddr) {
	p.mutex.Lock()
	delete(p.udpFlows, sender.String())
	p.mutex.Unlock()
	flow.Close()
}

// sendDatagram has a datagram arrive as its direction's impairment has it: never, later, twice or out of order.
func (p *Proxy) sendDatagram(d direction, send func()) {
	impairment := p.impairment(d)
	if impairment.Cut || p.draw() < impairment.Loss {
		return
	}
	copies := 1
	if p.draw() < impairment.Duplicate {
		copies = 2
	}
	for range copies {
		delay := p.drawDelay(impairment)
		if p.draw() < impairment.Reorder {
			delay += overtakeDelay
		}
		if delay <= 0 {
			send()
			continue
		}
		time.AfterFunc(delay, func() {
			if !p.impairment(d).Cut {
				send()
			}
		})
	}
}
