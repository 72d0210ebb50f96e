package schedule

import (
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	batchPool   = "batch-pool"
	reservePool = "reserve"
)

// moverHarness has a pool for each of the urgent and the batch queue and one in standby. Each host
// has capacity for two tasks of 2 cores.
type moverHarness struct {
	*harness
	mover *Mover
	hosts map[string]HostView
	waits []UnplacedStep
}

func newMoverHarness(t *testing.T) *moverHarness {
	r := &moverHarness{harness: newHarness(t), hosts: map[string]HostView{}}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 2, Pools: []*apiv1.WorkerPool{{Name: testPool}, {Name: batchPool}, {Name: reservePool, Standby: true}},
			Queues: []*apiv1.JobQueue{
				{Name: "urgent", Host: testHost, PathPrefix: "/urgent/", Pool: testPool, MaxAttempts: 3, Stretch: 2, AllowanceMs: 250, TimeoutMs: 1000},
				{Name: "batch", Host: testHost, PathPrefix: "/batch/", Pool: batchPool, MaxAttempts: 3, Stretch: 2, AllowanceMs: 1000, TimeoutMs: 1000},
			},
		},
	}}})
	r.mover = NewMover(r.now)
	return r
}

var hostCapacity = jobqueue.Resources{CPUMilli: 4000, MemoryMB: 8000}

// addHost adds a host, which is off in the standby pool.
func (r *moverHarness) addHost(name, pool string, labels ...string) {
	r.t.Helper()
	view := HostView{Pool: pool, Capacity: hostCapacity, Labels: labels}
	if pool == reservePool {
		view.Down = true
	} else {
		view.Up, view.Worker = true, "w-"+name
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{Worker: &apiv1.JobWorker{
			Id: view.Worker, Host: "agent-" + name, Pool: pool, CpuMilli: hostCapacity.CPUMilli, MemoryMb: hostCapacity.MemoryMB,
			Labels: labels,
		}}}})
	}
	r.hosts[name] = view
}

// submitTasks submits tasks of two cores to the urgent queue.
func (r *moverHarness) submitTasks(id string, tasks uint32, label string) {
	r.t.Helper()
	r.submit("urgent", id, &apiv1.JobStep{Count: tasks, CpuMilli: 2000, MemoryMb: 1, EstimatedMs: 60_000, RequiredLabel: label})
}

// runFor advances time in rounds of half a second, and returns the moves that began. Each is
// committed.
func (r *moverHarness) runFor(d time.Duration) []string {
	r.t.Helper()
	var begun []string
	for ; d > 0; d -= 500 * time.Millisecond {
		r.advance(500 * time.Millisecond)
		r.waits = r.plan().Unplaced
		r.mover.Update(r.machine, r, r.waits, r.now)
		if !r.mover.NeedsHostList(r.machine, r.now) {
			continue
		}
		for _, s := range r.mover.NextSteps(r.machine, r.hosts, r.now) {
			if v, ok := r.machine.MoveOf(s.Host); s.State == apiv1.MoveState_MOVE_STATE_LEAVING && (!ok || v.Finished()) {
				begun = append(begun, s.Host+" to "+s.Pool)
				s.Term = testTerm
				r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_MoveHost{MoveHost: s}})
			}
		}
	}
	return begun
}

// finishMove takes a move through all of its steps.
func (r *moverHarness) finishMove(host string) {
	r.t.Helper()
	v, _ := r.machine.MoveOf(host)
	pool, from, worker := v.Pool, v.From, v.Worker
	for _, s := range []apiv1.MoveState{apiv1.MoveState_MOVE_STATE_ORDERED, apiv1.MoveState_MOVE_STATE_BEGUN} {
		r.commitStep(host, from, pool, worker, s)
	}
	delete(r.hosts, host)
	r.addHost(host, pool)
	view := r.hosts[host]
	if pool != reservePool {
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
			Worker: &apiv1.JobWorker{Id: view.Worker + "-moved", Host: "agent-" + host, Pool: pool, CpuMilli: 4000, MemoryMb: 8000},
		}}})
		view.Worker += "-moved"
		r.hosts[host] = view
	}
	if v, _ := r.machine.MoveOf(host); !v.Finished() {
		r.commitStep(host, from, pool, view.Worker, apiv1.MoveState_MOVE_STATE_DONE)
	}
}

func (r *moverHarness) commitStep(host, from, pool, worker string, s apiv1.MoveState) {
	r.t.Helper()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_MoveHost{MoveHost: &apiv1.MoveHost{
		Term: testTerm, Host: host, Pool: pool, From: from, Worker: worker, State: s,
	}}})
}

func expectMoves(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("began %v, want %v", got, want)
	}
}

// Guards against a host that is moved for a burst that ends before the host arrives. Tasks find no
// free capacity for some seconds before their job is canceled, and any wait counted as a shortage.
func TestShortWaitMovesNothing(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("s", reservePool)
	r.runFor(moverStartDelay)
	for _, id := range []string{"j1", "j2"} {
		r.submitTasks(id, 8, "")
		expectMoves(t, r.runFor(shortageDelay-time.Second))
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: id, Host: testHost, Path: "/urgent/" + id}}})
		for _, id := range r.runsOn("w-a") {
			r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
		}
		expectMoves(t, r.runFor(2*time.Second))
	}
}

