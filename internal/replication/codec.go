package replication

import (
	"encoding/binary"
	"errors"
	"math"
)

// This file is the binary encoding of messages between relays, which is also that of stored records. Integers are
// varints, times are float64, strings are prefixed with a length of one byte, and all is little-endian. Messages in
// another version of the format are rejected: no record becomes durable between relays of two versions, and nothing
// else is lost.

const (
	formatVersion     = 1
	maxMessageBytes   = 4096
	maxMessageRecords = 4
)

var errMalformed = errors.New("decoding a replication message: malformed")

func appendString(to []byte, s string) []byte {
	to = append(to, byte(len(s)))
	return append(to, s...)
}

func appendFloat(to []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(to, math.Float64bits(f))
}

func appendBallot(to []byte, b ballot) []byte {
	to = binary.AppendUvarint(to, b.Round)
	return binary.AppendUvarint(to, b.Token)
}

func appendRecord(to []byte, r *Record) []byte {
	to = append(to, byte(r.Kind))
	to = appendString(to, r.Key)
	to = binary.AppendUvarint(to, r.ID)
	to = binary.AppendUvarint(to, r.Version)
	to = appendString(to, r.Owner)
	to = appendFloat(to, r.ValidFrom)
	to = appendFloat(to, r.ExpiresAt)
	to = binary.AppendUvarint(to, uint64(len(r.Body)))
	to = append(to, r.Body...)
	to = append(to, byte(len(r.Replicas)))
	for _, replica := range r.Replicas {
		to = appendString(to, replica.Name)
		to = binary.AppendUvarint(to, replica.Incarnation)
	}
	return to
}

// encode returns the message in the binary format.
func (m *message) encode() []byte {
	to := []byte{formatVersion, byte(m.Type)}
	to = binary.AppendUvarint(to, m.Token)
	to = appendString(to, m.From)
	to = binary.AppendUvarint(to, m.Incarnation)
	to = appendBallot(to, m.Ballot)
	to = appendBallot(to, m.AcceptedBallot)
	to = binary.AppendUvarint(to, m.Claimant)
	to = append(to, byte(len(m.Records)))
	for i := range m.Records {
		to = appendRecord(to, &m.Records[i])
	}
	return to
}

// decodeMessage decodes a message from the binary format.
func decodeMessage(data []byte) (message, error) {
	d := decoder{rest: data, malformed: len(data) > maxMessageBytes}
	d.require(d.uint8() == formatVersion)
	m := d.message()
	if d.malformed || len(d.rest) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}

// decoder reads fields in sequence. Once the data is known to be malformed, every further field reads as zero.
type decoder struct {
	rest      []byte
	malformed bool
}

// require marks the data as malformed unless the condition holds.
func (d *decoder) require(condition bool) {
	if !condition {
		d.malformed = true
	}
}

func (d *decoder) bytes(n int) []byte {
	d.require(n >= 0 && n <= len(d.rest))
	if d.malformed {
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) uint8() uint8 {
	b := d.bytes(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	d.require(size > 0)
	if d.malformed {
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) string() string {
	n := int(d.uint8())
	d.require(n <= maxKeyBytes)
	return string(d.bytes(n))
}

// float reads a float64 and rejects NaN and infinities.
func (d *decoder) float() float64 {
	b := d.bytes(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.LittleEndian.Uint64(b))
	d.require(!math.IsNaN(f) && !math.IsInf(f, 0))
	return f
}

func (d *decoder) ballot() ballot {
	var b ballot
	b.Round = d.uvarint()
	b.Token = d.uvarint()
	return b
}

func (d *decoder) kind() Kind {
	kind := Kind(d.uint8())
	d.require(kind > 0 && kind < kindLimit)
	return kind
}

// body reads a record's body and returns nil if it is empty.
func (d *decoder) body() []byte {
	n := d.uvarint()
	d.require(n <= maxBodyBytes)
	if d.malformed || n == 0 {
		return nil
	}
	return append([]byte(nil), d.bytes(int(n))...)
}

func (d *decoder) replicas() []Replica {
	count := int(d.uint8())
	d.require(count <= maxCopies)
	var replicas []Replica
	for i := 0; i < count && !d.malformed; i++ {
		var replica Replica
		replica.Name = d.string()
		replica.Incarnation = d.uvarint()
		replicas = append(replicas, replica)
	}
	return replicas
}

func (d *decoder) record() Record {
	var r Record
	r.Kind = d.kind()
	r.Key = d.string()
	r.ID = d.uvarint()
	r.Version = d.uvarint()
	r.Owner = d.string()
	r.ValidFrom = d.float()
	r.ExpiresAt = d.float()
	r.Body = d.body()
	r.Replicas = d.replicas()
	return r
}

func (d *decoder) message() message {
	var m message
	m.Type = messageType(d.uint8())
	d.require(m.Type > 0 && m.Type < messageTypeLimit)
	m.Token = d.uvarint()
	m.From = d.string()
	d.require(m.From != "")
	m.Incarnation = d.uvarint()
	m.Ballot = d.ballot()
	m.AcceptedBallot = d.ballot()
	m.Claimant = d.uvarint()
	count := int(d.uint8())
	d.require(count <= maxMessageRecords)
	for i := 0; i < count && !d.malformed; i++ {
		m.Records = append(m.Records, d.record())
	}
	return m
}
