package dispatch_test

import (
	"context"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
)

// scriptedSession is an agent's session with a worker on "h1" whose reports the test sends.
type scriptedSession struct {
	r      *expiryHarness
	report *apiv1.JobsReportRequest
	// worker is the incarnation that the session serves.
	worker string
}

// startSession begins a session with worker "w1" under a number that the leader issues.
func (r *expiryHarness) startSession(id uint64) *scriptedSession { return r.startSessionWith("w1", id) }

func (r *expiryHarness) startSessionWith(worker string, id uint64) *scriptedSession {
	s := &scriptedSession{r, &apiv1.JobsReportRequest{Session: id}, worker}
	s.renumber()
	return s
}

func (s *scriptedSession) renumber() {
	s.r.t.Helper()
	host, err := s.r.s.dispatcher.Orders(s.r.s.ctx, &apiv1.JobsOrdersRequest{Host: "h1"})
	if err != nil {
		s.r.t.Fatal(err)
	}
	s.report.SessionTerm, s.report.SessionNumber = host.Term, host.SessionNumber
}

// next returns the next report of the session, which lists the runs that the log contains.
func (s *scriptedSession) next() *apiv1.JobsReportRequest {
	s.report.Sequence++
	r := &apiv1.JobsReportRequest{
		Worker:  &apiv1.JobWorker{Id: s.worker, Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000},
		Session: s.report.Session, Sequence: s.report.Sequence, SessionTerm: s.report.SessionTerm, SessionNumber: s.report.SessionNumber,
	}
	for _, id := range s.r.s.runsOn(s.worker) {
		r.Running = append(r.Running, &apiv1.RunObservation{Task: id.Task.Ref(), Run: id.Number, Percent: 100})
	}
	return r
}

func (s *scriptedSession) departure() *apiv1.JobsReportRequest {
	r := s.next()
	r.Departed, r.Running = true, nil
	return r
}

// refusalOfAll returns a report that returns all runs that the log contains.
func (s *scriptedSession) refusalOfAll() *apiv1.JobsReportRequest {
	r := s.next()
	r.Running = nil
	for _, id := range s.r.s.runsOn(s.worker) {
		r.Refusals = append(r.Refusals, &apiv1.RunRefusal{Task: id.Task.Ref(), Run: id.Number, Reason: "unwilling"})
	}
	return r
}

// send sends the next report, under a new number if the leader requires one.
func (s *scriptedSession) send() *apiv1.JobsReportResponse {
	s.r.t.Helper()
	resp := s.r.report(s.next())
	if resp.SessionSuperseded {
		s.renumber()
		resp = s.r.report(s.next())
	}
	return resp
}

// reportAndCancel sends a report whose call ends after a time.
func (r *expiryHarness) reportAndCancel(q *apiv1.JobsReportRequest, after time.Duration) {
	ctx, cancel := context.WithTimeout(r.s.ctx, after)
	defer cancel()
	_, _ = r.s.dispatcher.Report(ctx, q)
}

// changeLeader replaces the leader by one that knows only the log.
func (r *expiryHarness) changeLeader() {
	r.s.log.LoseLeadership(100 * time.Millisecond)
	r.s.dispatcher = dispatch.New(dispatch.Options{Replica: r.s.replica, Logger: r.s.logger})
	r.s.loops.Go(func() { r.s.dispatcher.Run(r.s.ctx) })
	r.s.sleep(time.Second)
}

// Guards against a task that runs on two workers: a departure report is held up in the network while
// the agent is restarted, and its successor finds the worker and starts runs on it.
func TestDepartureOfPreviousSessionKeepsRuns(t *testing.T) {
	for name, test := range map[string]struct {
		crashed                bool
		leaderChanges          bool
		reportedToLeader       bool
		departureIsFirstReport bool
	}{
		"same leader":                             {},
		"reported as a crash":                     {crashed: true},
		"new leader, which gets it first":         {leaderChanges: true},
		"new leader, which gets a crash first":    {leaderChanges: true, crashed: true},
		"new leader that knows the later session": {leaderChanges: true, reportedToLeader: true},
		"first report of its session":             {departureIsFirstReport: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				r := &expiryHarness{t, s}
				first := r.startSession(1)
				if !test.departureIsFirstReport {
					first.send()
				}
				departure := first.departure()
				departure.Crashed = test.crashed
				second := r.startSession(2)
				second.send()
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				second.send()
				if test.leaderChanges {
					r.changeLeader()
				}
				if test.reportedToLeader {
					second.send()
				}
				r.report(departure)
				if len(s.runsOn("w1")) == 0 {
					t.Error("the run is lost but continues")
				}
				if got := second.send(); got.LeaseMs == 0 {
					t.Errorf("the later session gets no lease: %v", got)
				}
			})
		})
	}
}

