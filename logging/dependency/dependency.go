// Package dependency logs the outages of the processes and services that a process depends on: one
// line when a dependency is lost and one when it recovers, however many calls fail in between.
//
// With a line for each failed call, an outage writes hundreds of lines, and none of them shows when
// it began or how long it lasted.
package dependency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging/event"
)

// lostAfter is the time from the first failed call without a later answer until the dependency
// counts as lost. An election, or a restart of the agent's worker, takes less.
const lostAfter = time.Second

// Watch tracks the results of the calls to one dependency.
type Watch struct {
	name   string
	logger *zap.Logger
	now    func() time.Time

	mu sync.Mutex
	// failingSince is when the first call failed that no answered call followed; zero if the last
	// call was answered.
	failingSince time.Time
	lost         bool
}

// New returns a watch of the named dependency. A nil now means time.Now.
func New(name string, logger *zap.Logger, now func() time.Time) *Watch {
	if now == nil {
		now = time.Now
	}
	return &Watch{name: name, logger: logger, now: now}
}

// Record records the result of a call; nil means that it was answered. A call that its caller
// canceled is ignored, since it says nothing about the dependency.
func (w *Watch) Record(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.recordAnswer(now)
		return
	}
	if w.failingSince.IsZero() {
		w.failingSince = now
	}
	if !w.lost && now.Sub(w.failingSince) >= lostAfter {
		w.lost = true
		event.DependencyLost.Write(w.logger, event.Dependency(w.name), event.UnresponsiveFor(now.Sub(w.failingSince)), event.Err(err))
	}
}

func (w *Watch) recordAnswer(now time.Time) {
	if w.lost {
		event.DependencyRecovered.Write(w.logger, event.Dependency(w.name), event.OutageDuration(now.Sub(w.failingSince)))
	}
	w.failingSince, w.lost = time.Time{}, false
}
