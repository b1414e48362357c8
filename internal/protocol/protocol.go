// Package protocol parses the text protocol that clients and backends speak: lines ended by CRLF. It reads heads
// in place and keeps no copy of what it is given, except the part of a line whose end has not come. It knows
// no socket, no link and no module.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
)

// MaxLineBytes is the most bytes of a line, its end included.
const MaxLineBytes = 4096

// maxIDBytes is the most bytes of an id or a key.
const maxIDBytes = 64

// ErrLineTooLong says that a line had no end within the bound.
var ErrLineTooLong = errors.New("line too long")

// LineSplitter cuts what comes in pieces into lines.
type LineSplitter struct {
	pending []byte // of a line whose end has not come
}

// Next gives the first whole line of data, its end included, and what follows it. Without a whole line it
// gives nil and keeps the piece. The line is good as long as data is.
func (s *LineSplitter) Next(data []byte) (line, rest []byte, err error) {
	n := bytes.IndexByte(data, '\n') + 1
	if len(s.pending)+max(n, 1) > MaxLineBytes || (n == 0 && len(s.pending)+len(data) >= MaxLineBytes) {
		return nil, nil, ErrLineTooLong
	}
	if n == 0 {
		s.pending = append(s.pending, data...)
		return nil, nil, nil
	}
	if len(s.pending) == 0 {
		return data[:n], data[n:], nil
	}
	line = append(s.pending, data[:n]...)
	s.pending = nil // not emptied: the line handed out stands in it
	return line, data[n:], nil
}

// Pending is the start of a line whose end has not come, and Resume goes on from it.
func (s *LineSplitter) Pending() []byte { return s.pending }

// Restore goes on from the start of a line that another splitter kept.
func (s *LineSplitter) Restore(tail []byte) { s.pending = append([]byte(nil), tail...) }

// HasPending tells whether the start of a line is kept.
func (s *LineSplitter) HasPending() bool { return len(s.pending) > 0 }

// TrimLineEnd is the line without its end.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// Request is a client's first line. Its byte fields lie in the line that was read.
type Request struct {
	ID, Class, Tenant, StickyBackend []byte
	Key, AffinityGroup               uint64
	Timeout, LoadHint                float64 // milliseconds
	IsRetry                          bool    // the client has tried before, or had a connection that is over
	beforeTimeout, afterTimeout      []byte  // of the line, around the figure of the wait
}

// ParseRequest reads a whole line in place. It lets nothing through that a backend could stumble over: one that
// closes on what it can't read would take that for a fault of this relay's.
func ParseRequest(line []byte) (Request, error) {
	var h Request
	bare, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended {
		return h, errors.New("head: CRLF expected at its end")
	}
	if bytes.ContainsFunc(bare, func(c rune) bool { return c < ' ' || c > '~' }) {
		return h, errors.New("head: a character that can't be printed")
	}
	verb, rest, _ := bytes.Cut(bare, []byte(" "))
	id, rest, _ := bytes.Cut(rest, []byte(" "))
	key, list, listed := bytes.Cut(rest, []byte(" "))
	switch {
	case string(verb) != "OPEN":
		return h, errors.New("head: OPEN expected")
	case len(id) == 0 || len(key) == 0 || !listed || bytes.IndexByte(list, ' ') >= 0:
		return h, errors.New("head: an id, a key and a list expected")
	case len(id) > maxIDBytes || len(key) > maxIDBytes:
		return h, errors.New("head: id or key too long")
	}
	h.ID, h.Key = id, Hash(key)
	seen := make([]string, 0, 8)
	for at := len(bare) - len(list); at <= len(bare); {
		pair := bare[at:]
		if n := bytes.IndexByte(pair, ','); n >= 0 {
			pair = pair[:n]
		}
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(name) == 0 {
			return h, errors.New("head: name=value expected")
		}
		if slices.Contains(seen, string(name)) {
			return h, fmt.Errorf("head: %s stands twice", name)
		}
		seen = append(seen, string(name))
		var err error
		switch string(name) {
		case "c":
			h.Class = value
		case "t":
			h.Tenant = value
		case "at":
			h.StickyBackend = value
		case "g":
			h.AffinityGroup = Hash(value)
		case "r", "again":
			h.IsRetry = h.IsRetry || string(value) == "1"
		case "h":
			h.LoadHint, err = parseMillis(name, value)
		case "d":
			h.Timeout, err = parseMillis(name, value)
			from := at + len(name) + 1
			h.beforeTimeout, h.afterTimeout = line[:from], line[from+len(value):]
		}
		if err != nil {
			return h, err
		}
		at += len(pair) + 1
	}
	if h.beforeTimeout == nil && len(h.StickyBackend) > 0 {
		h.afterTimeout = line
	} else if h.beforeTimeout == nil {
		return h, errors.New("head: d expected")
	}
	if len(h.Class) == 0 {
		return h, errors.New("head: c expected")
	}
	return h, nil
}

func parseMillis(name, value []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) || v > 1e9 {
		return 0, fmt.Errorf("head: %s: a number of milliseconds expected", name)
	}
	return v, nil
}

// Hash reads a key or a group: a number in hexadecimal, or the hash of whatever else it is, so that all
// relays know it by the same number.
func Hash(text []byte) uint64 {
	if v, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return v
	}
	sum := fnv.New64a()
	sum.Write(text)
	return sum.Sum64()
}

// EncodeWithTimeout is the head as it goes on, in pieces to be written together: unchanged but for the wait.
func (h *Request) EncodeWithTimeout(wait float64) [][]byte {
	if h.beforeTimeout == nil {
		return [][]byte{h.afterTimeout}
	}
	return [][]byte{h.beforeTimeout, strconv.AppendInt(nil, int64(max(wait, 0)), 10), h.afterTimeout}
}

// CutVerb cuts a line's first word from what follows.
func CutVerb(line []byte) (verb, rest []byte) {
	verb, rest, _ = bytes.Cut(TrimLineEnd(line), []byte(" "))
	return verb, rest
}

// ParseLoad reads the figure of a load notice.
func ParseLoad(rest []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(rest), 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

// ParseReport reads a load report's values in the order of the fields given; one that is not there, or is no
// number, is NaN. It gives nil where no field is there.
func ParseReport(rest []byte, fields []string) []float64 {
	var report []float64
	for pair := range bytes.SplitSeq(rest, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		for i, field := range fields {
			if field != string(name) && field != settingsName(string(name)) {
				continue
			}
			if v, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64); err == nil {
				for len(report) < len(fields) {
					report = append(report, math.NaN())
				}
				report[i] = v
			}
		}
	}
	return report
}

// settingsName is a reported value's name as the settings have it.
func settingsName(name string) string {
	switch name {
	case "inflight":
		return "active"
	case "queue":
		return "waiting"
	case "util":
		return "cpu"
	case "latency_ms":
		return "avg_ms"
	case "qps":
		return "rps"
	case "eps":
		return "err_rps"
	}
	return name
}
