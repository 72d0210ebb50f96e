package runs_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
)

// errBroken is the error of a call whose connection ended before the answer.
var errBroken = errors.New("EOF")

// leaving runs a driver with a worker that has a start time and is not announced yet.
type leaving struct {
	t        *testing.T
	l        *leader
	d        *runs.Driver
	w        *countingWorker
	sequence uint64
}

func withLeavingWorker(t *testing.T, l *leader, f func(*leaving)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1@5"), watch)}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		f(&leaving{t: t, l: l, d: d, w: w})
	})
}

func (h *leaving) announce() {
	h.t.Helper()
	h.sequence++
	announce(h.t, h.d, runs.Announcement{Worker: h.w.Description(), Sequence: h.sequence})
}

func (h *leaving) drain() {
	h.w.Drain()
	h.announce()
}

func (h *leaving) fail(err error) { h.w.renewError.Store(&err) }

// provedEnds returns the incarnations whose end was reported, and whether each of them was proved.
func (l *leader) provedEnds() (ended []string, proved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proved = true
	for _, r := range l.reports {
		if r.Departed {
			ended, proved = append(ended, r.Worker.Id), proved && r.Ended
		}
	}
	return ended, proved
}

// Guards against long-running tasks that wait for a lease although their worker ended as it announced by
// its id alone, and against tasks on two workers because such a departure is believed too soon.
func TestDepartureByIDAlone(t *testing.T) {
	const (
		pause           = 500 * time.Millisecond
		longerThanLease = 8 * time.Second
	)
	depart := func(h *leaving) { h.d.Depart("w1") }
	for name, test := range map[string]struct {
		play func(*leaving)
		want []string
	}{
		"drains and ends": {func(h *leaving) { h.drain(); depart(h); h.fail(errNoListener) }, []string{"w1@5"}},
		"connection breaks, then it ends": {func(h *leaving) {
			h.drain()
			depart(h)
			h.fail(errBroken)
			time.Sleep(pause)
			h.fail(errNoListener)
		}, []string{"w1@5"}},
		"departure arrives after the end": {func(h *leaving) { h.drain(); h.fail(errNoListener); time.Sleep(pause); depart(h) }, []string{"w1@5"}},
		"acknowledgement is lost": {func(h *leaving) {
			h.drain()
			depart(h)
			time.Sleep(4900 * time.Millisecond)
			h.fail(errNoListener)
		}, []string{"w1@5"}},
		"drain is announced after the departure": {func(h *leaving) { depart(h); h.drain(); h.fail(errNoListener) }, []string{"w1@5"}},
		"another incarnation answers":            {func(h *leaving) { depart(h); h.w.Crash() }, []string{"w1@5"}},
		"works on":                               {func(h *leaving) { h.drain(); depart(h) }, nil},
		"does not drain":                         {func(h *leaving) { depart(h); h.fail(errNoListener) }, nil},
		"no departure":                           {func(h *leaving) { h.drain(); h.fail(errNoListener) }, nil},
		"departure of another worker":            {func(h *leaving) { h.drain(); h.d.Depart("w2"); h.fail(errNoListener) }, nil},
		"connections break":                      {func(h *leaving) { h.drain(); depart(h); h.fail(errBroken) }, nil},
		"calls get no answer":                    {func(h *leaving) { h.drain(); depart(h); h.w.lostCall.Store(allCalls) }, nil},
		"ends long after it": {func(h *leaving) {
			h.drain()
			depart(h)
			time.Sleep(6 * time.Second)
			h.fail(errNoListener)
		}, nil},
		"late departure at the next incarnation, which drains": {func(h *leaving) {
			h.w.SetIncarnation("w1@6")
			h.announce()
			h.drain()
			time.Sleep(pause)
			depart(h)
		}, []string{"w1@5"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withLeavingWorker(t, l, func(h *leaving) {
				h.announce()
				time.Sleep(2 * time.Second)
				test.play(h)
				worksOn := len(h.w.Running()) > 0 && h.w.renewError.Load() == nil && h.w.lostCall.Load() == nil
				if worksOn {
					time.Sleep(longerThanLease)
				}
				time.Sleep(time.Second)
				if ended, proved := l.provedEnds(); !slices.Equal(ended, test.want) || !proved {
					t.Errorf("reported the ends of %v, proved: %v, want %v", ended, proved, test.want)
				}
				if last := l.lastReport(); worksOn && len(last.Running) == 0 {
					t.Errorf("the run of a worker that works on has ended: %v", last)
				}
			})
		})
	}
}

