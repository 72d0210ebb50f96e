package gate

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refusedFilter remembers refused attempts in fixed memory: two generations of a
// Bloom filter (Bloom, "Space/time trade-offs in hash coding", 1970). Refusals come
// fastest when the host is overloaded, so a list of them would grow just then.
// A false positive refuses an innocent attempt; the reply "not run" stays true.
type refusedFilter struct {
	current, previous []uint64
	rotatedAt         time.Time
}

const (
	refusedBits       = 1 << 23
	refusedHashes     = 4
	refusedGeneration = 30 * time.Second
)

func (f *refusedFilter) add(now time.Time, k Key) {
	if f.current == nil {
		f.current = make([]uint64, refusedBits/64)
		f.previous = make([]uint64, refusedBits/64)
		f.rotatedAt = now
	}
	f.rotate(now)
	for _, bit := range refusedPositions(k) {
		f.current[bit/64] |= 1 << (bit % 64)
	}
}

func (f *refusedFilter) has(now time.Time, k Key) bool {
	if f.current == nil {
		return false
	}
	f.rotate(now)
	return contains(f.current, k) || contains(f.previous, k)
}

func contains(words []uint64, k Key) bool {
	for _, bit := range refusedPositions(k) {
		if words[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// rotate forgets the older generation, so that a refusal is remembered for one to
// two generations.
func (f *refusedFilter) rotate(now time.Time) {
	if now.Sub(f.rotatedAt) < refusedGeneration {
		return
	}
	stale := now.Sub(f.rotatedAt) >= 2*refusedGeneration
	f.rotatedAt = now
	f.current, f.previous = f.previous, f.current
	clear(f.current)
	if stale {
		clear(f.previous)
	}
}

// refusedPositions derives the bit positions from two halves of one hash (Kirsch
// and Mitzenmacher, "Less hashing, same performance", 2006).
func refusedPositions(k Key) (bits [refusedHashes]uint32) {
	h := k.hash()
	a, b := uint32(h), uint32(h>>32)|1
	for i := range bits {
		bits[i] = (a + uint32(i)*b) % refusedBits
	}
	return bits
}

// hash is 64 bits of an attempt's name.
func (k Key) hash() uint64 {
	var buf [64]byte
	b := append(buf[:0], k.RequestID...)
	b = binary.LittleEndian.AppendUint32(b, k.Attempt)
	return xxhash.Sum64(b)
}
