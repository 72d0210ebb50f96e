package jobqueue_test

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a queue that is shown as empty: a start was ordered, and its worker refused all calls
// until its lease expired.
func TestJobOfRunThatWasLostBeforeItBeganIsPending(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	if !m.start(task("a", 0, 0), 1, "w1") {
		t.Fatal("not started")
	}
	hasBegun := func(*jobqueue.Run) bool { return false }
	if n, _ := m.Pending(host, "/q/", hasBegun); n != 1 {
		t.Fatalf("%d pending before", n)
	}
	m.report(&apiv1.ReportWorker{Worker: m.Worker("w1").Spec, Lapsed: true})
	if n, _ := m.Pending(host, "/q/", hasBegun); n != 1 {
		t.Errorf("%d jobs are pending after the lease expired, want 1", n)
	}
}
