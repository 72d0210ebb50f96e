package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// harness drives a Placer over workers w0, w1, ... that carry out its plans at once.
type harness struct {
	*Placer
	now      time.Time
	snapshot *Snapshot
	sequence uint64
}

func newHarness(workers int, services ...string) *harness {
	s := &harness{Placer: New(Config{}), now: epoch, snapshot: &Snapshot{Services: map[string]*apiv1.Service{}}}
	for _, name := range services {
		s.snapshot.Services[name] = &apiv1.Service{Name: name, ObjectiveMs: 100}
	}
	for i := range workers {
		s.snapshot.Workers = append(s.snapshot.Workers, &Worker{
			Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i), AvailabilityZone: "z", Alive: true,
			Capacity: Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}, Services: services,
		})
	}
	return s
}

// queue adds a task of one processor with its own job, or the named one.
func (s *harness) queue(id, kind, job string) *Task {
	t := &Task{ID: id, Kind: kind, Job: job, Size: Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, QueuedAt: s.now,
		Priority: apiv1.Priority_PRIORITY_BATCH, State: apiv1.TaskState_TASK_STATE_QUEUED, ExpectedRun: time.Hour}
	s.snapshot.Queued = append(s.snapshot.Queued, t)
	return t
}

// plan carries out a plan's grants and evictions.
func (s *harness) plan() Plan {
	plan := s.Plan(s.now, s.snapshot)
	for _, g := range plan.Grants {
		s.run(g.Worker, g.Task, g.Resources)
	}
	for _, e := range plan.Evictions {
		s.end(e.Worker, e.Task)
	}
	return plan
}

func (s *harness) worker(name string) *Worker {
	for _, w := range s.snapshot.Workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func (s *harness) run(worker string, t *Task, size Resources) {
	w := s.worker(worker)
	t.State, t.Worker, t.GrantedAt, t.Size = apiv1.TaskState_TASK_STATE_GRANTED, worker, s.now, size
	t.Attempt++
	w.Running = append(w.Running, t)
	s.snapshot.Queued = withoutTask(s.snapshot.Queued, t.ID)
}

func (s *harness) end(worker, task string) {
	w := s.worker(worker)
	w.Running = withoutTask(w.Running, task)
}

func withoutTask(list []*Task, id string) []*Task {
	var out []*Task
	for _, t := range list {
		if t.ID != id {
			out = append(out, t)
		}
	}
	return out
}

// heartbeat sends the heartbeat of a worker with extra parts.
func (s *harness) heartbeat(worker string, extra *apiv1.WorkerHeartbeat) {
	s.sequence++
	hb := &apiv1.WorkerHeartbeat{Worker: worker, Incarnation: 1, Sequence: s.sequence,
		Tasks: extra.GetTasks(), Latency: extra.GetLatency(), Usage: extra.GetUsage()}
	for _, t := range s.worker(worker).Running {
		hb.Tasks = append(hb.Tasks, status(t.ID, t.Attempt, apiv1.TaskPhase_TASK_PHASE_RUNNING))
	}
	s.Observe(s.now, hb)
}

// advance lets time pass with a heartbeat of w0 every 5 s, the first at once.
func (s *harness) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(5 * time.Second) {
		s.heartbeat("w0", nil)
	}
}

func status(task string, attempt uint64, phase apiv1.TaskPhase) *apiv1.TaskStatus {
	return &apiv1.TaskStatus{Task: &apiv1.TaskAttempt{Task: task, Attempt: attempt}, Phase: phase}
}

// latency is a report about the last 10 s before age, at 100 requests a second.
func latency(worker, service string, ms int64, age time.Duration) *apiv1.WorkerHeartbeat {
	return &apiv1.WorkerHeartbeat{Latency: []*apiv1.LatencyReport{{
		Target: worker + service, Service: service, P50Us: ms * 400, P99Us: ms * 1000, Requests: 1000,
		WindowMs: 10_000, AgeMs: age.Milliseconds(),
	}}}
}

func (s *harness) learnedSlowdown(kind string) float64 {
	worst := 1.0
	for _, p := range s.Learned(s.now).Pairs {
		if p.Kind == kind {
			worst = max(worst, p.Slowdown)
		}
	}
	return worst
}

