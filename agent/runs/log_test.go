package runs_test

import (
	"context"
	"sync"
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

// Guards against an agent's log that does not show from when to when its worker gave no answer,
// because only calls are logged.
func TestUnreachableWorkerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker())}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: &leader{epoch: 1, orders: startOrders(0, 1)}, Logger: zap.New(core)})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		d.Announce(runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(4 * time.Second)
		if lost, back := lines.FilterMessage("dependency lost").Len(), lines.FilterMessage("dependency is back").Len(); lost != 1 || back != 0 {
			t.Errorf("loss is logged %d times, return %d times", lost, back)
		}
		w.lostCall.Store("")
		time.Sleep(2 * time.Second)
		back := lines.FilterMessage("dependency is back").All()
		if len(back) != 1 || back[0].ContextMap()["dependency"] != "worker" {
			t.Errorf("back: %v", back)
		}
		cancel()
		running.Wait()
	})
}

// Guards against a restart of a worker under its name that no log shows: the worker ends and
// another process answers at its address, whose clock starts again. Only calls without an answer
// were logged, and these calls are answered.
func TestBackwardWorkerClockIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		w := &replaceableWorker{}
		w.replace(fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker()))
		d := runs.New(runs.Options{Worker: w, Leader: &leader{epoch: 1, orders: startOrders(0, 1)}, Logger: zap.New(core)})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(3 * time.Second)
		w.replace(fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker()))
		time.Sleep(3 * time.Second)
		if n := lines.FilterMessage("worker's clock went back").Len(); n != 1 {
			t.Errorf("logged %d times", n)
		}
		cancel()
		running.Wait()
	})
}

// Guards against a log line that reports the departure of the worker when it is the agent that
// stops.
func TestStoppingAgentLogsNoWorkerDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		w := fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker())
		d := runs.New(runs.Options{Worker: w, Leader: &leader{epoch: 1, orders: startOrders(0, 1)}, Logger: zap.New(core)})
		stop := runDriver(d)
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		stop()
		if n := lines.FilterMessage("worker left").Len(); n != 0 {
			t.Errorf("logged %d times", n)
		}
	})
}

// replaceableWorker forwards calls to the current worker.
type replaceableWorker struct {
	runs.Worker
	mu sync.Mutex
}

func (w *replaceableWorker) replace(by runs.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Worker = by
}

func (w *replaceableWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	w.mu.Lock()
	worker := w.Worker
	w.mu.Unlock()
	return worker.Renew(ctx, o, r)
}

// Guards against a log that does not show whether a stop met a start that was still on its way.
func TestStopLineShowsPendingStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker())}
		w.Fault = w.fault
		l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
		d := runs.New(runs.Options{Worker: w, Leader: l, Logger: zap.New(core)})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(10 * time.Second) // calls of a previous agent can't arrive any more
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = stopOrders(3, 1) })
		time.Sleep(2 * time.Second)
		stops := lines.FilterMessage("stop answered").All()
		if len(stops) != 1 || stops[0].ContextMap()["start_pending"] != true || stops[0].ContextMap()["try"] != int64(1) {
			t.Errorf("stops: %v", stops)
		}
	})
}
