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

// Guards against long-running tasks that are away without a line that says why.
func TestLongRunningOutagesAreLogged(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, registry := newLoggingSim(ctx, t, 0, dispatch.Options{LeaseDuration: 6 * time.Second})
		s.sleep(time.Second)
		report := func(worker string, r *apiv1.JobsReportRequest) {
			t.Helper()
			r.Worker = &apiv1.JobWorker{Id: worker, Host: worker, Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
			if _, err := s.dispatcher.Report(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		running := func(run uint64) []*apiv1.RunObservation {
			return []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: run, Percent: 100}}
		}
		report("w1", &apiv1.JobsReportRequest{})
		s.submitSpec(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 3000, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(500 * time.Millisecond)
		report("w1", &apiv1.JobsReportRequest{Running: running(1)})
		// The worker falls silent until its lease has run out, and there is no other.
		s.sleep(10 * time.Second)
		report("w2", &apiv1.JobsReportRequest{})
		for range 6 {
			s.sleep(500 * time.Millisecond)
			report("w2", &apiv1.JobsReportRequest{}) // the run is ordered and does not begin
		}
		for range 4 {
			report("w2", &apiv1.JobsReportRequest{Running: running(2)})
			s.sleep(500 * time.Millisecond)
		}
		stop()
		s.loops.Wait()
		var told []string
		lines, err := trace.Read(log, "leader")
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lines {
			switch l.Event {
			case "long-running tasks are away":
				told = append(told, fmt.Sprint(l.Fields["reason"], "; ", l.Fields["how"], "; ", l.Fields["worker"]))
			case "long-running tasks are back":
				told = append(told, fmt.Sprint("back on ", l.Fields["worker"]))
				if away := l.Fields["waited"].(time.Duration); away < 12*time.Second || away > 15*time.Second {
					t.Errorf("away for %v", away)
				}
			}
		}
		told = slices.Compact(told)
		want := []string{
			"no report of its worker; <nil>; w1", "unreachable 1; lease ran out; w1", "ordered, not begun; lease ran out; w2", "back on w2",
		}
		if !slices.Equal(told, want) {
			t.Errorf("told %q, want %q", told, want)
		}
		if n := registry.Get("dispatch.long_running_outage_us").(metrics.Histogram).Count(); n == 0 {
			t.Error("no outage was measured")
		}
	})
}
