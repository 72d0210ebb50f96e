// Package runs implements the agent's part in submitted jobs: it renews its worker's lease,
// carries out the leader's orders at the worker, and reports which runs are running and which
// have ended.
package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Worker is the agent's interface to its worker. Every call names the incarnation that it is for
// and the leader's term as a fencing token: a worker carries out nothing under a term lower than
// the highest it has seen. An error means that no answer arrived: the worker may have carried out
// the call, or may do so seconds later, unless the error is marked ErrNotSent.
type Worker interface {
	Start(ctx context.Context, o Order, s Start) (Answer, error)
	Stop(ctx context.Context, o Order, run jobqueue.RunID) (Answer, error)
	Pace(ctx context.Context, o Order, run jobqueue.RunID, percent uint32) (Answer, error)
	// Renew renews the worker's lease and returns the runs that are running and those that have
	// ended. It waits up to r.Wait for a run to end.
	Renew(ctx context.Context, o Order, r Renewal) (Status, Answer, error)
}

// ErrNotSent marks the error of a call that has not reached the worker and cannot reach it later.
var ErrNotSent = errors.New("call was not sent")

// ErrNotListening marks the error of a call that was not sent because no process listens at the
// worker's address.
var ErrNotListening = errors.New("no process listens at the worker's address")

// Order contains what every call of the worker carries.
type Order struct {
	Incarnation string
	Term        uint64
}

// Start orders the start of a run. The worker may run it until the deadline, a reading of its own
// clock in milliseconds.
type Start struct {
	Run        jobqueue.RunID
	Payload    string
	Checkpoint string
	// Ticket was issued by the placement advisor, if the queue requires one.
	Ticket     string
	DeadlineMs int64
}

// Renewal renews the lease of all runs on the worker until the deadline, a reading of the
// worker's clock in milliseconds; 0 renews nothing. The worker may forget ends up to
// Acknowledged.
type Renewal struct {
	DeadlineMs   int64
	Acknowledged uint64
	Wait         time.Duration
}

// Status is what a worker reports about itself.
type Status struct {
	// ClockMs is the reading of the worker's clock at the time of its answer.
	ClockMs int64
	Running []*apiv1.RunObservation
	Ended   []*apiv1.RunEnd
	// Partial: a part of what the worker listed could not be read, so runs that are missing here
	// may be running or have ended.
	Partial bool
	// EndsAfterUnreadable is how many of the ends, the last ones, were listed after one that could
	// not be read.
	EndsAfterUnreadable int
}

// Answer is the worker's answer to a call.
type Answer int

// Answers of a worker.
const (
	// AnswerDone: the worker has carried out the order, now or before.
	AnswerDone Answer = iota + 1
	// AnswerFenced: the worker has seen a higher term.
	AnswerFenced
	// AnswerEnded: that run, or a later one of its task, was stopped or has ended on this worker.
	AnswerEnded
	// AnswerDeadlinePassed: the deadline has passed on the worker's clock.
	AnswerDeadlinePassed
	// AnswerNoCapacity: the worker checks its capacity and has too little left.
	AnswerNoCapacity
	// AnswerUnhealthy: the worker is unhealthy and did nothing.
	AnswerUnhealthy
	// AnswerInvalid: the worker cannot parse the order.
	AnswerInvalid
	// AnswerNoTicket: the start requires a valid ticket of the placement advisor.
	AnswerNoTicket
	// AnswerOtherIncarnation: another incarnation of the worker received the call.
	AnswerOtherIncarnation
)

// String returns the answer's name in logs, in metric names and in the reasons of refused runs.
func (a Answer) String() string {
	names := [...]string{
		"none", "done", "fenced", "over", "late", jobqueue.RefusedNoCapacity, jobqueue.RefusedUnwilling, "invalid", "no ticket",
		"other incarnation",
	}
	if a < 0 || int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

// Leader receives reports and returns orders; *jobclient.Client implements it.
type Leader interface {
	Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error)
	// Orders waits for orders at the leader that the last report or CurrentOrders call found.
	Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error)
	// CurrentOrders looks for the leader and returns its current orders for a worker: the
	// leader's term, and an epoch if it knows the worker.
	CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error)
	// HostLease looks for the leader and returns which worker has a lease on a host, and the
	// number of that lease.
	HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error)
}

// Announcement is what a worker reports unprompted.
type Announcement struct {
	Worker *apiv1.JobWorker
	// Remaining is the time until a draining worker ends.
	Remaining time.Duration
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// ClockMs is the reading of the worker's clock when it sent the announcement; 0 if it is unknown.
	ClockMs int64
	// Departed: the worker reports that it is ending.
	Departed bool
}
