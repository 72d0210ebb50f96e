package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// waitLogInterval is the time between two notes on one step that waits.
const waitLogInterval = 2 * time.Second

// loggedWait is since when a step has waited in every round, and when the last line
// said so.
type loggedWait struct{ since, loggedAt time.Time }

// recordWaits counts and notes for the log the steps whose tasks found no worker; each step at
// most once in an interval, since rounds come many times a second.
func (d *Dispatcher) recordWaits(l *leaderState, waits []schedule.UnplacedStep, now time.Time) {
	l.waits = waits
	tasks := 0
	logged := map[jobqueue.StepID]loggedWait{}
	for _, w := range waits {
		tasks += w.Tasks
		wait, known := l.loggedWaits[w.Step]
		if !known {
			wait.since = now
		}
		if !known || now.Sub(wait.loggedAt) >= waitLogInterval {
			wait.loggedAt = now
			l.batchedLog.addWait(l.term, w, now.Sub(wait.since), now)
		}
		logged[w.Step] = wait
	}
	l.loggedWaits = logged
	d.metrics.tasksWaiting.Update(int64(tasks))
}
