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
