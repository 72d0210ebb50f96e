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
	// toldEvery is the time between two reports of a hand-made agent, retryAfter that between
	// two tries of one report.
	toldEvery  = 400 * time.Millisecond
	retryAfter = 600 * time.Millisecond
	// longestRestart is how long a task may be without a run once its end is in the log.
	longestRestart = 1500 * time.Millisecond
)

// toldWorker is a worker whose reports a test makes up. It lists all runs that are ordered.
type toldWorker struct {
	s    *sim
	spec *apiv1.JobWorker
	mu   sync.Mutex
	ends []*apiv1.RunEnd
	// silent has it report nothing, blind list no runs; partial has it say that it can't list all.
	silent, blind, partial atomic.Bool
	sequence               uint64
}

func newToldWorker(s *sim, name string) *toldWorker {
	w := &toldWorker{s: s, spec: &apiv1.JobWorker{Id: name, Host: "host-" + name, Pool: simPool, CpuMilli: 8000, MemoryMb: 8000}}
	s.loops.Go(func() {
		for s.ctx.Err() == nil {
			if !w.silent.Load() {
				w.send(w.next())
			}
			s.sleep(toldEvery)
		}
	})
	return w
}

// next returns the worker's next report.
func (w *toldWorker) next() *apiv1.JobsReportRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	r := &apiv1.JobsReportRequest{Worker: w.spec, Session: 1, Sequence: w.sequence, Ends: w.ends, Partial: w.partial.Load()}
	if w.blind.Load() {
		return r
	}
	for _, id := range w.s.runsOn(w.spec.Id) {
		r.Running = append(r.Running, &apiv1.RunObservation{Task: id.Task.Ref(), Run: id.Number, Percent: 100})
	}
	return r
}

func (w *toldWorker) send(r *apiv1.JobsReportRequest) {
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

// fail has a run of the worker fail.
func (w *toldWorker) fail(id jobqueue.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, &apiv1.RunEnd{Sequence: 1, Task: id.Task.Ref(), Run: id.Number, Kind: apiv1.RunEndKind_RUN_END_KIND_FAILED})
}

// runsOn returns the runs that the log has on a worker.
func (s *sim) runsOn(worker string) (ids []jobqueue.RunID) {
	s.replica.ReadState(func(m *state.Machine) {
		if w := m.CallerJobs().Worker(worker); w != nil {
			ids = w.SortedRunIDs()
		}
	})
	return ids
}

// submitLasting hands a long-running job of one task in.
func (s *sim) submitLasting(queue, id string) {
	s.t.Helper()
	s.submitJob(&apiv1.JobSpec{Id: id, Host: simHost, Path: fmt.Sprintf("/%s/%s", queue, id), Steps: []*apiv1.JobStep{
		{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, LongRunning: true},
	}})
}

