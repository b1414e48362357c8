package coordinator

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
)

const maxDatagramBytes = 64 << 10

// listen opens the socket for relays and other coordinators.
func listen(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return conn, nil
}

// receiveLoop dispatches sealed datagrams until the socket is closed. Datagrams sealed with another key are
// dropped.
func (n *Node) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		body, err := membership.Open(n.key, buffer[:size])
		if err != nil || len(body) == 0 {
			continue
		}
		n.dispatch(from, body[0], slices.Clone(body[1:]))
	}
}

// dispatch processes a datagram by its kind. Unknown kinds are dropped.
func (n *Node) dispatch(from *net.UDPAddr, kind byte, data []byte) {
	switch kind {
	case failover.ConsensusDatagram:
		n.update(func(now float64, core *Core) { core.ReceiveMessage(now, data) })
	case failover.ObservationsDatagram:
		n.answerObservations(from, data)
	case failover.AnnouncementDatagram:
		n.update(func(now float64, core *Core) { core.ReceiveAnnouncement(now, data) })
	}
}

// answerObservations answers a relay's observations, or another coordinator's request, with the announcement.
// Malformed observations are not answered.
func (n *Node) answerObservations(from *net.UDPAddr, data []byte) {
	var announcement []byte
	var err error
	n.update(func(now float64, core *Core) { announcement, err = core.ReceiveObservations(now, data) })
	if err == nil {
		n.sendDatagram(from.String(), failover.AnnouncementDatagram, announcement)
	}
}

func (n *Node) sendMessages(messages []consensus.OutgoingMessage) {
	for _, m := range messages {
		n.sendDatagram(m.To, failover.ConsensusDatagram, m.Data)
	}
}

// sendDatagram seals and sends a datagram. Errors are ignored, as everything that is lost is sent again.
func (n *Node) sendDatagram(to string, kind byte, data []byte) {
	address, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return
	}
	n.conn.WriteToUDP(membership.Seal(n.key, append([]byte{kind}, data...)), address)
}
