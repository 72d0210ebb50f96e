package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/trace"
)

// Guards against long-running tasks that do not run without a line that states the reason.
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
		// The worker is unresponsive until its lease has expired, and there is no other worker.
		s.sleep(10 * time.Second)
		report("w2", &apiv1.JobsReportRequest{})
		for range 6 {
			s.sleep(500 * time.Millisecond)
			report("w2", &apiv1.JobsReportRequest{}) // the run is ordered but does not begin
		}
		for range 4 {
			report("w2", &apiv1.JobsReportRequest{Running: running(2)})
			s.sleep(500 * time.Millisecond)
		}
		stop()
		s.loops.Wait()
		var got, begun []string
		lines, err := trace.Read(log, "leader")
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lines {
			switch l.Event {
			case "run begun":
				begun = append(begun, fmt.Sprint(l.Fields["run"], " ", l.Fields["worker"]))
			case "long-running tasks are away":
				got = append(got, fmt.Sprint(l.Fields["reason"], "; ", l.Fields["how"], "; ", l.Fields["worker"]))
			case "long-running tasks are back":
				got = append(got, fmt.Sprint("back on ", l.Fields["worker"]))
				if gap := l.Fields["waited"].(time.Duration); gap < 12*time.Second || gap > 15*time.Second {
					t.Errorf("the outage lasted %v", gap)
				}
			}
		}
		got = slices.Compact(got)
		want := []string{
			"no report of its worker; <nil>; w1", "unreachable 1; lease ran out; w1", "ordered, not begun; lease ran out; w2", "back on w2",
		}
		if !slices.Equal(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
		if want := []string{"1 w1", "2 w2"}; !slices.Equal(begun, want) {
			t.Errorf("begun are %q, want %q", begun, want)
		}
		if n := registry.Get("dispatch.long_running_outage_us").(metrics.Histogram).Count(); n == 0 {
			t.Error("no outage was measured")
		}
	})
}

// Guards against lines that say that a task is not running when the leader can't know: its process
// was suspended for 6 s, or it has just become leader, and no worker has reported since.
func TestOutageIsNotGuessed(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var suspended atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		s, log, _ := newLoggingSim(ctx, t, 0, dispatch.Options{LeaseDuration: time.Minute, Now: now})
		s.sleep(time.Second)
		report := func(r *apiv1.JobsReportRequest) {
			t.Helper()
			r.Worker = &apiv1.JobWorker{Id: "w1", Host: "w1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}
			if _, err := s.dispatcher.Report(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		reportFor := func(halfSeconds int) {
			for range halfSeconds {
				report(&apiv1.JobsReportRequest{Running: []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Percent: 100}}})
				s.sleep(500 * time.Millisecond)
			}
		}
		report(&apiv1.JobsReportRequest{})
		s.submitSpec(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 3000, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(500 * time.Millisecond)
		reportFor(4)
		suspended.Store(int64(6 * time.Second))
		s.sleep(1500 * time.Millisecond)
		reportFor(6)
		suspended.Add(int64(6 * time.Second))
		s.sleep(2500 * time.Millisecond)
		reportFor(2)
		s.log.LoseLeadership(100 * time.Millisecond)
		s.sleep(3500 * time.Millisecond)
		reportFor(4)
		stop()
		s.loops.Wait()
		lines, err := trace.Read(log, "leader")
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range lines {
			if l.Event != "long-running tasks are away" {
				continue
			}
			got = append(got, fmt.Sprint(l.Fields["reason"]))
			if away := l.Fields["waited"].(time.Duration); away > 3500*time.Millisecond {
				t.Errorf("%v: the task is away for %v", l.Fields["reason"], away)
			}
		}
		if want := []string{"no report since the leader's pause", "no report to the new leader"}; !slices.Equal(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	})
}
