// Package wire reads and writes the simulator's protocol. Its frames are little-endian: each holds a batch of events or
// the reply to a batch, which consists of actions. The package implements frames, fields and codes; which fields a
// record has is up to package adapter.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// batchHeaderSize is the length of a batch's header in bytes: number of records, frame length, clock, batch number.
const batchHeaderSize = 20

// readBufferSize is the size of the input buffer, in bytes.
const readBufferSize = 1 << 16

// ErrEndOfInput is returned when the input has ended between two batches.
var ErrEndOfInput = errors.New("end of input")

// Reader reads one batch after the other, and the fields of the batch that was read last. The first field that is
// truncated sets Err; that read and all later ones return zero.
type Reader struct {
	Err     error   // first error in reading the batch's fields
	Records int     // number of records in the batch
	Clock   float64 // time of the batch, in milliseconds
	Number  uint32  // number of the batch

	in     *bufio.Reader
	frame  bytes.Buffer
	header [batchHeaderSize]byte
	body   []byte // the frame without its header
	offset int    // position of the next field in body
}

// NewReader returns a Reader that reads batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize)}
}

// NewFieldReader returns a Reader for the fields in a byte slice, without a batch.
func NewFieldReader(fields []byte) *Reader { return &Reader{body: fields} }

// ReadBatch reads the whole next batch, so that a truncated batch has no effect. It returns ErrEndOfInput if the input
// ends instead.
func (r *Reader) ReadBatch() error {
	n, err := io.ReadFull(r.in, r.header[:])
	if err == io.EOF {
		return ErrEndOfInput
	}
	if err != nil {
		return fmt.Errorf("offset %d: a batch header of %d bytes expected: %w", n, batchHeaderSize, err)
	}
	r.Records = int(binary.LittleEndian.Uint32(r.header[0:]))
	size := int64(binary.LittleEndian.Uint32(r.header[4:]))
	r.Clock = math.Float64frombits(binary.LittleEndian.Uint64(r.header[8:]))
	r.Number = binary.LittleEndian.Uint32(r.header[16:])
	if err := r.readBody(size); err != nil {
		return err
	}
	if 2*int64(r.Records) > int64(len(r.body)) {
		return fmt.Errorf("offset 0: %d bytes cannot hold %d records", len(r.body), r.Records)
	}
	if math.IsNaN(r.Clock) || math.IsInf(r.Clock, 0) {
		return fmt.Errorf("offset 8: a finite clock expected, got %v", r.Clock)
	}
	return nil
}

// readBody reads what follows the header of a frame of that size. The buffer grows with the bytes that arrive, not to
// the claimed size, which may be wrong.
func (r *Reader) readBody(size int64) error {
	if size < batchHeaderSize {
		return fmt.Errorf("offset 4: a frame length of %d or more expected, got %d", batchHeaderSize, size)
	}
	r.frame.Reset()
	read, err := io.CopyN(&r.frame, r.in, size-batchHeaderSize)
	if err != nil {
		return fmt.Errorf("offset %d: a frame of %d bytes expected: %w", batchHeaderSize+read, size, err)
	}
	r.body = r.frame.Bytes()
	r.offset = 0
	r.Err = nil
	return nil
}

// CheckEnd returns an error if a field could not be read, or if bytes of the frame are left.
func (r *Reader) CheckEnd() error {
	if r.Err == nil && r.offset != len(r.body) {
		return fmt.Errorf("offset %d: the end of the frame expected, %d bytes are left", r.Offset(),
			len(r.body)-r.offset)
	}
	return r.Err
}

// Offset returns the position of the next field, counted from the start of the frame.
func (r *Reader) Offset() int { return batchHeaderSize + r.offset }

// Bytes returns the next n bytes, or nil if fewer are left. The slice is valid until the next batch is read.
func (r *Reader) Bytes(n int) []byte {
	if r.Err == nil && n > len(r.body)-r.offset {
		r.Err = fmt.Errorf("offset %d: %d bytes of a record expected, %d are left", r.Offset(), n,
			len(r.body)-r.offset)
	}
	if r.Err != nil {
		return nil
	}
	field := r.body[r.offset : r.offset+n]
	r.offset += n
	return field
}

// Elements returns the bytes of the next count elements of size bytes each. The count may come from the input, so it is
// checked against the bytes that are left.
func (r *Reader) Elements(count, size int) []byte {
	if r.Err == nil && count > (len(r.body)-r.offset)/size {
		r.Err = fmt.Errorf("offset %d: %d elements of %d bytes expected, %d bytes are left", r.Offset(), count, size,
			len(r.body)-r.offset)
		return nil
	}
	return r.Bytes(count * size)
}

// EventCode reads the code that a record begins with.
func (r *Reader) EventCode() EventCode { return EventCode(r.Uint16()) }

// Uint8 reads one byte.
func (r *Reader) Uint8() uint8 {
	if field := r.Bytes(1); field != nil {
		return field[0]
	}
	return 0
}

// Uint16 reads two bytes.
func (r *Reader) Uint16() uint16 {
	if field := r.Bytes(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

// Uint32 reads four bytes.
func (r *Reader) Uint32() uint32 {
	if field := r.Bytes(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

// Uint64 reads eight bytes.
func (r *Reader) Uint64() uint64 {
	if field := r.Bytes(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

// Float32 reads a float of four bytes.
func (r *Reader) Float32() float64 { return float64(math.Float32frombits(r.Uint32())) }

// Float64 reads a float of eight bytes.
func (r *Reader) Float64() float64 { return math.Float64frombits(r.Uint64()) }

// LoadReport reads a load report: a count and as many floats of four bytes. It returns them in buffer, extended if
// necessary.
func (r *Reader) LoadReport(buffer []float64) []float64 {
	buffer = buffer[:0]
	for count := int(r.Uint8()); count > 0 && r.Err == nil; count-- {
		buffer = append(buffer, r.Float32())
	}
	return buffer
}
