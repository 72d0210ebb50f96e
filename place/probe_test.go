package place

import (
	"fmt"
	"testing"
	"time"
)

// Guards against slowing down the services of all workers at once. Twenty tasks of a new kind are
// queued and must not all start before the first delayed report arrives.
func TestUnknownPairIsProbedBeforeSpreading(t *testing.T) {
	s := newHarness(6, "bookings")
	for i := range 20 {
		s.queue(fmt.Sprint("t", i), "new", "j")
	}
	if n := len(s.plan().Grants); n != 1 {
		t.Fatalf("%d tasks of an unknown kind started at once", n)
	}
	for range 12 {
		s.now = s.now.Add(10 * time.Second)
		for _, w := range s.snapshot.Workers {
			s.heartbeat(w.Name, latency(w.Name, "bookings", 40, 0))
		}
		s.plan()
	}
	if n := len(s.snapshot.Queued); n > 0 {
		t.Fatalf("%d tasks of a harmless kind are still queued", n)
	}
}

// Guards against batch tasks that stay queued beside an idle service although workers have free
// capacity. Without requests no report makes the pair of a new kind certain, so each probe without
// harm must allow a further one; otherwise only one task would start per probeDuration.
func TestProbeWithoutReportsCountsAsEvidence(t *testing.T) {
	s := newHarness(6, "bookings")
	for i := range 20 {
		s.queue(fmt.Sprint("t", i), "new", "j")
	}
	for range 7 {
		s.plan()
		s.now = s.now.Add(probeDuration)
		for _, w := range s.snapshot.Workers {
			s.heartbeat(w.Name, nil)
		}
	}
	if n := len(s.snapshot.Queued); n > 0 {
		t.Fatalf("%d tasks are still queued after seven times probeDuration", n)
	}
}

// Guards against a new kind that slows services down on every worker. A task is probed, and the
// first report exceeds the objective, which alone does not make the pair certain. The probe must
// not count as passed only because probeDuration has elapsed.
func TestProbeBesideSlowServiceDoesNotPass(t *testing.T) {
	s := newHarness(6, "bookings")
	s.plan()
	s.run("w0", s.queue("t", "new", "j"), Resources{MilliProcessors: 1000})
	s.now = s.now.Add(probeDuration)
	s.heartbeat("w0", latency("w0", "bookings", 180, 0))
	r := s.gather(s.now, s.snapshot)
	r.hostsByKind["new"] = []*host{r.hostsByName["w0"]}
	if pr := r.probeFor("bookings", "new"); pr.passed != 0 || pr.running != 0 {
		t.Fatalf("%+v", *pr)
	}
}
