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

// blockedWriter blocks all writes until it is released.
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

// Guards against requests that stop being answered when the process's output is not read: the
// reader is stuck while far more lines are logged than the queue holds, and the logger waits for
// its output.
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
		t.Fatal("no line was dropped of 10,000 logged to a blocked output")
	}
	close(w.release)
}

// Guards against a missing line that would explain a failure: with one budget for all lines, a
// burst of routine lines uses up the budget of a second before the warning.
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
			t.Error("no line reports that lines were dropped")
		}
	})
}

// countingWriter counts lines by message and bytes by second of the test's clock.
type countingWriter struct {
	start time.Time
	bytes map[int]int
	lines map[string]int
	// reportedDropped is the total number of dropped lines that the notices report.
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

// Guards against a log volume that grows with the traffic: in a burst, the lines about a new leader
// and about refused requests are missing, and the log collector falls behind. An entry of 50
// requests per second receives 20 times as many for ten seconds; in each second one request is
// refused and one rare line is written.
func TestBudgetLimitsBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds, perSecond = 10, 20 * 50
			// maxBytes is the sum of the budgets of a second, plus space for a drop notice.
			maxBytes = (64+8+32)<<10 + 1<<10
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
				if i == perSecond-1 { // the budget of routine lines is used up long before
					event.RequestFailed.Write(log, event.Status(503))
					event.ControlHostsChanged.Write(log, event.Addresses([]string{"10.0.0.1:7000"}))
				}
				time.Sleep(time.Second / perSecond)
			}
		}
		bounded.Close()
		synctest.Wait()
		for second, n := range w.bytes {
			if n > maxBytes {
				t.Errorf("%d bytes in second %d", n, second)
			}
		}
		if w.lines["request failed"] != seconds || w.lines["control hosts changed"] != seconds {
			t.Errorf("lines %v", w.lines)
		}
		if got := w.lines["request"] + w.reportedDropped; got != seconds*perSecond || int64(w.reportedDropped) != bounded.Dropped() {
			t.Errorf("%d lines written or reported as dropped, %d dropped, want %d in total", got, bounded.Dropped(), seconds*perSecond)
		}
	})
}

// Guards against a process that panics while it stops, with exit code 2: its output is closed, and
// a goroutine that still runs sends a line to the closed queue.
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
