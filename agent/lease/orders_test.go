package lease

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	boot    = time.Hour // Boot clock at the start of each case.
	stopped = apiv1.TaskPhase_TASK_PHASE_STOPPED
)

// harness is a manager moved by hand. Its worker runs attempt 1 of task a.
type harness struct {
	m                *Manager
	now              time.Duration
	tasks            []*apiv1.TaskStatus
	instance         string
	wallClock        uint64
	namedIncarnation uint64
}

func newHarness() *harness {
	b := &harness{m: New(boot), now: boot + startWindow, instance: "one", wallClock: 1 << 60}
	b.tasks = []*apiv1.TaskStatus{{Task: Attempt{"a", 1}.proto(), Phase: running, Grant: unitGrant}}
	b.observe()
	return b
}

func (b *harness) observe() {
	info := &apiv1.WorkerInfo{Incarnation: b.namedIncarnation}
	info.Capacity = &apiv1.Resources{MilliProcessors: 3000, MemoryBytes: 3 << 30, Accelerators: 3}
	b.m.Observe(b.now, Observation{Info: info, Instance: b.instance, Tasks: b.tasks, WallClock: b.wallClock})
}

func (b *harness) heartbeat() *apiv1.WorkerHeartbeat { return b.m.Heartbeat(b.now) }

// exchange is a heartbeat and its reply; answer is the time between them.
func (b *harness) exchange(answer time.Duration, o *apiv1.WorkerOrders) Actions {
	o.Sequence, o.Renewed, o.LeaseMs = b.heartbeat().GetSequence(), true, leaseDuration.Milliseconds()
	b.now += answer
	return b.m.ApplyOrders(b.now, o)
}

func (b *harness) reported(task string) *apiv1.TaskStatus {
	for _, st := range b.heartbeat().GetTasks() {
		if st.Task.Task == task {
			return st
		}
	}
	return nil
}

func startTask(task string, attempt uint64) *apiv1.StartTask {
	return &apiv1.StartTask{Task: Attempt{task, attempt}.proto(), Grant: unitGrant, Checkpoint: "from"}
}

func startOrders(task string, attempt uint64) *apiv1.WorkerOrders {
	return &apiv1.WorkerOrders{Start: []*apiv1.StartTask{startTask(task, attempt)}}
}

func stopOrders(checkpoint bool, task string) *apiv1.WorkerOrders {
	return &apiv1.WorkerOrders{Stop: []*apiv1.StopTask{{Task: Attempt{task, 1}.proto(), Checkpoint: checkpoint}}}
}

// tryStart orders the start of attempt 1 of task n and has it go some way.
func (b *harness) tryStart(r StartResult) Actions {
	a := b.exchange(0, startOrders("n", 1))
	b.m.RecordStart(startTask("n", 1), r, "", a.Deadline)
	return a
}

