package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against a dead worker becoming reachable by a report from before its lease expired.
func TestReportFromBeforeExpiryIsOutdated(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.report(&apiv1.JobsReportRequest{Session: 7, Sequence: 1})
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		if got := r.report(&apiv1.JobsReportRequest{Session: 7, Sequence: 2}); got.LeaseMs != 0 {
			t.Errorf("a report that was sent before the expiry renews the lease: %v", got)
		}
		r.s.sleep(200 * time.Millisecond)
		if r.loggedRunCount() > 0 {
			t.Error("the unresponsive worker got work")
		}
	})
}

// Guards against a start that was decided before an expiry and committed after it, and stays
// forever on a worker that no longer exists.
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
			t.Error("the run still exists a minute after its worker became unresponsive")
		}
	})
}

// Guards against a leader that refuses the reports of all hosts again and again because the call
// with one expiry report is canceled before its commit.
func TestCanceledExpiryReportDoesNotBlockLeader(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		w := newScriptedWorker(s, "w1")
		s.sleep(time.Second)
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		w.unresponsive.Store(true)
		log := s.injectLogFaults(0, nil)
		log.commitDelay.Store(int64(800 * time.Millisecond))
		var refused, sent atomic.Int64
		s.loops.Go(func() {
			for s.ctx.Err() == nil {
				resp, err := s.dispatcher.Report(s.ctx, &apiv1.JobsReportRequest{
					Worker: &apiv1.JobWorker{Id: "w2", Host: "h2", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000},
				})
				sent.Add(1)
				if err != nil || resp.NotLeader {
					refused.Add(1)
				}
				s.sleep(200 * time.Millisecond)
			}
		})
		for started := time.Now(); time.Since(started) < 30*time.Second; s.sleep(100 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(s.ctx, 600*time.Millisecond)
			lease, err := s.dispatcher.Orders(ctx, &apiv1.JobsOrdersRequest{Host: "host-w1"})
			if err == nil && lease.LeaseWorker != "" {
				resp, err := s.dispatcher.Report(ctx, &apiv1.JobsReportRequest{
					Worker: &apiv1.JobWorker{Id: lease.LeaseWorker, Host: "host-w1"}, Lapsed: true,
					LeaseTerm: lease.Term, LeaseNumber: lease.LeaseNumber,
				})
				if err == nil && resp.Outcome == apiv1.JobOutcome_JOB_OUTCOME_OK {
					cancel()
					break
				}
			}
			cancel()
		}
		s.replica.ReadState(func(m *state.Machine) { t.Logf("epoch of w1: %d", m.CallerJobs().Worker("w1").Epoch) })
		t.Logf("%d of %d reports of another host were refused", refused.Load(), sent.Load())
		if refused.Load()*4 > sent.Load() {
			t.Error("more than a quarter of another host's reports were refused")
		}
	})
}

// Guards against the late first report of a previous incarnation ending its running successor in
// the log. The previous incarnation has the later start time because the clock was set back.
func TestLateFirstReportOfPreviousIncarnationWithLaterClockIsOutdated(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		worker := func(id string) *apiv1.JobWorker {
			return &apiv1.JobWorker{Id: id, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
		}
		r.report(&apiv1.JobsReportRequest{Worker: worker("w@150"), Session: 2, Sequence: 1})
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		r.report(&apiv1.JobsReportRequest{Worker: worker("w@200"), Session: 1, Sequence: 1})
		if len(s.runsOn("w@150")) == 0 {
			t.Errorf("the run is lost but continues; the log contains %v on the previous incarnation", s.runsOn("w@200"))
		}
	})
}

// Guards against a worker that never gets work again because a departed incarnation is remembered,
// which has the later start time because the clock was set back.
func TestIncarnationWithEarlierClockIsAcceptedAfterDeparture(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		worker := func(id string) *apiv1.JobWorker {
			return &apiv1.JobWorker{Id: id, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
		}
		r.report(&apiv1.JobsReportRequest{Worker: worker("w@200"), Session: 1, Sequence: 1})
		r.report(&apiv1.JobsReportRequest{Worker: worker("w@200"), Session: 1, Sequence: 2, Departed: true})
		got := r.report(&apiv1.JobsReportRequest{Worker: worker("w@150"), Session: 2, Sequence: 1})
		if got.LeaseMs == 0 {
			t.Errorf("no lease was granted: %v", got)
		}
	})
}

// Guards against a report of a previous incarnation that ends its running successor in the log. The
// leader judges it before the successor's first report, and it is committed after that.
func TestReportOfPreviousIncarnationCommittedLateKeepsSuccessor(t *testing.T) {
	for name, previous := range map[string]string{"earlier clock": "w@100", "clock set back between them": "w@300"} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				log := s.injectLogFaults(0, nil)
				r := &expiryHarness{t, s}
				worker := func(id string) *apiv1.JobWorker {
					return &apiv1.JobWorker{Id: id, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
				}
				log.commitDelay.Store(int64(2 * time.Second))
				s.loops.Go(func() { r.report(&apiv1.JobsReportRequest{Worker: worker(previous), Session: 1, Sequence: 1}) })
				s.sleep(100 * time.Millisecond)
				log.commitDelay.Store(0)
				present := &apiv1.JobsReportRequest{Worker: worker("w@200"), Session: 2, Sequence: 1, Follows: []string{previous}}
				r.report(present)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				s.sleep(3 * time.Second)
				if len(s.runsOn("w@200")) == 0 {
					t.Error("the run is lost but continues")
				}
				present.Sequence = 2
				if got := r.report(present); got.LeaseMs == 0 {
					t.Errorf("the successor gets no lease: %v", got)
				}
			})
		})
	}
}
