package fleet

import (
	"errors"
	"net"

	"valeshift/internal/membership"
)

// maxDatagramBytes is of a coordinator's announcement on many zones.
const maxDatagramBytes = 32 << 10

// sockets are where other relays and coordinators reach a node. The zero value is none.
type sockets struct {
	datagrams *net.UDPConn
	queries   net.Listener
}

// listen opens both sockets at that address.
func listen(address string) (sockets, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return sockets{}, err
	}
	datagrams, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return sockets{}, err
	}
	queries, err := net.Listen("tcp", address)
	if err != nil {
		datagrams.Close()
		return sockets{}, err
	}
	return sockets{datagrams: datagrams, queries: queries}, nil
}

func (s *sockets) areOpen() bool { return s.datagrams != nil }

// close ends receive, and the accepting of queries.
func (s *sockets) close() {
	if s.areOpen() {
		s.datagrams.Close()
		s.queries.Close()
	}
}

// send sends a datagram. An error is a loss: whatever is lost is said again.
func (s *sockets) send(d *membership.Datagram) {
	if to, err := net.ResolveUDPAddr("udp", d.To); err == nil {
		s.datagrams.WriteToUDP(d.Data, to)
	}
}

// receive gives take each datagram, until the socket is closed. The data are valid during the call only.
func (s *sockets) receive(take func(from string, data []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := s.datagrams.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			take(from.String(), buffer[:size])
		}
	}
}
