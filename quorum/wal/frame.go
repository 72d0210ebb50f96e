package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A segment file is a header followed by frames.
//
//	header: magic (8 bytes), sequence (8), salt (8), CRC-32C of these (4)
//	frame:  magic (4 bytes), payload length (4), CRC-32C (4), payload
//
// A frame's checksum also covers the segment's salt, a random number: bytes of
// an older file in a reused block, or a frame that a caller wrote into an
// entry's data, are never taken for a frame of this segment.
//
// Numbers are little-endian.
const (
	segmentMagic    = "CAIRNWAL"
	headerSize      = 28
	frameMagic      = 0x1dca17f3
	frameHeaderSize = 12
	maxPayload      = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type header struct {
	sequence uint64
	salt     uint64
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, h.sequence)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeHeader(b []byte) (header, bool) {
	if len(b) < headerSize || string(b[:len(segmentMagic)]) != segmentMagic {
		return header{}, false
	}
	sum := binary.LittleEndian.Uint32(b[headerSize-4:])
	if sum != crc32.Checksum(b[:headerSize-4], castagnoli) {
		return header{}, false
	}
	return header{
		sequence: binary.LittleEndian.Uint64(b[8:]),
		salt:     binary.LittleEndian.Uint64(b[16:]),
	}, true
}

func frameChecksum(salt uint64, payload []byte) uint32 {
	var prefix [12]byte
	binary.LittleEndian.PutUint64(prefix[:], salt)
	binary.LittleEndian.PutUint32(prefix[8:], uint32(len(payload)))
	sum := crc32.Update(0, castagnoli, prefix[:])
	return crc32.Update(sum, castagnoli, payload)
}

func appendFrame(b []byte, salt uint64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(salt, payload))
	return append(b, payload...)
}

// decodeFrame returns the payload of the frame that b begins with, and the
// frame's whole size.
func decodeFrame(b []byte, salt uint64) (payload []byte, size int, ok bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > maxPayload || int(length) > len(b)-frameHeaderSize {
		return nil, 0, false
	}
	size = frameHeaderSize + int(length)
	payload = b[frameHeaderSize:size]
	if binary.LittleEndian.Uint32(b[8:]) != frameChecksum(salt, payload) {
		return nil, 0, false
	}
	return payload, size, true
}

// findFrame returns the offset of the first whole frame in b, or -1.
func findFrame(b []byte, salt uint64) int {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from := 0; ; from++ {
		i := bytes.Index(b[from:], magic)
		if i < 0 {
			return -1
		}
		from += i
		if _, _, ok := decodeFrame(b[from:], salt); ok {
			return from
		}
	}
}
