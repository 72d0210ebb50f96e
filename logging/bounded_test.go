package logging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging"
	"github.com/cairnlift/cairnlift/logging/event"
)

// blockedWriter takes nothing until it is released.
type blockedWriter struct {
	release  chan struct{}
	mu       sync.Mutex
	received bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.String()
}

// Symptom: requests stop being answered when nobody reads the process's output.
// Sequence: the reader is stuck while far more lines are logged than can wait.
// Cause: a logger that waits for its output.
func TestBlockedOutputOnlyDropsLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
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
func TestWarningsHaveSeparateBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
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

// countingWriter counts lines and bytes by the second of the test's clock.
type countingWriter struct {
	start time.Time
	bytes map[int]int
	lines map[string]int
	// reportedDropped is the sum of what the notices say.
	reportedDropped int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes[int(time.Since(w.start)/time.Second)] += len(p)
	var line struct {
		Msg   string
		Lines int
	}
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	w.lines[line.Msg]++
	w.reportedDropped += line.Lines
	return len(p), nil
}

// Symptom: in a burst, the lines on the new leader and on refused requests are missing,
// and the collector of logs falls behind.
// Sequence: an entry of 50 requests a second gets 20 times as many for ten seconds;
// each second one is refused and one line tells of a belief. Cause: a volume that grows
// with the traffic.
func TestBudgetLimitsBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds, perSecond = 10, 20 * 50
			// most is the sum of the budgets of a second, and room for a notice.
			most = (64+8+32)<<10 + 1<<10
		)
		w := &countingWriter{start: time.Now(), bytes: map[int]int{}, lines: map[string]int{}}
		log, bounded, err := logging.NewBounded(w, "info", "h1/entry")
		if err != nil {
			t.Fatal(err)
		}
		for range seconds {
			for i := range perSecond {
				event.Request.Write(log, event.Method("POST"), event.Path("/queue/0123456789abcdef"), event.Job("0123456789abcdef"),
					event.Status(200), event.Took(time.Duration(i)*time.Microsecond))
				if i == perSecond-1 { // when routine lines have long found no room
					event.RequestFailed.Write(log, event.Status(503))
					event.ControlHostsChanged.Write(log, event.Addresses([]string{"10.0.0.1:7000"}))
				}
				time.Sleep(time.Second / perSecond)
			}
		}
		bounded.Close()
		synctest.Wait()
		for second, n := range w.bytes {
			if n > most {
				t.Errorf("%d bytes in second %d", n, second)
			}
		}
		if w.lines["request failed"] != seconds || w.lines["control hosts changed"] != seconds {
			t.Errorf("lines %v", w.lines)
		}
		if got := w.lines["request"] + w.reportedDropped; got != seconds*perSecond || int64(w.reportedDropped) != bounded.Dropped() {
			t.Errorf("%d lines written and said to be left out, %d left out, want %d in all", got, bounded.Dropped(), seconds*perSecond)
		}
	})
}

// Symptom: a process that is asked to stop ends with a panic and exit code 2.
// Sequence: its output is closed while a goroutine that outlives its role by a moment
// still writes a line. Cause: a line sent to a queue that is closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		log, bounded, err := logging.NewBounded(w, "info", "h1/control")
		if err != nil {
			t.Fatal(err)
		}
		log.Info("before")
		bounded.Close()
		log.Info("after")
		synctest.Wait()
		if text := w.text(); !strings.Contains(text, "before") || strings.Contains(text, "after") {
			t.Error(text)
		}
	})
}
