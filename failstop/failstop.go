// Package failstop runs the goroutines and handlers of a daemon so that a violated invariant stops
// the process.
//
// A goroutine group reports a panic only when it is waited for, which happens at shutdown, and
// net/http logs the panic of a handler and continues. A component that detects a violated invariant
// would end without notice, or continue to answer from invalid state; the visible effects would be
// leases that are not renewed, or wrong answers.
package failstop

import (
	"context"
	"net/http"
	"runtime"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of goroutines that fail together. Create it with New.
type Group struct {
	wg     conc.WaitGroup
	failed chan error
}

// New returns an empty group.
func New() *Group { return &Group{failed: make(chan error, 1)} }

// Go runs f in a new goroutine. A panic in f fails the group.
func (g *Group) Go(name string, f func()) {
	g.wg.Go(func() {
		if r := panics.Try(f); r != nil {
			g.Fail(errors.Wrapf(r.AsError(), "%s", name))
		}
	})
}

// Fail fails the group with an error. Later errors are dropped until the first one is received from
// the channel of Failed.
func (g *Group) Fail(err error) {
	select {
	case g.failed <- err:
	default:
	}
}

// Failed returns a channel that receives the error with which the group failed.
func (g *Group) Failed() <-chan error { return g.failed }

// Wait waits until all goroutines have ended.
func (g *Group) Wait() { g.wg.Wait() }

// WaitUntil waits until all goroutines or ctx have ended, and reports whether the goroutines have.
// If not, the remaining ones run until the process ends.
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

// Handler returns a handler that fails the group if h panics with anything but a run-time error or
// http.ErrAbortHandler. A run-time error ends only the request: it is most likely caused by the
// content of the request, and otherwise one caller could stop all hosts one after another.
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
