// Package worker is the interface to the platform's worker on each host: it
// runs tasks under leases, reports usage with a lag, and can checkpoint, throttle
// or stop a task.
package worker

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Worker is what an agent asks of the worker on its host. Deadlines are
// readings of the host's boot clock (see Now), which every process of the host
// shares and no operator can set: an agent that freezes or dies prolongs nothing.
type Worker interface {
	// Info returns what the worker has and where it stands.
	Info(ctx context.Context) (*apiv1.WorkerInfo, error)
	// Tasks returns every attempt the worker runs, and each ended one that was
	// not forgotten yet.
	Tasks(ctx context.Context) ([]*apiv1.TaskStatus, error)
	// Start runs an attempt until its deadline. Starting the same attempt again
	// changes nothing; an attempt at or below the task's newest is refused.
	Start(ctx context.Context, t *apiv1.StartTask, deadline time.Duration) error
	// Renew moves the deadline of the named attempts forward, never back.
	Renew(ctx context.Context, tasks []*apiv1.TaskAttempt, deadline time.Duration) error
	// Throttle holds a task's processors down to a share of its grant.
	Throttle(ctx context.Context, t *apiv1.ThrottleTask) error
	// Checkpoint asks for a durable checkpoint and returns its name.
	Checkpoint(ctx context.Context, t *apiv1.TaskAttempt) (string, error)
	// Stop ends an attempt; it has ended when Stop returns nil.
	Stop(ctx context.Context, t *apiv1.TaskAttempt) error
	// Forget drops ended attempts whose end is recorded.
	Forget(ctx context.Context, tasks []*apiv1.TaskAttempt) error
	// Usage returns the newest reports, each with its age.
	Usage(ctx context.Context) ([]*apiv1.UsageReport, error)
}
