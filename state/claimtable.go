package state

import (
	"cmp"
	"container/heap"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxCleanupsPerCommand bounds the clean-up work of one command. It is above
	// one, so that clean-up outruns claims.
	maxCleanupsPerCommand = 8
	// minResponseCompaction is the least number of dropped responses that makes
	// compacting their list worth it.
	minResponseCompaction = 64
)

// claimKey is an idempotency key within its service.
type claimKey struct {
	service string
	key     string
}

// claim is a claim record and its place in the clean-up order. A claim is
// remembered for two windows: in the first with its answer; in the second only
// so that the key, used again, is refused and not run afresh.
type claim struct {
	record    *apiv1.ClaimRecord
	heapIndex int
}

func (c *claim) key() claimKey { return claimKey{c.record.Service, c.record.Key} }

func (c *claim) deletionTime() int64 { return c.record.ExpiresMs + c.record.WindowMs }

// cleanupTime is when the next clean-up step is: the response goes after the first
// window, the record after the second. It follows from the record alone, so that
// a restored machine cleans up in step with the one that made the snapshot.
func (c *claim) cleanupTime() int64 {
	if c.record.Response != nil {
		return c.record.ExpiresMs
	}
	return c.deletionTime()
}

// claimTable holds the claims by key and by the time their clean-up is due.
type claimTable struct {
	byKey       map[claimKey]*claim
	cleanupHeap claimHeap
	// withResponse holds the claims that got a stored response, oldest settled first.
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

// cleanUp does the clean-up that is due, at most limit steps of it. Judgements
// compare times themselves, so clean-up that lags behind changes no answer.
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

// storeResponse keeps the response of a settled claim within the bounds.
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

// dropResponse lets a response go. Its entry in answered goes once it is the
// first one, or once entries without a response make up most of the list.
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

// claimHeap orders claims by due time, then by key, so that every replica cleans
// up in the same order.
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