// Symptom: a harmless kind is believed to be harmful, and the harmful one is not.
// Sequence: a task disturbs a service and leaves; another comes; then the report
// about the first one's time arrives. Cause: the report is matched with who is
// there on its arrival.
func TestLateReportIsAttributedToTasksInItsWindow(t *testing.T) {
	s := newHarness(1, "bookings")
	s.plan()
	s.heartbeat("w0", nil)
	for range 6 {
		s.now = s.now.Add(10 * time.Second)
		s.heartbeat("w0", latency("w0", "bookings", 50, 0))
	}
	s.run("w0", s.queue("first", "noisy", "a"), Resources{MilliProcessors: 1000})
	s.plan()
	s.advance(20 * time.Second)
	s.end("w0", "first")
	s.run("w0", s.queue("second", "quiet", "b"), Resources{MilliProcessors: 1000})
	s.plan()
	s.advance(20 * time.Second)
	s.heartbeat("w0", latency("w0", "bookings", 95, 24*time.Second))
	if noisy, quiet := s.learnedSlowdown("noisy"), s.learnedSlowdown("quiet"); noisy < 1.3 || quiet > 1.01 {
		t.Fatalf("noisy is believed to slow by %.2f, quiet by %.2f", noisy, quiet)
	}
}

// Symptom: one slow spell costs a task per report. Sequence: the tail crosses the
// objective, the guard acts, and reports about the time before the action keep
// arriving for 30 s. Cause: each of them is answered with another action.
func TestReportsFromBeforeAnActionCauseNoFurtherAction(t *testing.T) {
	const lag = 30 * time.Second
	s := newHarness(1, "bookings")
	s.plan()
	s.heartbeat("w0", nil)
	for range 6 {
		s.now = s.now.Add(10 * time.Second)
		s.heartbeat("w0", latency("w0", "bookings", 50, 0))
	}
	s.run("w0", s.queue("t", "noisy", "j"), Resources{MilliProcessors: 1000})
	s.plan()
	s.heartbeat("w0", nil)
	started, acted := s.now, time.Time{}
	for range 150 {
		s.now = s.now.Add(time.Second)
		if s.now.Sub(started) > lag+10*time.Second && s.now.Sub(started)%(5*time.Second) == 0 {
			s.heartbeat("w0", latency("w0", "bookings", 130, lag))
		}
		plan := s.plan()
		if len(plan.Evictions) == 0 && !slices.ContainsFunc(plan.Throttles, func(th Throttle) bool { return th.Reason != ReasonStillInEffect }) {
			continue
		}
		if wait := s.now.Sub(acted); !acted.IsZero() && wait < lag+10*time.Second {
			t.Fatalf("acted again after %v, though nothing measured since can have arrived", wait)
		}
		acted = s.now
	}
	if acted.IsZero() {
		t.Fatal("the guard never acted")
	}
}

// Symptom: a service suffers although its neighbour is held down. Sequence: the
// neighbour is throttled to the least share, the tail stays. Cause: its harm does
// not come from processors, so it has to go; a harmless one must not go instead.
func TestHarmfulTaskIsThrottledThenEvicted(t *testing.T) {
	s := newHarness(2, "bookings")
	s.plan()
	s.heartbeat("w0", nil)
	s.heartbeat("w1", nil)
	s.run("w0", s.queue("bad", "noisy", "a"), Resources{MilliProcessors: 1000})
	for _, w := range []string{"w0", "w1"} {
		s.run(w, s.queue("good-"+w, "quiet", "b"), Resources{MilliProcessors: 1000})
	}
	throttled := false
	for range 60 {
		s.now = s.now.Add(10 * time.Second)
		s.heartbeat("w1", latency("w1", "bookings", 50, 0))
		ms := int64(50)
		if len(s.worker("w0").Running) > 1 {
			ms = 180
		}
		s.heartbeat("w0", latency("w0", "bookings", ms, 0))
		plan := s.plan()
		for _, th := range plan.Throttles {
			throttled = throttled || th.Task == "bad" && th.ShareMilli == minShare
		}
		for _, e := range plan.Evictions {
			if e.Task != "bad" || !throttled {
				t.Fatalf("evicted %s, bad throttled before: %v", e.Task, throttled)
			}
			return
		}
	}
	t.Fatal("the culprit was never evicted")
}

