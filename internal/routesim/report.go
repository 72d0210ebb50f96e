package routesim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Report holds the results of a run as its callers see them.
type Report struct {
	Run Run
	// Answered counts complete answers, InTime those within the deadline and PastObjective
	// those slower than the objective.
	Answered, InTime, PastObjective int
	Failed, Refused, Unknown        int
	// RefusalMean is the mean time from arrival to refusal, RetryAfterMean the mean Retry-After
	// of the refusals.
	RefusalMean, RetryAfterMean time.Duration
	// Retries and Hedges count attempts beyond the first of a request, SlotsFull attempts that
	// were refused because all slots of the target were in use.
	Retries, Hedges, SlotsFull int
	// RunTwice counts executions beyond the first of requests that are not idempotent.
	RunTwice int
	// Unfinished counts requests without a final outcome at the end of the run.
	Unfinished int
	// FinishedTwice counts final outcomes after the first of a request.
	FinishedTwice int
	// BusiestAnswered and OthersAnswered are the fractions of requests answered within the
	// deadline, of the caller that sends most and of all other callers.
	BusiestAnswered, OthersAnswered float64

	offered, unfinished, executions                            int
	latency                                                    *hdrhistogram.Histogram
	refusalSum, retryAfterSum                                  time.Duration
	busiestOffered, busiestInTime, othersInTime, othersOffered int
}

func newReport(r Run) *Report {
	return &Report{Run: r, latency: hdrhistogram.New(1, 100_000_000, 3)}
}

// Offered returns the number of requests that arrived.
func (r *Report) Offered() int { return r.offered }

// Quantile returns a percentile (0 to 100) of the time from arrival to complete answer.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the number of complete answers within the deadline per second.
func (r *Report) Goodput() float64 {
	return float64(r.InTime) / r.Run.Duration.Seconds()
}

// finish records the final outcome of a call. retryAfter is used for refusals only.
func (sim *simulation) finish(c *call, outcome apiv1.Outcome, retryAfter time.Duration) {
	r := sim.report
	if c.finished {
		r.FinishedTwice++
		return
	}
	c.finished = true
	r.unfinished--
	took := sim.now - c.arrived
	inTime := false
	switch outcome {
	case apiv1.Outcome_OUTCOME_ANSWERED:
		inTime = sim.now <= c.deadline
		r.recordAnswer(took, inTime)
	case apiv1.Outcome_OUTCOME_FAILED:
		r.Failed++
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		r.Refused++
		r.refusalSum += took
		r.retryAfterSum += retryAfter
	default:
		r.Unknown++
	}
	r.recordCaller(c, inTime)
}

func (r *Report) recordAnswer(took time.Duration, inTime bool) {
	r.Answered++
	_ = r.latency.RecordValue(took.Microseconds())
	if inTime {
		r.InTime++
	}
	if took > r.Run.Deployment.Objective {
		r.PastObjective++
	}
}

// recordCaller counts a finished call for the busiest caller or for the others.
func (r *Report) recordCaller(c *call, inTime bool) {
	n := 0
	if inTime {
		n = 1
	}
	if c.request.caller == busiestCaller {
		r.busiestOffered++
		r.busiestInTime += n
		return
	}
	r.othersOffered++
	r.othersInTime += n
}

// finalize computes the results that need the whole run.
func (r *Report) finalize(sim *simulation) {
	r.Unfinished = r.unfinished
	r.Retries, r.Hedges, r.SlotsFull = sim.driver.attemptCounts()
	r.RefusalMean = r.refusalSum / time.Duration(max(1, r.Refused))
	r.RetryAfterMean = r.retryAfterSum / time.Duration(max(1, r.Refused))
	r.BusiestAnswered = float64(r.busiestInTime) / float64(max(1, r.busiestOffered))
	r.OthersAnswered = float64(r.othersInTime) / float64(max(1, r.othersOffered))
}
