package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"sync"
)

// A record is stored as a frame: the magic number, the length of the frame's body and the CRC-32C of that body, each as
// a little-endian uint32, followed by the body. The body consists of the version and the kind (one byte each), the boot
// as a varint, the time as a little-endian float64, the owner and the key (each preceded by its length as a varint),
// and the record's own body, which takes up the rest.
const (
	frameMagic       = 0x31735676 // first bytes of each frame, by which the next frame after a damaged one is found
	frameHeaderBytes = 12
	lengthOffset     = 4
	checksumOffset   = 8
	recordVersion    = 1

	maxFrameBodyBytes = 16 << 20
	maxPayloadBytes   = maxFrameBodyBytes - 1024 // largest size in bytes of a record's own body

	recordOverheadBytes = 24 // approximate size in bytes of a frame's body without the key and the record's own body
)

// castagnoli returns the table of CRC-32C. It is computed at the first use, so that a start without a disk doesn't take
// the time for it.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// accountedBytes returns the size for which a record counts towards the store's limit, which is about its size on the
// disk.
func accountedBytes(r Record) int {
	return frameHeaderBytes + recordOverheadBytes + len(r.Key) + len(r.Body)
}

// appendFrame appends the frame of a record.
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

// frameAt returns the body of the frame at an offset of data, and the offset at which the next frame begins. The body
// is nil if there is no intact frame at the offset.
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

// findFrame returns the offset of the first intact frame at or after an offset, or -1 if there is none.
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

// decodeRecord decodes the body of a frame into a record and its owner. If that is the expected owner, as it usually
// is, the owner's name is not allocated again. The record's body shares the memory of the frame.
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
	ownerText, rest, ok := decodeText(rest[n+8:])
	if !ok {
		return r, "", false
	}
	key, rest, ok := decodeText(rest)
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

// decodeText returns a text preceded by its length as a varint, and the data after it.
func decodeText(data []byte) (text, rest []byte, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return data[n:end], data[end:], true
}
