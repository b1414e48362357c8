// Package protocol parses the text protocol that clients and backends speak: lines that end with CRLF. It
// reads requests in place and keeps no copy of what it is given, except the part of a line whose end has not
// come. It knows no socket, no session and no balancer.
package protocol

import (
	"bytes"
	"errors"
)

// MaxLineBytes is the longest line, its end included.
const MaxLineBytes = 4096

// ErrLineTooLong says that a line had no end within MaxLineBytes.
var ErrLineTooLong = errors.New("line too long")

// LineSplitter cuts what comes in pieces into lines. The zero value is ready for use.
type LineSplitter struct {
	pending []byte // start of a line whose end has not come
}

// Next returns the first whole line of data, its end included, and what follows it. Without a whole line it
// returns nil and keeps the piece. The line is good as long as data is.
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
	s.pending = nil // not emptied: the line that is returned stands in it
	return line, data[end:], nil
}

// isTooLong reports whether the line, which ends there in data (0: not yet), can't keep to the bound.
func (s *LineSplitter) isTooLong(data []byte, end int) bool {
	if end == 0 {
		return len(s.pending)+len(data) >= MaxLineBytes
	}
	return len(s.pending)+end > MaxLineBytes
}

// HasPending reports whether the start of a line is kept.
func (s *LineSplitter) HasPending() bool { return len(s.pending) > 0 }

// Pending returns the start of a line whose end has not come, for Restore.
func (s *LineSplitter) Pending() []byte { return s.pending }

// Restore goes on from the start of a line that another LineSplitter kept.
func (s *LineSplitter) Restore(pending []byte) { s.pending = append([]byte(nil), pending...) }

// TrimLineEnd returns the line without its end.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// CutVerb cuts a line's first word from what follows.
func CutVerb(line []byte) (verb, rest []byte) {
	verb, rest, _ = bytes.Cut(TrimLineEnd(line), []byte(" "))
	return verb, rest
}
