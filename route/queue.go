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
	urgent class
	batch  class
	floor  float64
	// credit is what batch has been owed by the floor so far.
	credit float64
}

type class struct {
	flows  itemHeap[*flow]
	byName map[string]*flow
	// clock is the tag that a caller joins with. It rises with each start by as
	// much as an even share is, so that neither new callers nor one that sends a
	// request at a time pass those that wait for theirs.
	clock  float64
	length int
}

// flow is what one caller has waiting.
type flow struct {
	caller   string
	tag      float64
	requests itemHeap[*Request]
	index    int
}

func (q *queue) init(floor float64) {
	q.floor = floor
	q.urgent.init()
	q.batch.init()
}

func (c *class) init() { c.byName = map[string]*flow{} }

func (q *queue) len() int { return q.urgent.length + q.batch.length }

func (q *queue) class(req *Request) *class {
	if req.batch() {
		return &q.batch
	}
	return &q.urgent
}

func (q *queue) push(req *Request) { q.class(req).push(req) }

func (q *queue) remove(req *Request) { q.class(req).remove(req) }

// pop takes the next request; nil when the queue is empty.
func (q *queue) pop() *Request {
	if q.batch.length == 0 || q.urgent.length == 0 {
		if q.urgent.length > 0 {
			return q.urgent.pop()
		}
		return q.batch.pop()
	}
	q.credit += q.floor
	if q.credit >= 1 {
		q.credit--
		return q.batch.pop()
	}
	return q.urgent.pop()
}

// ahead estimates how many requests would start before req if it joined now.
func (q *queue) ahead(req *Request) float64 {
	c := q.class(req)
	n := c.ahead(req)
	if !req.batch() {
		if q.batch.length == 0 {
			return n
		}
		return n / (1 - q.floor)
	}
	if q.urgent.length == 0 {
		return n
	}
	return (n + 1) / q.floor
}

func (c *class) push(req *Request) {
	f := c.byName[req.Caller]
	if f == nil {
		f = &flow{caller: req.Caller, tag: c.clock}
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

func (c *class) pop() *Request {
	if c.length == 0 {
		return nil
	}
	f := c.flows[0]
	req := f.requests[0]
	c.clock += 1 / float64(len(c.flows))
	f.tag++
	c.remove(req)
	return req
}

func (c *class) remove(req *Request) {
	f := req.flow
	heap.Remove(&f.requests, req.index)
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
func (c *class) ahead(req *Request) float64 {
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

// late returns the requests that must start by the given time and have not.
func (q *queue) late(deadline time.Time) []*Request {
	var late []*Request
	for _, c := range []*class{&q.urgent, &q.batch} {
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
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.requests[0].before(other.requests[0])
}

func (f *flow) place() *int { return &f.index }

// before orders one caller's requests by slack. It breaks ties by id, so that a run does not
// depend on the heap's layout.
func (r *Request) before(other *Request) bool {
	if !r.Deadline.Equal(other.Deadline) {
		return r.Deadline.Before(other.Deadline)
	}
	return r.ID < other.ID
}

func (r *Request) place() *int { return &r.index }
