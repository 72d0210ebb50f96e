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
	"github.com/cairnlift/cairnlift/fakes"
)

// Symptom: an agent's log does not say from when to when its worker hung.
// Sequence: the worker gives no answer for some seconds, then it does.
// Cause: only calls have lines.
func TestLostWorkerIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		w := &countingWorker{RunWorker: fakes.NewRunWorker(spec("w1"), fakes.NewRunWatch())}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: &leader{epoch: 1, orders: starts(0, 1)}, Logger: zap.New(core)})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		d.Announce(runs.Announcement{Worker: spec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		w.silent.Store(all)
		time.Sleep(4 * time.Second)
		if lost, back := lines.FilterMessage("dependency lost").Len(), lines.FilterMessage("dependency is back").Len(); lost != 1 || back != 0 {
			t.Errorf("lost is told %d times, back %d times", lost, back)
		}
		w.silent.Store("")
		time.Sleep(2 * time.Second)
		back := lines.FilterMessage("dependency is back").All()
		if len(back) != 1 || back[0].ContextMap()["dependency"] != "worker" {
			t.Errorf("back: %v", back)
		}
		cancel()
		running.Wait()
	})
}
