package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a crash of which the leader learns nothing but that it occurred: the reports of the
// worker's end are lost, and those of the next incarnations arrive.
func TestReportOfNextIncarnationCarriesLostAccountOfCrash(t *testing.T) {
	for name, incarnations := range map[string][]string{
		"next incarnation":   {"w1b"},
		"after a short life": {"w1b", "w1c"},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1), departuresFail: true}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(2 * time.Second)
				if len(w.Running()) != 1 {
					t.Fatal("the run has not begun")
				}
				for i, id := range incarnations {
					l.update(func() { l.reportsFail = i < len(incarnations)-1 })
					w.Spec.Id = id
					announce(t, d, runs.Announcement{Worker: workerSpec(id), Sequence: 1})
					time.Sleep(2 * time.Second)
				}
				first := l.firstReportOf(incarnations[len(incarnations)-1])
				if first == nil || len(first.PreviousEnds) != len(incarnations) {
					t.Errorf("the first report is %v", first)
					return
				}
				end := first.PreviousEnds[0]
				if end.Worker.Id != "w1" || !end.Crashed || len(end.Worked) != 1 || !end.Worked[0].Began || end.CrashedAgoMs == nil {
					t.Errorf("the report carries %v", end)
				}
				if last := l.lastReport(); len(last.PreviousEnds) > 0 {
					t.Errorf("the end is reported again once it is acknowledged: %v", last.PreviousEnds)
				}
			})
		})
	}
}

// firstReportOf returns the first report of an incarnation, other than that of its end.
func (l *leader) firstReportOf(incarnation string) *apiv1.JobsReportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Worker.Id == incarnation && !r.Departed {
			return r
		}
	}
	return nil
}

func (l *leader) lastReport() *apiv1.JobsReportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[len(l.reports)-1]
}

// Guards against a task that runs again, and counts as having crashed its worker, although it succeeded: its
// end was listed, and the worker crashed before a leader was told.
func TestEndListedBeforeCrashIsReportedWithIt(t *testing.T) {
	for name, replaced := range map[string]bool{"report of the crash": false, "next incarnation": true} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: idleOrders()}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				w.Duration = func(jobqueue.TaskID) time.Duration { return 3 * time.Second }
				time.Sleep(2 * time.Second)
				l.update(func() { l.orders = startOrders(2, 1) })
				time.Sleep(2500 * time.Millisecond)
				l.update(func() { l.unavailable = true })
				time.Sleep(2500 * time.Millisecond)
				if replaced {
					w.Spec.Id = "w1b"
					announce(t, d, runs.Announcement{Worker: workerSpec("w1b"), Sequence: 1})
				} else {
					w.Crash()
				}
				time.Sleep(time.Second)
				l.update(func() { l.unavailable = false })
				time.Sleep(2 * time.Second)
				ends, found := l.endsInDeparture()
				if !found || len(ends) != 1 || ends[0].Run != 1 || ends[0].Kind != apiv1.RunEndKind_RUN_END_KIND_DONE {
					t.Errorf("reported %v, with the ends %v", found, ends)
				}
			})
		})
	}
}

// endsInDeparture returns the ends in the first report of a departure. The next incarnation may report the
// end of the previous one with its own first report, before the report of that end arrives.
func (l *leader) endsInDeparture() ([]*apiv1.RunEnd, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		for _, end := range append([]*apiv1.JobsReportRequest{r}, r.PreviousEnds...) {
			if end.Departed {
				return end.Ends, true
			}
		}
	}
	return nil, false
}

// Guards against the end of a crashed incarnation that no leader learns, because the next one ends too while
// there is no leader to report to.
func TestEndOfNextIncarnationKeepsThatOfPreviousOne(t *testing.T) {
	for name, end := range map[string]func(*leaving){
		"replaced":           func(h *leaving) { h.w.SetIncarnation("w1@7") },
		"departs":            func(h *leaving) { h.d.Depart("w1@6"); h.fail(errNoListener) },
		"departs by its id":  func(h *leaving) { h.drain(); h.d.Depart("w1"); h.fail(errNoListener) },
		"replaced, unserved": func(h *leaving) { h.fail(errBroken); h.w.SetIncarnation("w1@7"); h.w.renewError.Store(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withLeavingWorker(t, l, func(h *leaving) {
				h.announce()
				time.Sleep(2 * time.Second)
				l.update(func() { l.unavailable = true })
				h.w.SetIncarnation("w1@6")
				h.announce()
				time.Sleep(time.Second)
				end(h)
				time.Sleep(time.Second)
				l.update(func() { l.unavailable = false })
				time.Sleep(time.Second)
				if ended, _ := l.provedEnds(); !slices.Equal(ended, []string{"w1@5", "w1@6"}) {
					t.Errorf("reported the ends of %v", ended)
				}
			})
		})
	}
}
