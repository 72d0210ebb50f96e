package entry

import (
	"net/http"
	"testing"
	"time"
)

// Symptom: an entry that was asked to stop does not end within its shutdown bound, and the
// platform kills it before it has handed over the leadership of the control group.
// Sequence: it stores the outcome of a request while the control group does not answer,
// and is asked to stop. Cause: the wait for such work had no bound of its own.
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
		t.Error("the entry still waits for an outcome that can't be stored")
	}
}
