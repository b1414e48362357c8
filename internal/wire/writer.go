package wire

import (
	"encoding/binary"
	"io"
	"math"
)

const (
	replyHeaderSize = 12      // length of a reply's header in bytes: frame length, number of records, batch number
	firstReplySize  = 1 << 12 // capacity of the first reply's buffer, in bytes
)

// Writer builds one reply after the other. Its methods return it, so that calls can be chained.
type Writer struct {
	out     io.Writer
	buffer  []byte // the reply so far, beginning with room for the header
	records uint32 // number of actions in the reply so far
}

// NewWriter returns a Writer that sends replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, buffer: make([]byte, replyHeaderSize, firstReplySize)}
}

// Begin starts an action by writing its code.
func (w *Writer) Begin(code ActionCode) *Writer {
	w.records++
	return w.Uint16(uint16(code))
}

// Uint8 writes one byte.
func (w *Writer) Uint8(value uint8) *Writer {
	w.buffer = append(w.buffer, value)
	return w
}

// Uint16 writes two bytes.
func (w *Writer) Uint16(value uint16) *Writer {
	w.buffer = binary.LittleEndian.AppendUint16(w.buffer, value)
	return w
}

// Uint32 writes four bytes.
func (w *Writer) Uint32(value uint32) *Writer {
	w.buffer = binary.LittleEndian.AppendUint32(w.buffer, value)
	return w
}

// Float64 writes a float of eight bytes.
func (w *Writer) Float64(value float64) *Writer {
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, math.Float64bits(value))
	return w
}

// Text writes a text after its length, which takes two bytes. A text of more than 65535 bytes is truncated.
func (w *Writer) Text(text string) *Writer {
	text = text[:min(len(text), math.MaxUint16)]
	w.Uint16(uint16(len(text)))
	w.buffer = append(w.buffer, text...)
	return w
}

// SendReply sends the reply to the batch with that number, and starts the next reply.
func (w *Writer) SendReply(number uint32) error {
	binary.LittleEndian.PutUint32(w.buffer[0:], uint32(len(w.buffer)))
	binary.LittleEndian.PutUint32(w.buffer[4:], w.records)
	binary.LittleEndian.PutUint32(w.buffer[8:], number)
	_, err := w.out.Write(w.buffer)
	w.buffer = w.buffer[:replyHeaderSize]
	w.records = 0
	return err
}
