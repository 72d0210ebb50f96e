package place

import (
	"fmt"
	"testing"
	"time"
)

// Symptom: all workers' services are slow at once. Sequence: twenty tasks of a
// new kind are queued and all start before the first late report. Cause: an
// unknown pair is placed as freely as a known one.
func TestUnknownPairIsProbedBeforeSpreading(t *testing.T) {
	s := newHarness(6, "bookings")
	for i := range 20 {
		s.queue(fmt.Sprint("t", i), "new", "j")
	}
	if n := len(s.plan().Grants); n != 1 {
		t.Fatalf("%d tasks of an unknown kind start at once", n)
	}
	for range 12 {
		s.now = s.now.Add(10 * time.Second)
		for _, w := range s.snapshot.Workers {
			s.heartbeat(w.Name, latency(w.Name, "bookings", 40, 0))
		}
		s.plan()
	}
	if n := len(s.snapshot.Queued); n > 0 {
		t.Fatalf("%d tasks of a harmless kind still wait", n)
	}
}

// Symptom: with an idle service batch waits although workers are empty. Sequence:
// twenty tasks of a new kind, no requests, so no report ever settles the pair.
// Cause: a probe that ended without harm counts for nothing, and each probe time
// starts one task.
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
		t.Fatalf("%d tasks still wait after seven probe times", n)
	}
}

// Symptom: every worker's service suffers from a new kind. Sequence: a task is
// tried, the first report is over the objective, which alone settles nothing, and
// the probe time ends. Cause: the probe counts as passed because it is over.
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
