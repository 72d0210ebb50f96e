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
// the run that shows it. The log tells the next leader, which does not know what a worker runs until it
// reports. A worker that stalls or is cut off may not report for as long as its lease lasts.
type begins map[string]beginning

type beginning struct {
	run jobqueue.RunID
	at  time.Time
}

// record records the runs that a worker lists.
func (b begins) record(m *jobqueue.Machine, running []*apiv1.RunObservation, now time.Time) {
	for _, o := range running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		if _, known := b[id.Task.Job]; known {
			continue
		}
		if run := m.Run(id); run != nil && !run.Job().Started {
			b[id.Task.Job] = beginning{id, now}
		}
	}
}

// unsaved returns what the log lacks, as checkpoints without content, and whether that has to be committed
// although the plan may have nothing else. What the log has is dropped.
func (b begins) unsaved(m *jobqueue.Machine, now time.Time) (list []*apiv1.RunCheckpoint, due bool) {
	for _, id := range slices.Sorted(maps.Keys(b)) {
		begun := b[id]
		// A run that is not the task's last one any more tells nothing to the log.
		j, t := m.Job(id), m.Task(begun.run.Task)
		if j == nil || j.Started || !j.Open() || t == nil || t.LastRun != begun.run.Number {
			delete(b, id)
			continue
		}
		list = append(list, &apiv1.RunCheckpoint{Task: begun.run.Task.Ref(), Run: begun.run.Number})
		due = due || now.Sub(begun.at) >= maxUnsavedBegin
	}
	return list, due
}
