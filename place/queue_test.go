package place

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a blocked queue. An urgent job that does not fit on any worker is at the head of
// the queue, and the tasks behind it must start.
func TestUnplaceableJobBlocksNothing(t *testing.T) {
	s := newHarness(1)
	s.snapshot.Teams = map[string]*Team{"small": {Quota: Resources{MilliProcessors: 500}}}
	for _, size := range []Resources{{MilliProcessors: 9000}, {MilliProcessors: 1, Accelerators: 1}, {MilliProcessors: -1}} {
		task := s.queue(fmt.Sprint(size), "k", fmt.Sprint("never-", size))
		task.Size, task.Priority = size, apiv1.Priority_PRIORITY_URGENT
	}
	s.queue("over quota", "k", "never-quota").Team = "small"
	s.queue("fine", "k", "fine")
	plan := s.plan()
	if len(plan.Unplaceable) != 4 || len(plan.Grants) != 1 || plan.Grants[0].Task.ID != "fine" {
		t.Fatalf("unplaceable %v, grants %v", plan.Unplaceable, plan.Grants)
	}
	s.worker("w0").Alive = false
	s.queue("later", "k", "later")
	if plan = s.plan(); len(plan.Unplaceable) != 4 || len(plan.Grants) != 0 {
		t.Fatalf("while the worker is unreachable: unplaceable %v, grants %v", plan.Unplaceable, plan.Grants)
	}
}

// Guards against a large task that never starts because small tasks arrive all the time and take
// all capacity that becomes free. Capacity must be held for the task that has waited longest.
func TestLargeTaskStartsWithinBound(t *testing.T) {
	s := newHarness(3)
	const step, longest = 5 * time.Second, 3 * time.Minute
	large := &Task{}
	for i := range 400 {
		if i == 30 { // the workers are full
			large = s.queue("large", "big", "large")
			large.Size.MilliProcessors = 8000
		}
		for j := range 2 {
			id := fmt.Sprint("s", i, "-", j)
			s.queue(id, "small", id).ExpectedRun = longest - time.Duration((i*7+j*11)%17)*5*time.Second
		}
		s.plan()
		if large.Worker != "" {
			return
		}
		s.now = s.now.Add(step)
		for _, w := range s.snapshot.Workers {
			for _, task := range w.Running {
				if s.now.Sub(task.GrantedAt) >= task.ExpectedRun {
					s.end(w.Name, task.ID)
				}
			}
		}
		if waited := s.now.Sub(large.QueuedAt); i >= 30 && waited > DefaultStarveAfter+2*longest {
			t.Fatalf("the large task is still queued after %v", waited)
		}
	}
}

// Guards against urgent tasks that wait behind batch, and against batch that never starts behind
// urgent tasks.
func TestUrgentFirstWithBatchFloor(t *testing.T) {
	s := newHarness(2)
	for i := range 40 {
		s.queue(fmt.Sprint("b", i), "k", "b").QueuedAt = epoch.Add(-time.Hour)
		s.queue(fmt.Sprint("u", i), "k", "u").Priority = apiv1.Priority_PRIORITY_URGENT
	}
	urgent := 0
	for i, g := range s.plan().Grants {
		if g.Task.Job == "u" {
			urgent++
		}
		if i == 0 && urgent != 1 {
			t.Fatal("the first grant is batch")
		}
	}
	if urgent != 15 { // 16 tasks fit, one in DefaultBatchFloor is batch
		t.Fatalf("%d of 16 grants are urgent", urgent)
	}
}

// Guards against one team taking all capacity because the queue is served by age alone.
func TestFairSharesByWeight(t *testing.T) {
	s := newHarness(3)
	s.snapshot.Teams = map[string]*Team{"a": {Weight: 2}, "b": {Weight: 1}}
	for i := range 48 {
		task := s.queue(fmt.Sprint("t", i), "k", "j")
		task.Team = "a"
		if i >= 24 {
			task.Team = "b"
		}
	}
	got := map[string]int{}
	for _, g := range s.plan().Grants {
		got[g.Task.Team]++
	}
	if got["a"] != 16 || got["b"] != 8 {
		t.Fatalf("grants per team %v, weights 2 to 1", got)
	}
}

// Guards against an urgent task that waits although batch could be evicted, against evicting more
// tasks than needed, and against batch taking the freed capacity. The evictions are confirmed some
// rounds later, so the capacity must be held until then.
func TestUrgentTaskGetsPreemptedCapacity(t *testing.T) {
	s := newHarness(1)
	for i := range 8 {
		task := s.queue(fmt.Sprint("b", i), "k", "b")
		s.run("w0", task, task.Size)
		task.EvictionCost = 5
		if i == 3 || i == 4 {
			task.EvictionCost = 1
		}
	}
	s.now = s.now.Add(time.Minute)
	urgent := s.queue("urgent", "k", "u")
	urgent.Priority, urgent.Size.MilliProcessors = apiv1.Priority_PRIORITY_URGENT, 2000
	s.queue("rival", "k", "r").QueuedAt = epoch.Add(-time.Hour)
	for round := range 4 {
		plan := s.Plan(s.now, s.snapshot)
		if want := map[bool]int{true: 2, false: 0}[round == 0]; len(plan.Evictions) != want {
			t.Fatalf("round %d: evicted %v", round, plan.Evictions)
		}
		for _, e := range plan.Evictions {
			if e.Task != "b3" && e.Task != "b4" {
				t.Fatalf("evicted %s, which loses more work", e.Task)
			}
		}
		if round == 2 { // the first stop is confirmed: capacity for the rival only
			s.end("w0", "b3")
		}
		if len(plan.Grants) != 0 {
			t.Fatalf("round %d: granted %s", round, plan.Grants[0].Task.ID)
		}
		s.now = s.now.Add(time.Second)
	}
	s.end("w0", "b4")
	if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Task.ID != "urgent" {
		t.Fatalf("the capacity was granted to %v", plan.Grants)
	}
}

