package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// scriptedReportInterval is the time between two reports of a scripted agent,
	// reportRetryInterval the time between two attempts to send one report.
	scriptedReportInterval = 400 * time.Millisecond
	reportRetryInterval    = 600 * time.Millisecond
	// maxRestartTime is how long a task may be without a run once its end is in the log.
	maxRestartTime = 1500 * time.Millisecond
)

// scriptedWorker is a worker whose reports the test generates. It lists all ordered runs.
type scriptedWorker struct {
	s    *sim
	spec *apiv1.JobWorker
	mu   sync.Mutex
	ends []*apiv1.RunEnd
	// unresponsive stops the reports, omitRuns empties their list of runs, and partial marks them
	// as incomplete.
	unresponsive, omitRuns, partial atomic.Bool
	sequence                        uint64
}

func newScriptedWorker(s *sim, name string) *scriptedWorker {
	w := &scriptedWorker{s: s, spec: &apiv1.JobWorker{Id: name, Host: "host-" + name, Pool: simPool, CpuMilli: 8000, MemoryMb: 8000}}
	s.loops.Go(func() {
		for s.ctx.Err() == nil {
			if !w.unresponsive.Load() {
				w.send(w.nextReport())
			}
			s.sleep(scriptedReportInterval)
		}
	})
	return w
}

// nextReport returns the worker's next report.
func (w *scriptedWorker) nextReport() *apiv1.JobsReportRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	r := &apiv1.JobsReportRequest{Worker: w.spec, Session: 1, Sequence: w.sequence, Ends: w.ends, Partial: w.partial.Load()}
	if w.omitRuns.Load() {
		return r
	}
	for _, id := range w.s.runsOn(w.spec.Id) {
		r.Running = append(r.Running, &apiv1.RunObservation{Task: id.Task.Ref(), Run: id.Number, Percent: 100})
	}
	return r
}

func (w *scriptedWorker) send(r *apiv1.JobsReportRequest) {
	resp, err := w.s.dispatcher.Report(w.s.ctx, r)
	if err != nil || resp.NotLeader {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ends) > 0 && resp.Acknowledged >= w.ends[len(w.ends)-1].Sequence {
		w.ends = nil
	}
}

// failRun reports a failure of a run.
func (w *scriptedWorker) failRun(id jobqueue.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, &apiv1.RunEnd{Sequence: 1, Task: id.Task.Ref(), Run: id.Number, Kind: apiv1.RunEndKind_RUN_END_KIND_FAILED})
}

// runsOn returns the runs that the log contains on a worker.
func (s *sim) runsOn(worker string) (ids []jobqueue.RunID) {
	s.replica.ReadState(func(m *state.Machine) {
		if w := m.CallerJobs().Worker(worker); w != nil {
			ids = w.SortedRunIDs()
		}
	})
	return ids
}

// submitLongRunning submits a long-running job with one task.
func (s *sim) submitLongRunning(queue, id string) {
	s.t.Helper()
	s.submitJob(&apiv1.JobSpec{Id: id, Host: simHost, Path: fmt.Sprintf("/%s/%s", queue, id), Steps: []*apiv1.JobStep{
		{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, LongRunning: true},
	}})
}

