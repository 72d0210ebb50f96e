package lease

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	boot    = time.Hour // Boot clock reading at the start of each case.
	stopped = apiv1.TaskPhase_TASK_PHASE_STOPPED
)

// harness drives a manager step by step. Its worker runs attempt 1 of task a.
type harness struct {
	m                *Manager
	now              time.Duration
	tasks            []*apiv1.TaskStatus
	instance         string
	wallClock        uint64
	namedIncarnation uint64
	capacity         *apiv1.Resources
}

func newHarness() *harness {
	h := &harness{m: New(boot), now: boot + startWindow, instance: "one", wallClock: 1 << 60}
	h.capacity = &apiv1.Resources{MilliProcessors: 3000, MemoryBytes: 3 << 30, Accelerators: 3}
	h.tasks = []*apiv1.TaskStatus{{Task: Attempt{"a", 1}.proto(), Phase: running, Grant: unitGrant}}
	h.observe()
	return h
}

func (h *harness) observe() {
	info := &apiv1.WorkerInfo{Incarnation: h.namedIncarnation, Capacity: h.capacity}
	h.m.Observe(h.now, Observation{Info: info, Instance: h.instance, Tasks: h.tasks, WallClock: h.wallClock})
}

func (h *harness) heartbeat() *apiv1.WorkerHeartbeat { return h.m.Heartbeat(h.now) }

// exchange sends a heartbeat and applies its reply; delay is the time between them.
func (h *harness) exchange(delay time.Duration, o *apiv1.WorkerOrders) Actions {
	o.Sequence, o.Renewed, o.LeaseMs = h.heartbeat().GetSequence(), true, leaseDuration.Milliseconds()
	h.now += delay
	return h.m.ApplyOrders(h.now, o)
}

