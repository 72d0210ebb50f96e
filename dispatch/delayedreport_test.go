package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/state"
)

// Symptom: jobs wait for twelve seconds beside free workers, and are not counted among
// those that wait. Sequence: a host is cut off, and its worker goes silent meanwhile; after
// the cut its agent reports that the worker's lease has run out, and the network then
// delivers a report that was sent before the cut. Cause: the old report is taken for a new
// one: the worker counts as in reach, is empty, and gets all that waits.
func TestReportDelayedByPartitionDoesNotMakeWorkerReachable(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(3 * time.Second)
		h := s.hosts[0]
		h.mu.Lock()
		delayed, silent := h.lastReport, h.worker.Announced().Id
		h.worker.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: true} }
		h.mu.Unlock()
		// Long enough for the agent to be sure that the lease has run out, and to say so.
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
			if w := m.CallerJobs().Worker(silent); w != nil && len(w.Runs) > 0 {
				t.Errorf("%d runs are ordered to a worker that gives no answer", len(w.Runs))
			}
		})
	})
}
