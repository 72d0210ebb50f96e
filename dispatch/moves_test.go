package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	otherPool   = "other"
	reservePool = "reserve"
	// hostCallsPerSecond is what the stand-in of the platform accepts.
	hostCallsPerSecond = 12
	// moverSettles is longer than a leader waits before it has hosts moved.
	moverSettles = 12 * time.Second
)

// pools gives the simulation two pools with a queue each and one in standby, and puts
// the hosts into them.
func (s *sim) pools(of map[string]string) *fakes.Hosts {
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 2, Pools: []*apiv1.WorkerPool{{Name: simPool}, {Name: otherPool}, {Name: reservePool, Standby: true}},
			Queues: []*apiv1.JobQueue{
				{Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000},
				{Name: "o", Host: simHost, PathPrefix: "/o/", Pool: otherPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000},
			},
		},
	}}})
	f := s.fleet()
	f.CallsPerSecond = hostCallsPerSecond
	f.Standby = map[string]bool{reservePool: true}
	f.Stale = func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.calm && s.rand.IntN(4) == 0
	}
	f.Down = func(name string) {
		h := s.side(name)
		h.mu.Lock()
		defer h.mu.Unlock()
		if running := h.worker.Running(); len(running) > 0 {
			s.t.Errorf("%v ran on %s when it went away", running, name)
		}
		h.worker.Crash()
		h.off = true
	}
	for name, pool := range of {
		h := s.side(name)
		h.setPool(pool)
		h.startWorker()
		if f.Standby[pool] {
			h.mu.Lock()
			h.worker.Crash()
			h.off = true
			h.mu.Unlock()
		}
	}
	for _, h := range s.hosts {
		worker := h.incarnation()
		if f.Standby[h.pool] {
			worker = ""
		}
		f.Put(h.name, worker)
		f.Place(h.name, h.pool, jobqueue.Resources{CPUMilli: 4000, MemoryMB: 8000})
	}
	s.fleetOf.Store(f)
	return f
}

func (s *sim) side(name string) *simSide {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simSide) bool { return h.name == name })]
}

// crash has the worker of a host crash and come back at once, if it is there.
func (s *sim) crash(f *fakes.Hosts, name string) {
	h := s.side(name)
	h.mu.Lock()
	off := h.off
	h.mu.Unlock()
	if !off {
		h.startWorker()
		f.Put(name, h.incarnation())
	}
}

func (s *sim) calmDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calm = true
}

func (s *sim) moveOf(host string) jobqueue.Move {
	var v jobqueue.Move
	s.replica.ReadState(func(m *state.Machine) {
		if found, ok := m.CallerJobs().MoveOf(host); ok {
			v = jobqueue.Move{HostMove: &apiv1.HostMove{State: found.State, Pool: found.Pool, Worker: found.Worker, Requested: found.Requested}}
		}
	})
	return v
}

// await waits in steps of 100 ms until a condition holds, at most for a while.
func (s *sim) await(d time.Duration, condition func() bool) bool {
	for ; d > 0 && !condition(); d -= 100 * time.Millisecond {
		s.sleep(100 * time.Millisecond)
	}
	return condition()
}

func (s *sim) askMove(host, pool string) {
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: host, Pool: pool}}})
}

// heldOrder is who gave an order that moves a host, and when.
type heldOrder struct {
	host  string
	token uint64
	term  uint64
	at    time.Time
}

// holderPause is how long the platform has one holder give orders about a host before
// another one does.
const holderPause = 3 * time.Second

func (s *sim) noteHolder(host string, token uint64) {
	term, _ := s.log.Leading()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, heldOrder{host, token, term, time.Now()})
}

// judgeHolders checks that no token was used by two leaders, and that they did not give
// orders about a host by turns.
func (s *sim) judgeHolders(seed uint64) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]heldOrder{}
	for _, o := range s.held {
		before, known := last[o.host]
		if known && before.term != o.term && (before.token >= o.token || o.at.Sub(before.at) < holderPause) {
			s.t.Errorf("seed %d: leaders order by turns: %+v, %+v", seed, before, o)
		}
		last[o.host] = o
	}
}

