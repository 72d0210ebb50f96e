package runs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a run that counts as crashed after a shorter time than it had worked, so that it looks
// similar to others: a call that the worker was executing breaks off when the worker crashes.
func TestBrokenCallShowsHowLongRunsHadWorked(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want time.Duration
	}{
		{"broke off", io.ErrUnexpectedEOF, 900 * time.Millisecond},
		{"not sent", ErrNotSent, 100 * time.Millisecond},
		{"unanswered", context.DeadlineExceeded, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			id := jobqueue.RunID{Task: jobqueue.TaskID{Job: "j"}, Number: 1}
			begin := time.UnixMilli(1_000_000)
			h := newCallHistory()
			h.recordStartRequest(id, begin)
			h.recordConfirmed(id, begin)
			h.recordResult(AnswerDone, nil, begin.Add(100*time.Millisecond))
			h.recordResult(0, c.err, begin.Add(900*time.Millisecond))
			h.recordResult(0, ErrNotListening, begin.Add(time.Second))
			work := h.workAtCrash(begin.Add(2 * time.Second))
			if len(work) != 1 || work[0].WorkedMs != c.want.Milliseconds() {
				t.Errorf("%v, want %v", work, c.want)
			}
		})
	}
}
