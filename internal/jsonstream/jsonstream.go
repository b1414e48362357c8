// Package jsonstream splits a byte stream into JSON objects and blank lines, whatever the layout of the objects:
// one per line, indented over several lines, or several on one line. It checks only that brackets match, so that an
// object that can never end is detected at once; whether an object is valid JSON is left to its decoder.
package jsonstream

import (
	"bufio"
	"errors"
	"io"
)

// ErrNotObject reports that the stream has something other than objects and white space.
var ErrNotObject = errors.New("a JSON object expected")

// ErrNesting reports a closing bracket of another kind than the innermost open bracket.
var ErrNesting = errors.New("brackets that do not match")

// MaxObjectBytes limits the size of objects: one of this size or larger ends the stream with bufio.ErrTooLong.
const MaxObjectBytes = 16 << 20

const initialBufferBytes = 4096

// Scanner reads objects and blank lines one by one.
type Scanner struct {
	tokens      *bufio.Scanner
	scanned     int    // number of bytes of the pending object that were examined already
	closers     []byte // closing brackets that match the open ones, the innermost last
	inString    bool   // the next byte is within a string
	escaped     bool   // the next byte follows a backslash in a string
	objectEnded bool   // an object ended on the current line, so that the rest of the line is not a blank line
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

// Object returns the object that the last Scan found, or an empty slice for a blank line. It is valid until the next
// Scan.
func (s *Scanner) Object() []byte { return s.tokens.Bytes() }

// Err returns the error that ended Scan: nil at the end of the stream, io.ErrUnexpectedEOF if the stream ended within
// an object, ErrNotObject, ErrNesting, bufio.ErrTooLong, or the reader's error.
func (s *Scanner) Err() error { return s.tokens.Err() }

// split is a bufio.SplitFunc that keeps its position in the pending object, so that each byte is examined only once.
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

// skipSpace skips white space up to the next object or the end of a blank line.
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

// consume examines one byte of an object, and reports whether that byte completes the object.
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

// closeBracket handles a closing bracket, and reports whether it closes the outermost one.
func (s *Scanner) closeBracket(c byte) (outermost bool, err error) {
	innermost := len(s.closers) - 1
	if s.closers[innermost] != c {
		return false, ErrNesting
	}
	s.closers = s.closers[:innermost]
	return innermost == 0, nil
}