// waitForRun waits at most a minute until a job has a run with at least the given number, and
// returns how long that took.
func (s *sim) waitForRun(job string, number uint64) time.Duration {
	started := time.Now()
	for time.Since(started) < time.Minute {
		found := false
		s.replica.ReadState(func(m *state.Machine) {
			if j := m.CallerJobs().Job(job); j != nil {
				for _, r := range j.Occurrences[0].Steps[0].Tasks[0].Runs {
					found = found || r.ID.Number >= number
				}
			}
		})
		if found {
			break
		}
		s.sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// faultyLog commits late or fails to commit.
type faultyLog struct {
	control.Log
	commitDelay atomic.Int64
	// failuresLeft is the number of matching plans that still fail.
	failuresLeft atomic.Int64
	matches      func(p *apiv1.PlanRuns) bool
}

func (l *faultyLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	c := &apiv1.Command{}
	if proto.Unmarshal(command, c) == nil && l.matches != nil && c.GetJobs().GetPlan() != nil && l.matches(c.GetJobs().GetPlan()) && l.failuresLeft.Add(-1) >= 0 {
		return nil, 0, &control.UnknownError{Cause: "disk"}
	}
	select {
	case <-ctx.Done():
		return nil, 0, &control.UnknownError{Cause: "time"}
	case <-time.After(time.Duration(l.commitDelay.Load())):
	}
	return l.Log.Propose(ctx, command)
}

// injectLogFaults makes the log fail the first plans that match.
func (s *sim) injectLogFaults(failures int64, matches func(*apiv1.PlanRuns) bool) *faultyLog {
	l := &faultyLog{Log: s.log, matches: matches}
	l.failuresLeft.Store(failures)
	s.replica.Attach(l)
	return l
}

// Guards against one failed run that counts several times because its report is sent again while
// its commit is delayed.
func TestFailureReportedAgainBeforeCommitCountsOnce(t *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		t.Run(fmt.Sprint(attempts, " tries"), func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				log := s.injectLogFaults(0, nil)
				w := newScriptedWorker(s, "w1")
				s.sleep(time.Second)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				s.sleep(time.Second)
				w.unresponsive.Store(true)
				w.failRun(s.runsOn("w1")[0])
				log.commitDelay.Store(int64(time.Duration(attempts) * reportRetryInterval))
				r := w.nextReport()
				for range attempts {
					s.loops.Go(func() { w.send(r) })
					s.sleep(reportRetryInterval)
				}
				log.commitDelay.Store(0)
				for len(s.runsOn("w1")) > 0 {
					s.sleep(10 * time.Millisecond)
				}
				w.unresponsive.Store(false)
				if took := s.waitForRun("set", 2); took > maxRestartTime {
					t.Errorf("after one failure reported %d times, the task started after %v", attempts, took)
				}
			})
		})
	}
}

// Guards against an order that stays in effect forever although its worker, which is reachable,
// never lists the run.
func TestUnlistedLongRunningRunIsStopped(t *testing.T) {
	for name, listedFirst := range map[string]bool{"never listed": false, "listed at first": true} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				w := newScriptedWorker(s, "w1")
				newScriptedWorker(s, "w2")
				w.omitRuns.Store(!listedFirst)
				s.sleep(time.Second)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				if len(s.runsOn("w1")) == 0 {
					t.Fatal("the run is on another worker")
				}
				s.sleep(2 * time.Second)
				w.omitRuns.Store(true)
				for range 300 {
					s.sleep(100 * time.Millisecond)
					if s.firstRunEnding("set") {
						return
					}
				}
				t.Error("75 reports did not list the run, and it still counts as running")
			})
		})
	}
}

// Guards against stopping a healthy run while its worker's reports do not show it.
func TestLongRunningRunIsKeptDuringIncompleteReports(t *testing.T) {
	for name, hide := range map[string]func(s *sim, w *scriptedWorker){
		"reports are partial for 10 s": func(s *sim, w *scriptedWorker) {
			w.partial.Store(true)
			s.sleep(10 * time.Second)
			w.partial.Store(false)
		},
		"every other report is partial": func(s *sim, w *scriptedWorker) {
			for i := range 20 {
				w.partial.Store(i%2 == 0)
				s.sleep(scriptedReportInterval)
			}
			w.partial.Store(false)
		},
		"no report for 4 s, and the start is made 2 s later": func(s *sim, w *scriptedWorker) {
			w.unresponsive.Store(true)
			s.sleep(4 * time.Second)
			w.unresponsive.Store(false)
			s.sleep(2 * time.Second)
		},
	} {
		for history, listedFirst := range map[string]bool{"never listed": false, "listed at first": true} {
			t.Run(name+", "+history, func(t *testing.T) {
				runSim(t, 1, 0, func(t *testing.T, s *sim) {
					w := newScriptedWorker(s, "w1")
					w.omitRuns.Store(!listedFirst)
					s.sleep(time.Second)
					s.submitLongRunning("q", "set")
					s.waitForRun("set", 1)
					s.sleep(time.Second)
					w.omitRuns.Store(true)
					hide(s, w)
					w.omitRuns.Store(false)
					s.sleep(5 * time.Second)
					if s.firstRunEnding("set") {
						t.Error("the run was stopped")
					}
				})
			})
		}
	}
}

