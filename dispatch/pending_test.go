package dispatch_test

import (
	"fmt"
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

// Guards against a job that counts as pending although its worker's end, or that of its lease, was reported with
// evidence that a run had begun: a run that no leader has seen listed, on a worker that crashes. A run that is not
// known to have begun leaves its job pending.
func TestJobOfARunThatBeganBeforeItsWorkerEndedIsNotPending(t *testing.T) {
	type report = apiv1.JobsReportRequest
	ends := map[string]func(r *crashLimitHarness, work *apiv1.RunWork){
		"worker's end": func(r *crashLimitHarness, work *apiv1.RunWork) { r.crash(work) },
		"report of the next incarnation": func(r *crashLimitHarness, work *apiv1.RunWork) {
			end := &report{Worker: r.worker(), Departed: true, Crashed: true, Worked: []*apiv1.RunWork{work}}
			r.incarnation++
			r.report(&report{Worker: r.worker(), Follows: []string{end.Worker.Id}, PreviousEnds: []*report{end}})
		},
		"end of the lease": func(r *crashLimitHarness, work *apiv1.RunWork) {
			r.expireLease(&report{Worked: []*apiv1.RunWork{work}})
		},
		"worker's end after that of the lease and the next start": func(r *crashLimitHarness, work *apiv1.RunWork) {
			end := &report{Worker: r.worker(), Departed: true, Crashed: true, Worked: []*apiv1.RunWork{work}}
			r.expireLease(&report{})
			other := &report{Worker: &apiv1.JobWorker{Id: "other", Host: "h2", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}}
			r.report(other)
			r.s.waitForRun(crashedJobID, 2)
			r.report(end)
		},
	}
	for name, end := range ends {
		for _, began := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, begun %v", name, began), func(t *testing.T) {
				runCrashLimitSim(t, func(r *crashLimitHarness) {
					work, want := r.awaitRun(), uint32(1)
					if began {
						work, want = worked(work), 0
					}
					end(r, work)
					r.s.sleep(maxPendingAge)
					if pending := r.s.pending(); pending != want {
						t.Errorf("%d jobs are pending, want %d", pending, want)
					}
				})
			})
		}
	}
}
