package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// waitLogInterval is the time between two notes on one step that waits.
const waitLogInterval = 2 * time.Second

// waitLogged is since when a step has waited in every round, and when the last line
// said so.
type waitLogged struct{ since, at time.Time }

// noteWaits counts and notes for the log the steps whose tasks found no worker; each step at
// most once in an interval, since rounds come many times a second.
func (d *Dispatcher) noteWaits(l *leadership, waits []schedule.UnplacedStep, now time.Time) {
	l.waits = waits
	tasks := 0
	logged := map[jobqueue.StepID]waitLogged{}
	for _, w := range waits {
		tasks += w.Tasks
		wait, known := l.waitsLogged[w.Step]
		if !known {
			wait.since = now
		}
		if !known || now.Sub(wait.at) >= waitLogInterval {
			wait.at = now
			l.runLog.wait(l.term, w, now.Sub(wait.since), now)
		}
		logged[w.Step] = wait
	}
	l.waitsLogged = logged
	d.meters.waiting.Update(int64(tasks))
}
