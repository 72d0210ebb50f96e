// Package admission decides whether a submitted job is accepted, and when the caller of a refused
// one should return. It does no I/O, and callers pass in the time.
package admission

import "time"

// Work is an amount of work.
type Work struct {
	// CoreMs is processor time in core-milliseconds of tasks that reserve processors.
	CoreMs int64
	// Slots are the processors, in thousandths, that the tasks of CoreMs would reserve if all ran at once.
	Slots int64
	// BackfillMs is processor time in core-milliseconds of backfilling tasks, which run beside
	// serving tasks.
	BackfillMs int64
}

// Request describes a submitted job.
type Request struct {
	Job      string
	Account  string
	Queue    string
	Priority uint32
	// Work is the job's own work, and Chain the duration of its longest chain of steps on an empty
	// fleet.
	Work  Work
	Chain time.Duration
	// Width are the processors, in thousandths, that the tasks of its widest step reserve.
	Width int64
	// Allowed is the time from now in which the job's queue lets it end: a multiple of its chain and an
	// allowance. A long-running job has none.
	Allowed time.Duration
	// LongRunning is set for a job with a long-running step, and Scheduled for one with a start time.
	// Neither is refused by an estimate of its end.
	LongRunning, Scheduled bool
}

// Backlog is what the leader knows of waiting work when a job is submitted.
type Backlog struct {
	// Ahead is the work that goes before the job: of higher priorities, and of its own; see
	// Waiting.Ahead.
	Ahead Work
	// Drain is the work that the fleet finished per second in the last seconds; 0 while unknown.
	Drain Work
	// FreeMilli are the processors, in thousandths, that no task reserves now, and Releases are those of the
	// running tasks by the time in which they are expected to end, soonest first. Both are empty if this is
	// not known.
	FreeMilli int64
	Releases  []Release
	// Delay is the time that the oldest startable step of the job's account and priority has waited.
	Delay time.Duration
	// Trusted is set once the leader has observed the fleet for long enough to estimate from it.
	Trusted bool
}

// Reason is why a job was refused.
type Reason int

// The reasons.
const (
	// Accepted is not a refusal.
	Accepted Reason = iota
	// TooLate: by the estimate the job would end after the time that its queue allows.
	TooLate
	// Delayed: after the current queueing delay the job would end after that time.
	Delayed
	// EarlyReturn: the caller returned before the time that it was told, while callers that were told
	// earlier times have not returned yet.
	EarlyReturn
	reasonCount
)

var reasonNames = [reasonCount]string{"accepted", "too late", "queueing delay", "early return"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons for refusals.
func Reasons() []Reason { return []Reason{TooLate, Delayed, EarlyReturn} }

// Decision is the outcome for one submission.
type Decision struct {
	Reason Reason
	// RetryAfter is when the caller should return; 0 if the job is accepted.
	RetryAfter time.Duration
	// Estimate is the expected time until the job ends, and Error the factor by which recent estimates
	// were exceeded; both are 0 if there is no estimate.
	Estimate time.Duration
	Error    float64
	// Full is set if a job with the same steps would also be refused in the next half second, whoever of
	// the account submits it.
	Full bool
}

// Policy decides on submissions. It is not safe for concurrent use.
type Policy interface {
	// Decide decides on a submission.
	Decide(r Request, b Backlog, now time.Time) Decision
	// RecordEnd records that an accepted job has ended, so that the policy learns the error of its
	// estimates.
	RecordEnd(job string, now time.Time)
}
