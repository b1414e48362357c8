// Package wire frames batches and replies, and reads and writes the fields of their records.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
)

// Codes of what is received.
const (
	Incoming uint16 = 256 + iota
	Vanished
	Accepted
	DirectoryUpdate
	Fired
	Resumed
	Health
	About
	HintUpdate
	CrashNow
	NeighbourSays
	Hello
	SnapshotRows
	Completed
)

// Codes of what is sent.
const (
	Assign uint16 = 320 + iota
	NotNow
	RespondError
	Abandon
	Schedule
	Test
	Disconnect
	BroadcastTo
	Emit
	InternalError
	Subscribe
	Lookup
	Transfer
	OnBehalf
)

const batchHeader, replyHeader = 20, 12

// EndpointSize is the length of one list entry, in bytes.
const EndpointSize = 21

// ErrEndOfInput says that the input ended between two batches.
var ErrEndOfInput = errors.New("end of input")

// Reader reads one batch after the other, and the fields of the batch in hand. The first field that is
// not there whole sets Err; every later read gives zero.
type Reader struct {
	in     *bufio.Reader
	frame  bytes.Buffer
	head   [batchHeader]byte
	body   []byte
	offset int
	Err    error

	Records int
	Clock   float64
	Number  uint32
}

// NewReader reads batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16)}
}

// ReadBatch takes the next batch whole, so that nothing is acted on before all of it is here.
func (r *Reader) ReadBatch() error {
	n, err := io.ReadFull(r.in, r.head[:])
	if err == io.EOF {
		return ErrEndOfInput
	}
	if err != nil {
		return fmt.Errorf("offset %d: a batch header of %d bytes expected: %w", n, batchHeader, err)
	}
	r.Records = int(binary.LittleEndian.Uint32(r.head[0:]))
	size := int64(binary.LittleEndian.Uint32(r.head[4:]))
	r.Clock = math.Float64frombits(binary.LittleEndian.Uint64(r.head[8:]))
	r.Number = binary.LittleEndian.Uint32(r.head[16:])
	if size < batchHeader {
		return fmt.Errorf("offset 4: a frame length of %d or more expected, got %d", batchHeader, size)
	}
	// Against a length that lies: the buffer grows with the bytes that come, not with what is claimed.
	r.frame.Reset()
	got, err := io.CopyN(&r.frame, r.in, size-batchHeader)
	if err != nil {
		return fmt.Errorf("offset %d: a frame of %d bytes expected: %w", batchHeader+got, size, err)
	}
	r.body, r.offset, r.Err = r.frame.Bytes(), 0, nil
	if 2*int64(r.Records) > int64(len(r.body)) {
		return fmt.Errorf("offset 0: %d bytes cannot hold %d records", len(r.body), r.Records)
	}
	if math.IsNaN(r.Clock) || math.IsInf(r.Clock, 0) {
		return fmt.Errorf("offset 8: a finite clock expected, got %v", r.Clock)
	}
	return nil
}

// CheckEnd tells whether the records filled the frame to its end.
func (r *Reader) CheckEnd() error {
	if r.Err == nil && r.offset != len(r.body) {
		return fmt.Errorf("offset %d: the end of the frame expected, %d bytes are left",
			r.Offset(), len(r.body)-r.offset)
	}
	return r.Err
}

// Offset is where the next field begins, from the start of the frame.
func (r *Reader) Offset() int { return batchHeader + r.offset }

// Bytes gives the next n bytes; they are good until the next batch.
func (r *Reader) Bytes(n int) []byte {
	if r.Err == nil && n > len(r.body)-r.offset {
		r.Err = fmt.Errorf("offset %d: %d bytes of a record expected, %d are left",
			r.Offset(), n, len(r.body)-r.offset)
	}
	if r.Err != nil {
		return nil
	}
	b := r.body[r.offset : r.offset+n]
	r.offset += n
	return b
}

// Uint8 reads one byte.
func (r *Reader) Uint8() uint8 {
	if b := r.Bytes(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint16 reads two bytes.
func (r *Reader) Uint16() uint16 {
	if b := r.Bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// Uint32 reads four bytes.
func (r *Reader) Uint32() uint32 {
	if b := r.Bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads eight bytes.
func (r *Reader) Uint64() uint64 {
	if b := r.Bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// Float32 reads a short float.
func (r *Reader) Float32() float64 { return float64(math.Float32frombits(r.Uint32())) }

// Float64 reads a float.
func (r *Reader) Float64() float64 { return math.Float64frombits(r.Uint64()) }

// Elements reads n elements of the given size, n standing before them.
func (r *Reader) Elements(n int, size int) []byte {
	if r.Err == nil && n > (len(r.body)-r.offset)/size {
		r.Err = fmt.Errorf("offset %d: %d elements of %d bytes expected, %d bytes are left",
			r.Offset(), n, size, len(r.body)-r.offset)
		return nil
	}
	return r.Bytes(n * size)
}

// LoadReport reads a load report into buf.
func (r *Reader) LoadReport(buf []float64) []float64 {
	buf = buf[:0]
	for n := int(r.Uint8()); n > 0 && r.Err == nil; n-- {
		buf = append(buf, r.Float32())
	}
	return buf
}

// NewFieldReader returns a reader of fields over bytes that were read before.
func NewFieldReader(b []byte) *Reader { return &Reader{body: b} }

// Writer builds one reply.
type Writer struct {
	out     io.Writer
	buf     []byte
	records uint32
}

// NewWriter writes replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, buf: make([]byte, replyHeader, 1<<12)}
}

// Begin begins an action.
func (w *Writer) Begin(code uint16) *Writer {
	w.records++
	return w.Uint16(code)
}

// Uint8 writes one byte.
func (w *Writer) Uint8(v uint8) *Writer { w.buf = append(w.buf, v); return w }

// Uint16 writes two bytes.
func (w *Writer) Uint16(v uint16) *Writer {
	w.buf = binary.LittleEndian.AppendUint16(w.buf, v)
	return w
}

// Uint32 writes four bytes.
func (w *Writer) Uint32(v uint32) *Writer {
	w.buf = binary.LittleEndian.AppendUint32(w.buf, v)
	return w
}

// Float64 writes a float.
func (w *Writer) Float64(v float64) *Writer {
	w.buf = binary.LittleEndian.AppendUint64(w.buf, math.Float64bits(v))
	return w
}

// Text writes a counted text.
func (w *Writer) Text(s string) *Writer {
	s = s[:min(len(s), math.MaxUint16)]
	w.Uint16(uint16(len(s)))
	w.buf = append(w.buf, s...)
	return w
}

// SendReply sends the reply to batch number and begins the next one.
func (w *Writer) SendReply(number uint32) error {
	binary.LittleEndian.PutUint32(w.buf[0:], uint32(len(w.buf)))
	binary.LittleEndian.PutUint32(w.buf[4:], w.records)
	binary.LittleEndian.PutUint32(w.buf[8:], number)
	_, err := w.out.Write(w.buf)
	w.buf, w.records = w.buf[:replyHeader], 0
	return err
}

// ParseSettings reads lines of path=value. A line without '=' says nothing and is passed over.
func ParseSettings(text string) map[string]string {
	pairs := make(map[string]string, strings.Count(text, "\n")+1)
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			pairs[strings.TrimSpace(path)] = strings.TrimSpace(value)
		}
	}
	return pairs
}
