package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against a long-running task that does not run for twelve seconds although there is free
// capacity. Its worker announces that it is about to leave, and two seconds later the host is gone
// with its agent, so there are no more reports. The leader must not wait for the whole lease, which
// is meant for agents that return and is twice as long as the worker keeps running by itself.
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
		outage := time.Duration(0)
		for outage < 20*time.Second && s.firstTaskWorker("serving") == worker {
			s.sleep(100 * time.Millisecond)
			outage += 100 * time.Millisecond
		}
		if outage > 7*time.Second {
			t.Errorf("the task started elsewhere after %v, want at most 7 s", outage)
		}
		for _, violation := range s.watch.Violations() {
			t.Error(violation)
		}
	})
}

// firstTaskWorker returns the worker of a job's first task.
func (s *sim) firstTaskWorker(job string) string {
	worker := ""
	s.replica.ReadState(func(m *state.Machine) {
		for _, r := range m.CallerJobs().Job(job).Occurrences[0].Steps[0].Tasks[0].Runs {
			worker = r.Worker
		}
	})
	return worker
}
