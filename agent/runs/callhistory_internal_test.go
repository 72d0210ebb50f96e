package runs

import (
	"context"
	"io"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
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

// Guards against a crash that does not count against a run because the worker was down for long: starts that are
// retried meanwhile drop the record of a run that had worked for less than what is remembered.
func TestRunsAreRememberedWhileTheWorkerIsDown(t *testing.T) {
	for name, test := range map[string]struct {
		worked time.Duration
		want   int
	}{"worked shortly": {startRetention - time.Second, 2}, "worked long": {startRetention + time.Second, 1}} {
		t.Run(name, func(t *testing.T) {
			run := func(job string) jobqueue.RunID { return jobqueue.RunID{Task: jobqueue.TaskID{Job: job}, Number: 1} }
			begin := time.UnixMilli(1_000_000)
			h := newCallHistory()
			h.recordStartRequest(run("first"), begin)
			h.recordConfirmed(run("first"), begin)
			h.recordResult(AnswerDone, nil, begin.Add(test.worked))
			for down := time.Duration(0); down < 2*startRetention; down += time.Second {
				h.recordStartRequest(run("retried"), begin.Add(test.worked+down))
				h.recordResult(0, ErrNotListening, begin.Add(test.worked+down+time.Millisecond))
			}
			if work := h.workAtCrash(begin.Add(test.worked + 2*startRetention)); len(work) != test.want {
				t.Errorf("%v, want %d runs", work, test.want)
			}
		})
	}
}

// Guards against a crash that does not count against a run that a previous agent's start began after the first status:
// the list of the runs that crashed would leave it out. A run that is not remembered, since it has worked for long,
// does not count as one that has just begun.
func TestRunsThatAreListedLaterAreRemembered(t *testing.T) {
	run := func(job string) *apiv1.RunObservation {
		return &apiv1.RunObservation{Task: &apiv1.TaskRef{Job: job}, Run: 1}
	}
	present := func(job string) map[jobqueue.RunID]bool {
		return map[jobqueue.RunID]bool{{Task: jobqueue.TaskID{Job: job}, Number: 1}: true}
	}
	h, begin := newCallHistory(), time.UnixMilli(1_000_000)
	h.recordListed([]*apiv1.RunObservation{run("first")}, nil, begin)
	h.recordListed([]*apiv1.RunObservation{run("first"), run("later")}, present("first"), begin.Add(time.Second))
	h.recordListed([]*apiv1.RunObservation{run("forgotten")}, present("forgotten"), begin.Add(time.Second))
	if work := h.workAtCrash(begin.Add(2 * time.Second)); len(work) != 2 || !work[0].Began || !work[1].Began {
		t.Errorf("%v, want two runs that have begun", work)
	}
}