// judgeOrders checks that no token stands for two orders or holders, that a host's
// tokens never fall, that few hosts were away at once and that the platform's rates were
// kept.
func (s *sim) judgeOrders(seed uint64, f *fakes.Hosts) {
	s.t.Helper()
	type key struct {
		host  string
		token uint64
	}
	meant := map[key]fakes.HostOrder{}
	newest := map[string]uint64{}
	for _, o := range f.Orders() {
		k := key{o.Host, o.Token}
		if before, known := meant[k]; known && before != o {
			s.t.Errorf("seed %d: two orders under one token: %+v, %+v", seed, before, o)
		}
		if o.Token < newest[o.Host] {
			s.t.Errorf("seed %d: an order under a lower token: %+v", seed, o)
		}
		meant[k], newest[o.Host] = o, o.Token
	}
	s.judgeHolders(seed)
	if n := f.MostAway(); n > jobqueue.MaxMovesAtOnce {
		s.t.Errorf("seed %d: %d hosts were away at once", seed, n)
	}
	if all, refused := f.Calls(); refused > 0 {
		s.t.Errorf("seed %d: %d of %d calls came too fast", seed, refused, all)
	}
}

// Symptom: a move ends tasks at work, is forgotten, is done twice or undone; a task
// runs on a worker beyond its room.
// Sequence: operators move hosts to and fro while batch and serving tasks run and
// workers crash; leaders follow one another in the middle of a move; orders get no
// answer and are carried out up to ten seconds late; lists of hosts are old.
// Cause: a host that is ordered away before its tasks are elsewhere or while it may get
// new ones, an order that is forgotten with its leader, or an old call or list that is
// taken for a new one.
func TestMovesUnderTrouble(t *testing.T) {
	metrics.NewMeter().Stop()
	const seeds = 30
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { movesUnderTrouble(t, seed) })
		})
	}
}

func movesUnderTrouble(t *testing.T, seed uint64) {
	ctx, stop := context.WithCancel(t.Context())
	s := newSim(ctx, t, seed, 8)
	defer s.loops.Wait()
	defer stop()
	s.lasting = "serving"
	// Three hosts stay in the pool: the serving tasks need one each.
	f := s.pools(map[string]string{
		"host0": simPool, "host1": simPool, "host2": simPool, "host3": simPool, "host4": simPool, "host5": simPool,
		"host6": otherPool, "host7": reservePool,
	})
	s.sleep(3 * time.Second)
	s.submitSpec(servingJob())
	s.sleep(moverSettles)
	asked := []string{"host0", "host1", "host2"}
	for i, host := range asked {
		s.askMove(host, otherPool)
		for k := range 4 {
			s.submit(4*i + k)
			switch s.intN(4) {
			case 0:
				s.loops.Go(func() { s.log.lose(time.Duration(s.intN(1500)) * time.Millisecond) })
			case 1:
				s.crash(f, host)
			}
			s.sleep(time.Duration(500+s.intN(3000)) * time.Millisecond)
		}
	}
	s.calmDown()
	arrived := func() bool {
		return !slices.ContainsFunc(asked, func(host string) bool { return f.PoolOf(host) != otherPool || !s.moveOf(host).Over() })
	}
	if !s.await(2*time.Minute, arrived) {
		t.Errorf("seed %d: the moves are %v %v %v", seed, s.moveOf("host0"), s.moveOf("host1"), s.moveOf("host2"))
	}
	// And one of them back, as soon as it may.
	s.sleep(31 * time.Second)
	s.askMove("host0", simPool)
	if !s.await(time.Minute, func() bool { return f.PoolOf("host0") == simPool && s.moveOf("host0").Over() }) {
		t.Errorf("seed %d: the move back is %v", seed, s.moveOf("host0"))
	}
	s.judgeOrders(seed, f)
	s.endTrouble(seed)
}

// crowd is a job whose tasks fill a worker each and take a while.
func crowd(id string, tasks uint32) *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: id, Host: simHost, Path: "/o/" + id, Steps: []*apiv1.JobStep{{
		Count: tasks, CpuMilli: 4000, MemoryMb: 500, LongRunning: true,
	}}}
}

// Symptom: tasks wait for hosts though some are in standby, hosts are called that
// nobody needs, or what was called stays for good.
// Sequence: a pool fills up while leaders follow one another and orders get no answer;
// later its jobs are cancelled.
// Cause: no one calls hosts, each leader calls them anew, or forgets where they came from.
func TestStandbyHostsComeAndGo(t *testing.T) {
	metrics.NewMeter().Stop()
	const seeds = 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { standbyComesAndGoes(t, seed) })
		})
	}
}

