package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// waitLogInterval is the time between two lines about one step that waits.
const waitLogInterval = 2 * time.Second

// noteWaits counts and logs the steps whose tasks found no worker; each step at
// most once in an interval, since rounds come many times a second.
func (d *Dispatcher) noteWaits(l *leadership, waits []schedule.Wait, now time.Time) {
	l.waits = waits
	tasks := 0
	logged := map[jobqueue.StepID]time.Time{}
	for _, w := range waits {
		tasks += w.Tasks
		at, known := l.waitsLogged[w.Step]
		if !known || now.Sub(at) >= waitLogInterval {
			at = now
			d.logger.Info("tasks wait", zap.String("job", w.Step.Job), zap.Uint32("occurrence", w.Step.Occurrence),
				zap.Uint32("step", w.Step.Step), zap.Int("tasks", w.Tasks), zap.String("workers", w.Why()))
		}
		logged[w.Step] = at
	}
	l.waitsLogged = logged
	d.meters.waiting.Update(int64(tasks))
}
