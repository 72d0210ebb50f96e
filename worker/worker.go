// Package worker defines the interface to the platform's worker on each host, which runs tasks
// under leases, reports usage with a lag, and can checkpoint, throttle or stop a task.
package worker

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Worker is the interface of an agent to the worker on its host. Deadlines are readings of the
// host's boot clock (see Now), which every process of the host shares and no operator can set, so
// that an agent that is suspended or fails extends no deadline.
type Worker interface {
	// Info returns the worker's capacity and location.
	Info(ctx context.Context) (*apiv1.WorkerInfo, error)
	// Tasks returns every attempt that the worker runs, and each ended attempt that was not
	// forgotten yet.
	Tasks(ctx context.Context) ([]*apiv1.TaskStatus, error)
	// Start runs an attempt until its deadline. Starting the same attempt again changes nothing;
	// any other attempt that is not above the task's newest is refused.
	Start(ctx context.Context, t *apiv1.StartTask, deadline time.Duration) error
	// Renew moves the deadlines of the given attempts forward, never back.
	Renew(ctx context.Context, tasks []*apiv1.TaskAttempt, deadline time.Duration) error
	// Throttle limits a task's processors to a share of its grant.
	Throttle(ctx context.Context, t *apiv1.ThrottleTask) error
	// Checkpoint takes a durable checkpoint and returns its name.
	Checkpoint(ctx context.Context, t *apiv1.TaskAttempt) (string, error)
	// Stop ends an attempt, which has ended when Stop returns nil.
	Stop(ctx context.Context, t *apiv1.TaskAttempt) error
	// Forget drops ended attempts whose end is recorded.
	Forget(ctx context.Context, tasks []*apiv1.TaskAttempt) error
	// Usage returns the newest usage reports, each with its age.
	Usage(ctx context.Context) ([]*apiv1.UsageReport, error)
}