func standbyComesAndGoes(t *testing.T, seed uint64) {
	ctx, stop := context.WithCancel(t.Context())
	s := newSim(ctx, t, seed, 6)
	defer s.loops.Wait()
	defer stop()
	s.lasting = "crowd"
	f := s.pools(map[string]string{
		"host0": simPool, "host1": otherPool, "host2": reservePool, "host3": reservePool, "host4": reservePool, "host5": reservePool,
	})
	s.sleep(moverSettles)
	if all, _ := f.Calls(); all != 0 {
		t.Errorf("seed %d: %d calls while nothing waits", seed, all)
	}
	// One of the three tasks has room.
	s.submitSpec(crowd("crowd", 3))
	for range 5 {
		if s.intN(3) == 0 {
			s.loops.Go(func() { s.log.lose(time.Duration(s.intN(1500)) * time.Millisecond) })
		}
		s.sleep(time.Duration(s.intN(4000)) * time.Millisecond)
	}
	s.calmDown()
	inPool := func(pool string) (n int) {
		for _, h := range s.hosts {
			if f.PoolOf(h.name) == pool {
				n++
			}
		}
		return n
	}
	if !s.await(2*time.Minute, func() bool { return s.runsOf("crowd") == 3 }) || inPool(otherPool) != 3 {
		t.Errorf("seed %d: %d tasks run, %d hosts were called", seed, s.runsOf("crowd"), inPool(otherPool)-1)
	}
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "crowd", Host: simHost, Path: "/o/crowd"}}})
	if !s.await(3*time.Minute, func() bool { return inPool(reservePool) == 4 }) || inPool(simPool) != 1 {
		t.Errorf("seed %d: %d hosts are in standby again", seed, inPool(reservePool))
	}
	s.sleep(10 * time.Second)
	before, _ := f.Calls()
	s.sleep(time.Minute)
	if after, _ := f.Calls(); after != before {
		t.Errorf("seed %d: %d calls while nothing is to be moved", seed, after-before)
	}
	s.judgeOrders(seed, f)
	s.endTrouble(seed)
}

func (s *sim) runsOf(job string) int {
	n := 0
	s.replica.ReadState(func(m *state.Machine) {
		for _, t := range m.CallerJobs().Job(job).Occurrences[0].Steps[0].Tasks {
			n += len(t.Runs)
		}
	})
	return n
}

// Symptom: a deployment that moves nothing pays for calls to the platform.
// Sequence: all workers of the only pool are full for a minute.
// Cause: hosts are listed before it is known whether there is anything to move.
func TestOnePoolCostsNoCalls(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 2)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		f := s.fleet()
		s.fleetOf.Store(f)
		s.sleep(moverSettles)
		s.lasting = "crowd"
		spec := crowd("crowd", 6)
		spec.Path = "/q/crowd"
		s.submitSpec(spec)
		s.sleep(time.Minute)
		if n := s.runsOf("crowd"); n != 2 {
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
func TestRefusalByAHigherTokenIsFinal(t *testing.T) {
	refusedMove(t, 1, func(f *fakes.Hosts) { f.Fence("host0") })
}

// Symptom: two holders give orders about one host by turns.
// Sequence: the first call of a move gets no answer, and the next one is refused since
// somebody else has a higher token.
// Cause: the order is repeated for as long as the first call is in doubt.
func TestNothingIsOrderedAfterAHigherToken(t *testing.T) {
	refusedMove(t, 2, func(f *fakes.Hosts) {
		f.Fence("host0")
		f.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: len(f.Orders()) == 1} }
	})
}

// Symptom: a worker gets no work for good.
// Sequence: the platform says that its host can't be moved.
// Cause: the order is repeated without an end, and the host counts as on the move.
func TestBusyHostGetsWorkAgain(t *testing.T) {
	refusedMove(t, 1, func(f *fakes.Hosts) { f.SetBusy("host0", true) })
}

// refusedMove has a move refused, after some calls.
func refusedMove(t *testing.T, calls int, refuse func(*fakes.Hosts)) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 2)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		f := s.pools(map[string]string{"host0": simPool, "host1": simPool})
		s.sleep(moverSettles)
		refuse(f)
		s.askMove("host0", otherPool)
		if !s.await(time.Minute, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_REFUSED }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
		if orders := f.Orders(); len(orders) != calls {
			t.Errorf("ordered %v", orders)
		}
		leaving := true
		s.replica.ReadState(func(m *state.Machine) { leaving = m.CallerJobs().Leaving(s.side("host0").incarnation()) })
		if leaving {
			t.Error("the worker gets no more work")
		}
	})
}

