package control

import (
	"cmp"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// fullShare is the share that ends a throttle.
const fullShare = 1000

// orders returns the response to a renewed heartbeat, based on the applied state. An order is
// repeated in each response until the worker's report shows that it was carried out, so a lost
// response costs only one heartbeat interval.
func (c *coordinator) orders(hb *apiv1.WorkerHeartbeat, m *state.Machine) *apiv1.WorkerOrders {
	o := &apiv1.WorkerOrders{
		Worker:   hb.Worker,
		Sequence: hb.Sequence,
		Renewed:  true,
		LeaseMs:  c.leases.duration.Milliseconds(),
	}
	if w, known := m.Worker(hb.Worker); known {
		o.Cordoned = w.Cordoned
	}
	r := c.reports[hb.Worker]
	m.EachTaskOf(hb.Worker, func(t state.Task) { c.orderForLiveTask(o, r, &t) })
	for _, st := range hb.Tasks {
		if !isLiveOn(m, hb.Worker, st.Task) {
			orderForUnknownAttempt(o, st)
		}
	}
	r.ordersSent = true
	sortOrders(o)
	return o
}

// orderForLiveTask adds the order that a task needs whose current attempt the state assigns to this
// worker.
func (c *coordinator) orderForLiveTask(o *apiv1.WorkerOrders, r *workerReport, t *state.Task) {
	attempt := &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt}
	st := r.taskStatus(t.ID)
	reported := st != nil && st.Task.Attempt == t.Attempt
	switch {
	case reported && st.Phase != apiv1.TaskPhase_TASK_PHASE_RUNNING:
		// The attempt ended; the end is about to be recorded.
	case t.State == apiv1.TaskState_TASK_STATE_STOPPING:
		// The stop is ordered even if the attempt was never reported: its start may be in flight,
		// and only the worker's own report that it stopped confirms that it will not run.
		o.Stop = append(o.Stop, &apiv1.StopTask{Task: attempt, Checkpoint: !t.Canceled, Reason: t.Reason})
	case reported:
		c.orderThrottle(o, r, attempt)
	case st != nil && st.Phase == apiv1.TaskPhase_TASK_PHASE_RUNNING:
		// Another attempt of the task still runs on this worker and must be stopped first.
	default:
		o.Start = append(o.Start, &apiv1.StartTask{
			Task:          attempt,
			Kind:          t.Definition.Kind,
			Grant:         t.Grant.Message(),
			Checkpoint:    t.Checkpoint,
			ExpectedRunMs: t.Definition.ExpectedRunMs,
		})
	}
}

func (c *coordinator) orderThrottle(o *apiv1.WorkerOrders, r *workerReport, a *apiv1.TaskAttempt) {
	th, ok := c.throttles[a.Task]
	if ok && th.attempt == a.Attempt {
		o.Throttle = append(o.Throttle, &apiv1.ThrottleTask{Task: a, ShareMilli: th.share})
		return
	}
	if !r.ordersSent {
		// A previous leader may have throttled the task; this one has no throttle for it.
		o.Throttle = append(o.Throttle, &apiv1.ThrottleTask{Task: a, ShareMilli: fullShare})
	}
}

// orderForUnknownAttempt adds the response to a report on an attempt that the state does not assign
// to this worker: a running attempt must stop, an ended one is acknowledged.
func orderForUnknownAttempt(o *apiv1.WorkerOrders, st *apiv1.TaskStatus) {
	if st.Phase == apiv1.TaskPhase_TASK_PHASE_RUNNING {
		o.Stop = append(o.Stop, &apiv1.StopTask{Task: st.Task, Reason: "the attempt is not granted to this worker"})
		return
	}
	o.Acknowledged = append(o.Acknowledged, st.Task)
}

func sortOrders(o *apiv1.WorkerOrders) {
	slices.SortFunc(o.Start, func(a, b *apiv1.StartTask) int { return compareAttempts(a.Task, b.Task) })
	slices.SortFunc(o.Stop, func(a, b *apiv1.StopTask) int { return compareAttempts(a.Task, b.Task) })
	slices.SortFunc(o.Throttle, func(a, b *apiv1.ThrottleTask) int { return compareAttempts(a.Task, b.Task) })
}

func compareAttempts(a, b *apiv1.TaskAttempt) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// notRenewedOrders returns the response to a heartbeat whose leases were not renewed.
func notRenewedOrders(hb *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	return &apiv1.WorkerOrders{Worker: hb.Worker, Sequence: hb.Sequence}
}
