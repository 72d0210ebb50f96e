package dispatch_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
)

// Guards against a start that brought a worker over its capacity and can't be explained afterwards:
// by which capacity, of what age, and beside which runs.
func TestOvercommittedWorkerIsLogged(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, registry := newLoggingSim(ctx, t, 0, dispatch.Options{})
		defer func() {
			stop()
			s.loops.Wait()
		}()
		r := &expiryHarness{t, s}
		s.sleep(2 * time.Second)
		r.report(&apiv1.JobsReportRequest{})
		s.submitSpec(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(500 * time.Millisecond)
		r.renew()
		shrunk := &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 50, MemoryMb: 8000}
		running := []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Percent: 100}}
		reportShrunk := func(ageMs int64) {
			r.report(&apiv1.JobsReportRequest{Worker: proto.CloneOf(shrunk), Running: running, CapacityAgeMs: proto.Int64(ageMs)})
		}
		reportShrunk(700)
		reportShrunk(1200)
		expectLastLine(t, log, 1, `"capacity":"50 8000 0","capacity_age":0.7,"reserved":"100 10 0","counted":{"logged":["l1/0/0/0 1 100 10 0"]},"began":[]`)
		running = append(running, &apiv1.RunObservation{Task: &apiv1.TaskRef{Job: "l1", Index: 0}, Run: 9},
			&apiv1.RunObservation{Task: &apiv1.TaskRef{Job: "forgotten"}, Run: 1})
		reportShrunk(300)
		expectLastLine(t, log, 2, `"reserved":"200 20 0","counted":{"logged":["l1/0/0/0 1 100 10 0"],"unknown":["forgotten/0/0/0 1 ?"],`+
			`"unlogged":["l1/0/0/0 9 100 10 0"]},"began":["l1/0/0/0 9","forgotten/0/0/0 1"]`)
		if n := metrics.GetOrRegisterCounter("dispatch.workers_overcommitted", registry).Count(); n != 2 {
			t.Errorf("%d workers are counted, want 2", n)
		}
	})
}

// expectLastLine checks how many lines about workers over their capacity were written, and the last one.
func expectLastLine(t *testing.T, log *bytes.Buffer, count int, want string) {
	t.Helper()
	var lines []string
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "worker is over its capacity") {
			lines = append(lines, line)
		}
	}
	if len(lines) != count || !strings.Contains(lines[count-1], want) {
		t.Fatalf("want %d lines, the last with %s; got %q", count, want, lines)
	}
}
