// Package jsonstream splits a byte stream into JSON objects and blank lines, whatever the layout of the objects:
// one a line, indented over several lines, or several on one line. It checks nesting only, so that an object that
// can never end is found at once; whether an object is valid JSON is for its decoder to find out.
package jsonstream

import (
	"bufio"
	"errors"
	"io"
)

// ErrNotObject reports that the stream holds something else than objects and white space.
var ErrNotObject = errors.New("a JSON object expected")

// ErrNesting reports a bracket that closes another kind of bracket.
var ErrNesting = errors.New("brackets that do not match")

// MaxObjectBytes is the size from which on an object ends the stream with bufio.ErrTooLong.
const MaxObjectBytes = 16 << 20

const initialBufferBytes = 4096

// Scanner reads one object or blank line after the other.
type Scanner struct {
	tokens      *bufio.Scanner
	scanned     int    // bytes of the pending object that were examined already
	closers     []byte // the brackets that close the open ones, the innermost last
	inString    bool
	escaped     bool // the next byte of the string stands for itself
	objectEnded bool // an object ended on the current line, so that the line's end is no blank line
}

// NewScanner returns a scanner that reads from r.
func NewScanner(r io.Reader) *Scanner {
	s := &Scanner{tokens: bufio.NewScanner(r)}
	s.tokens.Buffer(make([]byte, 0, initialBufferBytes), MaxObjectBytes)
	s.tokens.Split(s.split)
	return s
}

// Scan advances to the next object or blank line, and reports whether there is one.
func (s *Scanner) Scan() bool { return s.tokens.Scan() }

// Object returns what the last Scan found, empty for a blank line. It is valid until the next Scan.
func (s *Scanner) Object() []byte { return s.tokens.Bytes() }

// Err returns why Scan found nothing more: nil at the end of the stream, io.ErrUnexpectedEOF where that came
// within an object, ErrNotObject, ErrNesting, bufio.ErrTooLong, or the reader's error.
func (s *Scanner) Err() error { return s.tokens.Err() }

// split is a bufio.SplitFunc that remembers how far it got, so that each byte is examined once.
func (s *Scanner) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	start := 0
	if len(s.closers) == 0 {
		skipped, blankLine, err := s.skipSpace(data)
		if err != nil || blankLine {
			return skipped, data[:0], err
		}
		start = skipped
	}
	for i := max(s.scanned, start); i < len(data); i++ {
		complete, err := s.consume(data[i])
		if err != nil {
			return i, nil, err
		}
		if complete {
			s.scanned = 0
			s.objectEnded = true
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
func (s *Scanner) skipSpace(data []byte) (skipped int, blankLine bool, err error) {
	for i, c := range data {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			blankLine := !s.objectEnded
			s.objectEnded = false
			if blankLine {
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

// consume examines one byte of an object, and reports whether it completes it.
func (s *Scanner) consume(c byte) (complete bool, err error) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = c == '\\'
		s.inString = c != '"'
	case c == '"':
		s.inString = true
	case c == '{':
		s.closers = append(s.closers, '}')
	case c == '[':
		s.closers = append(s.closers, ']')
	case c == '}' || c == ']':
		return s.closeBracket(c)
	}
	return false, nil
}

// closeBracket reports whether the bracket closes the object's first one.
func (s *Scanner) closeBracket(c byte) (outermost bool, err error) {
	innermost := len(s.closers) - 1
	if s.closers[innermost] != c {
		return false, ErrNesting
	}
	s.closers = s.closers[:innermost]
	return innermost == 0, nil
}
