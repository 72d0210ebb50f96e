package route

import (
	"container/heap"
	"time"
)

// queue holds the requests of a service that wait for the concurrency limit.
// Urgent requests go before batch ones, which keep a floor. Within a class,
// callers share starts by start-time fair queueing (Goyal, Vin and Cheng, 1996),
// and a caller's own requests go by shortest slack: all of a service's requests
// are expected to take equally long, so slack orders like the deadline.
type queue struct {
	urgent        priorityClass
	batch         priorityClass
	batchMinShare float64
	// batchCredit is what batch has been owed by the floor so far.
	batchCredit float64
}

type priorityClass struct {
	flows  itemHeap[*flow]
	byName map[string]*flow
	// virtualTime is the tag that a caller joins with. It rises with each start by as
	// much as an even share is, so that neither new callers nor one that sends a
	// request at a time pass those that wait for theirs.
	virtualTime float64
	length      int
}

// flow is what one caller has waiting.
type flow struct {
	caller   string
	startTag float64
	requests itemHeap[*Request]
	index    int
}

func (q *queue) init(floor float64) {
	q.batchMinShare = floor
	q.urgent.init()
	q.batch.init()
}

func (c *priorityClass) init() { c.byName = map[string]*flow{} }

func (q *queue) len() int { return q.urgent.length + q.batch.length }

func (q *queue) classOf(req *Request) *priorityClass {
	if req.isBatch() {
		return &q.batch
	}
	return &q.urgent
}

func (q *queue) push(req *Request) { q.classOf(req).push(req) }

func (q *queue) remove(req *Request) { q.classOf(req).remove(req) }

// pop takes the next request; nil when the queue is empty.
func (q *queue) pop() *Request {
	if q.batch.length == 0 || q.urgent.length == 0 {
		if q.urgent.length > 0 {
			return q.urgent.pop()
		}
		return q.batch.pop()
	}
	q.batchCredit += q.batchMinShare
	if q.batchCredit >= 1 {
		q.batchCredit--
		return q.batch.pop()
	}
	return q.urgent.pop()
}

// ahead estimates how many requests would start before req if it joined now.
func (q *queue) ahead(req *Request) float64 {
	c := q.classOf(req)
	n := c.ahead(req)
	if !req.isBatch() {
		if q.batch.length == 0 {
			return n
		}
		return n / (1 - q.batchMinShare)
	}
	if q.urgent.length == 0 {
		return n
	}
	return (n + 1) / q.batchMinShare
}

func (c *priorityClass) push(req *Request) {
	f := c.byName[req.Caller]
	if f == nil {
		f = &flow{caller: req.Caller, startTag: c.virtualTime}
		c.byName[req.Caller] = f
		heap.Push(&f.requests, req)
		heap.Push(&c.flows, f)
	} else {
		heap.Push(&f.requests, req)
		heap.Fix(&c.flows, f.index)
	}
	req.flow = f
	c.length++
}

func (c *priorityClass) pop() *Request {
	if c.length == 0 {
		return nil
	}
	f := c.flows[0]
	req := f.requests[0]
	c.virtualTime += 1 / float64(len(c.flows))
	f.startTag++
	c.remove(req)
	return req
}

func (c *priorityClass) remove(req *Request) {
	f := req.flow
	heap.Remove(&f.requests, req.queueIndex)
	req.flow = nil
	c.length--
	if len(f.requests) > 0 {
		heap.Fix(&c.flows, f.index)
		return
	}
	heap.Remove(&c.flows, f.index)
	delete(c.byName, f.caller)
}

// ahead counts the caller's requests with less slack and as many of each other
// caller as fair queueing lets go first, those that are still to come included.
func (c *priorityClass) ahead(req *Request) float64 {
	own := 0
	others := len(c.flows)
	if f := c.byName[req.Caller]; f != nil {
		others--
		for _, r := range f.requests {
			if !r.Deadline.After(req.Deadline) {
				own++
			}
		}
	}
	return float64(own + (own+1)*others)
}

// withDeadlineBefore returns the requests that must start by the given time and have not.
func (q *queue) withDeadlineBefore(deadline time.Time) []*Request {
	var late []*Request
	for _, c := range []*priorityClass{&q.urgent, &q.batch} {
		for _, f := range c.flows {
			for _, r := range f.requests {
				if r.Deadline.Before(deadline) {
					late = append(late, r)
				}
			}
		}
	}
	return late
}

// before orders callers by tag, then by the shortest slack of their requests.
func (f *flow) before(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.requests[0].before(other.requests[0])
}

func (f *flow) heapIndex() *int { return &f.index }

// before orders one caller's requests by slack. It breaks ties by id, so that a run does not
// depend on the heap's layout.
func (r *Request) before(other *Request) bool {
	if !r.Deadline.Equal(other.Deadline) {
		return r.Deadline.Before(other.Deadline)
	}
	return r.ID < other.ID
}

func (r *Request) heapIndex() *int { return &r.queueIndex }
