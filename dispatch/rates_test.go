package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against a slow worker that operators can't find: without its line, its entry in the list or
// the counters of the copies of its runs, and against any of these with the setting off.
func TestSlowWorkerIsReported(t *testing.T) {
	metrics.NewMeter().Stop() // starts the library's goroutine outside of the simulation
	for _, on := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, log, registry := newLoggingSim(ctx, t, 0, dispatch.Options{WorkerRates: on})
			s.sleep(time.Second)
			begun := map[string]time.Time{}
			report := func() {
				for i := range 5 {
					id, speed := fmt.Sprintf("w%d", i), 1.0
					if i == 4 {
						speed = 1.0 / 8
					}
					r := &apiv1.JobsReportRequest{
						Worker:  &apiv1.JobWorker{Id: id, Host: "h" + id, Pool: simPool, AvailabilityZone: "a", CpuMilli: 32_000, MemoryMb: 64_000},
						ClockMs: time.Now().UnixMilli(),
					}
					s.replica.ReadState(func(m *state.Machine) {
						w := m.CallerJobs().Worker(id)
						if w == nil {
							return
						}
						for _, run := range w.SortedRunIDs() {
							name := fmt.Sprint(run)
							if begun[name].IsZero() {
								begun[name] = time.Now()
							}
							percent := min(99, 10*speed*time.Since(begun[name]).Seconds())
							r.Running = append(r.Running, &apiv1.RunObservation{Task: run.Task.Ref(), Run: run.Number, Percent: uint32(percent)})
						}
					})
					if _, err := s.dispatcher.Report(ctx, r); err != nil {
						t.Fatal(err)
					}
				}
			}
			report()
			s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
				Id: "j1", Host: simHost, Path: "/q/j1", Steps: []*apiv1.JobStep{
					{Count: 20, CpuMilli: 1000, MemoryMb: 100, MaxPerWorker: 5, EstimatedMs: 10_000, Image: "i", AllowDuplicates: true},
				},
			}}}})
			for range 14 {
				s.sleep(500 * time.Millisecond)
				report()
			}
			resp, err := s.dispatcher.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_WORKERS})
			if err != nil || resp.WorkersRated != on {
				t.Fatalf("%v, %v", resp, err)
			}
			slow := ""
			for _, w := range resp.Workers {
				if w.Reason != "" {
					slow += w.Worker + " " + w.Reason
				}
			}
			cancel()
			s.loops.Wait()
			lines := strings.Count(log.String(), "belief about a rate changed")
			copies := metrics.GetOrRegisterCounter("dispatch.copies_started", registry).Count()
			if on && (slow != "w4 worker" || lines != 1 || copies == 0) || !on && (len(resp.Workers) > 0 || lines+int(copies) > 0) {
				t.Errorf("on %v: slow %q, %d lines, %d copies, %v", on, slow, lines, copies, resp.Workers)
			}
		})
	}
}
