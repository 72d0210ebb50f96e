package dispatch_test

import (
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against platform calls in a deployment that moves no hosts: hosts were listed before it
// was known whether any move was needed. All workers of the only pool are full for a minute.
func TestSinglePoolMakesNoPlatformCalls(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		f := s.newFleet()
		s.hostFleet.Store(f)
		s.sleep(moverSettleTime)
		s.longRunningJob = "crowd"
		spec := fullWorkerJob("crowd", 6)
		spec.Path = "/q/crowd"
		s.submitSpec(spec)
		s.sleep(time.Minute)
		if n := s.runCount("crowd"); n != 2 {
			t.Errorf("%d tasks run, want 2", n)
		}
		if all, _ := f.Calls(); all != 0 {
			t.Errorf("%d platform calls", all)
		}
	})
}

// Guards against two holders that alternately give orders about one host, and against a host that
// gets no more work. Another holder, with a higher token, gives an order about a host that is about
// to be moved. The refusal must not be handled like a lost response, after which the order is
// repeated.
func TestRefusalByHigherTokenIsFinal(t *testing.T) {
	checkRefusedMove(t, 1, func(f *fakes.Hosts) { f.Fence("host0") })
}

// Guards against two holders that alternately give orders about one host. The first call of a move
// is not answered, and the next one is refused because another holder has a higher token. The order
// must not be repeated for as long as the outcome of the first call is unknown.
func TestNoOrderAfterHigherToken(t *testing.T) {
	checkRefusedMove(t, 2, func(f *fakes.Hosts) {
		f.Fence("host0")
		f.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: len(f.Orders()) == 1} }
	})
}

// Guards against a worker that never gets work again because the platform reports that its host
// can't be moved: the order was repeated forever, and the host counted as being moved.
func TestBusyHostBecomesSchedulableAgain(t *testing.T) {
	checkRefusedMove(t, 1, func(f *fakes.Hosts) { f.SetBusy("host0", true) })
}

// checkRefusedMove checks that a move is refused after a number of calls.
func checkRefusedMove(t *testing.T, calls int, refuse func(*fakes.Hosts)) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		s.sleep(moverSettleTime)
		refuse(f)
		s.requestMove("host0", otherPool)
		if !s.waitUntil(time.Minute, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_REFUSED }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
		if orders := f.Orders(); len(orders) != calls {
			t.Errorf("the orders are %v", orders)
		}
		leaving := true
		s.replica.ReadState(func(m *state.Machine) { leaving = m.CallerJobs().Leaving(s.hostNamed("host0").incarnation()) })
		if leaving {
			t.Error("the worker still counts as leaving")
		}
	})
}

// Guards against ending tasks that were started on a host after its move was abandoned. The first
// call of a move is not answered, the next one is refused, and the first one is executed ten
// seconds later. The refusal of one call must not be taken for a refusal of the move.
func TestMoveWithUnansweredCallIsNotAbandoned(t *testing.T) {
	t.Run("busy", checkMoveWithUnansweredCall(fakes.OrderFault{}, true))
	t.Run("refused", checkMoveWithUnansweredCall(fakes.OrderFault{Refused: true}, false))
}

func checkMoveWithUnansweredCall(next fakes.OrderFault, busy bool) func(*testing.T) {
	return func(t *testing.T) { moveWithUnansweredCall(t, next, busy) }
}

// moveWithUnansweredCall plays a move whose second call has a fault.
func moveWithUnansweredCall(t *testing.T, next fakes.OrderFault, busy bool) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		calls := 0
		f.Fault = func(string) fakes.OrderFault {
			if calls++; calls == 2 {
				return next
			}
			if calls > 2 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", busy)
			time.AfterFunc(9*time.Second, func() { f.SetBusy("host0", false) })
			return fakes.OrderFault{Late: 10 * time.Second}
		}
		s.sleep(moverSettleTime)
		s.requestMove("host0", otherPool)
		s.submitSpec(&apiv1.JobSpec{Id: "serving", Host: simHost, Path: "/q/serving", Steps: []*apiv1.JobStep{{
			Count: 2, CpuMilli: 4000, MemoryMb: 500, LongRunning: true,
		}}})
		if !s.waitUntil(time.Minute, func() bool { return f.PoolOf("host0") == otherPool && s.moveOf("host0").Finished() }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
	})
}

