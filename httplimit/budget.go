// Package httplimit bounds the memory and the connections that the clients of an HTTP server hold:
// request bodies, what decoding them takes, and connections without progress.
package httplimit

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSmallRequest is the most memory of a request that counts as small.
	maxSmallRequest = 64 << 10
	// smallShare is the fraction of a budget, as its inverse, that only small requests may hold.
	smallShare = 4
)

// Budget is the memory that the requests of several servers may hold together. A part is reserved
// for small requests, so that large ones that hold the rest do not keep them out.
//
// A request that is the only large one may exceed the budget up to the ceiling.
type Budget struct {
	ceiling int64
	held    metrics.Gauge

	mu           sync.Mutex
	small, large pool
}

type pool struct{ limit, held int64 }

// NewBudget returns a budget of limit bytes that reports the bytes held as a metric.
func NewBudget(limit, ceiling int64, held metrics.Gauge) *Budget {
	return &Budget{
		ceiling: ceiling, held: held,
		small: pool{limit: limit / smallShare}, large: pool{limit: limit - limit/smallShare},
	}
}

// Held returns the bytes that requests hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.held + b.large.held
}

// reservation is the part of a budget that one request holds. It is not safe for concurrent use.
type reservation struct {
	budget *Budget
	held   int64
	large  bool
}

// grow adds n bytes, or reports that the budget does not have them.
func (r *reservation) grow(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.large:
		if !b.admitsLarge(n, r.held) {
			return false
		}
		b.large.held += n
	case r.held+n <= maxSmallRequest && b.small.held+n <= b.small.limit:
		b.small.held += n
	case b.admitsLarge(r.held+n, 0):
		b.small.held -= r.held
		b.large.held += r.held + n
		r.large = true
	default:
		return false
	}
	r.held += n
	b.held.Update(b.small.held + b.large.held)
	return true
}

// admitsLarge reports whether a request that holds own bytes of the large pool may hold n more.
func (b *Budget) admitsLarge(n, own int64) bool {
	total := b.large.held + n
	return total <= b.large.limit || b.large.held == own && total <= b.ceiling
}

// shrink returns n bytes to the budget.
func (r *reservation) shrink(n int64) {
	if n == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.large {
		b.large.held -= n
	} else {
		b.small.held -= n
	}
	r.held -= n
	b.held.Update(b.small.held + b.large.held)
}
