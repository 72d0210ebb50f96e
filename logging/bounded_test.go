package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	taken   bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taken.Write(p)
}

func (w *stuckWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taken.String()
}

// Symptom: requests stop being answered when nobody reads the process's output.
// Sequence: the reader is stuck while far more lines are logged than can wait.
// Cause: a logger that waits for its output.
func TestStuckOutputCostsLinesOnly(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	log, bounded, err := logging.NewBounded(w, "info", "h1/entry")
	if err != nil {
		t.Fatal(err)
	}
	for range 10_000 {
		log.Info("routine")
	}
	if bounded.Dropped() == 0 {
		t.Fatal("10,000 lines went into an output that takes none")
	}
	close(w.release)
}

// Symptom: the line that explains a failure is missing.
// Sequence: a burst of routine lines uses up the budget of a second; then a warning.
// Cause: one budget for all lines.
func TestWarningsHaveABudgetOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuckWriter{release: make(chan struct{})}
		close(w.release)
		log, bounded, err := logging.NewBounded(w, "info", "h1/entry")
		if err != nil {
			t.Fatal(err)
		}
		defer bounded.Close()
		for range 5000 {
			log.Info("routine")
		}
		log.Warn("refused", zap.String("id", "r1"))
		synctest.Wait()
		text := w.text()
		if !strings.Contains(text, `"id":"r1"`) {
			t.Error("the warning is missing")
		}
		if n := strings.Count(text, "routine"); n > 500 {
			t.Errorf("%d routine lines in a second", n)
		}
		if !strings.Contains(text, "lines left out") {
			t.Error("nothing says that lines were left out")
		}
	})
}
