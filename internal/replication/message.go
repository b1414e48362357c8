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
	formVersion = 1
	mostKey     = 64
	mostBody    = 256
	mostRecords = 4 // of a message
	mostFrame   = 4096
)

type what uint8

const (
	put    what = iota + 1 // hold this
	held                   // it is on my disk
	refuse                 // I don't, or not in that ballot: Ballot is the one I am bound to
	seek                   // who holds records of that kind and key? Records[0] has just those
	found                  // these; those of them that are taken say so
	bind                   // be bound to that ballot, for the record of that ID
	bound                  // I am, and have accepted what is told, if anything
	accept                 // it is By's
	accepted
	dropped // by its owner's word nobody was told of it: forget it
	point   // its holders have it: say so to whoever seeks it
	kinds
)

type message struct {
	What    what
	Token   uint64
	From    string
	Life    uint64
	Ballot  ballot
	Taken   ballot // zero: nobody has
	By      uint64 // token of whose it is then
	Records []Record
}

func appendText(to []byte, s string) []byte { return append(append(to, byte(len(s))), s...) }

func appendBallot(to []byte, b ballot) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(to, b.Round), b.Token)
}

func (r *Record) append(to []byte) []byte {
	to = appendText(append(to, byte(r.Kind)), r.Key)
	to = binary.AppendUvarint(binary.AppendUvarint(to, r.ID), r.Version)
	to = appendText(to, r.Owner)
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.ValidFrom))
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.ExpiresAt))
	to = binary.AppendUvarint(to, uint64(len(r.Body)))
	to = append(append(to, r.Body...), byte(len(r.Replicas)))
	for _, h := range r.Replicas {
		to = binary.AppendUvarint(appendText(to, h.Name), h.Incarnation)
	}
	return to
}

func (m *message) text() []byte {
	to := []byte{formVersion, byte(m.What)}
	to = appendText(binary.AppendUvarint(to, m.Token), m.From)
	to = binary.AppendUvarint(to, m.Life)
	to = binary.AppendUvarint(appendBallot(appendBallot(to, m.Ballot), m.Taken), m.By)
	to = append(to, byte(len(m.Records)))
	for i := range m.Records {
		to = m.Records[i].append(to)
	}
	return to
}

var errForm = errors.New("holdings: a message that can't be read")

// reader goes through bytes; once they can't be right, all that is read is zero.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if r.bad = r.bad || n < 0 || n > len(r.data); r.bad {
		return nil
	}
	was := r.data[:n]
	r.data = r.data[n:]
	return was
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if r.bad = r.bad || size <= 0; r.bad {
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) text() string {
	n := int(r.byte())
	r.bad = r.bad || n > mostKey
	return string(r.take(n))
}

func (r *reader) time() float64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	t := math.Float64frombits(binary.LittleEndian.Uint64(b))
	r.bad = r.bad || math.IsNaN(t) || math.IsInf(t, 0)
	return t
}

func (r *reader) ballot() ballot { return ballot{r.number(), r.number()} }

func (r *reader) record() (x Record) {
	x.Kind, x.Key, x.ID, x.Version, x.Owner = Kind(r.byte()), r.text(), r.number(), r.number(), r.text()
	x.ValidFrom, x.ExpiresAt = r.time(), r.time()
	n := r.number()
	r.bad = r.bad || n > mostBody || x.Kind == 0 || x.Kind >= lastKind
	if x.Body = append([]byte(nil), r.take(int(n))...); len(x.Body) == 0 {
		x.Body = nil
	}
	holders := int(r.byte())
	r.bad = r.bad || holders > mostCopies
	for i := 0; i < holders && !r.bad; i++ {
		x.Replicas = append(x.Replicas, Replica{r.text(), r.number()})
	}
	return x
}

func readMessage(data []byte) (m message, err error) {
	r := reader{data: data, bad: len(data) > mostFrame}
	r.bad = r.byte() != formVersion || r.bad
	m.What, m.Token, m.From, m.Life = what(r.byte()), r.number(), r.text(), r.number()
	m.Ballot, m.Taken, m.By = r.ballot(), r.ballot(), r.number()
	count := int(r.byte())
	r.bad = r.bad || count > mostRecords || m.What == 0 || m.What >= kinds || m.From == ""
	for i := 0; i < count && !r.bad; i++ {
		m.Records = append(m.Records, r.record())
	}
	if r.bad || len(r.data) > 0 {
		return message{}, errForm
	}
	return m, nil
}
