package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// crashedJobID is the job of a crashLimitHarness, and crashedRuntime how long its runs work until
	// their worker crashes.
	crashedJobID   = "crashed"
	crashedRuntime = 2 * time.Second
)

// crashLimitHarness is a leader with one host, whose agent and worker the test plays, and a job with one
// task.
type crashLimitHarness struct {
	t *testing.T
	s *sim
	// incarnation counts the incarnations of the worker.
	incarnation int
}

func runCrashLimitSim(t *testing.T, test func(*crashLimitHarness)) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		r := &crashLimitHarness{t: t, s: s, incarnation: 1}
		s.sleep(time.Second)
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
		s.submitJob(&apiv1.JobSpec{Id: crashedJobID, Host: simHost, Path: "/q/" + crashedJobID, Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 500},
		}})
		test(r)
	})
}

func (r *crashLimitHarness) worker() *apiv1.JobWorker {
	return &apiv1.JobWorker{
		Id: fmt.Sprintf("w@%d", r.incarnation), Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000,
	}
}

func (r *crashLimitHarness) report(q *apiv1.JobsReportRequest) *apiv1.JobsReportResponse {
	r.t.Helper()
	resp, err := r.s.dispatcher.Report(r.s.ctx, q)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp
}

// awaitRun waits until the leader has ordered a run.
func (r *crashLimitHarness) awaitRun() *apiv1.RunWork {
	r.t.Helper()
	for range 100 {
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
		if ids := r.s.runsOn(r.worker().Id); len(ids) > 0 {
			return &apiv1.RunWork{Task: ids[0].Task.Ref(), Run: ids[0].Number}
		}
		r.s.sleep(100 * time.Millisecond)
	}
	r.t.Fatal("no run is ordered")
	return nil
}

// worked returns the account of a run that had worked until its worker crashed.
func worked(run *apiv1.RunWork) *apiv1.RunWork {
	run.Began, run.WorkedMs, run.AtMostMs = true, crashedRuntime.Milliseconds(), crashedRuntime.Milliseconds()
	return run
}

// crash reports that the worker has crashed with the given runs, and starts its next incarnation.
func (r *crashLimitHarness) crash(runs ...*apiv1.RunWork) {
	r.t.Helper()
	r.report(&apiv1.JobsReportRequest{Worker: r.worker(), Departed: true, Crashed: true, Worked: runs})
	r.incarnation++
	r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
}

// crashRepeatedly crashes the worker under as many runs as it takes for the starts to be counted.
func (r *crashLimitHarness) crashRepeatedly() {
	r.t.Helper()
	for range crashloop.RepeatedCrashes {
		r.crash(worked(r.awaitRun()))
	}
}

// loseRun has the worker's lease expire while it has a run.
func (r *crashLimitHarness) loseRun() {
	r.t.Helper()
	r.awaitRun()
	r.expireLease(&apiv1.JobsReportRequest{})
}

// expireLease completes and sends the report that the worker's lease has expired.
func (r *crashLimitHarness) expireLease(report *apiv1.JobsReportRequest) {
	r.t.Helper()
	lease, err := r.s.dispatcher.Orders(r.s.ctx, &apiv1.JobsOrdersRequest{Host: "h1"})
	if err != nil {
		r.t.Fatal(err)
	}
	report.Worker, report.Lapsed = r.worker(), true
	report.LeaseTerm, report.LeaseNumber = lease.Term, lease.LeaseNumber
	r.report(report)
}

func (r *crashLimitHarness) job() (j *jobqueue.Job) {
	r.s.replica.ReadState(func(m *state.Machine) { j = m.CallerJobs().Job(crashedJobID) })
	return j
}

// crashes returns the history of the job's task.
func (r *crashLimitHarness) crashes() crashloop.History {
	var h crashloop.History
	r.s.replica.ReadState(func(m *state.Machine) {
		if task := m.CallerJobs().Task(jobqueue.TaskID{Job: crashedJobID}); task != nil {
			h = task.Crashes
		}
	})
	return h
}

// Guards against a job that fails by the crash limit without a line in the log: it fails by the loss of a
// run, not by the report of a crash.
func TestJobThatFailsWithLostRunIsLogged(t *testing.T) {
	runCrashLimitSim(t, func(r *crashLimitHarness) {
		r.crashRepeatedly()
		for range crashloop.MaxStartsAfterRepeatedCrashes {
			r.loseRun()
		}
		r.s.sleep(time.Second)
		if j := r.job(); j.Failure != apiv1.JobFailure_JOB_FAILURE_CRASHES {
			t.Fatalf("the job is %v for %v", j.State, j.Failure)
		}
		if n := strings.Count(r.s.logBuffer.String(), "job is given up"); n != 1 {
			t.Errorf("%d lines say that the job is given up", n)
		}
	})
}

// Guards against two lines for a job that fails by the report of a crash.
func TestJobThatFailsWithCrashIsLoggedOnce(t *testing.T) {
	runCrashLimitSim(t, func(r *crashLimitHarness) {
		for range crashloop.RepeatedCrashes + crashloop.MaxStartsAfterRepeatedCrashes {
			r.crash(worked(r.awaitRun()))
		}
		r.s.sleep(time.Second)
		if n := strings.Count(r.s.logBuffer.String(), "job is given up"); n != 1 {
			t.Errorf("%d lines say that the job is given up", n)
		}
	})
}