// Guards against a task that runs on two workers: the leader accepts a departure, and commits it after
// a later session of the worker has got a lease.
func TestDepartureCommittedLateKeepsRunsOfLaterSession(t *testing.T) {
	for name, test := range map[string]struct{ unknownWorker, otherInDoubt, leaderChanges bool }{
		"known worker":               {},
		"first report of the worker": {unknownWorker: true},
		"another commit is in doubt": {otherInDoubt: true},
		"next term":                  {leaderChanges: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				log := s.injectLogFaults(1, func(p *apiv1.PlanRuns) bool { return len(p.Lapsed) > 0 })
				r := &expiryHarness{t, s}
				first := r.startSession(1)
				if !test.unknownWorker {
					first.send()
				}
				other := &apiv1.JobWorker{Id: "w2", Host: "h2", Pool: simPool}
				r.report(&apiv1.JobsReportRequest{Worker: other})
				second := r.startSession(2)
				departure := first.departure()
				log.commitDelay.Store(int64(2 * time.Second))
				s.loops.Go(func() { r.report(departure) })
				s.sleep(100 * time.Millisecond)
				log.commitDelay.Store(0)
				if test.otherInDoubt {
					r.report(&apiv1.JobsReportRequest{Worker: other, Lapsed: true})
					s.sleep(500 * time.Millisecond)
				}
				if test.leaderChanges {
					r.changeLeader()
				}
				leased := second.send().LeaseMs > 0
				s.submitLongRunning("q", "set")
				for range 30 {
					s.sleep(100 * time.Millisecond)
					leased = second.send().LeaseMs > 0 || leased
				}
				if leased && len(s.runsOn("w1")) == 0 {
					t.Error("the later session got a lease, and its run is lost but continues")
				}
			})
		})
	}
}

// Guards against runs that stay assigned to a worker that has left: the agent reports its departure
// to a new leader.
func TestDepartureAfterLeaderChangeEndsRuns(t *testing.T) {
	for name, reported := range map[string]bool{"first report to the leader": false, "known to the leader": true} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				r := &expiryHarness{t, s}
				session := r.startSession(1)
				session.send()
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				r.changeLeader()
				if reported {
					session.send()
				}
				if got := r.report(session.departure()); got.SessionSuperseded {
					session.renumber()
					r.report(session.departure())
				}
				if len(s.runsOn("w1")) > 0 {
					t.Error("the run is still assigned to the worker")
				}
			})
		})
	}
}

// Guards against a task that runs on two workers: the first report that a new leader gets is one of a
// previous session, and returns a start that the present session has carried out.
func TestRefusalOfPreviousSessionKeepsRuns(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		first := r.startSession(1)
		first.send()
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		refusal := first.refusalOfAll()
		second := r.startSession(2)
		second.send()
		r.changeLeader()
		r.report(refusal)
		if len(s.runsOn("w1")) == 0 {
			t.Error("the run is returned but continues")
		}
	})
}

// Guards against a leader that refuses the reports of all hosts because the call with one departure
// report is canceled before its commit.
func TestCanceledDepartureReportDoesNotBlockLeader(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		log := s.injectLogFaults(0, nil)
		r := &expiryHarness{t, s}
		session := r.startSession(1)
		session.send()
		log.commitDelay.Store(int64(800 * time.Millisecond))
		r.reportAndCancel(session.departure(), 600*time.Millisecond)
		other := &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{Id: "w2", Host: "h2", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000}}
		if got := r.report(other); got.NotLeader {
			t.Error("the report of another host is refused")
		}
		s.sleep(time.Second)
		if got := session.send(); got.LeaseMs > 0 {
			t.Error("the departure was not committed")
		}
	})
}

// Guards against a task that runs on two workers: the leader accepts a report that returns a start, and
// commits it after a later session has got a lease and carried the start out.
func TestRefusalCommittedLateKeepsRunsOfLaterSession(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		log := s.injectLogFaults(0, nil)
		r := &expiryHarness{t, s}
		first := r.startSession(1)
		first.send()
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		refusal := first.refusalOfAll()
		second := r.startSession(2)
		log.commitDelay.Store(int64(2 * time.Second))
		s.loops.Go(func() { r.report(refusal) })
		s.sleep(100 * time.Millisecond)
		log.commitDelay.Store(0)
		if second.send().LeaseMs == 0 {
			return
		}
		s.sleep(3 * time.Second)
		if len(s.runsOn("w1")) == 0 {
			t.Error("the later session got a lease, and its run is returned but continues")
		}
	})
}