func (h *harness) reported(task string) *apiv1.TaskStatus {
	for _, st := range h.heartbeat().GetTasks() {
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

// tryStart orders the start of attempt 1 of task n and records the given result.
func (h *harness) tryStart(r StartResult) Actions {
	a := h.exchange(0, startOrders("n", 1))
	h.m.RecordStart(startTask("n", 1), r, "", a.Deadline)
	return a
}

// Guards against orders that are carried out without a check of their age, of the attempt or of
// the worker that they are for: a task is started twice or stopped without need, or its end is
// never reported. Each case is one delayed, lost or duplicated message, or a restart in between,
// and returns whether the agent acted correctly.
func TestOrders(t *testing.T) {
	tests := map[string]func(h *harness) bool{
		"delayed orders start and renew nothing": func(h *harness) bool {
			a := h.exchange(leaseDuration, startOrders("n", 1))
			return len(a.Start)+len(a.Renew) == 0
		},
		"an attempt being evicted is renewed": func(h *harness) bool { return len(h.exchange(0, stopOrders(true, "a")).Renew) == 1 },
		"an unwanted attempt is stopped and not renewed": func(h *harness) bool {
			a := h.exchange(0, stopOrders(false, "a"))
			return len(a.Stop) == 1 && len(a.Renew) == 0
		},
		"nothing starts in a cordoned zone, and the attempt ends": func(h *harness) bool {
			o := startOrders("n", 1)
			o.Cordoned = true
			a := h.exchange(0, o)
			return len(a.Start) == 0 && len(a.Refused) == 1 && h.reported("n").GetCheckpoint() == "from"
		},
		"a start without an answer is not sent again into a cordoned zone": func(h *harness) bool {
			h.tryStart(StartUnknown)
			o := startOrders("n", 1)
			o.Cordoned = true
			a := h.exchange(0, o)
			return len(a.Start)+len(a.Refused) == 0
		},
		"no second attempt in parallel with the first": func(h *harness) bool { return len(h.exchange(0, startOrders("a", 2)).Start) == 0 },
		"nothing starts while the grant of an attempt is unknown": func(h *harness) bool {
			h.m.attempts[Attempt{"a", 1}].grant = nil
			return len(h.exchange(0, startOrders("n", 1)).Start) == 0 && h.reported("n").GetCheckpoint() == "from"
		},
		"nothing is reported or started before a previous agent's starts have expired": func(h *harness) bool {
			h.now--
			if h.heartbeat() != nil {
				return false
			}
			h.namedIncarnation = 1
			h.observe()
			h.exchange(0, stopOrders(true, "n"))
			return len(h.exchange(0, startOrders("n", 1)).Start) == 0 && h.reported("n") == nil
		},
		// Guards against a new incarnation that is registered too early: a task runs twice for up
		// to two seconds. An agent sends a start to a worker that has just restarted, and dies;
		// its successor reports that nothing runs; the start arrives.
		"a worker is not registered before a previous agent's starts have expired": func(h *harness) bool {
			h.namedIncarnation = 1
			h.now--
			h.observe()
			early := h.heartbeat()
			h.now++
			return early != nil && early.Info == nil && h.heartbeat().Info != nil
		},
		"the stop of an unknown attempt is answered": func(h *harness) bool {
			h.exchange(0, stopOrders(true, "n"))
			return h.reported("n").GetPhase() == stopped
		},
		"a start has a short deadline until the attempt is known to run": func(h *harness) bool {
			a := h.exchange(0, startOrders("n", 1))
			renew := h.m.RecordStart(startTask("n", 1), StartDone, "", a.Deadline)
			return renew && a.StartDeadline == h.now+startWindow && a.Deadline == h.now+leaseDuration
		},
		"a refusal after a lost reply ends nothing": func(h *harness) bool {
			h.tryStart(StartUnknown)
			h.tryStart(StartRefused)
			return h.reported("n") == nil
		},
		"a start that no longer fits is not tried again, and is given back": func(h *harness) bool {
			h.tryStart(StartUnknown)
			h.capacity = &apiv1.Resources{MilliProcessors: 3000, MemoryBytes: 3 << 30, Accelerators: 1}
			h.observe()
			retries := len(h.tryStart(StartUnknown).Start)
			h.now += startWindow
			h.observe()
			return retries == 0 && h.reported("n").GetCheckpoint() == "from"
		},
		"a stopped attempt is not started again": func(h *harness) bool {
			h.tryStart(StartUnknown)
			h.exchange(0, stopOrders(true, "n"))
			h.m.RecordStop(Attempt{"n", 1}.proto(), "", false)
			return len(h.tryStart(StartUnknown).Start) == 0
		},
		"a start in progress delays a new incarnation": func(h *harness) bool {
			h.tryStart(StartUnknown)
			h.instance, h.tasks = "two", nil
			h.observe()
			if occupiedAttempts(h.m) != 1 || h.heartbeat() != nil {
				return false
			}
			h.now += startWindow
			h.observe()
			return h.reported("n").GetCheckpoint() == "from"
		},
		"a lost task is reported when its lease has expired": func(h *harness) bool {
			h.exchange(0, &apiv1.WorkerOrders{})
			h.tasks = nil
			h.now += leaseDuration - 1
			h.observe()
			early := h.reported("a")
			h.now++
			h.observe()
			return early == nil && h.reported("a").GetPhase() == stopped
		},
		"an attempt that runs on after its stop was confirmed is stopped again": func(h *harness) bool {
			h.exchange(0, stopOrders(true, "a"))
			h.m.RecordStop(Attempt{"a", 1}.proto(), "", true)
			h.observe()
			early := len(h.exchange(0, stopOrders(true, "a")).Stop)
			h.now += stopEffectTime
			h.observe()
			return early == 0 && len(h.exchange(0, stopOrders(true, "a")).Stop) == 1
		},
		"a checkpoint that the worker does not list is kept": func(h *harness) bool {
			h.exchange(0, stopOrders(true, "a"))
			h.m.RecordStop(Attempt{"a", 1}.proto(), "newest", true)
			h.tasks[0].Phase = stopped
			h.observe()
			return h.reported("a").GetCheckpoint() == "newest"
		},
		"incarnation increases over restarts of the worker, whatever the clock": func(h *harness) bool {
			first := h.heartbeat().Incarnation
			h.instance, h.wallClock = "two", 5
			h.observe()
			return h.heartbeat().Incarnation > first
		},
		"sequence increases over restarts of the agent": func(h *harness) bool {
			first := h.heartbeat().Sequence
			h.m = New(h.now)
			h.now += startWindow
			h.observe()
			return h.heartbeat().Sequence > first
		},
		"an incarnation that is not renewed is raised": func(h *harness) bool { return raiseAfterUnrenewed(h) >= minRaise },
		"an incarnation named by the worker is not raised": func(h *harness) bool {
			h.namedIncarnation = 7
			h.observe()
			return raiseAfterUnrenewed(h) == 0
		},
	}
	for name, run := range tests {
		if !run(newHarness()) {
			t.Error(name)
		}
	}
}

// raiseAfterUnrenewed returns by how much the incarnation increases when nothing is renewed; 0 if
// it increases too early.
func raiseAfterUnrenewed(h *harness) uint64 {
	first := h.heartbeat().Incarnation
	for range maxUnrenewed {
		hb := h.heartbeat()
		if hb.Incarnation != first {
			return 0
		}
		h.m.ApplyOrders(h.now, &apiv1.WorkerOrders{Sequence: hb.Sequence})
	}
	return h.heartbeat().Incarnation - first
}

// occupiedAttempts returns how many attempts occupy capacity on the worker.
func occupiedAttempts(m *Manager) int {
	n := 0
	for _, h := range m.attempts {
		if !h.ended() {
			n++
		}
	}
	return n
}