// Guards against a job that fails without a line because its leader loses the leadership right after.
func TestNewLeaderLogsJobThatFailedBeforeItTookOver(t *testing.T) {
	runCrashLimitSim(t, func(r *crashLimitHarness) {
		for range crashloop.RepeatedCrashes + crashloop.MaxStartsAfterRepeatedCrashes {
			r.crash(worked(r.awaitRun()))
		}
		before := strings.Count(r.s.logBuffer.String(), "job is given up")
		leaders := &expiryHarness{t, r.s}
		leaders.changeLeader()
		if n := strings.Count(r.s.logBuffer.String(), "job is given up"); n <= before {
			t.Errorf("%d lines say that the job is given up, as many as before the change of leader", n)
		}
	})
}

// Guards against a job that crashes nothing and fails by starts that never reached their workers.
func TestStartsThatNeverReachedWorkersDoNotFailJob(t *testing.T) {
	lapse := func(r *crashLimitHarness, refusals []*apiv1.RunRefusal) {
		r.expireLease(&apiv1.JobsReportRequest{Refusals: refusals})
		r.incarnation++
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
	}
	depart := func(r *crashLimitHarness, refusals []*apiv1.RunRefusal) {
		r.report(&apiv1.JobsReportRequest{Worker: r.worker(), Departed: true, Crashed: true, Refusals: refusals})
		r.incarnation++
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
	}
	lapseUnheard := func(r *crashLimitHarness, _ []*apiv1.RunRefusal) {
		r.expireLease(&apiv1.JobsReportRequest{NoRunBegan: true})
		r.incarnation++
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
	}
	departUnheard := func(r *crashLimitHarness, _ []*apiv1.RunRefusal) {
		r.report(&apiv1.JobsReportRequest{Worker: r.worker(), Departed: true, Crashed: true, NoRunBegan: true})
		r.incarnation++
		r.report(&apiv1.JobsReportRequest{Worker: r.worker()})
	}
	for name, end := range map[string]func(*crashLimitHarness, []*apiv1.RunRefusal){
		"worker crashed": depart, "lease expired": lapse,
		"worker crashed, order unheard of": departUnheard, "lease expired, order unheard of": lapseUnheard,
	} {
		t.Run(name, func(t *testing.T) {
			runCrashLimitSim(t, func(r *crashLimitHarness) {
				r.crashRepeatedly()
				for range crashloop.MaxStartsAfterRepeatedCrashes {
					run := r.awaitRun()
					end(r, []*apiv1.RunRefusal{{Task: run.Task, Run: run.Run, Reason: "never sent"}})
				}
				r.s.sleep(time.Second)
				if j := r.job(); !j.Open() {
					t.Errorf("the job is %v for %v", j.State, j.Failure)
				}
				r.awaitRun()
			})
		})
	}
}

// Guards against a crash without bounds on how long its runs had worked, which is no evidence: the report
// of the worker's end is lost, and that of the next incarnation carries it.
func TestReportOfNextIncarnationDescribesCrash(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(run *apiv1.RunWork) *apiv1.JobsReportRequest
		want int
	}{
		"crash": {func(run *apiv1.RunWork) *apiv1.JobsReportRequest {
			return &apiv1.JobsReportRequest{Crashed: true, Worked: []*apiv1.RunWork{worked(run)}}
		}, 1},
		"departure": {func(*apiv1.RunWork) *apiv1.JobsReportRequest { return &apiv1.JobsReportRequest{} }, 0},
		"never sent": {func(run *apiv1.RunWork) *apiv1.JobsReportRequest {
			run.NeverSent = true
			return &apiv1.JobsReportRequest{
				Crashed: true, Worked: []*apiv1.RunWork{run}, Refusals: []*apiv1.RunRefusal{{Task: run.Task, Run: run.Run}},
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashLimitSim(t, func(r *crashLimitHarness) {
				end := test.end(r.awaitRun())
				end.Worker, end.Departed = r.worker(), true
				r.incarnation++
				r.report(&apiv1.JobsReportRequest{
					Worker: r.worker(), Follows: []string{end.Worker.Id}, PreviousEnds: []*apiv1.JobsReportRequest{end},
				})
				history := r.crashes()
				if history.Similar() != test.want || history.Count() != test.want {
					t.Errorf("the history is %+v", history)
				}
			})
		})
	}
}

// Guards against a task that runs again although it succeeded: the report of its worker's end, which lists
// the end of the run, is lost, and that of the next incarnation carries it.
func TestEndInReportOfNextIncarnationCompletesTask(t *testing.T) {
	runCrashLimitSim(t, func(r *crashLimitHarness) {
		run := r.awaitRun()
		end := &apiv1.JobsReportRequest{
			Worker: r.worker(), Departed: true, Crashed: true,
			Ends:   []*apiv1.RunEnd{{Sequence: 1, Task: run.Task, Run: run.Run, Kind: apiv1.RunEndKind_RUN_END_KIND_DONE}},
			Worked: []*apiv1.RunWork{{Task: run.Task, Run: run.Run, Ended: true}},
		}
		r.incarnation++
		r.report(&apiv1.JobsReportRequest{
			Worker: r.worker(), Follows: []string{end.Worker.Id}, PreviousEnds: []*apiv1.JobsReportRequest{end},
		})
		if j := r.job(); j.State != apiv1.JobState_JOB_STATE_SUCCEEDED {
			t.Errorf("the job is %v", j.State)
		}
		r.s.sleep(2 * time.Second)
		if log := r.s.logBuffer.String(); !strings.Contains(log, "jobs are over") || strings.Contains(log, "runs are lost") {
			t.Errorf("the log has no line on the end of the job, or one on a lost run:\n%s", log)
		}
	})
}
