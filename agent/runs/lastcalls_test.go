package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

var errNotListening = fmt.Errorf("connection refused: %w", runs.ErrNotSent)

// Guards against a job that is given up for crashes of workers that never heard of its task.
func TestNeverSentStartIsReported(t *testing.T) {
	for name, lostBefore := range map[string]bool{"never sent": false, "lost once": true} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(2 * time.Second)
				if lostBefore {
					w.lostCall.Store("start")
				} else {
					w.startError.Store(&errNotListening)
				}
				l.update(func() { l.orders = startOrders(2, 1) })
				time.Sleep(2 * time.Second)
				w.startError.Store(&errNotListening)
				time.Sleep(time.Second)
				w.Crash()
				time.Sleep(2 * time.Second)
				if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || worked[0].NeverSent == lostBefore {
					t.Errorf("told %v of the crash", worked)
				}
			})
		})
	}
}

// workedAtCrash is what the agent told of the runs of a worker that crashed.
func (l *leader) workedAtCrash() ([]*apiv1.RunWork, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Departed {
			return r.Worked, r.Crashed
		}
	}
	return nil, false
}
