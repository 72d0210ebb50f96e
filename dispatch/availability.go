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
func (l *leaderState) availability(m *jobqueue.Machine, w *jobqueue.Worker, now time.Time) jobqueue.Availability {
	a := jobqueue.Availability{
		Capacity: w.Capacity(), CapacityAge: now.Sub(l.leases.get(w.Spec.Id).capacityAnnouncedAt), MaxCapacityAge: l.maxCapacityAge,
		Reserved: w.Used,
	}
	for _, id := range l.unlogged[w.Spec.Id] {
		if step := m.StepSpec(id.Task); step != nil {
			a.Reserved = a.Reserved.Add(jobqueue.Reserved(step))
		} else {
			a.UnknownRuns++
		}
	}
	return a
}

// reservations returns the reservations of the runs that the log contains on a worker, of those that the
// worker listed and the log does not contain, and of those that were lost and may still begin.
func (l *leaderState) reservations(m *jobqueue.Machine, worker string) []*apiv1.RunReservation {
	var list []*apiv1.RunReservation
	if w := m.Worker(worker); w != nil {
		for _, id := range w.SortedRunIDs() {
			list = append(list, runReservation(id, w.Runs[id].Step))
		}
	}
	for _, id := range l.unlogged[worker] {
		list = append(list, runReservation(id, m.StepSpec(id.Task)))
	}
	return append(list, l.lostRuns(m, worker)...)
}

// runReservation returns what a run reserves. Its step is nil if the log does not contain its job.
func runReservation(id jobqueue.RunID, step *apiv1.JobStep) *apiv1.RunReservation {
	r := &apiv1.RunReservation{Task: id.Task.Ref(), Run: id.Number}
	if step != nil {
		r.Reserved = jobqueue.Reserved(step).Message()
	}
	return r
}
