package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
)

// Guards against a departure that is acknowledged although its incarnation was never reported, because the
// agent reported the end of a previous one, whose announcement arrived late.
func TestDepartureBesideLateAnnouncementWaitsForReport(t *testing.T) {
	late := func(h *leaving, previous string) {
		announce(h.t, h.d, runs.Announcement{Worker: workerSpec(previous), Sequence: 9})
	}
	const pause = 200 * time.Millisecond
	depart := func(h *leaving, name string) <-chan struct{} { return h.d.Depart(name) }
	afterLate := func(wait time.Duration) func(*leaving, string, string) <-chan struct{} {
		return func(h *leaving, previous, name string) <-chan struct{} {
			late(h, previous)
			time.Sleep(wait)
			return depart(h, name)
		}
	}
	beforeLate := func(h *leaving, previous, name string) <-chan struct{} {
		acknowledge := depart(h, name)
		late(h, previous)
		return acknowledge
	}
	for name, test := range map[string]struct {
		leave       func(h *leaving, previous, name string) (acknowledge <-chan struct{})
		unavailable time.Duration
	}{
		"before it":            {beforeLate, 0},
		"before it, no leader": {beforeLate, pause},
		"after it":             {afterLate(0), 0},
		"after its end":        {afterLate(pause), 0},
		"after it, no leader":  {afterLate(0), pause},
		"beside a late departure of the previous incarnation, calls fail": {func(h *leaving, previous, name string) <-chan struct{} {
			h.fail(errBroken)
			defer time.AfterFunc(pause, func() { h.w.renewError.Store(nil) })
			late(h, previous)
			depart(h, previous)
			return depart(h, name)
		}, 0},
	} {
		for _, names := range [][2]string{{"w1@4", "w1"}, {"w1@4", "w1@5"}, {"w0@4", "w1"}, {"w0@4", "w1@5"}, {"w0", "w1@5"}} {
			previous, departing := names[0], names[1]
			t.Run(departing+" "+name+" of "+previous, func(t *testing.T) {
				l := &leader{epoch: 1, orders: idleOrders(), unavailable: test.unavailable > 0}
				withLeavingWorker(t, l, func(h *leaving) {
					h.w.Drain()
					acknowledge := test.leave(h, previous, departing)
					time.Sleep(test.unavailable)
					l.update(func() { l.unavailable = false })
					time.Sleep(500 * time.Millisecond)
					h.announce()
					<-acknowledge
					if l.firstReportOf("w1@5") == nil {
						t.Error("the departure is acknowledged before a report of the incarnation")
					}
					h.fail(errNoListener)
					time.Sleep(time.Second)
					if ended, _ := l.provedEnds(); !slices.Contains(ended, "w1@5") {
						t.Errorf("reported the ends of %v", ended)
					}
				})
			})
		}
	}
}

// Guards against the end of a worker that is reported a lease late, because a stop was answered by its next
// incarnation while the agent waited for the end.
func TestNextIncarnationThatAnswersAStopProvesTheEnd(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withLeavingWorker(t, l, func(h *leaving) {
		h.announce()
		time.Sleep(2 * time.Second)
		h.w.lostCall.Store("stop")
		l.update(func() { l.orders = stopOrders(2, 1) })
		h.drain()
		<-h.d.Depart("w1@5")
		time.Sleep(time.Second)
		h.w.lostCall.Store("renew")
		h.w.SetIncarnation("w1@6")
		time.Sleep(time.Second)
		h.w.lostCall.Store("")
		time.Sleep(time.Second)
		if ended, proved := l.provedEnds(); !slices.Equal(ended, []string{"w1@5"}) || !proved {
			t.Errorf("reported the ends of %v, proved: %v", ended, proved)
		}
	})
}
