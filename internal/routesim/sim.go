// Package routesim runs the routing core in virtual time against simulated targets and
// callers, and measures the results that callers see. Baseline policies run with the same
// arrivals, service times and faults, so that their results can be compared.
package routesim

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// clock is a virtual clock. It runs events by time, and events of the same time in the order
// in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules run after a delay; a negative delay counts as zero.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + max(0, d), seq: c.seq, run: run})
}

// runAll runs events until none is left.
func (c *clock) runAll() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