// Guards against tasks that wait though hosts are in standby or idle in other pools, more moved
// hosts than the tasks need, or a pool without hosts. Five tasks find no free capacity and two fit
// on a host; the need or the hosts being moved were counted wrongly.
func TestAsManyHostsComeAsTasksNeed(t *testing.T) {
	for name, c := range map[string]struct {
		setUp func(*moverHarness)
		want  []string
	}{
		"from standby first": {func(r *moverHarness) {
			r.addHost("b1", batchPool)
			r.addHost("b2", batchPool)
			for _, s := range []string{"s1", "s2", "s3", "s4"} {
				r.addHost(s, reservePool)
			}
		}, []string{"s1 to pool", "s2 to pool", "s3 to pool"}},
		"an idle pool keeps one": {func(r *moverHarness) {
			r.addHost("b1", batchPool)
			r.addHost("b2", batchPool)
			r.addHost("b3", batchPool)
		}, []string{"b1 to pool", "b2 to pool"}},
		"the last one stays": {func(r *moverHarness) { r.addHost("b1", batchPool) }, nil},
		"one that has work stays": {func(r *moverHarness) {
			r.addHost("b1", batchPool)
			r.addHost("b2", batchPool)
			r.submit("batch", "busy", &apiv1.JobStep{Count: 2, CpuMilli: 100, MemoryMb: 1, EstimatedMs: 60_000, MaxPerWorker: 1})
		}, nil},
		"one that is too small is of no use": {func(r *moverHarness) {
			r.addHost("s1", reservePool)
			view := r.hosts["s1"]
			view.Capacity.CPUMilli = 1000
			r.hosts["s1"] = view
		}, nil},
		"a host in a wave stays": {func(r *moverHarness) {
			r.addHost("s1", reservePool)
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
				Wave: &apiv1.MaintenanceWave{Number: 1, Hosts: []string{"s1"}, DurationMs: 1000, Cap: 1},
			}}})
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newMoverHarness(t)
			r.addHost("a", testPool)
			c.setUp(r)
			r.runFor(moverStartDelay + idleBeforeLending)
			r.submitTasks("j", 7, "")
			expectMoves(t, r.runFor(shortageDelay+500*time.Millisecond), c.want...)
			// The hosts being moved have to arrive first.
			expectMoves(t, r.runFor(20*time.Second))
		})
	}
}

// Guards against a pool that loses its hosts between two of its own jobs because another pool is
// short just then, and a worker without runs was considered unneeded.
func TestHostThatJustBecameIdleStays(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("b1", batchPool)
	r.addHost("b2", batchPool)
	r.submit("batch", "busy", &apiv1.JobStep{Count: 2, CpuMilli: 100, MemoryMb: 1, EstimatedMs: 60_000, MaxPerWorker: 1})
	r.runFor(moverStartDelay)
	r.submitTasks("j", 8, "")
	expectMoves(t, r.runFor(10*time.Second))
	for _, w := range []string{"w-b1", "w-b2"} {
		for _, id := range r.runsOn(w) {
			r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_DONE)
		}
	}
	expectMoves(t, r.runFor(idleBeforeLending-time.Second))
	expectMoves(t, r.runFor(hostListInterval+2*time.Second), "b1 to pool")
}

// Guards against a moved host that can't run the waiting tasks. They require a label that only some
// hosts have, and any host was considered suitable.
func TestHostsComeWithTheLabel(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("s1", reservePool)
	r.addHost("s2", reservePool, "gpu")
	r.runFor(moverStartDelay)
	r.submitTasks("j", 1, "gpu")
	expectMoves(t, r.runFor(20*time.Second), "s2 to pool")
}

// Guards against a requested move that is forgotten, since the entry of its host in the list can't be
// read, not even its name.
func TestMoveOfHostWithUnreadableEntryIsNotGone(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: "a", Pool: batchPool}}})
	if steps := r.mover.NextSteps(r.machine, map[string]HostView{UnnamedHost: {}}, r.now); len(steps) > 0 {
		t.Errorf("steps %v", steps)
	}
	steps := r.mover.NextSteps(r.machine, map[string]HostView{}, r.now)
	if len(steps) != 1 || steps[0].State != apiv1.MoveState_MOVE_STATE_GONE {
		t.Errorf("a host that left: steps %v", steps)
	}
}

// Guards against moves that begin because a leader has no information yet, or for workers that are
// only unreachable. A leader begins to lead while tasks wait, or most workers are unreachable, and
// it took missing information for missing workers.
func TestNewLeaderMovesNothing(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("s", reservePool)
	r.submitTasks("j", 8, "")
	expectMoves(t, r.runFor(moverStartDelay-500*time.Millisecond))
	r.unresponsive["w-a"] = true
	expectMoves(t, r.runFor(20*time.Second))
	r.unresponsive["w-a"] = false
	expectMoves(t, r.runFor(shortageDelay+time.Second), "s to pool")
}