// Guards against ending tasks that were started on a host after its move was abandoned: the first call
// of the move gets no answer while a plan of the leader is in doubt, and the next one is refused.
func TestMoveWithCallUnansweredInDoubtIsNotAbandoned(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		log := s.injectLogFaults(1, func(p *apiv1.PlanRuns) bool { return slices.Contains(p.Lapsed, "w9") })
		r := &expiryHarness{t, s}
		other := &apiv1.JobWorker{Id: "w9", Host: "h9", Pool: simPool}
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		calls := 0
		f.Fault = func(string) fakes.OrderFault {
			switch calls++; calls {
			case 1:
				s.loops.Go(func() {
					s.sleep(1500 * time.Millisecond)
					r.report(&apiv1.JobsReportRequest{Worker: other})
					log.commitDelay.Store(int64(time.Second))
					r.report(&apiv1.JobsReportRequest{Worker: other, Lapsed: true})
					s.sleep(time.Second)
					log.commitDelay.Store(0)
				})
				return fakes.OrderFault{Late: 10 * time.Second}
			case 2:
				return fakes.OrderFault{Refused: true}
			}
			return fakes.OrderFault{}
		}
		s.sleep(moverSettleTime)
		s.requestMove("host0", otherPool)
		for f.PoolOf("host0") != otherPool {
			if s.sleep(100 * time.Millisecond); s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_REFUSED {
				t.Fatal("the move is abandoned while its first call may still be executed")
			}
		}
	})
}

// Guards against two leaders that alternately give orders about a host or use one token, and
// against abandoning a move that a previous leader's call may still execute. The leader is lost
// right after it ordered the move, and its call is not answered. The next leader's first call is
// refused as busy. The next leader must not take the order for its own.
func TestNextLeaderContinuesMove(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		f.Fault = func(string) fakes.OrderFault {
			if len(f.Orders()) > 1 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", true)
			s.loops.Go(func() { s.log.LoseLeadership(200 * time.Millisecond) })
			time.AfterFunc(moverSettleTime+2*time.Second, func() { f.SetBusy("host0", false) })
			return fakes.OrderFault{Late: moverSettleTime + 3*time.Second}
		}
		s.sleep(moverSettleTime)
		s.requestMove("host0", otherPool)
		if !s.waitUntil(time.Minute, func() bool { return f.PoolOf("host0") == otherPool && s.moveOf("host0").Finished() }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
		if term, _ := s.log.Leading(); term < 2 || len(f.Orders()) < 3 {
			t.Errorf("term %d, orders %v", term, f.Orders())
		}
		s.checkOrders(1, f)
	})
}

// Guards against continuous calls for host lists. An operator moves a host whose serving task can't
// run elsewhere, so a host list can't advance the open move.
func TestMoveWaitingForTasksMakesNoPlatformCalls(t *testing.T) {
	runSim(t, 1, 3, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.longRunningJob = "serving"
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool, "host2": simPool})
		s.submitSpec(servingJob())
		s.sleep(moverSettleTime)
		s.requestMove("host0", otherPool)
		s.sleep(10 * time.Second)
		before, _ := f.Calls()
		s.sleep(time.Minute)
		if after, _ := f.Calls(); after != before || s.moveOf("host0").State != apiv1.MoveState_MOVE_STATE_LEAVING {
			t.Errorf("%d platform calls, the move is %v", after-before, s.moveOf("host0"))
		}
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "serving", Host: simHost, Path: "/q/serving"}}})
		if !s.waitUntil(20*time.Second, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_DONE }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
	})
}

// Guards against operators' queries that use up the rate of list calls that the platform accepts,
// and against host lists without the hosts' moves. Hosts are listed ten times in a row, and once
// more a second later; not each query may call the platform.
func TestHostListIsCached(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.stopFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": reservePool})
		s.sleep(moverSettleTime)
		list := func(times int) *apiv1.JobsReadResponse {
			var resp *apiv1.JobsReadResponse
			for range times {
				var err error
				resp, err = s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS})
				if err != nil || resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK || len(resp.Hosts) != 2 {
					t.Fatalf("%v, %v", resp, err)
				}
			}
			return resp
		}
		if h := list(10).Hosts[1]; h.Host != "host1" || h.Pool != reservePool || h.Up || h.Move != nil {
			t.Errorf("the host is listed as %v", h)
		}
		s.sleep(time.Second)
		list(1)
		if all, _ := f.Calls(); all != 2 {
			t.Errorf("%d platform calls", all)
		}
		s.requestMove("host1", simPool)
		s.waitUntil(20*time.Second, func() bool { return s.moveOf("host1").Finished() })
		if h := list(1).Hosts[1]; h.Pool != simPool || !h.Up || h.Move.GetState() != apiv1.MoveState_MOVE_STATE_DONE {
			t.Errorf("the host is listed as %v", h)
		}
	})
}
