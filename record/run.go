package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/trace"
)

// answerDone is the answer of a worker that accepts a start.
const answerDone = "done"

// lose records the loss of a run. It ended after the last report of its worker, whose age is in the
// line; what happened until the line is not known.
func (r *run) lose(l *trace.Line) {
	if !r.end.IsZero() {
		return
	}
	silent, err := time.ParseDuration(l.Text(event.NameUnresponsiveFor))
	if err == nil {
		r.lossKnownAt, r.unknownCause = l.At, WorkerSilent
	}
	r.finish(laterOf(r.start, l.At.Add(-silent)), WorkerLost)
}

// begunBy returns when a run began, at most the given end. A run without a line about its begin counts
// as begun when it was ordered.
func (r *run) begunBy(end time.Time) time.Time {
	begun := r.start
	switch {
	case r.refused:
		begun = end
	case !r.begunAt.IsZero():
		begun = r.begunAt
	case !r.acceptedAt.IsZero():
		begun = r.acceptedAt
	}
	return earlierOf(end, laterOf(begun, laterOf(r.start, r.notBegunAt)))
}

// finish records the end of a run. The first end counts, unless a later one is a success.
func (r *run) finish(at time.Time, cause Cause) {
	if r.end.IsZero() || cause == Working {
		r.end, r.cause = at, cause
		if cause != WorkerLost {
			r.lossKnownAt = time.Time{}
		}
	}
}

// sortRuns sorts the runs of each task by number and removes those of which neither a start nor an end
// is known. It also sorts the lines about waits.
func (h *history) sortRuns() {
	for _, j := range h.jobs {
		for _, s := range j.steps {
			sortWaits(s.waits)
			for _, t := range s.tasks {
				sortWaits(t.waits)
				t.runs = slices.DeleteFunc(t.runs, func(r *run) bool { return r.start.IsZero() && r.end.IsZero() })
				slices.SortFunc(t.runs, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
				t.fillStarts(j.submittedAt)
			}
		}
	}
}

// fillStarts sets the starts of runs whose line about it is missing. A run of a long-running task
// counts from the end of the one before or from the submission, since it lasts much longer than most
// waits. The time of any other one counts as unexplained, up to its end.
func (t *task) fillStarts(submittedAt time.Time) {
	from := submittedAt
	for _, r := range t.runs {
		if r.start.IsZero() {
			r.start, r.startMissing = r.end, true
			if t.longRunning {
				r.start = earlierOf(from, r.end)
			}
		}
		from = r.end
	}
}
