// Package runs is the agent's part in submitted jobs: it keeps its worker's lease,
// carries the leader's orders to the worker, and reports what runs and what ended.
package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Worker is what the agent asks of its worker. Every call names the incarnation it
// is for and the leader's term as a fencing token: a worker does nothing for a
// term below the highest it has seen. An error means that no answer came: the
// call may have been carried out, or may be seconds later, unless it is marked ErrNotSent.
type Worker interface {
	Start(ctx context.Context, o Order, s Start) (Answer, error)
	Stop(ctx context.Context, o Order, run jobqueue.RunID) (Answer, error)
	Pace(ctx context.Context, o Order, run jobqueue.RunID, percent uint32) (Answer, error)
	// Renew renews the worker's lease and returns what runs and what ended. It waits
	// up to wait for an end.
	Renew(ctx context.Context, o Order, r Renewal) (Status, Answer, error)
}

// ErrNotSent marks the error of a call that never reached the worker, and never will.
var ErrNotSent = errors.New("call was not sent")

// Order is what every call carries.
type Order struct {
	Incarnation string
	Term        uint64
}

// Start starts a run, which the worker may hold until the deadline, a reading of
// its own clock in milliseconds.
type Start struct {
	Run        jobqueue.RunID
	Payload    string
	Checkpoint string
	// Ticket is the placement advisor's, where the queue asks for one.
	Ticket     string
	DeadlineMs int64
}

// Renewal renews the lease of everything that runs until the deadline, a reading of
// the worker's clock in milliseconds; 0 renews nothing. Ends up to Acknowledged
// are forgotten.
type Renewal struct {
	DeadlineMs   int64
	Acknowledged uint64
	Wait         time.Duration
}

// Status is what a worker said of itself.
type Status struct {
	// ClockMs is the worker's clock when it answered.
	ClockMs int64
	Running []*apiv1.RunObservation
	Ended   []*apiv1.RunEnd
	// Partial: some of what the worker listed could not be read, so what is not here
	// may run or have ended all the same.
	Partial bool
}

// Answer is a worker's answer.
type Answer int

// The answers of a worker.
const (
	// AnswerDone: the order is carried out, or was before.
	AnswerDone Answer = iota + 1
	// AnswerFenced: the worker has seen a higher term.
	AnswerFenced
	// AnswerEnded: that run, or a later one, was stopped or ended there.
	AnswerEnded
	// AnswerDeadlinePassed: the deadline has passed on the worker's clock.
	AnswerDeadlinePassed
	// AnswerNoCapacity: the worker guards its capacity and has too little left.
	AnswerNoCapacity
	// AnswerUnhealthy: the worker is unhealthy and did nothing.
	AnswerUnhealthy
	// AnswerInvalid: the worker can't read the order.
	AnswerInvalid
	// AnswerNoTicket: the start needs a ticket of the placement advisor that is valid.
	AnswerNoTicket
	// AnswerOtherIncarnation: another incarnation is there now.
	AnswerOtherIncarnation
)

// String returns the answer's name in logs.
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

// Leader is where reports go and orders come from; *jobclient.Client implements it.
type Leader interface {
	Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error)
	// Orders waits for orders, at the leader that the last report or question found.
	Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error)
	// CurrentOrders looks for the leader and returns what it has for a worker now: its
	// term, and an epoch if it knows the worker.
	CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error)
	// HostLease looks for the leader and returns which worker it holds on a host, and the
	// number of that worker's lease.
	HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error)
}

// Announcement is what a worker says of itself of its own accord.
type Announcement struct {
	Worker *apiv1.JobWorker
	// Remaining is the time that a draining worker still has.
	Remaining time.Duration
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// Departed: the worker says that it ends now.
	Departed bool
}
