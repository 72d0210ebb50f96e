package routesim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Report is what the callers of a run got.
type Report struct {
	Run Run
	// Answered counts whole answers, InTime those within the deadline and
	// PastObjective those beyond the objective.
	Answered, InTime, PastObjective int
	Failed, Refused, Unknown        int
	// RefusalMean is the mean time from arrival to refusal, and RetryAfterMean
	// the mean Retry-After that was given.
	RefusalMean, RetryAfterMean time.Duration
	// Retries, Hedges and SlotsFull are attempts beyond the first of a request
	// and attempts that found no slot.
	Retries, Hedges, SlotsFull int
	// RunTwice counts requests that are not idempotent and began twice.
	RunTwice int
	// Unfinished counts callers left without a final answer.
	Unfinished int
	// FinishedTwice counts final answers after the first.
	FinishedTwice int
	// BusiestAnswered and OthersAnswered are the shares of requests answered in time for
	// the caller that sends most and for all others.
	BusiestAnswered, OthersAnswered float64

	offered, unfinished, executions                            int
	latency                                                    *hdrhistogram.Histogram
	refusalSum, retryAfterSum                                  time.Duration
	busiestOffered, busiestInTime, othersInTime, othersOffered int
}

func newReport(r Run) *Report {
	return &Report{Run: r, latency: hdrhistogram.New(1, 100_000_000, 3)}
}

// Offered is the number of requests that arrived.
func (r *Report) Offered() int { return r.offered }

// Quantile is a quantile, in percent, of the time from arrival to whole answer.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput is the rate of whole answers within the deadline, a second.
func (r *Report) Goodput() float64 {
	return float64(r.InTime) / r.Run.Duration.Seconds()
}

// finish gives a call its final outcome.
func (w *simulation) finish(c *call, outcome apiv1.Outcome, after time.Duration) {
	r := w.report
	if c.finished {
		r.FinishedTwice++
		return
	}
	c.finished = true
	r.unfinished--
	took := w.now - c.arrived
	inTime := false
	switch outcome {
	case apiv1.Outcome_OUTCOME_ANSWERED:
		inTime = w.now <= c.deadline
		r.recordAnswer(took, inTime)
	case apiv1.Outcome_OUTCOME_FAILED:
		r.Failed++
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		r.Refused++
		r.refusalSum += took
		r.retryAfterSum += after
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

func (r *Report) finalize(w *simulation) {
	r.Unfinished = r.unfinished
	r.Retries, r.Hedges, r.SlotsFull = w.driver.attemptCounts()
	r.RefusalMean = r.refusalSum / time.Duration(max(1, r.Refused))
	r.RetryAfterMean = r.retryAfterSum / time.Duration(max(1, r.Refused))
	r.BusiestAnswered = float64(r.busiestInTime) / float64(max(1, r.busiestOffered))
	r.OthersAnswered = float64(r.othersInTime) / float64(max(1, r.othersOffered))
}
