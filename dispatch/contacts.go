package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// contactTracker tells since when whole reports of each worker have come in without a gap: what such
// reports lack isn't on the worker.
type contactTracker struct {
	// maxGap is the longest time between two reports.
	maxGap   time.Duration
	byWorker map[string]contactSpan
}

type contactSpan struct{ since, last time.Time }

func newContactTracker(gap time.Duration) *contactTracker {
	return &contactTracker{maxGap: gap, byWorker: map[string]contactSpan{}}
}

// recordReport takes in a report. One that does not list all that runs ends the contact.
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

// since returns when the contact with a worker began; false if there is none.
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
