package failstop

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Symptom: a host goes on serving with its lease loop gone, or from state that it
// found broken. Sequence: a core panics over a broken invariant, in a goroutine
// or under a handler. Cause: the panic was held until shutdown, or logged only.
func TestInvariantViolationFailsGroup(t *testing.T) {
	var none []int
	for _, c := range []struct {
		name    string
		run     func(g *Group)
		message string
	}{
		{"goroutine", func(g *Group) { g.Go("leases", func() { panic("a lease is held twice") }) }, "leases: panic: a lease is held twice"},
		{"goroutine, run-time error", func(g *Group) { g.Go("leases", func() { _ = none[len(none)] }) }, "leases: panic: runtime error"},
		{"handler", func(g *Group) { serve(g, func() { panic("a lease is held twice") }) }, "api: a lease is held twice"},
		{"handler, run-time error", func(g *Group) { serve(g, func() { _ = none[len(none)] }) }, ""},
		{"handler, aborted", func(g *Group) { serve(g, func() { panic(http.ErrAbortHandler) }) }, ""},
	} {
		g := New()
		c.run(g)
		g.Wait()
		select {
		case err := <-g.Failed():
			if c.message == "" || !strings.HasPrefix(err.Error(), c.message) {
				t.Errorf("%s: failed with %v", c.name, err)
			}
		default:
			if c.message != "" {
				t.Errorf("%s: did not fail", c.name)
			}
		}
	}
}

func serve(g *Group, f func()) {
	defer func() { _ = recover() }() // as net/http does
	h := g.Handler("api", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { f() }))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}

// Symptom: a process that was asked to stop never ends. Sequence: one of its goroutines
// waits for something that never comes. Cause: a wait for the group without a bound.
func TestWaitUntil(t *testing.T) {
	g := New()
	release := make(chan struct{})
	g.Go("stuck", func() { <-release })
	ended, end := context.WithCancel(context.Background())
	end()
	if g.WaitUntil(ended) {
		t.Error("a group with a stuck goroutine was said to have ended")
	}
	close(release)
	if !g.WaitUntil(context.Background()) {
		t.Error("a group that has ended was said to be stuck")
	}
}
