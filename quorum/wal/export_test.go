package wal

import "google.golang.org/protobuf/proto"

// EncodeSegment returns the file of a segment whose frames hold the payloads.
func EncodeSegment(sequence uint64, payloads ...[]byte) []byte {
	b := header{sequence: sequence, salt: 1}.encode()
	for _, p := range payloads {
		b = appendFrame(b, 1, p)
	}
	return b
}

// MustMarshal returns the encoding of a record.
func MustMarshal(r proto.Message) []byte {
	b, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

// EncodeBlob returns a checksummed file with that payload.
func EncodeBlob(payload []byte) []byte { return encodeBlob(payload) }
