package fakes

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// TargetFaults is the fraction of requests, from 0 to 1, to whose answers each kind of
// fault is applied. The requests themselves are executed.
type TargetFaults struct {
	// Truncated answers are shorter than their declared length.
	Truncated float64 `json:"truncated"`
	// Swapped answers are sent to another request in progress.
	Swapped float64 `json:"swapped"`
	// Failed requests get status 500.
	Failed float64 `json:"failed"`
	// Closed connections are closed without an answer.
	Closed float64 `json:"closed"`
	// Late answers are delayed by LateMS.
	Late   float64 `json:"late"`
	LateMS int64   `json:"late_ms"`
}

// swapWait is how long an answer waits for another one to be swapped with.
const swapWait = 50 * time.Millisecond

type reply struct {
	requestID string
	body      []byte
}

// respond sends a reply after applying the fault that is drawn for it, if any.
func (t *Target) respond(w http.ResponseWriter, r reply) {
	f, draw := t.draw()
	for _, fault := range []struct {
		fraction float64
		apply    func()
	}{
		{f.Truncated, func() { writeTruncated(w, r) }},
		{f.Swapped, func() { writeReply(w, t.swap.exchange(r)) }},
		{f.Failed, func() { http.Error(w, "target fault injected", http.StatusInternalServerError) }},
		{f.Closed, func() { panic(http.ErrAbortHandler) }},
		{f.Late, func() { time.Sleep(time.Duration(f.LateMS) * time.Millisecond); writeReply(w, r) }},
	} {
		if draw < fault.fraction {
			fault.apply()
			return
		}
		draw -= fault.fraction
	}
	writeReply(w, r)
}

func (t *Target) draw() (TargetFaults, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.rng.Float64()
}

func writeReply(w http.ResponseWriter, r reply) {
	w.Header().Set(HeaderRequestID, r.requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	_, _ = w.Write(r.body)
}

// writeTruncated declares the full length of a reply, sends half of it and aborts.
func writeTruncated(w http.ResponseWriter, r reply) {
	w.Header().Set(HeaderRequestID, r.requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	_, _ = w.Write(r.body[:len(r.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// swapper exchanges the replies of two requests.
type swapper struct {
	mu      sync.Mutex
	waiting chan reply
	offered reply
}

// exchange returns the reply to another request, or r if there is none within swapWait.
func (s *swapper) exchange(r reply) reply {
	s.mu.Lock()
	if s.waiting != nil {
		other := s.offered
		s.waiting <- r
		s.waiting = nil
		s.mu.Unlock()
		return other
	}
	partner := make(chan reply, 1)
	s.waiting, s.offered = partner, r
	s.mu.Unlock()
	select {
	case other := <-partner:
		return other
	case <-time.After(swapWait):
		return s.withdraw(partner, r)
	}
}

// withdraw takes back the offer of r, or returns the other reply if the exchange has
// happened in the meantime.
func (s *swapper) withdraw(partner chan reply, r reply) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting != partner {
		return <-partner
	}
	s.waiting = nil
	return r
}
