package fakes

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// TargetFaults gives the share of requests, 0 to 1, whose answers go wrong in
// each way. Each request runs all the same.
type TargetFaults struct {
	// Truncated answers end before their declared length.
	Truncated float64 `json:"truncated"`
	// Swapped answers go to another request in progress.
	Swapped float64 `json:"swapped"`
	// Failed requests are answered with status 500.
	Failed float64 `json:"failed"`
	// Closed connections carry no answer.
	Closed float64 `json:"closed"`
	// Late answers wait for LateMS.
	Late   float64 `json:"late"`
	LateMS int64   `json:"late_ms"`
}

// swapWait bounds how long an answer waits for another to be swapped with.
const swapWait = 50 * time.Millisecond

type reply struct {
	requestID string
	body      []byte
}

// respond sends a reply, or what the drawn fault leaves of it.
func (t *Target) respond(w http.ResponseWriter, r reply) {
	f, draw := t.draw()
	for _, fault := range []struct {
		share float64
		apply func()
	}{
		{f.Truncated, func() { writeTruncated(w, r) }},
		{f.Swapped, func() { writeReply(w, t.swap.exchange(r)) }},
		{f.Failed, func() { http.Error(w, "the target failed", http.StatusInternalServerError) }},
		{f.Closed, func() { panic(http.ErrAbortHandler) }},
		{f.Late, func() { time.Sleep(time.Duration(f.LateMS) * time.Millisecond); writeReply(w, r) }},
	} {
		if draw < fault.share {
			fault.apply()
			return
		}
		draw -= fault.share
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

// writeTruncated declares the whole length and sends half.
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

// exchange returns the reply of another request, or r itself when none comes.
func (s *swapper) exchange(r reply) reply {
	s.mu.Lock()
	if s.waiting != nil {
		other := s.offered
		s.waiting <- r
		s.waiting = nil
		s.mu.Unlock()
		return other
	}
	got := make(chan reply, 1)
	s.waiting, s.offered = got, r
	s.mu.Unlock()
	select {
	case other := <-got:
		return other
	case <-time.After(swapWait):
		return s.withdraw(got, r)
	}
}

func (s *swapper) withdraw(got chan reply, r reply) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting != got {
		return <-got
	}
	s.waiting = nil
	return r
}
