package fleet

import (
	"errors"
	"net"

	"valeshift/internal/membership"
)

// maxDatagramBytes is the size of the receive buffer. A coordinator's announcement about many zones fits into it.
const maxDatagramBytes = 32 << 10

// sockets are a node's sockets for other relays and coordinators. The zero value has none.
type sockets struct {
	datagrams *net.UDPConn
	queries   net.Listener // for TCP connections of relays that query this one
}

// listen opens both sockets at the address.
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

// close closes the sockets, which ends receive and the loop that accepts queries.
func (s *sockets) close() {
	if s.areOpen() {
		s.datagrams.Close()
		s.queries.Close()
	}
}

// send sends a datagram. An error is ignored like a loss on the network, as every protocol here sends again what was
// lost.
func (s *sockets) send(d *membership.Datagram) {
	if to, err := net.ResolveUDPAddr("udp", d.To); err == nil {
		s.datagrams.WriteToUDP(d.Data, to)
	}
}

// receive calls handle for each datagram until the socket is closed. The data is valid only during the call.
func (s *sockets) receive(handle func(from string, data []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := s.datagrams.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(from.String(), buffer[:size])
		}
	}
}