// Guards against a departure that an agent ignores because it was started after the worker's last
// announcement.
func TestDepartureBeforeFirstAnnouncement(t *testing.T) {
	for _, name := range []string{"w1", "w1@5"} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: idleOrders()}
			withLeavingWorker(t, l, func(h *leaving) {
				acknowledge := h.d.Depart(name)
				time.Sleep(500 * time.Millisecond)
				h.drain()
				<-acknowledge
				if l.firstReportOf("w1@5") == nil {
					t.Fatal("the departure is acknowledged before a report")
				}
				h.fail(errNoListener)
				time.Sleep(time.Second)
				if ended, proved := l.provedEnds(); !slices.Equal(ended, []string{"w1@5"}) || !proved {
					t.Errorf("reported the ends of %v, proved: %v", ended, proved)
				}
			})
		})
	}
}

// Guards against an agent whose host stops with it while there is no leader to report to, and against a
// worker that counts as not served because it waits for its acknowledgement.
func TestDepartureIsAcknowledgedOnceLeaderAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		leaderAfter time.Duration // 0: there is one, below 0: none comes
		min, max    time.Duration
	}{
		"leader":                {0, 0, 100 * time.Millisecond},
		"leader after a change": {2 * time.Second, 2 * time.Second, 2500 * time.Millisecond},
		"no leader":             {-1, 4 * time.Second, 4 * time.Second},
	} {
		for _, departing := range []string{"w1", "w1@5"} {
			t.Run(name+", "+departing, func(t *testing.T) {
				l := &leader{epoch: 1, orders: startOrders(1, 1)}
				withLeavingWorker(t, l, func(h *leaving) {
					h.announce()
					time.Sleep(2200 * time.Millisecond)
					h.drain()
					l.update(func() { l.unavailable = test.leaderAfter != 0 })
					if test.leaderAfter > 0 {
						time.AfterFunc(test.leaderAfter, func() { l.update(func() { l.unavailable = false }) })
					}
					sent := time.Now()
					<-h.d.Depart(departing)
					if waited := time.Since(sent); waited < test.min || waited > test.max {
						t.Errorf("acknowledged after %v", waited)
					}
					if len(h.w.Running()) == 0 {
						t.Error("the run ended before the departure was acknowledged")
					}
				})
			})
		}
	}
}

// Guards against a departure that is lost because its agent is stopped while there is no leader, or
// because its report reached none: the agent repeats it within its grace period.
func TestStoppingAgentReportsDeparture(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withLeavingWorker(t, l, func(h *leaving) {
		h.announce()
		time.Sleep(2 * time.Second)
		grace, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		before := time.Now()
		if h.d.AwaitDeparture(grace); time.Since(before) > 0 {
			t.Error("the agent of a worker that stays waits")
		}
		h.drain()
		<-h.d.Depart("w1")
		h.fail(errNoListener)
		l.update(func() { l.unavailable = true })
		time.AfterFunc(2*time.Second, func() { l.update(func() { l.unavailable = false }) })
		h.d.AwaitDeparture(grace)
		if ended, proved := l.provedEnds(); len(ended) != 1 || !proved || grace.Err() != nil {
			t.Errorf("reported the ends of %v, proved: %v, grace period: %v", ended, proved, grace.Err())
		}
	})
}

