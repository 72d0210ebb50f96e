package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against a report from before a lapse that makes a dead worker one in reach.
func TestReportFromBeforeExpiryIsOutdated(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.report(&apiv1.JobsReportRequest{Session: 7, Sequence: 1})
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		if got := r.report(&apiv1.JobsReportRequest{Session: 7, Sequence: 2}); got.LeaseMs != 0 {
			t.Errorf("a report that was sent before the lapse renews the lease: %v", got)
		}
		r.s.sleep(200 * time.Millisecond)
		if r.loggedRunCount() > 0 {
			t.Error("the worker that went silent got work")
		}
	})
}

// Guards against a start that was decided before a lapse and committed after it, and stands for
// good on a worker that is gone.
func TestStartCommittedAfterExpiryIsLost(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		term, _ := r.s.replica.Leading()
		r.s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{
			Term: term, Starts: []*apiv1.StartRun{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 2, Worker: "w1"}},
		}}})
		if r.loggedRunCount() == 0 {
			return
		}
		r.s.sleep(time.Minute)
		if r.loggedRunCount() > 0 {
			t.Error("a minute after its worker went silent, the run stands")
		}
	})
}

// Guards against a leader that refuses the reports of all hosts again and again, since the call
// of one that tells of a lapse is given up before its commit.
func TestCanceledExpiryReportDoesNotBlockLeader(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		w := newScriptedWorker(s, "w1")
		s.sleep(time.Second)
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		w.unresponsive.Store(true)
		log := s.injectLogFaults(0, nil)
		log.commitDelay.Store(int64(800 * time.Millisecond))
		var refused, asked atomic.Int64
		s.loops.Go(func() {
			for s.ctx.Err() == nil {
				resp, err := s.dispatcher.Report(s.ctx, &apiv1.JobsReportRequest{
					Worker: &apiv1.JobWorker{Id: "w2", Host: "h2", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000},
				})
				asked.Add(1)
				if err != nil || resp.NotLeader {
					refused.Add(1)
				}
				s.sleep(200 * time.Millisecond)
			}
		})
		for began := time.Now(); time.Since(began) < 30*time.Second; s.sleep(100 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(s.ctx, 600*time.Millisecond)
			held, err := s.dispatcher.Orders(ctx, &apiv1.JobsOrdersRequest{Host: "host-w1"})
			if err == nil && held.LeaseWorker != "" {
				resp, err := s.dispatcher.Report(ctx, &apiv1.JobsReportRequest{
					Worker: &apiv1.JobWorker{Id: held.LeaseWorker, Host: "host-w1"}, Lapsed: true,
					LeaseTerm: held.Term, LeaseNumber: held.LeaseNumber,
				})
				if err == nil && resp.Outcome == apiv1.JobOutcome_JOB_OUTCOME_OK {
					cancel()
					break
				}
			}
			cancel()
		}
		s.replica.ReadState(func(m *state.Machine) { t.Logf("epoch of w1: %d", m.CallerJobs().Worker("w1").Epoch) })
		t.Logf("%d of %d reports of another host were refused", refused.Load(), asked.Load())
		if refused.Load()*4 > asked.Load() {
			t.Error("more than a fourth of another host's reports were refused")
		}
	})
}

// Guards against a life that is at work and is ended in the log by the late first report of one
// before it, whose start is the later one by a clock that was set back.
func TestLateFirstReportOfPreviousIncarnationWithLaterClockIsOutdated(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		life := func(id string) *apiv1.JobWorker {
			return &apiv1.JobWorker{Id: id, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
		}
		r.report(&apiv1.JobsReportRequest{Worker: life("w@150"), Session: 2, Sequence: 1})
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		r.report(&apiv1.JobsReportRequest{Worker: life("w@200"), Session: 1, Sequence: 1})
		if len(s.runsOn("w@150")) == 0 {
			t.Errorf("the run is given up and goes on; the log holds %v on the former life", s.runsOn("w@200"))
		}
	})
}

// Guards against a worker that gets no work for good since a life that has left, and began later
// by a clock that was set back, is remembered.
func TestIncarnationWithEarlierClockIsAcceptedAfterDeparture(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		life := func(id string) *apiv1.JobWorker {
			return &apiv1.JobWorker{Id: id, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
		}
		r.report(&apiv1.JobsReportRequest{Worker: life("w@200"), Session: 1, Sequence: 1})
		r.report(&apiv1.JobsReportRequest{Worker: life("w@200"), Session: 1, Sequence: 2, Departed: true})
		got := r.report(&apiv1.JobsReportRequest{Worker: life("w@150"), Session: 2, Sequence: 1})
		if got.LeaseMs == 0 {
			t.Errorf("the report is answered %v", got)
		}
	})
}
