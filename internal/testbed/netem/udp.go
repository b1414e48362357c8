package netem

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"
)

const (
	maxDatagramBytes = 64 << 10              // size of a receive buffer
	reorderDelay     = 30 * time.Millisecond // added to a datagram that later ones are to overtake
	flowIdleTimeout  = 30 * time.Second      // without replies to a sender, after which its flow is closed
)

// datagramLoop forwards received datagrams to the target, for each sender through a flow of its own.
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

// flow returns the socket that forwards a sender's datagrams to the target. It opens one for a new sender, and returns
// nil if it can't.
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
	p.tasks.Go(func() { p.replyLoop(flow, sender) })
	return flow
}

// replyLoop forwards the target's replies to a sender, until the flow is idle for flowIdleTimeout.
func (p *Proxy) replyLoop(flow *net.UDPConn, sender *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		flow.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := flow.Read(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.closeFlow(flow, sender)
			return
		case err != nil: // nothing listens at the target at present
			continue
		}
		data := slices.Clone(buffer[:n])
		p.sendDatagram(inbound, func() { p.socket.WriteToUDP(data, sender) })
	}
}

func (p *Proxy) closeFlow(flow *net.UDPConn, sender *net.UDPAddr) {
	p.mutex.Lock()
	delete(p.udpFlows, sender.String())
	p.mutex.Unlock()
	flow.Close()
}

// sendDatagram calls send as the direction's impairment has it: at once, not at all, later or twice. A datagram
// that is to arrive out of order is sent later than those that follow it.
func (p *Proxy) sendDatagram(d direction, send func()) {
	impairment := p.impairment(d)
	if impairment.Cut || p.randomFloat() < impairment.Loss {
		return
	}
	copies := 1
	if p.randomFloat() < impairment.Duplicate {
		copies = 2
	}
	for range copies {
		delay := p.randomDelay(impairment)
		if p.randomFloat() < impairment.Reorder {
			delay += reorderDelay
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