// Guards against a task on two workers: a worker that works on counts as ended because its port was closed
// for a moment, after a late departure of an earlier incarnation or its own departure.
func TestBriefClosureOfPortProvesNoEnd(t *testing.T) {
	for name, test := range map[string]struct {
		departing string
		closures  int
	}{
		"closed once, late departure":                       {"w1", 1},
		"closed repeatedly, an answer between each of them": {"w1", 3},
		"departure that names the incarnation":              {"w1@5", 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withLeavingWorker(t, l, func(h *leaving) {
				h.announce()
				time.Sleep(2 * time.Second)
				h.drain()
				<-h.d.Depart(test.departing)
				time.Sleep(time.Second)
				for range test.closures {
					h.fail(errNoListener)
					time.Sleep(300 * time.Millisecond)
					h.w.renewError.Store(nil)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(time.Second)
				if ended, _ := l.provedEnds(); len(ended) > 0 || len(h.w.Running()) == 0 {
					t.Errorf("reported the ends of %v, runs %v", ended, h.w.Running())
				}
			})
		})
	}
}

// Guards against the proved end of a name without a start time: the worker's next process has that name
// too, and a late report would end its runs.
func TestOnlyIncarnationWithStartTimeEndsForGood(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.renewError.Store(&errNoListener)
		d.Depart("w1")
		time.Sleep(time.Second)
		if ended, proved := l.provedEnds(); !slices.Equal(ended, []string{"w1"}) || proved {
			t.Errorf("reported the ends of %v, proved: %v", ended, proved)
		}
	})
}

// Guards against a worker that waits seconds for an acknowledgement although a leader answers: nothing is
// reported that would bring one.
func TestDepartureWithNothingToReportIsAcknowledged(t *testing.T) {
	const second = time.Second
	end := func(h *leaving) {
		h.drain()
		<-h.d.Depart("w1")
		h.fail(errNoListener)
		time.Sleep(second)
	}
	announced := func(h *leaving, name string) {
		h.drain()
		<-h.d.Depart(name)
		time.Sleep(second)
	}
	unavailable := func(h *leaving) { h.l.update(func() { h.l.unavailable = true }) }
	for name, test := range map[string]struct {
		before    func(*leaving)
		departing string
	}{
		"repeated while the worker runs on":             {func(h *leaving) { announced(h, "w1@5") }, "w1@5"},
		"repeated by the id alone":                      {func(h *leaving) { announced(h, "w1@5") }, "w1"},
		"repeated with the start time":                  {func(h *leaving) { announced(h, "w1") }, "w1@5"},
		"repeated without a leader":                     {func(h *leaving) { announced(h, "w1@5"); unavailable(h) }, "w1@5"},
		"repeated by the id alone, without a leader":    {func(h *leaving) { announced(h, "w1"); unavailable(h) }, "w1"},
		"end is reported":                               {func(h *leaving) { end(h); unavailable(h) }, "w1@5"},
		"end is reported, by the id alone":              {func(h *leaving) { end(h); time.Sleep(6 * second); unavailable(h) }, "w1"},
		"concerns another worker":                       {unavailable, "w2@7"},
		"concerns a previous incarnation":               {unavailable, "w1@4"},
		"concerns another worker, calls are broken off": {func(h *leaving) { h.fail(errBroken) }, "w2@7"},
		"port is closed, and the end not proved yet":    {func(h *leaving) { h.fail(errNoListener) }, "w1@5"},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withLeavingWorker(t, l, func(h *leaving) {
				h.announce()
				time.Sleep(2 * second)
				test.before(h)
				sent := time.Now()
				<-h.d.Depart(test.departing)
				if waited := time.Since(sent); waited > 100*time.Millisecond {
					t.Errorf("acknowledged after %v; runs %v", waited, h.w.Running())
				}
			})
		})
	}
}

