package replication

import (
	"encoding/binary"
	"errors"
	"math"
)

// What goes between relays, in a form of its own, as one client in a wave costs some of them. All of it has
// the same fields, each left at zero where it says nothing: the version, what it is, its token, who says it
// in which life, a ballot, an accepted one with whose it is, and the records it is about. Whole numbers are
// varints, times are float64, texts have a length of one byte, all little-endian. Another version is not
// read: where two formats meet, no promise is made between them, and nothing else is lost.

const (
	formatVersion     = 1
	maxKeyBytes       = 64
	maxBodyBytes      = 256
	maxMessageRecords = 4 // of a message
	maxMessageBytes   = 4096
)

type messageType uint8

const (
	messageStore   messageType = iota + 1 // hold this
	messageStored                         // it is on my disk
	messageReject                         // I don't, or not in that ballot: Ballot is the one I am bound to
	messageLookup                         // who holds records of that kind and key? Records[0] has just those
	messageFound                          // these; those of them that are taken say so
	messagePrepare                        // be bound to that ballot, for the record of that ID
	messagePromise                        // I am, and have accepted what is told, if anything
	messageAccept                         // it is By's
	messageAccepted
	messageDiscard // by its owner's word nobody was told of it: forget it
	messagePublish // its holders have it: say so to whoever seeks it
	messageTypeLimit
)

type message struct {
	Type           messageType
	Token          uint64
	From           string
	Incarnation    uint64
	Ballot         ballot
	AcceptedBallot ballot // zero: nobody has
	Claimant       uint64 // token of whose it is then
	Records        []Record
}

func appendString(to []byte, s string) []byte { return append(append(to, byte(len(s))), s...) }

func appendBallot(to []byte, b ballot) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(to, b.Round), b.Token)
}

func (r *Record) appendTo(to []byte) []byte {
	to = appendString(append(to, byte(r.Kind)), r.Key)
	to = binary.AppendUvarint(binary.AppendUvarint(to, r.ID), r.Version)
	to = appendString(to, r.Owner)
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.ValidFrom))
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.ExpiresAt))
	to = binary.AppendUvarint(to, uint64(len(r.Body)))
	to = append(append(to, r.Body...), byte(len(r.Replicas)))
	for _, h := range r.Replicas {
		to = binary.AppendUvarint(appendString(to, h.Name), h.Incarnation)
	}
	return to
}

func (m *message) encode() []byte {
	to := []byte{formatVersion, byte(m.Type)}
	to = appendString(binary.AppendUvarint(to, m.Token), m.From)
	to = binary.AppendUvarint(to, m.Incarnation)
	to = binary.AppendUvarint(appendBallot(appendBallot(to, m.Ballot), m.AcceptedBallot), m.Claimant)
	to = append(to, byte(len(m.Records)))
	for i := range m.Records {
		to = m.Records[i].appendTo(to)
	}
	return to
}

var errMalformed = errors.New("holdings: a message that can't be read")

// decoder goes through bytes; once they can't be right, all that is read is zero.
type decoder struct {
	data      []byte
	malformed bool
}

func (r *decoder) next(n int) []byte {
	if r.malformed = r.malformed || n < 0 || n > len(r.data); r.malformed {
		return nil
	}
	was := r.data[:n]
	r.data = r.data[n:]
	return was
}

func (r *decoder) uint8() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if r.malformed = r.malformed || size <= 0; r.malformed {
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *decoder) shortString() string {
	n := int(r.uint8())
	r.malformed = r.malformed || n > maxKeyBytes
	return string(r.next(n))
}

func (r *decoder) millis() float64 {
	b := r.next(8)
	if b == nil {
		return 0
	}
	t := math.Float64frombits(binary.LittleEndian.Uint64(b))
	r.malformed = r.malformed || math.IsNaN(t) || math.IsInf(t, 0)
	return t
}

func (r *decoder) ballot() ballot { return ballot{r.uvarint(), r.uvarint()} }

func (r *decoder) record() (x Record) {
	x.Kind, x.Key, x.ID, x.Version, x.Owner = Kind(r.uint8()), r.shortString(), r.uvarint(), r.uvarint(), r.shortString()
	x.ValidFrom, x.ExpiresAt = r.millis(), r.millis()
	n := r.uvarint()
	r.malformed = r.malformed || n > maxBodyBytes || x.Kind == 0 || x.Kind >= kindLimit
	if x.Body = append([]byte(nil), r.next(int(n))...); len(x.Body) == 0 {
		x.Body = nil
	}
	holders := int(r.uint8())
	r.malformed = r.malformed || holders > maxCopies
	for i := 0; i < holders && !r.malformed; i++ {
		x.Replicas = append(x.Replicas, Replica{r.shortString(), r.uvarint()})
	}
	return x
}

func decodeMessage(data []byte) (m message, err error) {
	r := decoder{data: data, malformed: len(data) > maxMessageBytes}
	r.malformed = r.uint8() != formatVersion || r.malformed
	m.Type, m.Token, m.From, m.Incarnation = messageType(r.uint8()), r.uvarint(), r.shortString(), r.uvarint()
	m.Ballot, m.AcceptedBallot, m.Claimant = r.ballot(), r.ballot(), r.uvarint()
	count := int(r.uint8())
	r.malformed = r.malformed || count > maxMessageRecords || m.Type == 0 || m.Type >= messageTypeLimit || m.From == ""
	for i := 0; i < count && !r.malformed; i++ {
		m.Records = append(m.Records, r.record())
	}
	if r.malformed || len(r.data) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
