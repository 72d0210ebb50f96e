package wal

import "google.golang.org/protobuf/proto"

// EncodeSegment returns the content of a segment file with one frame per payload.
func EncodeSegment(sequence uint64, payloads ...[]byte) []byte {
	b := header{sequence: sequence, salt: 1}.encode()
	for _, p := range payloads {
		b = appendFrame(b, 1, p)
	}
	return b
}

// MustMarshal returns the encoding of a message, and panics if it can't be encoded.
func MustMarshal(r proto.Message) []byte {
	b, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

// EncodeBlob returns the content of a checksummed file with the given payload.
func EncodeBlob(payload []byte) []byte { return encodeBlob(payload) }
