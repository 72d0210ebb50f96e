package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/trace"
)

// Guards against a task of a canceled job that runs on while no log tells whether its agent lacks the
// order to stop it, or its worker does not carry it out.
func TestRunsThatOutlastTheirStopsAreLogged(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, registry := newLoggingSim(ctx, t, 0, dispatch.Options{LeaseDuration: time.Minute})
		s.sleep(time.Second)
		report := func(r *apiv1.JobsReportRequest) {
			t.Helper()
			r.Worker = &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
			if _, err := s.dispatcher.Report(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		// reportFor reports for some seconds, and fetches the orders if poll is set.
		orders := &apiv1.JobsOrdersResponse{}
		reportFor := func(seconds int, running []*apiv1.RunObservation, poll bool) {
			t.Helper()
			for range 2 * seconds {
				report(&apiv1.JobsReportRequest{Running: running})
				if poll {
					var err error
					orders, err = s.dispatcher.Orders(ctx, &apiv1.JobsOrdersRequest{Worker: "w1", Term: orders.Term, Sequence: orders.Sequence})
					if err != nil {
						t.Fatal(err)
					}
				}
				s.sleep(500 * time.Millisecond)
			}
		}
		running := []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Percent: 100}}
		report(&apiv1.JobsReportRequest{})
		s.submitSpec(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(500 * time.Millisecond)
		reportFor(4, running, true)
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "l1", Host: simHost, Path: "/q/l1"}}})
		reportFor(4, running, false)
		reportFor(4, running, true)
		reportFor(6, nil, true)
		s.sleep(4 * time.Second)
		overdue := registry.Get("dispatch.stops_overdue").(metrics.Gauge)
		if overdue.Value() != 1 {
			t.Errorf("%d stops are overdue, want 1", overdue.Value())
		}
		report(&apiv1.JobsReportRequest{Ends: []*apiv1.RunEnd{{Sequence: 1, Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Kind: apiv1.RunEndKind_RUN_END_KIND_STOPPED}}})
		s.sleep(time.Second)
		if overdue.Value() != 0 {
			t.Errorf("%d stops are overdue after the run has ended", overdue.Value())
		}
		// A run that the log does not contain has to end, too.
		reportFor(4, []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "other"}, Run: 3}}, true)
		stop()
		s.loops.Wait()
		lines, err := trace.Read(log, "leader")
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		count := 0
		for _, l := range lines {
			if l.Event != "runs outlast their stops" {
				continue
			}
			count++
			line := fmt.Sprint(l.Fields["task"], " ", l.Fields["run"], " on ", l.Fields["worker"], ": ", l.Fields["reason"])
			if !slices.Contains(got, line) {
				got = append(got, line)
			}
		}
		if count > 12 {
			t.Errorf("%d lines in 22 s", count)
		}
		want := []string{
			"l1/0/0/0 1 on w1: order not received by its agent", "l1/0/0/0 1 on w1: listed by its worker",
			"l1/0/0/0 1 on w1: not listed by its worker", "l1/0/0/0 1 on w1: no report of its worker", "other/0/0/0 3 on w1: listed by its worker",
		}
		if !slices.Equal(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	})
}
