// Package failstop runs a daemon's goroutines and handlers so that a broken
// invariant stops the process.
//
// What goes wrong without it: a goroutine group reports a panic only when it is
// waited for, which is at shutdown, and net/http logs a handler's panic and goes
// on. A part that found its state broken would then be silently gone, or keep
// answering from that state; one would notice it as leases that are no longer
// renewed, or as wrong answers.
package failstop

import (
	"context"
	"net/http"
	"runtime"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of goroutines that fail together. Use New.
type Group struct {
	wg     conc.WaitGroup
	failed chan error
}

// New returns an empty group.
func New() *Group { return &Group{failed: make(chan error, 1)} }

// Go runs f. A panic in it fails the group.
func (g *Group) Go(name string, f func()) {
	g.wg.Go(func() {
		if r := panics.Try(f); r != nil {
			g.Fail(errors.Wrapf(r.AsError(), "%s", name))
		}
	})
}

// Fail fails the group; only the first error counts.
func (g *Group) Fail(err error) {
	select {
	case g.failed <- err:
	default:
	}
}

// Failed returns a channel with the error that failed the group.
func (g *Group) Failed() <-chan error { return g.failed }

// Wait returns when all goroutines have ended.
func (g *Group) Wait() { g.wg.Wait() }

// WaitUntil waits until the goroutines have ended or ctx has; false when ctx ended first.
// Those left then run on until the process ends.
func (g *Group) WaitUntil(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Handler fails the group when a handler panics over a broken invariant. A
// run-time error ends only its request: it is most likely caused by what the
// request holds, and must not let one caller stop every host in turn.
func (g *Group) Handler(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			_, runtimeError := v.(runtime.Error)
			if v != http.ErrAbortHandler && !runtimeError {
				g.Fail(errors.Newf("%s: %v", name, v))
			}
			panic(v)
		}()
		h.ServeHTTP(w, r)
	})
}
