package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/state"
)

// expiryHarness is a leader with one worker, "w1" on "h1", that runs the long-running job "l1".
type expiryHarness struct {
	t *testing.T
	s *sim
}

func runExpirySim(t *testing.T, test func(r *expiryHarness)) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		r := &expiryHarness{t, s}
		s.sleep(time.Second)
		r.report(&apiv1.JobsReportRequest{})
		s.submitJob(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(500 * time.Millisecond)
		r.renew()
		if r.loggedRunCount() != 1 {
			t.Fatal("the job has no run")
		}
		test(r)
	})
}

func (r *expiryHarness) report(q *apiv1.JobsReportRequest) *apiv1.JobsReportResponse {
	r.t.Helper()
	if q.Worker == nil {
		q.Worker = &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
	}
	resp, err := r.s.dispatcher.Report(r.s.ctx, q)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp
}

func (r *expiryHarness) renew() {
	r.t.Helper()
	r.report(&apiv1.JobsReportRequest{Running: []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Percent: 100}}})
}

// expiryReport returns the report that the worker's current lease expired.
func (r *expiryHarness) expiryReport() *apiv1.JobsReportRequest {
	r.t.Helper()
	lease, err := r.s.dispatcher.Orders(r.s.ctx, &apiv1.JobsOrdersRequest{Host: "h1"})
	if err != nil || lease.LeaseWorker != "w1" {
		r.t.Fatalf("the leader reports %v on the host, error %v", lease, err)
	}
	return &apiv1.JobsReportRequest{
		Worker: &apiv1.JobWorker{Id: lease.LeaseWorker, Host: "h1"}, Lapsed: true, LeaseTerm: lease.Term, LeaseNumber: lease.LeaseNumber,
	}
}

// loggedRunCount returns the number of runs that the log contains on the worker.
func (r *expiryHarness) loggedRunCount() (n int) {
	r.s.replica.ReadState(func(m *state.Machine) { n = len(m.CallerJobs().Worker("w1").Runs) })
	return n
}

func (r *expiryHarness) expectExpiry(q *apiv1.JobsReportRequest, outcome apiv1.JobOutcome, runs int) {
	r.t.Helper()
	if got := r.report(q); got.Outcome != outcome || r.loggedRunCount() != runs {
		r.t.Errorf("the report got outcome %v and left %d runs; want %v and %d", got, r.loggedRunCount(), outcome, runs)
	}
}

func TestLeaseExpiryLosesRunsOfHost(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) { r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0) })
}

// Guards against losing runs that continue, when an expiry report is delayed in the network while
// the lease is renewed.
func TestDelayedExpiryReportKeepsRunsOfRenewedLease(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		delayed := r.expiryReport()
		r.renew()
		r.expectExpiry(delayed, apiv1.JobOutcome_JOB_OUTCOME_STALE, 1)
	})
}

// Guards against the same when a new leader has started to track the leases meanwhile.
func TestExpiryReportForPreviousLeadersLeaseKeepsRuns(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		delayed := r.expiryReport()
		r.s.log.LoseLeadership(100 * time.Millisecond)
		r.s.dispatcher = dispatch.New(dispatch.Options{Replica: r.s.replica})
		r.s.loops.Go(func() { r.s.dispatcher.Run(r.s.ctx) })
		r.s.sleep(time.Second)
		r.expectExpiry(delayed, apiv1.JobOutcome_JOB_OUTCOME_STALE, 1)
	})
}
