package dispatch

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against outdated reports that are applied, and against a restarted agent whose reports are
// ignored from then on. Reports of one worker arrive twice, late, from a restarted agent and from
// the agent before it, and from an agent that does not number its reports. An order that knows only
// one session, or takes a repeated report for an outdated one, fails here.
func TestReportOrder(t *testing.T) {
	order, m := newReportOrder(1), jobqueue.New()
	for i, step := range []struct {
		worker            string
		session, sequence uint64
		outdated          bool
	}{
		{"w1", 7, 1, false},
		{"w1", 7, 3, false},
		{"w1", 7, 2, true},
		{"w1", 7, 3, false}, // The same report again, through another control host.
		{"w2", 9, 1, false},
		{"w1", 8, 1, false}, // The agent was restarted.
		{"w1", 7, 4, true},  // From the previous agent.
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

// Guards against memory that grows with each restart of an agent because sessions are remembered
// forever.
func TestPreviousSessionsAreBounded(t *testing.T) {
	order, m := newReportOrder(1), jobqueue.New()
	for session := range uint64(10 * maxPreviousSessions) {
		order.outdated(m, &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{Id: "w1"}, Session: session + 1, Sequence: 1})
	}
	if n := len(order.byWorker["w1"].previous); n > maxPreviousSessions {
		t.Errorf("%d previous sessions are remembered, want at most %d", n, maxPreviousSessions)
	}
}

// Guards against a healthy worker that gets no more work and whose agent is notified repeatedly
// that the worker left. An agent is partitioned, so that no report of its session arrives. It is
// restarted, and reports of the new session arrive; then the network delivers a report of the old
// session. A session whose first report arrives last must not count as the newer one.
func TestSessionFirstReportedLateIsOutdated(t *testing.T) {
	order, m := newReportOrder(1), jobqueue.New()
	for i, step := range []struct {
		session, began, sequence uint64
		outdated                 bool
	}{
		{8, 2000, 1, false},
		{7, 1000, 1, true}, // Delayed by the partition.
		{8, 2000, 2, false},
		{7, 1000, 2, true},
		{9, 3000, 1, false}, // The agent was restarted again.
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

// Guards against a healthy worker that stays unreachable: of two sessions that began at the same
// reading of the worker's clock, the earlier one is reported last and takes the newer one's place.
func TestSessionNumbersOrderSessionsOfEqualClockReadings(t *testing.T) {
	order, m := newReportOrder(1), jobqueue.New()
	for i, step := range []struct {
		session, term, number, sequence uint64
		outdated, superseded            bool
	}{
		{session: 8, term: 1, number: 2, sequence: 1},
		{session: 7, term: 1, number: 1, sequence: 1, outdated: true, superseded: true}, // Delayed by the network.
		{session: 8, term: 1, number: 2, sequence: 2},
		{session: 8, term: 1, number: 2, sequence: 1, outdated: true},
		{session: 9, term: 2, number: 1, sequence: 1}, // Another leader issued the number.
		{session: 8, term: 1, number: 2, sequence: 3, outdated: true, superseded: true},
		{session: 7, term: 1, number: 1, sequence: 2, outdated: true, superseded: true},
		{session: 9, term: 2, number: 1, sequence: 2},
	} {
		r := &apiv1.JobsReportRequest{
			Worker: &apiv1.JobWorker{Id: "w1"}, Session: step.session, Sequence: step.sequence, SessionBeganMs: 1000,
			SessionTerm: step.term, SessionNumber: step.number,
		}
		if got := order.outdated(m, r); got != step.outdated {
			t.Errorf("step %d: outdated %v, want %v", i, got, step.outdated)
		}
		if got := order.superseded(r); got != step.superseded {
			t.Errorf("step %d: superseded %v, want %v", i, got, step.superseded)
		}
	}
}
