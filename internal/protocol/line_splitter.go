// Package protocol parses the text protocol of clients and backends, whose lines end with CRLF. It parses
// requests in place and copies no input except the start of a line whose end has not arrived yet. It is
// independent of sockets, sessions and the balancer.
package protocol

import (
	"bytes"
	"errors"
)

// MaxLineBytes is the maximum length of a line, including its line end.
const MaxLineBytes = 4096

// ErrLineTooLong is returned if a line does not end within MaxLineBytes.
var ErrLineTooLong = errors.New("line too long")

// LineSplitter splits a stream that arrives in pieces into lines. The zero value is ready to use.
type LineSplitter struct {
	pending []byte // start of a line whose end has not arrived yet
}

// Next returns the first complete line of data, including its line end, and the data after it. If there is no
// complete line, it keeps a copy of data and returns nil. The line may share memory with data, and is valid
// only as long as data is.
func (s *LineSplitter) Next(data []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(data, '\n') + 1
	if s.isTooLong(data, end) {
		return nil, nil, ErrLineTooLong
	}
	if end == 0 {
		s.pending = append(s.pending, data...)
		return nil, nil, nil
	}
	if len(s.pending) == 0 {
		return data[:end], data[end:], nil
	}
	line = append(s.pending, data[:end]...)
	s.pending = nil // not s.pending[:0], as the returned line uses its memory
	return line, data[end:], nil
}

// isTooLong reports whether the line exceeds MaxLineBytes or is bound to. end is the offset behind its end in
// data; 0 if it does not end there.
func (s *LineSplitter) isTooLong(data []byte, end int) bool {
	if end == 0 {
		return len(s.pending)+len(data) >= MaxLineBytes
	}
	return len(s.pending)+end > MaxLineBytes
}

// HasPending reports whether the start of an incomplete line is kept.
func (s *LineSplitter) HasPending() bool { return len(s.pending) > 0 }

// Pending returns the start of an incomplete line, to be passed to Restore.
func (s *LineSplitter) Pending() []byte { return s.pending }

// Restore continues an incomplete line that Pending of another LineSplitter returned.
func (s *LineSplitter) Restore(pending []byte) { s.pending = append([]byte(nil), pending...) }

// TrimLineEnd returns the line without its LF or CRLF.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// CutVerb splits a line, without its line end, into its first word and the rest.
func CutVerb(line []byte) (verb, rest []byte) {
	verb, rest, _ = bytes.Cut(TrimLineEnd(line), []byte(" "))
	return verb, rest
}
