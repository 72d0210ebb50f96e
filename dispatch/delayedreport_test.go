package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against ordering work to an unresponsive worker because of a delayed report. Jobs waited
// for twelve seconds next to idle workers and did not count as waiting. A host is partitioned, and
// its worker becomes unresponsive meanwhile. After the partition the agent reports that the
// worker's lease expired, and then the network delivers a report that was sent before the
// partition. Taken for a new report, it makes the worker reachable and empty, and the worker gets
// all waiting tasks.
func TestReportDelayedByPartitionDoesNotMakeWorkerReachable(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(3 * time.Second)
		h := s.hosts[0]
		h.mu.Lock()
		delayed, workerName := h.lastReport, h.worker.Description().Id
		h.worker.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: true} }
		h.mu.Unlock()
		// Long enough for the agent to be sure that the lease has expired, and to report it.
		s.sleep(10 * time.Second)
		if _, err := s.dispatcher.Report(s.ctx, delayed); err != nil {
			t.Fatal(err)
		}
		spec := &apiv1.JobSpec{Id: "j", Host: simHost, Path: "/q/j", Steps: []*apiv1.JobStep{
			{Count: 4, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 500},
		}}
		s.submitJob(spec)
		s.sleep(200 * time.Millisecond)
		s.replica.ReadState(func(m *state.Machine) {
			if w := m.CallerJobs().Worker(workerName); w != nil && len(w.Runs) > 0 {
				t.Errorf("%d runs are ordered to an unresponsive worker", len(w.Runs))
			}
		})
	})
}
