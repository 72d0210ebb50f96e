package place

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: nothing starts any more. Sequence: a job that no worker could hold is
// at the head of the queue, urgent, before others. Cause: the queue waits for it.
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
		t.Fatalf("while the worker is away: unplaceable %v, grants %v", plan.Unplaceable, plan.Grants)
	}
}

// Symptom: a large task never starts. Sequence: small tasks arrive all the time
// and take every hole that opens. Cause: no room is held for the one that has
// waited longest.
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
			t.Fatalf("still waits after %v", waited)
		}
	}
}

// Symptom: urgent tasks wait behind batch, or batch waits for ever behind urgent.
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
			t.Fatal("the first start is batch")
		}
	}
	if urgent != 15 { // 16 places, one in DefaultBatchFloor is batch
		t.Fatalf("%d of 16 starts are urgent", urgent)
	}
}

// Symptom: one team fills the workers. Cause: the queue is served by age alone.
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
		t.Fatalf("starts per team %v, weights 2 to 1", got)
	}
}

// Symptom: an urgent task waits although batch could give way; or several tasks
// are evicted for it, and batch takes the room that was made. Sequence: the
// eviction is confirmed some rounds later. Cause: the room is not held.
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
				t.Fatalf("evicted %s, which loses more", e.Task)
			}
		}
		if round == 2 { // the first stop is confirmed: room for the rival only
			s.end("w0", "b3")
		}
		if len(plan.Grants) != 0 {
			t.Fatalf("round %d: granted %s", round, plan.Grants[0].Task.ID)
		}
		s.now = s.now.Add(time.Second)
	}
	s.end("w0", "b4")
	if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Task.ID != "urgent" {
		t.Fatalf("the room went to %v", plan.Grants)
	}
}

// Symptom: urgent tasks wait although their worker has room for one of them.
// Sequence: a starved task and two urgent ones have room held on one worker, and
// it opens for one urgent task only. Cause: each leaves the others' holds alone.
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

// Symptom: the eviction that loses most work is chosen. Each case makes one task
// cheaper than the other.
func TestEvictionCostOrders(t *testing.T) {
	s := newHarness(1)
	base := Task{GrantedAt: epoch, CheckpointedAt: epoch.Add(5 * time.Minute), ExpectedRun: time.Hour, Size: Resources{MilliProcessors: 2000}}
	now := epoch.Add(10 * time.Minute)
	for name, dearer := range map[string]func(*Task){
		"old checkpoint":   func(x *Task) { x.CheckpointedAt = epoch.Add(time.Minute) },
		"no checkpoint":    func(x *Task) { x.CheckpointedAt = time.Time{} },
		"kind's cost":      func(x *Task) { x.EvictionCost = 5 },
		"near its end":     func(x *Task) { x.ProgressMilli = 950 },
		"evicted before":   func(x *Task) { x.Evictions = 2 },
		"more processors":  func(x *Task) { x.Size.MilliProcessors = 4000 },
		"short run, later": func(x *Task) { x.ExpectedRun = 11 * time.Minute },
	} {
		cheap, dear := base, base
		dearer(&dear)
		r := s.gather(now, s.snapshot)
		if r.evictionCost(&dear) <= r.evictionCost(&cheap) {
			t.Errorf("%s does not cost more", name)
		}
	}
}

// Symptom: a worker holds more than it has, or loses more tasks than it must.
// Sequence: it comes back with less; the stops take several rounds to confirm.
// Cause: the excess is not evicted, or again in each round until it has stopped.
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

// Symptom: asking why a task waits changes what is planned, or names no reason.
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