// Symptom: tasks that got work on a host are ended by a move that was given up.
// Sequence: the first call of a move gets no answer; the next one is refused as busy;
// the first is carried out ten seconds later.
// Cause: the refusal of one call is taken for that of the move.
func TestMoveInDoubtIsNotGivenUp(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 2)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		f := s.pools(map[string]string{"host0": simPool, "host1": simPool})
		calls := 0
		f.Fault = func(string) fakes.OrderFault {
			if calls++; calls > 1 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", true)
			time.AfterFunc(9*time.Second, func() { f.SetBusy("host0", false) })
			return fakes.OrderFault{Late: 10 * time.Second}
		}
		s.sleep(moverSettles)
		s.askMove("host0", otherPool)
		s.submitSpec(&apiv1.JobSpec{Id: "serving", Host: simHost, Path: "/q/serving", Steps: []*apiv1.JobStep{{
			Count: 2, CpuMilli: 4000, MemoryMb: 500, LongRunning: true,
		}}})
		if !s.await(time.Minute, func() bool { return f.PoolOf("host0") == otherPool && s.moveOf("host0").Over() }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
	})
}

// Symptom: two leaders give orders about a host by turns or under one token, or a move is
// given up that an earlier leader's call may still carry out.
// Sequence: the leader is lost right after it has ordered the move, and its call gets no
// answer; the next leader's first call is refused as busy.
// Cause: the next leader takes the order for its own.
func TestNextLeaderTakesAMoveOver(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 2)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		f := s.pools(map[string]string{"host0": simPool, "host1": simPool})
		f.Fault = func(string) fakes.OrderFault {
			if len(f.Orders()) > 1 {
				return fakes.OrderFault{}
			}
			f.SetBusy("host0", true)
			s.loops.Go(func() { s.log.lose(200 * time.Millisecond) })
			time.AfterFunc(moverSettles+2*time.Second, func() { f.SetBusy("host0", false) })
			return fakes.OrderFault{Late: moverSettles + 3*time.Second}
		}
		s.sleep(moverSettles)
		s.askMove("host0", otherPool)
		if !s.await(time.Minute, func() bool { return f.PoolOf("host0") == otherPool && s.moveOf("host0").Over() }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
		if term, _ := s.log.Leading(); term < 2 || len(f.Orders()) < 3 {
			t.Errorf("term %d, orders %v", term, f.Orders())
		}
		s.judgeOrders(1, f)
	})
}

// Symptom: the platform is asked for lists of hosts all the time.
// Sequence: an operator moves a host whose serving task can't go elsewhere.
// Cause: an open move is taken for one that a list may take on.
func TestMoveThatWaitsForItsTasksCostsNoCalls(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 3)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		s.lasting = "serving"
		f := s.pools(map[string]string{"host0": simPool, "host1": simPool, "host2": simPool})
		s.submitSpec(servingJob())
		s.sleep(moverSettles)
		s.askMove("host0", otherPool)
		s.sleep(10 * time.Second)
		before, _ := f.Calls()
		s.sleep(time.Minute)
		if after, _ := f.Calls(); after != before || s.moveOf("host0").State != apiv1.MoveState_MOVE_STATE_LEAVING {
			t.Errorf("%d calls, the move is %v", after-before, s.moveOf("host0"))
		}
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "serving", Host: simHost, Path: "/q/serving"}}})
		if !s.await(20*time.Second, func() bool { return s.moveOf("host0").State == apiv1.MoveState_MOVE_STATE_DONE }) {
			t.Errorf("the move is %v", s.moveOf("host0"))
		}
	})
}

// Symptom: operators who look at the hosts use up the readings that the platform
// accepts, or see hosts without their moves.
// Sequence: hosts are listed ten times in a row, and a second later once more.
// Cause: each look asks the platform.
func TestHostsAreListedFromOneReading(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, 2)
		defer s.loops.Wait()
		defer stop()
		s.calmDown()
		f := s.pools(map[string]string{"host0": simPool, "host1": reservePool})
		s.sleep(moverSettles)
		list := func(times int) *apiv1.JobsReadResponse {
			var resp *apiv1.JobsReadResponse
			for range times {
				var err error
				resp, err = s.dispatcher.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS})
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
		s.askMove("host1", simPool)
		s.await(20*time.Second, func() bool { return s.moveOf("host1").Over() })
		if h := list(1).Hosts[1]; h.Pool != simPool || !h.Up || h.Move.GetState() != apiv1.MoveState_MOVE_STATE_DONE {
			t.Errorf("listed %v", h)
		}
	})
}
