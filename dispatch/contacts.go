package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// contacts tells since when whole reports of each worker have come in without a gap: what such
// reports lack isn't on the worker.
type contacts struct {
	// gap is the longest time between two reports.
	gap      time.Duration
	byWorker map[string]contact
}

type contact struct{ since, last time.Time }

func newContacts(gap time.Duration) *contacts {
	return &contacts{gap: gap, byWorker: map[string]contact{}}
}

// note takes in a report. One that does not list all that runs ends the contact.
func (c *contacts) note(r *apiv1.JobsReportRequest, now time.Time) {
	worker := r.Worker.GetId()
	if r.Partial || r.Lapsed || r.Departed {
		delete(c.byWorker, worker)
		return
	}
	known, found := c.byWorker[worker]
	if !found || now.Sub(known.last) >= c.gap {
		known.since = now
	}
	known.last = now
	c.byWorker[worker] = known
}

// since returns when the contact with a worker began; false if there is none.
func (c *contacts) since(worker string, now time.Time) (time.Time, bool) {
	known, found := c.byWorker[worker]
	return known.since, found && now.Sub(known.last) < c.gap
}

func (c *contacts) forget(m *jobqueue.Machine) {
	for worker := range c.byWorker {
		if m.Worker(worker) == nil {
			delete(c.byWorker, worker)
		}
	}
}
