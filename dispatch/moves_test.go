package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/state"
)

// Symptom: a deployment that moves nothing pays for calls to the platform.
// Sequence: all workers of the only pool are full for a minute.
// Cause: hosts are listed before it is known whether there is anything to move.
func TestSinglePoolMakesNoPlatformCalls(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.disableFaults()
		f := s.newFleet()
		s.hostFleet.Store(f)
		s.sleep(moverSettleTime)
		s.longRunningJob = "crowd"
		spec := fullWorkerJob("crowd", 6)
		spec.Path = "/q/crowd"
		s.submitSpec(spec)
		s.sleep(time.Minute)
		if n := s.runCount("crowd"); n != 2 {
			t.Errorf("%d tasks run", n)
		}
		if all, _ := f.Calls(); all != 0 {
			t.Errorf("%d calls", all)
		}
	})
}

// Symptom: two holders give orders about one host by turns, or the host gets no work
// any more.
// Sequence: somebody else, with a higher token, orders about a host that is about to be
// moved.
// Cause: the refusal is taken for a lost answer, and the order repeated.
func TestRefusalByHigherTokenIsFinal(t *testing.T) {
	checkRefusedMove(t, 1, func(f *fakes.Hosts) { f.Fence("host0") })
}

// Symptom: two holders give orders about one host by turns.
// Sequence: the first call of a move gets no answer, and the next one is refused since
// somebody else has a higher token.
// Cause: the order is repeated for as long as the first call is in doubt.
func TestNoOrderAfterHigherToken(t *testing.T) {
	checkRefusedMove(t, 2, func(f *fakes.Hosts) {
		f.Fence("host0")
		f.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: len(f.Orders()) == 1} }
	})
}

// Symptom: a worker gets no work for good.
// Sequence: the platform says that its host can't be moved.
// Cause: the order is repeated without an end, and the host counts as on the move.
func TestBusyHostBecomesSchedulableAgain(t *testing.T) {
	checkRefusedMove(t, 1, func(f *fakes.Hosts) { f.SetBusy("host0", true) })
}

// checkRefusedMove has a move refused, after some calls.
func checkRefusedMove(t *testing.T, calls int, refuse func(*fakes.Hosts)) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.disableFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		s.sleep(moverSettleTime)
		refuse(f)
		s.requestMove("host0", otherPool)
		if !s.waitUntil(time.Minute, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_REFUSED }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
		if orders := f.Orders(); len(orders) != calls {
			t.Errorf("ordered %v", orders)
		}
		leaving := true
		s.replica.ReadState(func(m *state.Machine) { leaving = m.CallerJobs().Leaving(s.hostNamed("host0").incarnation()) })
		if leaving {
			t.Error("the worker gets no more work")
		}
	})
}

// Symptom: tasks that got work on a host are ended by a move that was given up.
// Sequence: the first call of a move gets no answer; the next one is refused as busy;
// the first is carried out ten seconds later.
// Cause: the refusal of one call is taken for that of the move.
func TestMoveWithUnansweredCallIsNotAbandoned(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.disableFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		calls := 0
		f.Fault = func(string) fakes.OrderFault {
			if calls++; calls > 1 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", true)
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

// Symptom: two leaders give orders about a host by turns or under one token, or a move is
// given up that an earlier leader's call may still carry out.
// Sequence: the leader is lost right after it has ordered the move, and its call gets no
// answer; the next leader's first call is refused as busy.
// Cause: the next leader takes the order for its own.
func TestNextLeaderContinuesMove(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.disableFaults()
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool})
		f.Fault = func(string) fakes.OrderFault {
			if len(f.Orders()) > 1 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", true)
			s.loops.Go(func() { s.log.Lose(200 * time.Millisecond) })
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

// Symptom: the platform is asked for lists of hosts all the time.
// Sequence: an operator moves a host whose serving task can't go elsewhere.
// Cause: an open move is taken for one that a list may take on.
func TestMoveWaitingForTasksMakesNoPlatformCalls(t *testing.T) {
	runSim(t, 1, 3, func(t *testing.T, s *sim) {
		s.disableFaults()
		s.longRunningJob = "serving"
		f := s.setUpPools(map[string]string{"host0": simPool, "host1": simPool, "host2": simPool})
		s.submitSpec(servingJob())
		s.sleep(moverSettleTime)
		s.requestMove("host0", otherPool)
		s.sleep(10 * time.Second)
		before, _ := f.Calls()
		s.sleep(time.Minute)
		if after, _ := f.Calls(); after != before || s.moveOf("host0").State != apiv1.MoveState_MOVE_STATE_LEAVING {
			t.Errorf("%d calls, the move is %v", after-before, s.moveOf("host0"))
		}
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "serving", Host: simHost, Path: "/q/serving"}}})
		if !s.waitUntil(20*time.Second, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_DONE }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
	})
}

// Symptom: operators who look at the hosts use up the readings that the platform
// accepts, or see hosts without their moves.
// Sequence: hosts are listed ten times in a row, and a second later once more.
// Cause: each look asks the platform.
func TestHostListIsCached(t *testing.T) {
	runSim(t, 1, 2, func(t *testing.T, s *sim) {
		s.disableFaults()
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
			t.Errorf("listed %v", h)
		}
		s.sleep(time.Second)
		list(1)
		if all, _ := f.Calls(); all != 2 {
			t.Errorf("%d calls", all)
		}
		s.requestMove("host1", simPool)
		s.waitUntil(20*time.Second, func() bool { return s.moveOf("host1").Finished() })
		if h := list(1).Hosts[1]; h.Pool != simPool || !h.Up || h.Move.GetState() != apiv1.MoveState_MOVE_STATE_DONE {
			t.Errorf("listed %v", h)
		}
	})
}
