package route

import (
	"container/heap"
	"time"
)

// queue contains the requests of a service that wait for the concurrency limit. Urgent requests
// start before batch requests, which get a minimum fraction of the starts. Within a priority class,
// callers share starts by start-time fair queueing (Goyal, Vin and Cheng, 1996). The requests of
// one caller are ordered by least slack: all requests of a service are expected to take equally
// long, so the order by slack is the order by deadline.
type queue struct {
	urgent        priorityClass
	batch         priorityClass
	batchMinShare float64
	// batchCredit accumulates batchMinShare for each start while both classes wait. At 1, the next
	// start is a batch request.
	batchCredit float64
}

// priorityClass contains the waiting requests of one priority, by caller.
type priorityClass struct {
	flows  itemHeap[*flow]
	byName map[string]*flow
	// virtualTime is the start tag of a caller that joins. Each start advances it by an even share
	// of one start, so that neither new callers nor a caller that sends one request at a time
	// overtake the callers that wait for their share.
	virtualTime float64
	length      int
}

// flow contains the waiting requests of one caller.
type flow struct {
	caller   string
	startTag float64
	requests itemHeap[*Request]
	index    int
}

func (q *queue) init(batchMinShare float64) {
	q.batchMinShare = batchMinShare
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

// pop removes and returns the next request, or nil if the queue is empty.
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

// ahead returns an estimate of how many requests would start before req if it joined now.
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

// ahead counts the caller's own requests with less slack, and for each of them and for req itself
// one request of every other caller that waits, as fair queueing starts them first. This includes
// requests that those callers have not sent yet.
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

// withDeadlineBefore returns the waiting requests whose deadline is before the given time.
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

// before orders callers by start tag, then by the least slack of their requests.
func (f *flow) before(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.requests[0].before(other.requests[0])
}

func (f *flow) heapIndex() *int { return &f.index }

// before orders the requests of one caller by slack. It breaks ties by id, so that runs do not
// depend on the layout of the heap.
func (r *Request) before(other *Request) bool {
	if !r.Deadline.Equal(other.Deadline) {
		return r.Deadline.Before(other.Deadline)
	}
	return r.ID < other.ID
}

func (r *Request) heapIndex() *int { return &r.queueIndex }
