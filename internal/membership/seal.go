package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// datagramTagBytes is the length in bytes of the truncated HMAC-SHA256 at the end of a datagram.
const datagramTagBytes = 16

// The errors of Open.
var (
	ErrNotSealed = errors.New("too short to be sealed")
	ErrWrongKey  = errors.New("sealed with another key, or changed")
)

var errUnauthenticated = errors.New("open membership datagram: sealed with another key, or changed")

// Seal returns the body followed by a tag (HMAC-SHA256) that only holders of the key can make. It authenticates the
// messages that relays send each other over connections.
func Seal(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(slices.Clone(body))
}

// Open checks a message made by Seal and returns its body. Its errors wrap ErrNotSealed or ErrWrongKey.
func Open(key, sealed []byte) ([]byte, error) {
	if len(sealed) < sha256.Size {
		return nil, fmt.Errorf("open membership message: %w: %d bytes", ErrNotSealed, len(sealed))
	}
	body := sealed[:len(sealed)-sha256.Size]
	if !hmac.Equal(Seal(key, body), sealed) {
		return nil, fmt.Errorf("open membership message: %w", ErrWrongKey)
	}
	return body, nil
}

// sealDatagram appends the tag to a datagram.
func sealDatagram(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(data)[:len(data)+datagramTagBytes]
}

// openDatagram checks the length, version and tag of a received datagram and returns it without the tag.
func openDatagram(key, data []byte) (body []byte, err error) {
	if len(data) < headerBytes+datagramTagBytes || len(data) > maxDatagramBytes || [4]byte(data) != magic {
		return nil, errMalformed
	}
	body = data[:len(data)-datagramTagBytes]
	if !hmac.Equal(sealDatagram(key, slices.Clone(body)), data) {
		return nil, errUnauthenticated
	}
	return body, nil
}
