// Package control implements an entry host's part of the control group: it applies the replicated
// log to the state machine, maintains the lease table and, on the leader, places tasks and answers
// worker heartbeats.
package control

import (
	"context"
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Service is the interface of an entry to the control group, whichever host leads it.
type Service interface {
	// Propose commits a command and returns its result once it is applied. The leader sets the
	// command's time; only the body of cmd is used. Errors: *UnavailableError (not proposed),
	// *UnknownError (may be committed).
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Renew forwards worker heartbeats to the leader and returns the leader's orders.
	Renew(ctx context.Context, heartbeats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error)
	// Configuration returns the newest configuration known on this host; its version is 0 when
	// there is none.
	Configuration() *apiv1.Configuration
	// ConfirmedAt returns the latest time at which Configuration was confirmed to be the newest in
	// the whole group. The zero time means that it was never confirmed.
	ConfirmedAt() time.Time
	// Changed returns a channel that is closed at the next configuration change.
	Changed() <-chan struct{}
}

// UnavailableError reports that nothing was proposed, because no leader with a quorum is reachable.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no quorum: %s; come back in %v", e.Cause, e.RetryAfter)
}

// RefusedError reports that the leader did not accept a job. Nothing was proposed, and no earlier
// attempt that the leader or this process knows of may be committed.
type RefusedError struct {
	RetryAfter time.Duration
	Cause      string
	// Full is set if the leader would also refuse other jobs like this one of the same account now.
	Full bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the job is refused and was not run: %s; come back in %v", e.Cause, e.RetryAfter)
}

// FullMessage begins the message of a result that refuses a job because the queue is full for all jobs
// like it.
const FullMessage = "full: "

// UnknownError reports that a command may or may not be committed.
type UnknownError struct{ Cause string }

// Error implements error.
func (e *UnknownError) Error() string { return "command may or may not be committed: " + e.Cause }

// NotLeaderError reports that this replica is not the leader; nothing was proposed.
type NotLeaderError struct {
	// LeaderAddress is the leader's internal address, empty when it is unknown.
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.LeaderAddress == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader; the leader is at " + e.LeaderAddress
}
