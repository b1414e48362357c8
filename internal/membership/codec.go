package membership

import (
	"encoding/binary"
	"errors"
	"math"
)

// A datagram consists of a header, member states and a tag that authenticates both. Fixed-size numbers are
// little-endian.
//
//	magic "vsp", version                4 bytes
//	1 if the sender asks for an answer  1 byte
//	number of states                    2 bytes
//	sender's clock in milliseconds,     8 bytes
//	as a float64
//	states, the sender's own first      variable
//	tag                                 datagramTagBytes
//
// A state consists of the name, zone, region and address, each preceded by its length in one byte; a byte of flags
// (bit 0 is draining, the bits above it are the phase); the incarnation in 8 bytes; and the numbers in the order of
// appendState as varints.
const (
	protocolVersion  = 2
	headerBytes      = 4 + 1 + 2 + 8
	asksOffset       = 4
	countOffset      = 5
	clockOffset      = 7
	maxDatagramBytes = 1200 // bytes of a datagram, which fit into one packet on any network
	maxTextBytes     = 64   // bytes of a name, zone, region or address; longer ones are truncated
	maxAgeMillis     = 1e15 // milliseconds; higher ages are sent as this
	stateNumbers     = 8    // number of varints in a state
)

var magic = [4]byte{'v', 's', 'p', protocolVersion}

var errMalformed = errors.New("decode membership datagram: malformed")

// datagramBody is the decoded content of a datagram.
type datagramBody struct {
	asksForAnswer bool
	clock         float64       // the sender's clock in milliseconds; may be NaN or infinite
	states        []MemberState // the sender's own state first
}

// appendHeader appends the header of a datagram. The number of states is filled in by setStateCount.
func appendHeader(to []byte, asksForAnswer bool, clock float64) []byte {
	to = append(to, magic[:]...)
	asks := byte(0)
	if asksForAnswer {
		asks = 1
	}
	to = append(to, asks)
	to = append(to, 0, 0)
	return binary.LittleEndian.AppendUint64(to, math.Float64bits(clock))
}

func setStateCount(datagram []byte, count int) {
	binary.LittleEndian.PutUint16(datagram[countOffset:], uint16(count))
}

// decodeDatagram decodes a datagram whose tag has been removed. A datagram without states is malformed.
func decodeDatagram(body []byte) (datagramBody, error) {
	if len(body) < headerBytes {
		return datagramBody{}, errMalformed
	}
	count := int(binary.LittleEndian.Uint16(body[countOffset:]))
	states, err := decodeStates(body[headerBytes:], count)
	if err != nil {
		return datagramBody{}, err
	}
	if len(states) == 0 {
		return datagramBody{}, errMalformed
	}
	return datagramBody{
		asksForAnswer: body[asksOffset] == 1,
		clock:         math.Float64frombits(binary.LittleEndian.Uint64(body[clockOffset:])),
		states:        states,
	}, nil
}

// appendState appends the encoding of a state.
func appendState(to []byte, s MemberState) []byte {
	for _, text := range []string{s.Name, s.Zone, s.Region, s.Address} {
		text = text[:min(len(text), maxTextBytes)]
		to = append(to, byte(len(text)))
		to = append(to, text...)
	}
	flags := s.Phase << 1
	if s.Draining {
		flags |= 1
	}
	to = append(to, flags)
	to = binary.LittleEndian.AppendUint64(to, s.Incarnation)
	numbers := [stateNumbers]uint64{
		s.Boot,
		s.Heartbeat,
		uint64(min(max(s.AgeMillis, 0), maxAgeMillis)),
		s.EndpointsVersion,
		uint64(s.WaitingClients),
		uint64(s.Sessions),
		s.OrderNumber,
		s.PlacedLoad,
	}
	for _, n := range numbers {
		to = binary.AppendUvarint(to, n)
	}
	return to
}

// decodeStates decodes count states, which must take up all of data.
func decodeStates(data []byte, count int) (states []MemberState, err error) {
	for range count {
		var s MemberState
		s, data, err = decodeState(data)
		if err != nil {
			return nil, err
		}
		states = append(states, s)
	}
	if len(data) > 0 {
		return nil, errMalformed
	}
	return states, nil
}

// decodeState decodes one state and returns the data after it.
func decodeState(data []byte) (s MemberState, rest []byte, err error) {
	for _, text := range []*string{&s.Name, &s.Zone, &s.Region, &s.Address} {
		*text, data, err = decodeText(data)
		if err != nil {
			return s, nil, err
		}
	}
	if len(data) < 9 || s.Name == "" {
		return s, nil, errMalformed
	}
	flags := data[0]
	s.Phase = flags >> 1
	s.Draining = flags&1 == 1
	s.Incarnation = binary.LittleEndian.Uint64(data[1:])
	data = data[9:]
	var numbers [stateNumbers]uint64
	for i := range numbers {
		n, size := binary.Uvarint(data)
		if size <= 0 {
			return s, nil, errMalformed
		}
		numbers[i] = n
		data = data[size:]
	}
	boot, waitingClients, sessions := numbers[0], numbers[4], numbers[5]
	// RestoreBoot adds 1 to a boot number, so the highest number is not accepted.
	if boot == math.MaxUint64 || waitingClients > math.MaxUint32 || sessions > math.MaxUint32 {
		return s, nil, errMalformed
	}
	s.Boot = boot
	s.Heartbeat = numbers[1]
	s.AgeMillis = float64(numbers[2])
	s.EndpointsVersion = numbers[3]
	s.WaitingClients = uint32(waitingClients)
	s.Sessions = uint32(sessions)
	s.OrderNumber = numbers[6]
	s.PlacedLoad = numbers[7]
	return s, data, nil
}

// decodeText decodes a text preceded by its length in one byte and returns the data after it.
func decodeText(data []byte) (text string, rest []byte, err error) {
	if len(data) < 1 {
		return "", nil, errMalformed
	}
	length := int(data[0])
	if length > maxTextBytes || len(data) < 1+length {
		return "", nil, errMalformed
	}
	return string(data[1 : 1+length]), data[1+length:], nil
}
