package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
)

const (
	maxIDBytes    = 64  // maximum length of an ID or a key
	maxMillis     = 1e9 // maximum of a time in a request, in milliseconds
	typicalFields = 8   // initial capacity for the names of a request's fields
	requestVerb   = "OPEN"
	retryFlagSet  = "1" // value of the retry fields if the client has tried before
)

// ErrMalformedRequest is returned for a line that is not a valid request.
var ErrMalformedRequest = errors.New("malformed request")

// Request is a parsed request line. Its byte slices share memory with the line.
type Request struct {
	ID            []byte
	Class         []byte
	Tenant        []byte  // empty if not given
	StickyBackend []byte  // name of the backend at which the session is already established; empty if none
	Key           uint64  // the client's key as a number, see Hash
	AffinityGroup uint64  // the affinity group as a number, see Hash; 0 if none
	Timeout       float64 // how long the client waits for an answer, in milliseconds
	LoadHint      float64 // load that the client expects, in milliseconds of work a second; 0 if unknown
	IsRetry       bool    // the client has tried before, or has lost an earlier connection

	beforeTimeout []byte // the line up to the timeout's value; nil if it has no timeout
	afterTimeout  []byte // the line after the timeout's value; the whole line if it has none
}

// ParseRequest parses a complete line in place. It rejects everything that a backend may fail to parse, because
// a backend that closes the connection for that reason would be treated as faulty. All errors wrap
// ErrMalformedRequest.
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
		request.afterTimeout = line // forwarded unchanged
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

// parseStart parses the verb, the ID and the key, and returns the list of fields after them.
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

// parseFields parses the list of name=value that starts at the offset, which is the same in content and line.
func (r *Request) parseFields(line, content []byte, offset int) error {
	seen := make([][]byte, 0, typicalFields)
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

// setField sets one field, whose value starts at the offset in the line. Unknown names are ignored.
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

// Hash returns a number for a key or a group that is the same on all relays: its value if it is a hexadecimal
// number, else a hash.
func Hash(text []byte) uint64 {
	if number, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return number
	}
	sum := fnv.New64a()
	sum.Write(text)
	return sum.Sum64()
}

// EncodeWithTimeout returns the request to forward, in chunks to be written together. It is the original line
// with the timeout, in milliseconds, replaced. A request with a sticky backend may have no timeout, and is
// returned unchanged then.
func (r *Request) EncodeWithTimeout(timeout float64) [][]byte {
	if r.beforeTimeout == nil {
		return [][]byte{r.afterTimeout}
	}
	millis := strconv.AppendInt(nil, int64(max(timeout, 0)), 10)
	return [][]byte{r.beforeTimeout, millis, r.afterTimeout}
}