// Guards against an acknowledgement of the next incarnation's departure while there is no leader, because
// an earlier incarnation announced one under the same id.
func TestDepartureOfNextIncarnationWaitsForLeader(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withLeavingWorker(t, l, func(h *leaving) {
		h.announce()
		time.Sleep(2 * time.Second)
		h.drain()
		<-h.d.Depart("w1")
		h.w.SetIncarnation("w1@6")
		h.announce()
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = true })
		time.AfterFunc(2*time.Second, func() { l.update(func() { l.unavailable = false }) })
		sent := time.Now()
		<-h.d.Depart("w1")
		if waited := time.Since(sent); waited < 2*time.Second || waited > 2500*time.Millisecond {
			t.Errorf("acknowledged after %v", waited)
		}
	})
}

// Guards against an agent that takes the default in place of the bound of its options.
func TestAcknowledgementDelayOfOptions(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriverOf(t, runs.Options{Leader: l, MaxAcknowledgementDelay: time.Second}, func(*countingWorker) {}, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.Drain()
		announce(t, d, runs.Announcement{Worker: w.Description(), Sequence: 2})
		w.renewError.Store(&errBroken)
		l.update(func() { l.unavailable = true })
		sent := time.Now()
		<-d.Depart("w1")
		if waited := time.Since(sent); waited > time.Second {
			t.Errorf("acknowledged after %v", waited)
		}
	})
}

// Guards against a warning that no leader answers while one does, and against a missing one.
func TestUnconfirmedDepartureIsLogged(t *testing.T) {
	for name, test := range map[string]struct {
		leaderAnswers bool
		want          int
	}{"leader answers": {true, 0}, "no leader": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zapcore.InfoLevel)
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withDriverOf(t, runs.Options{Leader: l, Logger: zap.New(core)}, func(*countingWorker) {}, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(2 * time.Second)
				w.Drain()
				announce(t, d, runs.Announcement{Worker: w.Description(), Sequence: 2})
				w.renewError.Store(&errBroken)
				l.update(func() { l.unavailable = !test.leaderAnswers })
				time.Sleep(1500 * time.Millisecond) // A request for orders is answered after a second.
				<-d.Depart("w1")
				synctest.Wait()
				if got := lines.FilterMessage("departure is acknowledged without a leader").Len(); got != test.want {
					t.Errorf("the warning is logged %d times, want %d", got, test.want)
				}
			})
		})
	}
}

// Guards against a stopping agent that uses its whole grace period beside a worker that drains and stays,
// and against one that does not wait for a worker that departs.
func TestStoppingAgentOfDrainingWorker(t *testing.T) {
	const grace = 27 * time.Second
	for name, test := range map[string]struct {
		play     func(*leaving)
		min, max time.Duration
	}{
		"only drains":                  {func(*leaving) {}, 2500 * time.Millisecond, 2600 * time.Millisecond},
		"departs 2 s later":            {func(h *leaving) { h.endAfter(2*time.Second, "w1") }, 2400 * time.Millisecond, 3 * time.Second},
		"ends 4 s after its departure": {func(h *leaving) { h.d.Depart("w1"); h.endAfter(4*time.Second, "") }, 4400 * time.Millisecond, 5 * time.Second},
		"works on after its departure": {func(h *leaving) { h.d.Depart("w1") }, 5 * time.Second, 5100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withLeavingWorker(t, l, func(h *leaving) {
				h.announce()
				time.Sleep(2 * time.Second)
				h.drain()
				test.play(h)
				ctx, cancel := context.WithTimeout(context.Background(), grace)
				defer cancel()
				before := time.Now()
				h.d.AwaitDeparture(ctx)
				if waited := time.Since(before); waited < test.min || waited > test.max {
					t.Errorf("the agent waits for %v", waited)
				}
			})
		})
	}
}

// endAfter ends the worker after a time, after a departure under a name unless it is empty.
func (h *leaving) endAfter(after time.Duration, departing string) {
	time.AfterFunc(after, func() {
		if departing != "" {
			<-h.d.Depart(departing)
		}
		h.fail(errNoListener)
	})
}
