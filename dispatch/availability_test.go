package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// unlogged are runs that a worker of 4000 lists and the log does not contain, by what is known of them.
var unlogged = map[string]*apiv1.RunObservation{
	"known job":     {Task: &apiv1.TaskRef{Job: "large"}, Run: 9},
	"forgotten job": {Task: &apiv1.TaskRef{Job: "forgotten"}, Run: 9},
}

// withLeader runs a test on a leader whose only worker, w1, reports as the test does.
func withLeader(t *testing.T, o dispatch.Options, test func(r *expiryHarness)) {
	t.Helper()
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, _, _ := newLoggingSim(ctx, t, 0, o)
		defer func() {
			stop()
			s.loops.Wait()
		}()
		s.sleep(2 * time.Second)
		r := &expiryHarness{t, s}
		r.report(&apiv1.JobsReportRequest{})
		test(r)
	})
}

// submitStep submits a job of one step.
func (r *expiryHarness) submitStep(id string, step *apiv1.JobStep) {
	r.s.submitSpec(&apiv1.JobSpec{Id: id, Host: simHost, Path: "/q/" + id, Steps: []*apiv1.JobStep{step}})
}

// reportRunning reports the runs of the worker and waits for the leader's next plan.
func (r *expiryHarness) reportRunning(running ...*apiv1.RunObservation) {
	r.report(&apiv1.JobsReportRequest{Running: running})
	r.s.sleep(100 * time.Millisecond)
}

// Guards against starts that are planned beside a run that the log does not contain.
func TestUnloggedRunBarsStarts(t *testing.T) {
	for name, run := range unlogged {
		t.Run(name, func(t *testing.T) {
			withLeader(t, dispatch.Options{}, func(r *expiryHarness) {
				r.submitStep("large", &apiv1.JobStep{Count: 1, CpuMilli: 3900, MemoryMb: 10, RequiredLabel: "none"})
				r.reportRunning(run)
				r.submitStep("j", &apiv1.JobStep{Count: 1, CpuMilli: 200, MemoryMb: 10})
				r.reportRunning(run)
				if starts := r.orders().Starts; len(starts) != 0 {
					t.Errorf("ordered beside the run: %v", starts)
				}
				r.reportRunning()
				r.reportRunning()
				if starts := r.orders().Starts; len(starts) != 1 {
					t.Errorf("ordered after the run: %v, want one start", starts)
				}
			})
		})
	}
}

// Guards against a start that was ordered before its worker listed a run that the log does not contain.
func TestUnloggedRunWithdrawsStarts(t *testing.T) {
	for name, run := range unlogged {
		t.Run(name, func(t *testing.T) {
			withLeader(t, dispatch.Options{}, func(r *expiryHarness) {
				r.submitStep("large", &apiv1.JobStep{Count: 1, CpuMilli: 3900, MemoryMb: 10, RequiredLabel: "none"})
				r.submitStep("j", &apiv1.JobStep{Count: 1, CpuMilli: 200, MemoryMb: 10})
				r.reportRunning()
				if starts := r.orders().Starts; len(starts) != 1 {
					t.Fatalf("ordered: %v, want one start", starts)
				}
				r.report(&apiv1.JobsReportRequest{Running: []*apiv1.RunObservation{run}})
				if starts := r.orders().Starts; len(starts) != 0 {
					t.Errorf("still ordered: %v", starts)
				}
				r.s.sleep(100 * time.Millisecond)
				if stops := r.orders().Stops; len(stops) != 2 {
					t.Errorf("stopped: %v, want the run and the start", stops)
				}
			})
		})
	}
}

// Guards against an agent that can't check a start, because the leader does not tell what the runs on its
// worker reserve.
func TestReservationsAreListedOnRequest(t *testing.T) {
	withLeader(t, dispatch.Options{}, func(r *expiryHarness) {
		r.submitStep("large", &apiv1.JobStep{Count: 1, CpuMilli: 3900, MemoryMb: 10, Accelerators: 2, RequiredLabel: "none"})
		r.submitStep("j", &apiv1.JobStep{Count: 1, CpuMilli: 200, MemoryMb: 10, Backfill: true, Image: "fill"})
		r.reportRunning()
		r.reportRunning(unlogged["known job"], unlogged["forgotten job"])
		plain := r.orders()
		if plain.ReservationsListed || len(plain.Reservations) != 0 {
			t.Errorf("listed without a request: %v", plain.Reservations)
		}
		resp, err := r.s.dispatcher.Orders(r.s.ctx, &apiv1.JobsOrdersRequest{
			Worker: "w1", Term: plain.Term, Sequence: plain.Sequence, WaitMs: 1000, ListReservations: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		want := []*apiv1.RunReservation{
			{Task: &apiv1.TaskRef{Job: "j"}, Run: 1, Reserved: jobqueue.Resources{MemoryMB: 10}.Message()},
			{Task: unlogged["known job"].Task, Run: 9, Reserved: jobqueue.Resources{CPUMilli: 3900, MemoryMB: 10, Accelerators: 2}.Message()},
			{Task: unlogged["forgotten job"].Task, Run: 9},
		}
		same := len(resp.Reservations) == len(want) && resp.ReservationsListed
		for i := 0; same && i < len(want); i++ {
			same = proto.Equal(resp.Reservations[i], want[i])
		}
		if !same {
			t.Errorf("listed %v, want %v", resp.Reservations, want)
		}
	})
}

// Guards against starts that the leader plans by a capacity that the worker announced long ago.
func TestOutdatedCapacityGetsNoStart(t *testing.T) {
	withLeader(t, dispatch.Options{MaxCapacityAge: 4 * time.Second}, func(r *expiryHarness) {
		report := func(age time.Duration) {
			r.report(&apiv1.JobsReportRequest{CapacityAgeMs: proto.Int64(age.Milliseconds())})
		}
		report(5 * time.Second)
		r.submitStep("j", &apiv1.JobStep{Count: 1, CpuMilli: 100, MemoryMb: 10})
		r.s.sleep(500 * time.Millisecond)
		if starts := r.orders().Starts; len(starts) != 0 {
			t.Errorf("ordered by an outdated capacity: %v", starts)
		}
		report(3800 * time.Millisecond)
		r.s.sleep(500 * time.Millisecond)
		if starts := r.orders().Starts; len(starts) != 1 {
			t.Errorf("ordered by a recent capacity: %v, want one start", starts)
		}
	})
}
