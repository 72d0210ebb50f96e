package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// contactTracker records since when complete reports of each worker have arrived without a gap. A
// run that is missing from such reports is not on the worker.
type contactTracker struct {
	// maxGap is the time between two reports from which on they no longer belong to one span.
	maxGap   time.Duration
	byWorker map[string]contactSpan
}

type contactSpan struct{ since, last time.Time }

func newContactTracker(gap time.Duration) *contactTracker {
	return &contactTracker{maxGap: gap, byWorker: map[string]contactSpan{}}
}

// recordReport records a report. A report that does not list all running runs ends the span.
func (c *contactTracker) recordReport(r *apiv1.JobsReportRequest, now time.Time) {
	worker := r.Worker.GetId()
	if r.Partial || r.Lapsed || r.Departed {
		delete(c.byWorker, worker)
		return
	}
	known, found := c.byWorker[worker]
	if !found || now.Sub(known.last) >= c.maxGap {
		known.since = now
	}
	known.last = now
	c.byWorker[worker] = known
}

// since returns the start of the current span of a worker's reports, false if there is none.
func (c *contactTracker) since(worker string, now time.Time) (time.Time, bool) {
	known, found := c.byWorker[worker]
	return known.since, found && now.Sub(known.last) < c.maxGap
}

func (c *contactTracker) prune(m *jobqueue.Machine) {
	for worker := range c.byWorker {
		if m.Worker(worker) == nil {
			delete(c.byWorker, worker)
		}
	}
}
