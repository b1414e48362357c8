package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"sync"
)

// A record is in a file as a frame: the magic number, the length of its body and the body's CRC-32C, each a
// little-endian uint32, and the body. The body is the version and the kind (a byte each), the boot as varint,
// the time as little-endian float64, the owner and the key (each with its length as varint before it), and the
// record's own body, which takes the rest.
const (
	frameMagic       = 0x31735676 // begins each frame, so that the next is found behind a damaged one
	frameHeaderBytes = 12
	lengthOffset     = 4
	checksumOffset   = 8
	recordVersion    = 1

	maxFrameBodyBytes = 16 << 20
	maxPayloadBytes   = maxFrameBodyBytes - 1024 // of a record's own body

	recordOverheadBytes = 24 // about what a frame's body has besides key and payload
)

// castagnoli makes the table at its first use, so that a start without a disk does not pay for it.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// accountedBytes is what a record counts against the store's limit: about its size on the disk.
func accountedBytes(r Record) int {
	return frameHeaderBytes + recordOverheadBytes + len(r.Key) + len(r.Body)
}

// appendFrame appends a record's frame.
func appendFrame(to []byte, owner string, r Record) []byte {
	start := len(to)
	to = append(to, make([]byte, frameHeaderBytes)...)
	to = append(to, recordVersion, byte(r.Kind))
	to = binary.AppendUvarint(to, r.Boot)
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.UnixMillis))
	for _, text := range []string{owner, r.Key} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = append(to, r.Body...)
	body := to[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(to[start:], frameMagic)
	binary.LittleEndian.PutUint32(to[start+lengthOffset:], uint32(len(body)))
	binary.LittleEndian.PutUint32(to[start+checksumOffset:], crc32.Checksum(body, castagnoli()))
	return to
}

// frameAt returns the body of the frame that begins there and where the next one begins. The body is nil where
// no intact frame begins there.
func frameAt(data []byte, at int) (body []byte, next int) {
	if len(data)-at < frameHeaderBytes || binary.LittleEndian.Uint32(data[at:]) != frameMagic {
		return nil, 0
	}
	length := int(binary.LittleEndian.Uint32(data[at+lengthOffset:]))
	if length > maxFrameBodyBytes || length > len(data)-at-frameHeaderBytes {
		return nil, 0
	}
	start := at + frameHeaderBytes
	body = data[start : start+length]
	if crc32.Checksum(body, castagnoli()) != binary.LittleEndian.Uint32(data[at+checksumOffset:]) {
		return nil, 0
	}
	return body, start + length
}

// findFrame returns where the next intact frame begins, or -1.
func findFrame(data []byte, from int) int {
	for at := from; at+frameHeaderBytes <= len(data); at++ {
		if data[at] != byte(frameMagic&0xff) {
			continue
		}
		if body, _ := frameAt(data, at); body != nil {
			return at
		}
	}
	return -1
}

// decodeRecord reads a frame's body, and whose record it is: as a rule the expected owner, whose name is then
// not copied. The record's body shares the memory of the frame.
func decodeRecord(frameBody []byte, expectedOwner string) (r Record, owner string, ok bool) {
	rest := frameBody
	if len(rest) < 2 || rest[0] != recordVersion {
		return r, "", false
	}
	r.Kind = Kind(rest[1])
	rest = rest[2:]
	boot, n := binary.Uvarint(rest)
	if n <= 0 || len(rest) < n+8 {
		return r, "", false
	}
	r.Boot = boot
	r.UnixMillis = math.Float64frombits(binary.LittleEndian.Uint64(rest[n:]))
	ownerText, rest, ok := cutText(rest[n+8:])
	if !ok {
		return r, "", false
	}
	key, rest, ok := cutText(rest)
	if !ok {
		return r, "", false
	}
	owner = expectedOwner
	if string(ownerText) != expectedOwner {
		owner = string(ownerText)
	}
	r.Key = string(key)
	r.Body = rest[:len(rest):len(rest)]
	return r, owner, true
}

// cutText returns a text that has its length before it, and what follows it.
func cutText(data []byte) (text, rest []byte, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return data[n:end], data[end:], true
}
