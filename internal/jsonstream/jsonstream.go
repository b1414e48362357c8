// Package jsonstream splits a byte stream into JSON objects and blank lines, whatever the layout of the objects:
// one a line, indented over several lines, or several on one line. It checks nesting only, so that an object which
// can never end is found out at once; whether one is valid JSON is for its reader to find out.
package jsonstream

import (
	"bufio"
	"errors"
	"io"
)

// ErrNotObject says that the stream holds something else than objects and white space.
var ErrNotObject = errors.New("a JSON object expected")

// ErrNesting says that a bracket closes another kind of bracket.
var ErrNesting = errors.New("brackets that do not match")

// MaxObjectBytes is the size in bytes from which on an object is refused with bufio.ErrTooLong.
const MaxObjectBytes = 16 << 20

const initialBufferBytes = 4096

// Scanner reads one object or blank line after the other.
type Scanner struct {
	tokens      *bufio.Scanner
	scanned     int    // bytes of the pending object that were looked at already
	closers     []byte // the brackets that are open, by those that close them
	inString    bool
	escaped     bool
	objectEnded bool // an object ended on the current line, whose end is no blank line
}

// NewScanner reads from r.
func NewScanner(r io.Reader) *Scanner {
	s := &Scanner{tokens: bufio.NewScanner(r)}
	s.tokens.Buffer(make([]byte, 0, initialBufferBytes), MaxObjectBytes)
	s.tokens.Split(s.split)
	return s
}

// Scan advances to the next object or blank line, and tells whether there is one.
func (s *Scanner) Scan() bool { return s.tokens.Scan() }

// Object is the object found by the last Scan, good until the next; it is empty for a blank line.
func (s *Scanner) Object() []byte { return s.tokens.Bytes() }

// Err is why Scan found nothing more; nil at the end of the stream.
func (s *Scanner) Err() error { return s.tokens.Err() }

// split is a bufio.SplitFunc that keeps where it got to, so that each byte is looked at once.
func (s *Scanner) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	start := 0
	if len(s.closers) == 0 {
		blank := false
		if start, blank, err = s.skipSpace(data); err != nil || blank {
			return start, data[:0], err
		}
	}
	for i := max(s.scanned, start); i < len(data); i++ {
		last, err := s.consume(data[i])
		if err != nil {
			return i, nil, err
		}
		if last {
			s.scanned, s.objectEnded = 0, true
			return i + 1, data[start : i+1], nil
		}
	}
	s.scanned = len(data) - start
	if atEOF && len(s.closers) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return start, nil, nil
}

// skipSpace passes over white space before an object, up to the end of a blank line.
func (s *Scanner) skipSpace(data []byte) (n int, blank bool, err error) {
	for i, c := range data {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			blank, s.objectEnded = !s.objectEnded, false
			if blank {
				return i + 1, true, nil
			}
		case '{':
			return i, false, nil
		default:
			return i, false, ErrNotObject
		}
	}
	return len(data), false, nil
}

// consume takes one byte of an object and tells whether it is the last.
func (s *Scanner) consume(c byte) (last bool, err error) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = c == '\\', c != '"'
	case c == '"':
		s.inString = true
	case c == '{':
		s.closers = append(s.closers, '}')
	case c == '[':
		s.closers = append(s.closers, ']')
	case c == '}' || c == ']':
		inner := len(s.closers) - 1
		if s.closers[inner] != c {
			return false, ErrNesting
		}
		s.closers = s.closers[:inner]
		return inner == 0, nil
	}
	return false, nil
}