// Guards against a task that runs on two workers: the first report of a previous incarnation, which has
// the later start time because the clock was set back, arrives while the present one is partitioned.
func TestFirstReportOfPreviousIncarnationIsOutdatedByItsNumber(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		r := &expiryHarness{t, s}
		previous := r.startSessionWith("w@200", 1)
		late := previous.next()
		present := r.startSessionWith("w@150", 2)
		present.send()
		s.submitLongRunning("q", "set")
		s.waitForRun("set", 1)
		present.send()
		s.sleep(3 * time.Second)
		r.report(late)
		if len(s.runsOn("w@150")) == 0 {
			t.Error("the run is lost but continues")
		}
		if got := present.send(); got.LeaseMs == 0 {
			t.Errorf("the present incarnation gets no lease: %v", got)
		}
	})
}

// provedEnd returns the report that the session's incarnation has certainly ended.
func (s *scriptedSession) provedEnd() *apiv1.JobsReportRequest {
	r := s.departure()
	r.Ended = true
	return r
}

// Guards against runs that stay assigned to a worker that has certainly ended, because an earlier leader
// numbered the session of its report, or because a later session reported to an earlier leader; and against
// a lease or a run for an ended worker.
func TestProvedEndCountsWhicheverSessionReportsIt(t *testing.T) {
	for name, test := range map[string]struct{ leaderChanges, laterSession bool }{
		"new leader":                     {leaderChanges: true},
		"later session and new leader":   {leaderChanges: true, laterSession: true},
		"same leader and newest session": {},
	} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				r := &expiryHarness{t, s}
				session := r.startSessionWith("w1@5", 1)
				session.send()
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				delayed, newest := session.next(), session
				if test.laterSession {
					newest = r.startSessionWith("w1@5", 2)
					newest.send()
				}
				if test.leaderChanges {
					r.changeLeader()
				}
				end := session.provedEnd()
				for range 2 { // The agent repeats it if the answer is lost.
					if got := r.report(end); got.NotLeader || got.SessionSuperseded {
						t.Errorf("the report is rejected: %v", got)
					}
					if len(s.runsOn("w1@5")) > 0 {
						t.Error("the run is still assigned to the worker")
					}
				}
				for _, late := range []*apiv1.JobsReportRequest{delayed, newest.next()} {
					if got := r.report(late); got.LeaseMs > 0 {
						t.Errorf("the ended worker gets a lease: %v", got)
					}
				}
				if got := newest.send(); got.LeaseMs > 0 || len(s.runsOn("w1@5")) > 0 {
					t.Errorf("the ended worker gets a lease or a run: %v", got)
				}
			})
		})
	}
}

// Guards against runs that are given up while they go on: a late report that an incarnation has ended, of
// an agent that saw its port refuse calls, arrives after a later agent has reported the incarnation to the
// same leader. That agent will see a real end itself, and its report counts.
func TestLateProvedEndKeepsWorkerOfLaterSession(t *testing.T) {
	for name, leaderChanges := range map[string]bool{
		"same leader": false,
		"new leader that the later session has reported to": true,
	} {
		for _, worker := range []string{"w1", "w1@5"} {
			t.Run(name+", "+worker, func(t *testing.T) {
				runSim(t, 1, 0, func(t *testing.T, s *sim) {
					s.sleep(time.Second)
					r := &expiryHarness{t, s}
					first := r.startSessionWith(worker, 1)
					first.send()
					late := first.provedEnd()
					if leaderChanges {
						r.changeLeader()
					}
					second := r.startSessionWith(worker, 2)
					second.send()
					s.submitLongRunning("q", "set")
					s.waitForRun("set", 1)
					second.send()
					if got := r.report(late); !got.SessionSuperseded {
						t.Errorf("the late report is accepted: %v", got)
					}
					if len(s.runsOn(worker)) == 0 {
						t.Error("the run is lost but continues")
					}
					if got := second.send(); got.LeaseMs == 0 {
						t.Errorf("the worker gets no lease: %v", got)
					}
					if got := r.report(second.provedEnd()); got.NotLeader || got.SessionSuperseded || len(s.runsOn(worker)) > 0 {
						t.Errorf("the end that the later session reports is rejected: %v", got)
					}
				})
			})
		}
	}
}

// Guards against a healthy worker whose runs are lost: the proved end of an earlier incarnation arrives
// after its successor's reports, also at a new leader that has not heard the successor.
func TestLateProvedEndKeepsNextIncarnation(t *testing.T) {
	for name, leaderChanges := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				s.sleep(time.Second)
				r := &expiryHarness{t, s}
				previous := r.startSessionWith("w@100", 1)
				previous.send()
				end := previous.provedEnd()
				s.sleep(3 * time.Second) // A worker that reported recently is not replaced.
				present := r.startSessionWith("w@200", 2)
				present.send()
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				present.send()
				if leaderChanges {
					r.changeLeader()
				}
				r.report(end)
				if len(s.runsOn("w@200")) == 0 {
					t.Error("the run is lost but continues")
				}
				if got := present.send(); got.LeaseMs == 0 {
					t.Errorf("the present incarnation gets no lease: %v", got)
				}
			})
		})
	}
}
