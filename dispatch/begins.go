package dispatch

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// maxUnsavedBegin is how long the log may lack that a job has begun. With the time until the first report it
// stays below the two seconds that the number of pending jobs may be old.
const maxUnsavedBegin = 500 * time.Millisecond

// begins are the jobs that have begun according to their workers and not yet according to the log, each with
// the task that shows it. The log tells the next leader, which does not know what a worker runs until it
// reports. A worker that stalls or is cut off may not report for as long as its lease lasts.
type begins map[string]beginning

type beginning struct {
	task jobqueue.TaskID
	at   time.Time
}

// record records the runs that a worker lists.
func (b begins) record(m *jobqueue.Machine, running []*apiv1.RunObservation, now time.Time) {
	for _, o := range running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		if run := m.Run(id); run != nil {
			b.add(run.Job(), id.Task, now)
		}
	}
}

// recordEnds records the runs that a report shows to have begun before their worker, or its lease, ended: that
// of the worker's agent, or the first one of a later incarnation, which carries those of earlier ones.
func (b begins) recordEnds(m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	for _, end := range slices.Concat(r.PreviousEnds, []*apiv1.JobsReportRequest{r}) {
		w := m.Worker(end.Worker.GetId())
		if w == nil {
			continue
		}
		for _, work := range end.Worked {
			id := jobqueue.RunID{Task: jobqueue.TaskIDOf(work.Task), Number: work.Run}
			if work.Began && w.HasOrLost(id) {
				b.add(m.Job(id.Task.Job), id.Task, now)
			}
		}
	}
}

// add adds a job, which may be nil, by a task of which a run has begun.
func (b begins) add(j *jobqueue.Job, task jobqueue.TaskID, now time.Time) {
	if _, known := b[task.Job]; !known && j != nil && !j.Started {
		b[task.Job] = beginning{task, now}
	}
}

// unsaved returns what the log lacks, as checkpoints without content, and whether that has to be committed
// although the plan may have nothing else. What the log has is dropped.
func (b begins) unsaved(m *jobqueue.Machine, now time.Time) (list []*apiv1.RunCheckpoint, due bool) {
	for _, id := range slices.Sorted(maps.Keys(b)) {
		begun := b[id]
		j, t := m.Job(id), m.Task(begun.task)
		if j == nil || j.Started || !j.Open() || t == nil {
			delete(b, id)
			continue
		}
		// The log takes checkpoints of a task's last run only, which may follow the one that has begun.
		list = append(list, &apiv1.RunCheckpoint{Task: begun.task.Ref(), Run: t.LastRun})
		due = due || now.Sub(begun.at) >= maxUnsavedBegin
	}
	return list, due
}