// Guards against urgent tasks that wait although their worker has free capacity for one of them. A
// starved task and two urgent ones have holds on one worker, and capacity for one urgent task
// becomes free. Each task must not respect all the others' holds.
func TestHoldsOnOneWorkerDoNotBlockEachOther(t *testing.T) {
	s := newHarness(1)
	for i := range 8 {
		task := s.queue(fmt.Sprint("b", i), "k", "b")
		s.run("w0", task, task.Size)
	}
	s.queue("starved", "k", "s").Size.MilliProcessors = 8000
	s.now = s.now.Add(DefaultStarveAfter)
	s.plan()
	for i := range 2 {
		urgent := s.queue(fmt.Sprint("u", i), "k", "u")
		urgent.Priority, urgent.Size.MilliProcessors = apiv1.Priority_PRIORITY_URGENT, 2000
		s.now = s.now.Add(time.Second)
		s.Plan(s.now, s.snapshot)
	}
	if len(s.Placer.holds) != 3 {
		t.Fatalf("%d holds", len(s.Placer.holds))
	}
	for i := range 2 {
		s.end("w0", fmt.Sprint("b", i))
	}
	s.now = s.now.Add(time.Second)
	if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Task.ID != "u0" {
		t.Fatalf("grants %v", plan.Grants)
	}
}

// Guards against evicting the task that loses the most work. Each case makes one task cost more
// than the other.
func TestEvictionCostOrders(t *testing.T) {
	s := newHarness(1)
	base := Task{GrantedAt: epoch, CheckpointedAt: epoch.Add(5 * time.Minute), ExpectedRun: time.Hour, Size: Resources{MilliProcessors: 2000}}
	now := epoch.Add(10 * time.Minute)
	for name, raiseCost := range map[string]func(*Task){
		"old checkpoint":   func(x *Task) { x.CheckpointedAt = epoch.Add(time.Minute) },
		"no checkpoint":    func(x *Task) { x.CheckpointedAt = time.Time{} },
		"kind's cost":      func(x *Task) { x.EvictionCost = 5 },
		"near its end":     func(x *Task) { x.ProgressMilli = 950 },
		"evicted before":   func(x *Task) { x.Evictions = 2 },
		"more processors":  func(x *Task) { x.Size.MilliProcessors = 4000 },
		"short run, later": func(x *Task) { x.ExpectedRun = 11 * time.Minute },
	} {
		cheap, costly := base, base
		raiseCost(&costly)
		r := s.gather(now, s.snapshot)
		if r.evictionCost(&costly) <= r.evictionCost(&cheap) {
			t.Errorf("%s does not cost more", name)
		}
	}
}

// Guards against a worker that stays overcommitted or loses more tasks than needed. It returns
// with less capacity, and the stops take several rounds to be confirmed. The excess must be
// evicted once, not again in each round.
func TestShrunkenWorkerEvictsOnce(t *testing.T) {
	s := newHarness(1)
	for i := range 8 {
		task := s.queue(fmt.Sprint("b", i), "k", "b")
		s.run("w0", task, task.Size)
	}
	s.worker("w0").Capacity.MilliProcessors = 5500
	for round := range 5 {
		plan := s.Plan(s.now, s.snapshot)
		if want := map[bool]int{true: 3, false: 0}[round == 0]; len(plan.Evictions) != want {
			t.Fatalf("round %d: evicted %v", round, plan.Evictions)
		}
		s.now = s.now.Add(time.Second)
	}
}

// Guards against a task that starts in a cordoned zone, and against a job that counts as unplaceable while
// its zone is cordoned.
func TestNothingStartsInCordonedZone(t *testing.T) {
	s := newHarness(2)
	s.worker("w0").Cordoned, s.worker("w1").Cordoned = true, true
	s.queue("a", "k", "a")
	if plan := s.plan(); len(plan.Grants)+len(plan.Unplaceable) != 0 {
		t.Fatalf("grants %v, unplaceable %v", plan.Grants, plan.Unplaceable)
	}
	if d, ok := s.Explain(s.now, s.snapshot, "a"); !ok || d.Refused["cordon"] != 2 {
		t.Errorf("explained as %+v", d)
	}
	s.worker("w1").Cordoned = false
	if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Worker != "w1" {
		t.Errorf("grants %v", plan.Grants)
	}
}

// Guards against explanations that change what is planned or name no reason.
func TestExplainNamesFiltersAndChangesNothing(t *testing.T) {
	plans := [2]Plan{}
	for i := range plans {
		s := newHarness(3)
		s.worker("w0").Draining = true
		s.worker("w1").Alive = false
		s.run("w2", s.queue("b", "k", "b"), Resources{MilliProcessors: 8000})
		urgent := s.queue("u", "k", "u")
		urgent.Priority = apiv1.Priority_PRIORITY_URGENT
		for range i {
			d, ok := s.Explain(s.now, s.snapshot, "u")
			if !ok || d.Worker != "" || d.Refused["draining"]+d.Refused["alive"]+d.Refused["room"] != 3 || len(d.Rejections) != 3 {
				t.Fatalf("explained as %+v", d)
			}
		}
		plans[i] = s.Plan(s.now, s.snapshot)
	}
	if len(plans[0].Evictions) != 1 || fmt.Sprint(plans[0]) != fmt.Sprint(plans[1]) {
		t.Fatalf("planned %+v, after an explanation %+v", plans[0], plans[1])
	}
}
