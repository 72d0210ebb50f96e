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
func TestPreviousSessionsAreBounded(t *testing.T) {
	order, m := newReportOrder(), jobqueue.New()
	for session := range uint64(10 * maxPreviousSessions) {
		order.outdated(m, &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{Id: "w1"}, Session: session + 1, Sequence: 1})
	}
	if n := len(order.byWorker["w1"].previous); n > maxPreviousSessions {
		t.Errorf("%d former sessions are remembered, at most %d", n, maxPreviousSessions)
	}
}

// Symptom: a worker that is well gets no work any more, and its agent is told without end
// that the worker left.
// Sequence: an agent is cut off, so that no report of its session arrives; it is restarted,
// and the new session is heard; then the network delivers a report of the old one.
// Cause: a session that is heard of for the first time counts as newer than the one before.
func TestSessionFirstReportedLateIsOutdated(t *testing.T) {
	order, m := newReportOrder(), jobqueue.New()
	for i, step := range []struct {
		session, began, sequence uint64
		outdated                 bool
	}{
		{8, 2000, 1, false},
		{7, 1000, 1, true}, // Held up by the cut.
		{8, 2000, 2, false},
		{7, 1000, 2, true},
		{9, 3000, 1, false}, // The agent was restarted once more.
		{8, 2000, 3, true},
		{9, 3000, 2, false},
	} {
		r := &apiv1.JobsReportRequest{
			Worker: &apiv1.JobWorker{Id: "w1"}, Session: step.session, Sequence: step.sequence, SessionBeganMs: int64(step.began),
		}
		if got := order.outdated(m, r); got != step.outdated {
			t.Errorf("step %d: outdated %v, want %v", i, got, step.outdated)
		}
	}
}
