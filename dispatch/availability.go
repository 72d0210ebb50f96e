package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// recordCapacityAge records when the worker of a report announced its capacity. Agents of an earlier
// release do not tell, so the report counts as the announcement.
func (l *leaderState) recordCapacityAge(r *apiv1.JobsReportRequest, now time.Time) {
	l.leases.get(r.Worker.GetId()).capacityAnnouncedAt = now.Add(-reportedCapacityAge(r))
}

// reportedCapacityAge returns the age of the capacity in a report; 0 if the report does not tell it.
func reportedCapacityAge(r *apiv1.JobsReportRequest) time.Duration {
	return time.Duration(r.GetCapacityAgeMs()) * time.Millisecond
}

// availability returns what may start on a worker now. The capacity of a worker that has not reported to
// this leader counts as outdated.
func (l *leaderState) availability(w *jobqueue.Worker, now time.Time) jobqueue.Availability {
	return jobqueue.Availability{
		Capacity: w.Capacity(), CapacityAge: now.Sub(l.leases.get(w.Spec.Id).capacityAnnouncedAt), MaxCapacityAge: l.maxCapacityAge,
		Reserved: w.Used,
	}
}