// Guards against hosts from standby that never return, that return while they are needed, or that
// alternate between pools. A pool is short, a host comes from standby, the work ends and comes
// again; the origin of the host was forgotten, or any pause counted as idle.
func TestBorrowedHostGoesBackWhenIdle(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("s", reservePool)
	r.runFor(moverStartDelay)
	r.submitTasks("j", 4, "")
	expectMoves(t, r.runFor(10*time.Second), "s to pool")
	r.finishMove("s")
	expectMoves(t, r.runFor(2*idleBeforeReturn))
	if n := len(r.runsOn("w-s-moved")); n != 2 {
		t.Fatalf("%d tasks run on the moved host", n)
	}
	for _, id := range r.runsOn("w-s-moved") {
		r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_DONE)
	}
	expectMoves(t, r.runFor(idleBeforeReturn-time.Second))
	expectMoves(t, r.runFor(10*time.Second), "s to reserve")
	r.finishMove("s")
	expectMoves(t, r.runFor(5*time.Minute))
}

// Guards against a platform that refuses all moves and gets requests all the time. A pool remains
// short, each tried host is refused, and refusals were not taken into account.
func TestRefusedMovesBecomeRare(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	for _, s := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		r.addHost(s, reservePool)
	}
	r.runFor(moverStartDelay)
	r.submitTasks("j", 3, "")
	tried := 0
	for range 60 {
		for _, move := range r.runFor(time.Second) {
			tried++
			host := move[:2]
			v, _ := r.machine.MoveOf(host)
			r.commitStep(host, v.From, v.Pool, v.Worker, apiv1.MoveState_MOVE_STATE_ORDERED)
			r.commitStep(host, v.From, v.Pool, v.Worker, apiv1.MoveState_MOVE_STATE_REFUSED)
		}
	}
	if tried < 2 || tried > 4 {
		t.Errorf("%d hosts were tried in a minute", tried)
	}
}

// Guards against a wave that makes no progress because the first of its hosts is being moved to
// another pool and takes the place of the others in the wave.
func TestWaveGoesOnBesideAMove(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("b", testPool)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: "a", Pool: batchPool}}})
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
		Wave: &apiv1.MaintenanceWave{Number: 1, Hosts: []string{"a", "b"}, DurationMs: 1000, Cap: 1},
	}}})
	steps := NextMaintenance(r.machine, r.hosts)
	if len(steps) != 1 || steps[0].Host != "b" {
		t.Errorf("the steps are %v", steps)
	}
}

// Guards against a move that counts as done before it began, or whose host counts as gone. The list
// of hosts is older than the order, or the host crashes and comes back where it was, and any host
// that is up was considered to have arrived.
func TestStaleHostListsAreIgnored(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	r.addHost("b", testPool)
	request := &apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: "a", Pool: batchPool}}}
	r.apply(request)
	next := func(view HostView) apiv1.MoveState {
		t.Helper()
		v, _ := r.machine.MoveOf("a")
		if s := nextMoveStep(r.machine, v, view, view.Pool != ""); s != nil {
			return s.State
		}
		return apiv1.MoveState_MOVE_STATE_UNSPECIFIED
	}
	up := func(worker, pool string) HostView { return HostView{Worker: worker, Pool: pool, Up: true} }
	expect := func(view HostView, want apiv1.MoveState) {
		t.Helper()
		if got := next(view); got != want {
			v, _ := r.machine.MoveOf("a")
			t.Errorf("%v listed as %+v: %v, want %v", v.State, view, got, want)
		}
	}
	const none = apiv1.MoveState_MOVE_STATE_UNSPECIFIED
	expect(up("w-a", testPool), apiv1.MoveState_MOVE_STATE_LEAVING)
	r.commitStep("a", testPool, batchPool, "w-a", apiv1.MoveState_MOVE_STATE_LEAVING)
	expect(HostView{Pool: testPool, Worker: "w-a"}, none)
	expect(up("w-a", testPool), apiv1.MoveState_MOVE_STATE_ORDERED)
	expect(up("w-a", batchPool), apiv1.MoveState_MOVE_STATE_DONE)
	r.commitStep("a", testPool, batchPool, "w-a", apiv1.MoveState_MOVE_STATE_ORDERED)
	expect(up("w-a", testPool), none)
	expect(up("w-a9", testPool), none)
	expect(HostView{Pool: batchPool}, none)
	expect(up("w-a9", batchPool), apiv1.MoveState_MOVE_STATE_DONE)
	expect(HostView{}, apiv1.MoveState_MOVE_STATE_GONE)
	r.commitStep("a", testPool, batchPool, "w-a", apiv1.MoveState_MOVE_STATE_BEGUN)
	expect(up("w-a", testPool), none)
	expect(up("w-a9", testPool), apiv1.MoveState_MOVE_STATE_GONE)
	// Only outdated lists name an incarnation that has left.
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: "w-old", Host: "agent-old", Pool: batchPool}, Departed: true,
	}}})
	expect(up("w-old", batchPool), none)
	expect(up("w-a9", batchPool), apiv1.MoveState_MOVE_STATE_DONE)
}
