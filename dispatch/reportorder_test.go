package dispatch

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Symptom: what an agent said seconds ago is believed, or an agent that was restarted is
// never heard again. Sequence: reports of one worker come twice, late, from an agent that
// has been restarted and from the one before it, and from one that numbers none. Cause: an
// order that knows one session only, or takes a repeated report for an old one.
func TestReportOrder(t *testing.T) {
	order, m := newReportOrder(), jobqueue.New()
	for i, step := range []struct {
		worker            string
		session, sequence uint64
		outdated          bool
	}{
		{"w1", 7, 1, false},
		{"w1", 7, 3, false},
		{"w1", 7, 2, true},
		{"w1", 7, 3, false}, // The same once more, through another control host.
		{"w2", 9, 1, false},
		{"w1", 8, 1, false}, // The agent was restarted.
		{"w1", 7, 4, true},  // From the agent before it.
		{"w1", 8, 2, false},
		{"w1", 0, 0, false}, // From an agent that does not number its reports.
		{"w1", 8, 1, true},
		{"w2", 9, 2, false},
	} {
		r := &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{Id: step.worker}, Session: step.session, Sequence: step.sequence}
		if got := order.outdated(m, r); got != step.outdated {
			t.Errorf("step %d: outdated %v, want %v", i, got, step.outdated)
		}
	}
}

// Symptom: the leader's memory grows with each restart of an agent. Cause: sessions that
// are remembered for good.
func TestFormerSessionsAreBounded(t *testing.T) {
	order, m := newReportOrder(), jobqueue.New()
	for session := range uint64(10 * maxFormerSessions) {
		order.outdated(m, &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{Id: "w1"}, Session: session + 1, Sequence: 1})
	}
	if n := len(order.byWorker["w1"].former); n > maxFormerSessions {
		t.Errorf("%d former sessions are remembered, at most %d", n, maxFormerSessions)
	}
}
