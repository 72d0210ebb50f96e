package control

import (
	"cmp"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// fullShare is a throttle's share that ends it.
const fullShare = 1000

// orders composes the answer to a renewed heartbeat from the applied state.
// Orders are repeated in each answer until the worker's report shows that they
// were carried out, so a lost answer costs an interval and nothing else.
func (c *coordinator) orders(hb *apiv1.WorkerHeartbeat, m *state.Machine) *apiv1.WorkerOrders {
	o := &apiv1.WorkerOrders{
		Worker:   hb.Worker,
		Sequence: hb.Sequence,
		Renewed:  true,
		LeaseMs:  c.leases.duration.Milliseconds(),
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

// orderForLiveTask orders what an attempt that the state counts on this worker needs.
func (c *coordinator) orderForLiveTask(o *apiv1.WorkerOrders, r *workerReport, t *state.Task) {
	attempt := &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt}
	st := r.taskStatus(t.ID)
	reported := st != nil && st.Task.Attempt == t.Attempt
	switch {
	case reported && st.Phase != apiv1.TaskPhase_TASK_PHASE_RUNNING:
		// It ended; the end is about to be recorded.
	case t.State == apiv1.TaskState_TASK_STATE_STOPPING:
		// Also for one that was never reported: its start may be on its way, and
		// only the worker's own report that it stopped proves that it won't run.
		o.Stop = append(o.Stop, &apiv1.StopTask{Task: attempt, Checkpoint: !t.Canceled, Reason: t.Reason})
	case reported:
		c.orderThrottle(o, r, attempt)
	case st != nil && st.Phase == apiv1.TaskPhase_TASK_PHASE_RUNNING:
		// Another attempt of the task still runs here; it is told to stop first.
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
		// An earlier leader may have throttled it; this one has no reason to.
		o.Throttle = append(o.Throttle, &apiv1.ThrottleTask{Task: a, ShareMilli: fullShare})
	}
}

// orderForUnknownAttempt answers a report on an attempt that the state counts no longer, or
// never counted here.
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

// notRenewedOrders answers a heartbeat that renews nothing.
func notRenewedOrders(hb *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	return &apiv1.WorkerOrders{Worker: hb.Worker, Sequence: hb.Sequence}
}
