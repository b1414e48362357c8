package wire

import (
	"encoding/binary"
	"io"
	"math"
)

const (
	replyHeaderSize = 12 // bytes: frame length, records, number of the batch
	firstReplySize  = 1 << 12
)

// Writer builds one reply after the other. Its methods return it, so that fields can be written in a chain.
type Writer struct {
	out     io.Writer
	buffer  []byte
	records uint32
}

// NewWriter returns a Writer of replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, buffer: make([]byte, replyHeaderSize, firstReplySize)}
}

// Begin begins an action.
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

// Text writes a text behind its length, cut to the longest that can be.
func (w *Writer) Text(text string) *Writer {
	text = text[:min(len(text), math.MaxUint16)]
	w.Uint16(uint16(len(text)))
	w.buffer = append(w.buffer, text...)
	return w
}

// SendReply sends the reply to the batch of that number and begins the next one.
func (w *Writer) SendReply(number uint32) error {
	binary.LittleEndian.PutUint32(w.buffer[0:], uint32(len(w.buffer)))
	binary.LittleEndian.PutUint32(w.buffer[4:], w.records)
	binary.LittleEndian.PutUint32(w.buffer[8:], number)
	_, err := w.out.Write(w.buffer)
	w.buffer = w.buffer[:replyHeaderSize]
	w.records = 0
	return err
}
