// Package highest tracks the highest of the numbers that concurrent goroutines record.
package highest

import "sync/atomic"

// Number is the highest number recorded so far, initially 0. It is safe for concurrent use.
type Number struct{ value atomic.Uint64 }

// Record replaces the stored number by value if value is higher.
func (n *Number) Record(value uint64) {
	for current := n.value.Load(); value > current; current = n.value.Load() {
		if n.value.CompareAndSwap(current, value) {
			return
		}
	}
}

// Load returns the highest number recorded.
func (n *Number) Load() uint64 { return n.value.Load() }