// firstRunEnding reports whether the first run of a job is finished or being stopped.
func (s *sim) firstRunEnding(job string) (ending bool) {
	s.replica.ReadState(func(m *state.Machine) {
		r := m.CallerJobs().Run(jobqueue.RunID{Task: jobqueue.TaskID{Job: job}, Number: 1})
		ending = r == nil || r.Stopping
	})
	return ending
}

// Guards against a lost run that waits for another whole lease because the plan that marks it lost
// was not committed.
func TestExpiryIsRetriedAtOnceAfterUncommittedPlan(t *testing.T) {
	for failures := range int64(3) {
		t.Run(fmt.Sprint(failures, " plans fail"), func(t *testing.T) {
			runSim(t, 2, 0, func(t *testing.T, s *sim) {
				s.injectLogFaults(failures, func(p *apiv1.PlanRuns) bool { return len(p.Lapsed) > 0 })
				w := newScriptedWorker(s, "w1")
				s.sleep(time.Second)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				newScriptedWorker(s, "w2")
				s.sleep(time.Second)
				w.unresponsive.Store(true)
				if took := s.waitForRun("set", 2); took > simLease(2)+maxRestartTime {
					t.Errorf("the task had no other run for %v after its worker became unresponsive; the lease is %v", took, simLease(2))
				}
			})
		})
	}
}

// Guards against a long-running task whose advice waits behind the questions about batch steps.
func TestLongRunningAdvicePrecedesBatchAdvice(t *testing.T) {
	for _, jobs := range []int{0, 8, 24, 48} {
		t.Run(fmt.Sprint(jobs, " batch jobs"), func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.advisor.LatencyPerWorker = 10 * time.Millisecond
				for i := range 30 {
					newScriptedWorker(s, fmt.Sprintf("w%02d", i))
				}
				s.sleep(time.Second)
				for i := range jobs {
					s.submitJob(&apiv1.JobSpec{Id: fmt.Sprint("b", i), Host: simHost, Path: fmt.Sprint("/advised/b", i), Steps: []*apiv1.JobStep{
						{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 500},
					}})
				}
				s.sleep(100 * time.Millisecond)
				s.submitLongRunning("advised", "set")
				if took := s.waitForRun("set", 1); took > maxRestartTime {
					t.Errorf("the task started after %v with thirty nearly empty workers", took)
				}
			})
		})
	}
}

// Guards against a start that is not decided again after its plan failed to commit.
func TestStartIsRetriedAfterUncommittedPlan(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.injectLogFaults(5, func(p *apiv1.PlanRuns) bool { return len(p.Starts) > 0 })
		newScriptedWorker(s, "w1")
		s.sleep(time.Second)
		s.submitLongRunning("q", "set")
		if took := s.waitForRun("set", 1); took > maxRestartTime {
			t.Errorf("the task started after %v", took)
		}
	})
}

// Guards against workers that get no work because their reports arrive slightly late.
func TestTaskStartsWithReportsEverySecond(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		w := newScriptedWorker(s, "w1")
		w.unresponsive.Store(true)
		s.loops.Go(func() {
			for s.ctx.Err() == nil {
				w.send(w.nextReport())
				s.sleep(time.Second)
			}
		})
		s.sleep(1900 * time.Millisecond)
		s.submitLongRunning("q", "set")
		if took := s.waitForRun("set", 1); took > maxRestartTime {
			t.Errorf("the task started after %v", took)
		}
	})
}