// Symptom: grants are far too small, or larger than any worker. Sequence: tasks
// of a kind use three times what they declare. Cause: declared sizes are believed;
// or the learnt size is granted without looking at what workers have.
func TestLearnedSizesGrowWithinCapacity(t *testing.T) {
	s := newHarness(2)
	for i := range minSamples {
		task := s.queue(fmt.Sprint("t", i), "greedy", "j")
		s.run("w0", task, task.Size)
	}
	s.plan()
	for range 8 {
		s.now = s.now.Add(10 * time.Second)
		usage := &apiv1.WorkerHeartbeat{}
		for _, task := range s.worker("w0").Running {
			usage.Usage = append(usage.Usage, &apiv1.UsageReport{
				Task: &apiv1.TaskAttempt{Task: task.ID, Attempt: task.Attempt},
				Used: &apiv1.Resources{MilliProcessors: 3000, MemoryBytes: 3 << 30},
			})
		}
		s.heartbeat("w0", usage)
	}
	s.worker("w0").Running = nil
	small, large := s.queue("small", "greedy", "j"), s.queue("large", "greedy", "k")
	large.Size.MilliProcessors = 7000
	s.queue("other", "modest", "l")
	declared := map[string]Resources{"small": small.Size, "large": large.Size}
	plan := s.plan()
	if len(plan.Grants) != 3 {
		t.Fatalf("%d grants", len(plan.Grants))
	}
	for _, g := range plan.Grants {
		if want, ok := declared[g.Task.ID]; ok && (!want.Fits(g.Resources) || g.Resources.MemoryBytes <= want.MemoryBytes) {
			t.Fatalf("%s: granted %v for %v", g.Task.ID, g.Resources, want)
		}
		if g.Task.ID == "other" && g.Resources.MilliProcessors != 1000 {
			t.Fatalf("a kind without reports was granted %v", g.Resources)
		}
	}
}

// Symptom: a task is killed for want of memory it declared. Sequence: tasks of a
// kind use far less than they declare, and the next one's size is asked for. Cause:
// memory is reclaimed like processors; or processors are, without the option.
func TestReclaimTakesProcessorsOnly(t *testing.T) {
	declared := Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}
	for least, want := range map[float64]int64{0: 1000, 0.5: 500} {
		u := New(Config{MinProcessorFraction: least}).usage
		for range minSamples {
			u.addSamples(&attemptUsage{peak: Resources{MilliProcessors: 100, MemoryBytes: 1 << 20}}, &taskInfo{kind: "k", declared: declared})
		}
		if got := u.size("k", declared); got != (Resources{want, 1 << 30, 0}) {
			t.Fatalf("least %v: %v", least, got)
		}
	}
}

// interferenceSamples counts what reports have taught about interference.
func (s *harness) interferenceSamples() int {
	n := 0
	for _, b := range s.interference.beliefs {
		n += b.samples
	}
	return n
}

// Symptom: a task that should be held down runs at full share, or a task is
// blamed for a time it was not seen in. Sequence: the leader is replaced for a
// while and comes back, with its memory of before; its last orders are lost.
// Cause: orders are given once; the history bridges the silence.
func TestReturningLeaderRepeatsThrottles(t *testing.T) {
	s := newHarness(1, "bookings")
	s.run("w0", s.queue("t", "noisy", "j"), Resources{MilliProcessors: 1000})
	s.plan()
	s.heartbeat("w0", nil)
	for range 3 {
		s.now = s.now.Add(10 * time.Second)
		s.heartbeat("w0", latency("w0", "bookings", 300, 0))
		s.plan()
	}
	held := s.Learned(s.now).Throttled
	if len(held) != 1 {
		t.Fatalf("held down: %v", held)
	}
	before := s.interferenceSamples()
	s.now = s.now.Add(2 * time.Minute)
	s.heartbeat("w0", latency("w0", "bookings", 50, 30*time.Second))
	if s.interferenceSamples() != before {
		t.Fatal("learnt from a window that nobody watched")
	}
	plan := s.Plan(s.now, s.snapshot)
	if len(plan.Throttles) != 1 || plan.Throttles[0].ShareMilli != held[0].ShareMilli {
		t.Fatalf("throttles after the return: %v", plan.Throttles)
	}
}
