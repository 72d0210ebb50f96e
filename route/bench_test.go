package route

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

var benchTargetCounts = []int{11, 110, 1100, 3700}

// benchRouter has a load on every target, and 27 entries when there are many.
func benchRouter(targets int) *Router {
	r := testRouter(targets, Config{})
	if targets > 100 {
		var names []string
		for i := range 27 {
			names = append(names, fmt.Sprintf("e%02d", i))
		}
		r.SetEntries("e00", names)
	}
	s := r.service("s")
	for i, t := range sortedKeys(s.targets) {
		s.targets[t].applyLoadReport(start, &apiv1.Load{InFlight: int32(i % 8), Slots: 8})
	}
	return r
}

// BenchmarkPick is one routing decision.
func BenchmarkPick(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(n)
			req := testRequest("c", true, start, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Pick(start, req); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkPickHard is a decision among 3,700 targets of which all are full, or
// half have been lost.
func BenchmarkPickHard(b *testing.B) {
	for _, name := range []string{"full", "lost"} {
		b.Run(name, func(b *testing.B) {
			r := benchRouter(3700)
			s := r.service("s")
			for i, id := range sortedKeys(s.targets) {
				if t := s.targets[id]; name == "full" {
					t.applyLoadReport(start, &apiv1.Load{InFlight: 8, Slots: 8})
				} else if i%2 == 0 {
					s.recordUnreachable(start, t)
				}
			}
			req := testRequest("c", true, start, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(start, req)
			}
		})
	}
}

// BenchmarkRequest is all that the router does for one request.
func BenchmarkRequest(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				benchRequest(r, "c", i)
			}
		})
	}
}

// BenchmarkRequestParallel is the same from all processors on one service.
func BenchmarkRequestParallel(b *testing.B) {
	r := benchRouter(1100)
	var callers atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		caller := fmt.Sprint(callers.Add(1))
		for i := 0; pb.Next(); i++ {
			benchRequest(r, caller, i)
		}
	})
}

func benchRequest(r *Router, caller string, i int) {
	now := start.Add(time.Duration(i) * time.Microsecond)
	req := &Request{ID: "r", Service: "s", Caller: caller, Idempotent: true, Deadline: now.Add(time.Second)}
	if !r.Admit(now, req).OK {
		return
	}
	c, _ := r.Pick(now, req)
	r.RecordSent(now, req, c.Target.ID)
	r.HedgeAfter(now, req)
	r.RecordOutcome(now, AttemptResult{Request: req, Target: c.Target.ID, Outcome: answered, Latency: time.Millisecond})
	r.Release(now, req, answered)
}

// BenchmarkUpsert is one changed announcement.
func BenchmarkUpsert(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Upsert(start, testTarget(i%n))
			}
		})
	}
}