// untilRun waits until a run of a job holds room that has at least a number, and returns how long that
// took; at most for a minute.
func (s *sim) untilRun(job string, number uint64) time.Duration {
	began := time.Now()
	for time.Since(began) < time.Minute {
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
	return time.Since(began)
}

// troubledLog commits late, or fails to.
type troubledLog struct {
	control.Log
	late atomic.Int64
	// fails are the plans that come to nothing, of those that match.
	fails   atomic.Int64
	matches func(p *apiv1.PlanRuns) bool
}

func (l *troubledLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	c := &apiv1.Command{}
	if proto.Unmarshal(command, c) == nil && l.matches != nil && c.GetJobs().GetPlan() != nil && l.matches(c.GetJobs().GetPlan()) && l.fails.Add(-1) >= 0 {
		return nil, 0, &control.UnknownError{Cause: "disk"}
	}
	select {
	case <-ctx.Done():
		return nil, 0, &control.UnknownError{Cause: "time"}
	case <-time.After(time.Duration(l.late.Load())):
	}
	return l.Log.Propose(ctx, command)
}

// troubleLog puts the log in trouble: the first plans of those that match come to nothing.
func (s *sim) troubleLog(fails int64, matches func(*apiv1.PlanRuns) bool) *troubledLog {
	l := &troubledLog{Log: s.log, matches: matches}
	l.fails.Store(fails)
	s.replica.Attach(l)
	return l
}

// Guards against one failed run that counts as several since its report is sent again while its commit is late.
func TestFailureReportedAgainBeforeItsCommitCountsOnce(t *testing.T) {
	for tries := 1; tries <= 4; tries++ {
		t.Run(fmt.Sprint(tries, " tries"), func(t *testing.T) {
			playSim(t, 1, 0, func(t *testing.T, s *sim) {
				log := s.troubleLog(0, nil)
				w := newToldWorker(s, "w1")
				s.sleep(time.Second)
				s.submitLasting("q", "set")
				s.untilRun("set", 1)
				s.sleep(time.Second)
				w.silent.Store(true)
				w.fail(s.runsOn("w1")[0])
				log.late.Store(int64(time.Duration(tries) * retryAfter))
				r := w.next()
				for range tries {
					s.loops.Go(func() { w.send(r) })
					s.sleep(retryAfter)
				}
				log.late.Store(0)
				for len(s.runsOn("w1")) > 0 {
					s.sleep(10 * time.Millisecond)
				}
				w.silent.Store(false)
				if took := s.untilRun("set", 2); took > longestRestart {
					t.Errorf("after one failure whose report was sent %d times, the task started after %v", tries, took)
				}
			})
		})
	}
}

// Guards against an order that stands for good though its worker, in reach, never lists the run.
func TestLongRunningRunThatReportsLackIsGivenUp(t *testing.T) {
	for name, seenFirst := range map[string]bool{"never listed": false, "listed at first": true} {
		t.Run(name, func(t *testing.T) {
			playSim(t, 1, 0, func(t *testing.T, s *sim) {
				w := newToldWorker(s, "w1")
				newToldWorker(s, "w2")
				w.blind.Store(!seenFirst)
				s.sleep(time.Second)
				s.submitLasting("q", "set")
				s.untilRun("set", 1)
				if len(s.runsOn("w1")) == 0 {
					t.Fatal("the run is on another worker")
				}
				s.sleep(2 * time.Second)
				w.blind.Store(true)
				for range 300 {
					s.sleep(100 * time.Millisecond)
					if s.stopsRun("set") {
						return
					}
				}
				t.Error("75 reports lacked the run, and it counts as running")
			})
		})
	}
}

// Guards against a sound run that is stopped while what its worker reports does not show it.
func TestLongRunningRunIsKeptWhileItsWorkerCannotTell(t *testing.T) {
	for name, hide := range map[string]func(s *sim, w *toldWorker){
		"reports are partial for 10 s": func(s *sim, w *toldWorker) {
			w.partial.Store(true)
			s.sleep(10 * time.Second)
			w.partial.Store(false)
		},
		"every other report is partial": func(s *sim, w *toldWorker) {
			for i := range 20 {
				w.partial.Store(i%2 == 0)
				s.sleep(toldEvery)
			}
			w.partial.Store(false)
		},
		"no report for 4 s, and the start is made 2 s later": func(s *sim, w *toldWorker) {
			w.silent.Store(true)
			s.sleep(4 * time.Second)
			w.silent.Store(false)
			s.sleep(2 * time.Second)
		},
	} {
		for seen, first := range map[string]bool{"never listed": false, "listed at first": true} {
			t.Run(name+", "+seen, func(t *testing.T) {
				playSim(t, 1, 0, func(t *testing.T, s *sim) {
					w := newToldWorker(s, "w1")
					w.blind.Store(!first)
					s.sleep(time.Second)
					s.submitLasting("q", "set")
					s.untilRun("set", 1)
					s.sleep(time.Second)
					w.blind.Store(true)
					hide(s, w)
					w.blind.Store(false)
					s.sleep(5 * time.Second)
					if s.stopsRun("set") {
						t.Error("the run was stopped")
					}
				})
			})
		}
	}
}

// stopsRun reports whether the first run of a job is over or being stopped.
func (s *sim) stopsRun(job string) (stops bool) {
	s.replica.ReadState(func(m *state.Machine) {
		r := m.CallerJobs().Run(jobqueue.RunID{Task: jobqueue.TaskID{Job: job}, Number: 1})
		stops = r == nil || r.Stopping
	})
	return stops
}

// Guards against a lost run that waits for another whole lease since the plan that gave it up was not committed.
func TestSilentWorkersRunIsGivenUpAgainAtOnceWhenThePlanWasNotCommitted(t *testing.T) {
	for fails := range int64(3) {
		t.Run(fmt.Sprint(fails, " plans fail"), func(t *testing.T) {
			playSim(t, 2, 0, func(t *testing.T, s *sim) {
				s.troubleLog(fails, func(p *apiv1.PlanRuns) bool { return len(p.Lapsed) > 0 })
				w := newToldWorker(s, "w1")
				s.sleep(time.Second)
				s.submitLasting("q", "set")
				s.untilRun("set", 1)
				newToldWorker(s, "w2")
				s.sleep(time.Second)
				w.silent.Store(true)
				if took := s.untilRun("set", 2); took > simLease(2)+longestRestart {
					t.Errorf("after its worker went silent the task had no other run for %v, the lease is %v", took, simLease(2))
				}
			})
		})
	}
}

// Guards against a long-running task that waits for advice behind the questions about batch steps.
func TestAdviceForALongRunningTaskDoesNotWaitBehindBatchSteps(t *testing.T) {
	for _, jobs := range []int{0, 8, 24, 48} {
		t.Run(fmt.Sprint(jobs, " batch jobs"), func(t *testing.T) {
			playSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.advisor.PerWorker = 10 * time.Millisecond
				for i := range 30 {
					newToldWorker(s, fmt.Sprintf("w%02d", i))
				}
				s.sleep(time.Second)
				for i := range jobs {
					s.submitJob(&apiv1.JobSpec{Id: fmt.Sprint("b", i), Host: simHost, Path: fmt.Sprint("/advised/b", i), Steps: []*apiv1.JobStep{
						{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 500},
					}})
				}
				s.sleep(100 * time.Millisecond)
				s.submitLasting("advised", "set")
				if took := s.untilRun("set", 1); took > longestRestart {
					t.Errorf("it started after %v beside thirty nearly empty workers", took)
				}
			})
		})
	}
}

// Guards against a start that is not decided again after its plan came to nothing.
func TestStartIsDecidedAgainWhenThePlanWasNotCommitted(t *testing.T) {
	playSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.troubleLog(5, func(p *apiv1.PlanRuns) bool { return len(p.Starts) > 0 })
		newToldWorker(s, "w1")
		s.sleep(time.Second)
		s.submitLasting("q", "set")
		if took := s.untilRun("set", 1); took > longestRestart {
			t.Errorf("it started after %v", took)
		}
	})
}

// Guards against workers that get no work since their reports come a little late.
func TestTaskStartsThoughReportsComeEachSecond(t *testing.T) {
	playSim(t, 1, 0, func(t *testing.T, s *sim) {
		w := newToldWorker(s, "w1")
		w.silent.Store(true)
		s.loops.Go(func() {
			for s.ctx.Err() == nil {
				w.send(w.next())
				s.sleep(time.Second)
			}
		})
		s.sleep(1900 * time.Millisecond)
		s.submitLasting("q", "set")
		if took := s.untilRun("set", 1); took > longestRestart {
			t.Errorf("it started after %v", took)
		}
	})
}
