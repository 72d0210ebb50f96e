package cordon

import (
	"context"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// QueueOrder is an operator's order to hold or release a queue.
type QueueOrder struct {
	Queue string
	Held  bool
	// Operator is the sender as far as it is known.
	Operator string
}

// OrderQueue has an order about a queue committed. ctx must end when the sender of the order closes its
// connection. The outcome is OK, NO_QUEUE, INVALID, FULL or SUPERSEDED; errors are those of
// Log.SetQueueHold.
func (r *Receiver) OrderQueue(ctx context.Context, o QueueOrder) (apiv1.JobOutcome, error) {
	outcome, err := r.orderQueue(ctx, o)
	if err != nil || outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		r.holdsRejected.Inc(1)
		event.HoldRefused.Write(r.logger, event.Queue(o.Queue), event.Held(o.Held), event.OrderedBy(o.Operator),
			event.OrderOutcome(outcome), event.Err(err))
		return outcome, err
	}
	r.holdsAccepted.Inc(1)
	event.HoldAccepted.Write(r.logger, event.Queue(o.Queue), event.Held(o.Held), event.OrderedBy(o.Operator))
	return outcome, nil
}

func (r *Receiver) orderQueue(ctx context.Context, o QueueOrder) (apiv1.JobOutcome, error) {
	received := r.opts.Now()
	resp, err := r.read(ctx, apiv1.JobsReadKind_JOBS_READ_KIND_QUEUES)
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, unavailable(err.Error())
	}
	hold := findHold(resp.Queues, o.Queue)
	if hold == nil {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, nil
	}
	if why := r.outdated(ctx, received); why != "" {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, unavailable(why)
	}
	return r.opts.Log.SetQueueHold(ctx, &apiv1.SetQueueHold{
		Queue: o.Queue, Held: o.Held, Revision: hold.Revision, Operator: o.Operator,
	})
}

func findHold(list []*apiv1.QueueHold, queue string) *apiv1.QueueHold {
	for _, h := range list {
		if h.Queue == queue {
			return h
		}
	}
	return nil
}

// PrioritizeJob has an order committed that puts a job before the others of its priority. A repeated or
// delayed copy of it changes nothing. The outcome is OK or NO_JOB; errors are those of Log.Prioritize.
func (r *Receiver) PrioritizeJob(ctx context.Context, id, operator string) (apiv1.JobOutcome, error) {
	outcome, err := r.opts.Log.Prioritize(ctx, id, operator)
	event.JobPrioritized.Write(r.logger, event.Job(id), event.OrderedBy(operator), event.OrderOutcome(outcome), event.Err(err))
	return outcome, err
}