// Symptom: a task is started twice, stopped for nothing, or its end is never reported.
// Sequence: each case is one late, lost or doubled message, or a restart in between, and
// reports whether the agent did the right thing. Cause: orders that are carried out
// without a look at their age, at the attempt or at the worker that they are for.
func TestOrders(t *testing.T) {
	tests := map[string]func(b *harness) bool{
		"late orders start and renew nothing": func(b *harness) bool {
			a := b.exchange(leaseDuration, startOrders("n", 1))
			return len(a.Start)+len(a.Renew) == 0
		},
		"an eviction is renewed": func(b *harness) bool { return len(b.exchange(0, stopOrders(true, "a")).Renew) == 1 },
		"an unwanted attempt is not": func(b *harness) bool {
			a := b.exchange(0, stopOrders(false, "a"))
			return len(a.Stop) == 1 && len(a.Renew) == 0
		},
		"no second attempt beside the first": func(b *harness) bool { return len(b.exchange(0, startOrders("a", 2)).Start) == 0 },
		"nothing starts beside an attempt of unknown size": func(b *harness) bool {
			b.m.attempts[Attempt{"a", 1}].grant = nil
			return len(b.exchange(0, startOrders("n", 1)).Start) == 0 && b.reported("n").GetCheckpoint() == "from"
		},
		"nothing is said or done before an earlier agent's starts have passed": func(b *harness) bool {
			b.now--
			if b.heartbeat() != nil {
				return false
			}
			b.namedIncarnation = 1
			b.observe()
			b.exchange(0, stopOrders(true, "n"))
			return len(b.exchange(0, startOrders("n", 1)).Start) == 0 && b.reported("n") == nil
		},
		// Symptom: a task runs twice for up to two seconds. Sequence: an agent
		// sends a start to a worker that has just restarted, and dies; its
		// successor reports that nothing runs; the start arrives. Cause: a new
		// incarnation that can be registered too early.
		"a worker is not registered before an earlier agent's starts have passed": func(b *harness) bool {
			b.namedIncarnation = 1
			b.now--
			b.observe()
			early := b.heartbeat()
			b.now++
			return early != nil && early.Info == nil && b.heartbeat().Info != nil
		},
		"a stop of the unknown is answered": func(b *harness) bool {
			b.exchange(0, stopOrders(true, "n"))
			return b.reported("n").GetPhase() == stopped
		},
		"a start is short until it is known to run": func(b *harness) bool {
			a := b.exchange(0, startOrders("n", 1))
			renew := b.m.RecordStart(startTask("n", 1), StartDone, "", a.Deadline)
			return renew && a.StartDeadline == b.now+startWindow && a.Deadline == b.now+leaseDuration
		},
		"a refusal after a lost reply ends nothing": func(b *harness) bool {
			b.tryStart(StartUnknown)
			b.tryStart(StartRefused)
			return b.reported("n") == nil
		},
		"a stopped attempt is not started again": func(b *harness) bool {
			b.tryStart(StartUnknown)
			b.exchange(0, stopOrders(true, "n"))
			b.m.RecordStop(Attempt{"n", 1}.proto(), "", false)
			return len(b.tryStart(StartUnknown).Start) == 0
		},
		"a start under way holds back a new incarnation": func(b *harness) bool {
			b.tryStart(StartUnknown)
			b.instance, b.tasks = "two", nil
			b.observe()
			if occupiedAttempts(b.m) != 1 || b.heartbeat() != nil {
				return false
			}
			b.now += startWindow
			b.observe()
			return b.reported("n").GetCheckpoint() == "from"
		},
		"a lost task is reported when its lease is over": func(b *harness) bool {
			b.exchange(0, &apiv1.WorkerOrders{})
			b.tasks = nil
			b.now += leaseDuration - 1
			b.observe()
			early := b.reported("a")
			b.now++
			b.observe()
			return early == nil && b.reported("a").GetPhase() == stopped
		},
		"a checkpoint that the worker does not list is kept": func(b *harness) bool {
			b.exchange(0, stopOrders(true, "a"))
			b.m.RecordStop(Attempt{"a", 1}.proto(), "newest", true)
			b.tasks[0].Phase = stopped
			b.observe()
			return b.reported("a").GetCheckpoint() == "newest"
		},
		"incarnation grows over restarts of the worker, whatever the clock": func(b *harness) bool {
			first := b.heartbeat().Incarnation
			b.instance, b.wallClock = "two", 5
			b.observe()
			return b.heartbeat().Incarnation > first
		},
		"sequence grows over restarts of the agent": func(b *harness) bool {
			first := b.heartbeat().Sequence
			b.m = New(b.now)
			b.now += startWindow
			b.observe()
			return b.heartbeat().Sequence > first
		},
		"an incarnation that nobody renews is raised": func(b *harness) bool { return raiseAfterUnrenewed(b) >= minRaise },
		"one that the worker names is not": func(b *harness) bool {
			b.namedIncarnation = 7
			b.observe()
			return raiseAfterUnrenewed(b) == 0
		},
	}
	for name, run := range tests {
		if !run(newHarness()) {
			t.Error(name)
		}
	}
}

// raiseAfterUnrenewed returns by how much the incarnation grows when nothing is renewed. It
// must not grow too early.
func raiseAfterUnrenewed(b *harness) uint64 {
	first := b.heartbeat().Incarnation
	for range maxUnrenewed {
		hb := b.heartbeat()
		if hb.Incarnation != first {
			return 0
		}
		b.m.ApplyOrders(b.now, &apiv1.WorkerOrders{Sequence: hb.Sequence})
	}
	return b.heartbeat().Incarnation - first
}

// occupiedAttempts returns how many attempts take room on the worker.
func occupiedAttempts(m *Manager) int {
	n := 0
	for _, h := range m.attempts {
		if !h.ended() {
			n++
		}
	}
	return n
}
