// Package dependency tells when a process loses another one that it needs, and when
// it has it back: one line each, however many calls fail between.
//
// What goes wrong without it: each call that fails leaves a line of its own, hundreds
// in an outage, and none says when the outage began and how long it lasted.
package dependency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging/event"
)

// lostAfter is how long calls must have failed, without one that was answered, for the
// other side to count as lost: an election, or a restart of the agent's worker, takes
// less.
const lostAfter = time.Second

// Watch follows the calls of one dependency.
type Watch struct {
	name   string
	logger *zap.Logger
	now    func() time.Time

	mu sync.Mutex
	// failingSince is when the first of the calls failed that no answer followed; zero when
	// the last call was answered.
	failingSince time.Time
	lost         bool
}

// New returns a watch of the dependency of a name. The clock is time.Now when nil.
func New(name string, logger *zap.Logger, now func() time.Time) *Watch {
	if now == nil {
		now = time.Now
	}
	return &Watch{name: name, logger: logger, now: now}
}

// Record takes in how a call ended; nil means that it was answered. A call that its
// caller gave up tells nothing.
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
