package jobqueue_test

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against the late first report of an incarnation that ends its successor: the leader judged
// it before the successor was recorded.
func TestReportJudgedAgainstAnotherWorkerIsRefused(t *testing.T) {
	m := newMachine()
	first := func(id, replaces string) apiv1.JobOutcome {
		return m.report(&apiv1.ReportWorker{Worker: spec(id, "h", 1000), Replaces: &replaces})
	}
	if o := first("w@100", ""); o != ok {
		t.Fatal(o)
	}
	for _, c := range []struct {
		id, replaces string
		want         apiv1.JobOutcome
	}{
		{"w@50", "", apiv1.JobOutcome_JOB_OUTCOME_STALE},
		{"w@300", "", apiv1.JobOutcome_JOB_OUTCOME_STALE},
		{"w@200", "w@100", ok},
		{"w@300", "w@100", apiv1.JobOutcome_JOB_OUTCOME_STALE},
		{"w@200", "w@100", ok}, // The same report again: the incarnation is known.
	} {
		if o := first(c.id, c.replaces); o != c.want {
			t.Errorf("first report of %s to replace %q: %v, want %v", c.id, c.replaces, o, c.want)
		}
	}
	if w := m.WorkerOnHost("h"); w == nil || w.Spec.Id != "w@200" {
		t.Errorf("the worker is %v", w)
	}
}
