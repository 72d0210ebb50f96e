package entry

import (
	"net/http"
	"testing"
	"time"
)

// An entry must stop within its shutdown bound; otherwise the platform kills it before it has
// transferred the leadership of the control group. The entry is stopped while it stores the outcome
// of a request and the control group does not respond; this guards against an unbounded wait for
// such background work.
func TestShutdownBoundHoldsForBackgroundWork(t *testing.T) {
	e := newHarness(t, 1).entries[0]
	e.settings.ShutdownBound.Duration = 50 * time.Millisecond
	e.settings.DrainDelay.Duration = 0
	storing := make(chan struct{})
	defer close(storing)
	e.background.Go("settle", func() { <-storing })
	ended := make(chan error, 1)
	idle := func() *server { return &server{http: &http.Server{}} }
	go func() { ended <- e.shutdown(idle(), idle(), idle()) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the entry still waits for an outcome that cannot be stored")
	}
}
