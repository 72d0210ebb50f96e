package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a queue that is shown as empty while workers refuse the starts of its jobs: an
// ordered start counted as begun, and permanently so.
func TestJobIsPendingUntilARunHasBegun(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		w := newScriptedWorker(s, "w1")
		w.omitRuns.Store(true)
		s.sleep(time.Second)
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		s.expectPending("ordered", 1, apiv1.JobState_JOB_STATE_RUNNING)
		w.refuseStart(s.runsOn("w1")[0], jobqueue.RefusedUnwilling)
		s.expectPending("refused", 1, apiv1.JobState_JOB_STATE_QUEUED)
		s.waitForRun("set", 2)
		s.expectPending("ordered again", 1, apiv1.JobState_JOB_STATE_RUNNING)
		w.omitRuns.Store(false)
		s.sleep(time.Second)
		s.expectPending("reported", 0, apiv1.JobState_JOB_STATE_RUNNING)
	})
}

// expectPending checks how many jobs of the queue are pending, and the state of the job "set".
func (s *sim) expectPending(when string, want uint32, state apiv1.JobState) {
	s.t.Helper()
	queue, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE, Host: simHost, Path: "/q/"})
	if err != nil || queue.Pending != want {
		s.t.Errorf("%s: %d jobs are pending, want %d; %v", when, queue.GetPending(), want, err)
	}
	job, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_JOB, Host: simHost, Path: "/q/set", Id: "set"})
	if err != nil || job.State != state {
		s.t.Errorf("%s: the job is %v, want %v; %v", when, job.GetState(), state, err)
	}
}

// Guards against a wrong number of pending jobs after the leader was lost at any moment around a start: a job
// that waits is missing, or one that began before is shown as waiting for longer than the number may be old. The
// worker stalls before or after the start begins, and reports nothing to the next leader.
func TestPendingAfterTheLeaderIsLostAroundAStart(t *testing.T) {
	const step, moments = 40 * time.Millisecond, 60
	for _, begins := range []bool{false, true} {
		for i := range moments {
			lost := time.Duration(i) * step
			runSim(t, uint64(i), 0, func(t *testing.T, s *sim) {
				w := newScriptedWorker(s, "w1")
				w.omitRuns.Store(!begins)
				s.sleep(time.Second)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				s.sleep(lost)
				w.unresponsive.Store(true)
				s.log.LoseLeadership(300 * time.Millisecond)
				s.waitForLeader()
				pending := s.pending()
				switch {
				case !begins && pending != 1:
					t.Errorf("lost %v after the order: %d jobs are pending, and none has begun", lost, pending)
				case begins && lost >= maxPendingAge-300*time.Millisecond && pending != 0:
					t.Errorf("lost %v after the order: %d jobs are pending, and it began before", lost, pending)
				}
				w.omitRuns.Store(false)
				w.unresponsive.Store(false)
				s.sleep(2 * scriptedReportInterval)
				if pending := s.pending(); pending != 0 {
					t.Errorf("%d jobs are pending after the report", pending)
				}
			})
		}
	}
}

// maxPendingAge is how old the number of pending jobs may be.
const maxPendingAge = 2 * time.Second

// pending reads the number of pending jobs of the queue.
func (s *sim) pending() uint32 {
	queue, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE, Host: simHost, Path: "/q/"})
	if err != nil || queue.Unconfirmed {
		s.t.Errorf("the queue can't be read: %v", err)
	}
	return queue.GetPending()
}

// waitForLeader returns once a leader answers reads that only it answers.
func (s *sim) waitForLeader() {
	for s.ctx.Err() == nil {
		queue, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE, Host: simHost, Path: "/q/"})
		if err == nil && !queue.Unconfirmed {
			return
		}
		s.sleep(10 * time.Millisecond)
	}
}
