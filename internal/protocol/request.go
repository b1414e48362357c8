package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
)

const (
	maxIDBytes   = 64  // of an ID or a key
	maxMillis    = 1e9 // of a time in a request
	usualFields  = 8   // of a request
	requestVerb  = "OPEN"
	retryFlagSet = "1"
)

// ErrMalformedRequest says that a line is no request.
var ErrMalformedRequest = errors.New("malformed request")

// Request is a client's first line. Its byte fields lie in the line that was read.
type Request struct {
	ID            []byte
	Class         []byte
	Tenant        []byte  // empty: not named
	StickyBackend []byte  // name of the backend that the session is established at already; empty: none
	Key           uint64  // of the client, hashed
	AffinityGroup uint64  // hashed; 0: none
	Timeout       float64 // milliseconds that the client waits for its answer
	LoadHint      float64 // 0: none
	IsRetry       bool    // the client has tried before, or had a connection that is over

	beforeTimeout []byte // of the line, up to the figure of the timeout
	afterTimeout  []byte // and from there on
}

// ParseRequest parses a whole line, in place. It accepts nothing that a backend may fail to parse: a backend
// that closes the connection on it would be taken for faulty. All errors are ErrMalformedRequest.
func ParseRequest(line []byte) (Request, error) {
	var request Request
	content, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd {
		return request, malformed("CRLF expected at its end")
	}
	if bytes.ContainsFunc(content, isUnprintable) {
		return request, malformed("a character that can't be printed")
	}
	fields, err := request.parseStart(content)
	if err != nil {
		return request, err
	}
	if err := request.parseFields(line, content, len(content)-len(fields)); err != nil {
		return request, err
	}
	switch {
	case request.beforeTimeout == nil && len(request.StickyBackend) > 0:
		request.afterTimeout = line // it is forwarded as it came
	case request.beforeTimeout == nil:
		return request, malformed("d expected")
	}
	if len(request.Class) == 0 {
		return request, malformed("c expected")
	}
	return request, nil
}

func malformed(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedRequest, fmt.Sprintf(format, arguments...))
}

func isUnprintable(c rune) bool { return c < ' ' || c > '~' }

// parseStart reads the verb, the ID and the key, and returns the fields that follow.
func (r *Request) parseStart(content []byte) (fields []byte, err error) {
	space := []byte(" ")
	verb, rest, _ := bytes.Cut(content, space)
	id, rest, _ := bytes.Cut(rest, space)
	key, fields, hasFields := bytes.Cut(rest, space)
	switch {
	case string(verb) != requestVerb:
		return nil, malformed("%s expected", requestVerb)
	case len(id) == 0 || len(key) == 0 || !hasFields || bytes.IndexByte(fields, ' ') >= 0:
		return nil, malformed("an ID, a key and a list of fields expected")
	case len(id) > maxIDBytes || len(key) > maxIDBytes:
		return nil, malformed("ID or key too long")
	}
	r.ID = id
	r.Key = Hash(key)
	return fields, nil
}

// parseFields reads the list of name=value that begins at that offset of the content and of the line.
func (r *Request) parseFields(line, content []byte, offset int) error {
	seen := make([][]byte, 0, usualFields)
	for offset <= len(content) {
		field := content[offset:]
		if end := bytes.IndexByte(field, ','); end >= 0 {
			field = field[:end]
		}
		name, value, hasValue := bytes.Cut(field, []byte("="))
		if !hasValue || len(name) == 0 {
			return malformed("name=value expected")
		}
		for _, other := range seen {
			if bytes.Equal(name, other) {
				return malformed("%s stands twice", name)
			}
		}
		seen = append(seen, name)
		if err := r.setField(name, value, line, offset+len(name)+1); err != nil {
			return err
		}
		offset += len(field) + 1
	}
	return nil
}

// setField sets one field, whose value begins at that offset of the line. Unknown names are ignored.
func (r *Request) setField(name, value, line []byte, offset int) (err error) {
	switch string(name) {
	case "c":
		r.Class = value
	case "t":
		r.Tenant = value
	case "at":
		r.StickyBackend = value
	case "g":
		r.AffinityGroup = Hash(value)
	case "r", "again":
		r.IsRetry = r.IsRetry || string(value) == retryFlagSet
	case "h":
		r.LoadHint, err = parseMillis(name, value)
	case "d":
		r.Timeout, err = parseMillis(name, value)
		r.beforeTimeout = line[:offset]
		r.afterTimeout = line[offset+len(value):]
	}
	return err
}

func parseMillis(name, value []byte) (float64, error) {
	millis, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(millis >= 0) || millis > maxMillis {
		return 0, malformed("%s: a number of milliseconds expected", name)
	}
	return millis, nil
}

// Hash reads a key or a group: a number in hexadecimal, or the hash of whatever else it is, so that all
// relays know it by the same number.
func Hash(text []byte) uint64 {
	if number, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return number
	}
	sum := fnv.New64a()
	sum.Write(text)
	return sum.Sum64()
}

// EncodeWithTimeout returns the request as it is forwarded, in pieces to be written together: unchanged but
// for the timeout, in milliseconds. One at a sticky backend that had none has none.
func (r *Request) EncodeWithTimeout(timeout float64) [][]byte {
	if r.beforeTimeout == nil {
		return [][]byte{r.afterTimeout}
	}
	millis := strconv.AppendInt(nil, int64(max(timeout, 0)), 10)
	return [][]byte{r.beforeTimeout, millis, r.afterTimeout}
}
