package dispatch

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/state"
)

// refuser makes sure that a refused job is not in the log.
type refuser struct {
	replica Replica
	barrier *sharedBarrier
}

func newRefuser(r Replica) *refuser {
	return &refuser{r, newSharedBarrier(func(ctx context.Context) error { return r.Barrier(ctx) })}
}

// confirm returns the refusal of a job, decided on in a term, once a majority has confirmed that this replica
// leads in it. Another replica may have become the leader and hold the job.
func (r *refuser) confirm(ctx context.Context, spec *apiv1.JobSpec, term uint64, refusal *apiv1.Result) (*apiv1.Result, error) {
	if err := r.confirmLeadership(ctx, term); err != nil {
		return nil, err
	}
	if holds(r.replica, spec) {
		return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_ACCEPTED, Job: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
	}
	return refusal, nil
}

// confirmLeadership returns once a majority has confirmed that this replica leads in a term, and everything that
// was committed before is applied here. Errors: *control.NotLeaderError.
func (r *refuser) confirmLeadership(ctx context.Context, term uint64) error {
	before, ok := r.replica.Leading()
	err := r.barrier.wait(ctx)
	after, still := r.replica.Leading()
	if err != nil || !ok || !still || before != term || after != term {
		return &control.NotLeaderError{LeaderAddress: r.replica.LeaderAddress()}
	}
	return nil
}

// holds reports whether the log holds the job.
func holds(r Replica, spec *apiv1.JobSpec) (held bool) {
	r.ReadState(func(m *state.Machine) {
		held = m.CallerJobs().JobAt(spec.Host, spec.Path, spec.Id) != nil
	})
	return held
}

func refusalResult(reason string, retryAfter time.Duration, full bool) *apiv1.Result {
	if full {
		reason = control.FullMessage + reason
	}
	return &apiv1.Result{
		Verdict: apiv1.Verdict_VERDICT_REFUSED, Job: apiv1.JobOutcome_JOB_OUTCOME_REFUSED, Message: reason,
		RetryAfterMs: max(1, retryAfter.Milliseconds()),
	}
}

// sharedBarrier confirms the leadership for many callers at a time: each waits for a confirmation
// that began after its call, and at most one is in progress.
type sharedBarrier struct {
	confirm func(context.Context) error
	running chan struct{}

	mu   sync.Mutex
	next *barrierCall
}

type barrierCall struct {
	done chan struct{}
	err  error
}

func newSharedBarrier(confirm func(context.Context) error) *sharedBarrier {
	return &sharedBarrier{confirm: confirm, running: make(chan struct{}, 1)}
}

func (b *sharedBarrier) wait(ctx context.Context) error {
	b.mu.Lock()
	call := b.next
	first := call == nil
	if first {
		call = &barrierCall{done: make(chan struct{})}
		b.next = call
	}
	b.mu.Unlock()
	if first {
		b.run(ctx, call)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.done:
		return call.err
	}
}

// run waits for the confirmation in progress and then makes the one of a call.
func (b *sharedBarrier) run(ctx context.Context, call *barrierCall) {
	b.running <- struct{}{}
	b.mu.Lock()
	b.next = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	call.err = b.confirm(ctx)
	<-b.running
	close(call.done)
}
