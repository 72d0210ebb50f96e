package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Symptom: a long-running task is missing for twelve seconds though there is room.
// Sequence: its worker says that it is about to leave; two seconds later the host is
// gone with its agent, and nobody reports any more.
// Cause: the leader waits for the end of a lease that is meant for agents that come
// back, twice as long as the worker runs on by itself.
func TestLeaseOfDepartedHostIsNotAwaited(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.longRunningJob = "serving"
		s.sleep(3 * time.Second)
		job := &apiv1.JobSpec{Id: "serving", Host: simHost, Path: "/q/serving", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 1000, MemoryMb: 500, LongRunning: true},
		}}
		s.submitJob(job)
		s.sleep(2 * time.Second)
		worker := s.firstTaskWorker("serving")
		h := s.hosts[0]
		if h.incarnation() != worker {
			h = s.hosts[1]
		}
		h.mu.Lock()
		h.worker.Drain()
		h.mu.Unlock()
		s.sleep(2 * time.Second)
		h.SetPartitioned(true)
		h.mu.Lock()
		h.stop()
		h.worker.Crash()
		h.mu.Unlock()
		missing := time.Duration(0)
		for missing < 20*time.Second && s.firstTaskWorker("serving") == worker {
			s.sleep(100 * time.Millisecond)
			missing += 100 * time.Millisecond
		}
		if missing > 7*time.Second {
			t.Errorf("the task starts elsewhere after %v", missing)
		}
		for _, b := range s.watch.Broken() {
			t.Error(b)
		}
	})
}

// firstTaskWorker returns the worker of a job's first task.
func (s *sim) firstTaskWorker(job string) string {
	place := ""
	s.replica.ReadState(func(m *state.Machine) {
		for _, r := range m.CallerJobs().Job(job).Occurrences[0].Steps[0].Tasks[0].Runs {
			place = r.Worker
		}
	})
	return place
}
