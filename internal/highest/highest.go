// Package highest keeps the highest of the numbers that several goroutines note.
package highest

import "sync/atomic"

// Number is the highest number noted so far; 0 at first.
type Number struct{ value atomic.Uint64 }

// Record takes in a number.
func (n *Number) Record(value uint64) {
	for known := n.value.Load(); value > known; known = n.value.Load() {
		if n.value.CompareAndSwap(known, value) {
			return
		}
	}
}

// Load returns the highest number noted.
func (n *Number) Load() uint64 { return n.value.Load() }
