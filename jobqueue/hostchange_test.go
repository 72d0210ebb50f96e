package jobqueue_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against replicas that differ after a snapshot, and against a worker whose runs are taken for
// lost, when another host's agent takes a worker over and the former host gets another worker.
func TestWorkerThatAnotherHostTakesOver(t *testing.T) {
	for _, restored := range []bool{false, true} {
		m := newMachine()
		m.submit("a", one(1))
		m.worker("w1", "h1", 1000)
		if !m.start(task("a", 0, 0), 1, "w1") {
			t.Fatal("not started")
		}
		m.worker("w1", "h2", 1000)
		if restored {
			m.restore(t)
		}
		if w := m.WorkerOnHost("h2"); w == nil || w.Spec.Id != "w1" {
			t.Errorf("restored %v: the worker on its new host is %v", restored, w)
		}
		if w := m.WorkerOnHost("h1"); w != nil {
			t.Errorf("restored %v: the worker on the former host is %v", restored, w.Spec)
		}
		m.worker("w2", "h1", 1000)
		if m.Worker("w1") == nil || len(m.Worker("w1").Runs) != 1 {
			t.Errorf("restored %v: the run on the worker that moved is lost", restored)
		}
		again := m.Snapshot()
		m.restore(t)
		if !proto.Equal(again, m.Snapshot()) {
			t.Errorf("restored %v: the snapshot differs", restored)
		}
	}
}
