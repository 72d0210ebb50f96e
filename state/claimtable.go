package state

import (
	"cmp"
	"container/heap"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxCleanupsPerCommand bounds the clean-up steps per command. It is above one,
	// so that claims are cleaned up faster than they are added.
	maxCleanupsPerCommand = 8
	// minResponseCompaction is the smallest number of dropped responses for which
	// the list of responses is compacted.
	minResponseCompaction = 64
)

// claimKey is an idempotency key within its service.
type claimKey struct {
	service string
	key     string
}

// claim is a claim record and its index in the clean-up heap. A claim is retained for
// two windows. In the first, its response is retained as well. In the second, only the
// record is retained, so that a reused key is refused and its request is not run again.
type claim struct {
	record    *apiv1.ClaimRecord
	heapIndex int
}

func (c *claim) key() claimKey { return claimKey{c.record.Service, c.record.Key} }

func (c *claim) deletionTime() int64 { return c.record.ExpiresMs + c.record.WindowMs }

// cleanupTime returns when the next clean-up step is due: the response is dropped after
// the first window, the record after the second. It depends on the record alone, so that
// a restored machine cleans up at the same commands as the one that made the snapshot.
func (c *claim) cleanupTime() int64 {
	if c.record.Response != nil {
		return c.record.ExpiresMs
	}
	return c.deletionTime()
}

// claimTable holds the claims by key and by their clean-up time.
type claimTable struct {
	byKey       map[claimKey]*claim
	cleanupHeap claimHeap
	// withResponse lists the claims whose responses were stored, in the order of their
	// settlement. Claims whose responses were dropped since are removed lazily.
	withResponse  []*claim
	responseCount int
	responseBytes int
}

func newClaimTable() claimTable { return claimTable{byKey: map[claimKey]*claim{}} }

func (t *claimTable) add(r *apiv1.ClaimRecord) *claim {
	c := &claim{record: r}
	t.byKey[c.key()] = c
	heap.Push(&t.cleanupHeap, c)
	return c
}

// cleanUp runs the clean-up steps that are due, at most limit of them. Commands compare
// times themselves, so delayed clean-up changes no result.
func (t *claimTable) cleanUp(nowMs int64, limit int) {
	for n := 0; n < limit && len(t.cleanupHeap) > 0 && t.cleanupHeap[0].cleanupTime() <= nowMs; n++ {
		c := t.cleanupHeap[0]
		if c.record.Response != nil {
			t.dropResponse(c)
			continue
		}
		t.remove(c)
	}
}

func (t *claimTable) remove(c *claim) {
	t.dropResponse(c)
	heap.Remove(&t.cleanupHeap, c.heapIndex)
	delete(t.byKey, c.key())
}

// storeResponse stores the response of a settled claim unless it is too large, and
// drops the oldest responses if the total exceeds its bound.
func (t *claimTable) storeResponse(c *claim, r *apiv1.HttpResponse) {
	size := responseSize(r)
	if r == nil || size > MaxResponseBytes {
		return
	}
	c.record.Response = r
	heap.Fix(&t.cleanupHeap, c.heapIndex)
	t.withResponse = append(t.withResponse, c)
	t.responseCount++
	t.responseBytes += size
	for t.responseBytes > MaxTotalResponseBytes {
		t.dropResponse(t.withResponse[0])
	}
}

// dropResponse deletes a stored response. Its entry in withResponse is removed once it
// is the first one, or once entries without a response make up most of the list.
func (t *claimTable) dropResponse(c *claim) {
	if c.record.Response == nil {
		return
	}
	t.responseCount--
	t.responseBytes -= responseSize(c.record.Response)
	c.record.Response = nil
	heap.Fix(&t.cleanupHeap, c.heapIndex)
	for len(t.withResponse) > 0 && t.withResponse[0].record.Response == nil {
		t.withResponse = t.withResponse[1:]
	}
	if len(t.withResponse) > 2*t.responseCount+minResponseCompaction {
		t.withResponse = slices.DeleteFunc(t.withResponse, func(c *claim) bool { return c.record.Response == nil })
	}
}

func responseSize(r *apiv1.HttpResponse) int {
	n := len(r.GetBody())
	for _, h := range r.GetHeaders() {
		n += len(h.GetName())
		for _, v := range h.GetValues() {
			n += len(v)
		}
	}
	return n
}

// claimHeap orders claims by clean-up time, then by service and key, so that every
// replica cleans up in the same order.
type claimHeap []*claim

func (h claimHeap) Len() int { return len(h) }

func (h claimHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(
		cmp.Compare(a.cleanupTime(), b.cleanupTime()),
		cmp.Compare(a.record.Service, b.record.Service),
		cmp.Compare(a.record.Key, b.record.Key),
	) < 0
}

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	last := len(old) - 1
	c := old[last]
	old[last] = nil
	*h = old[:last]
	return c
}
