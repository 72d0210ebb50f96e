package record

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Breakdown is an amount of time broken down by cause.
type Breakdown [numCauses]time.Duration

func (b *Breakdown) add(other Breakdown) {
	for cause := range b {
		b[cause] += other[cause]
	}
}

// Lost returns the time of all causes other than Working.
func (b *Breakdown) Lost() time.Duration {
	var sum time.Duration
	for cause, d := range b {
		if Cause(cause) != Working {
			sum += d
		}
	}
	return sum
}

// criticalPath breaks down the time from the submission of a job to its end along the critical
// path. It starts at the task that finished last and goes back to the time at which its step became
// ready, then to the task that finished last before that time, and so on. A job finishes with its
// slowest tasks, so delays of the other tasks do not delay it.
func (h *history) criticalPath(j *job) Breakdown {
	var total Breakdown
	end := j.finishedAt
	for !end.IsZero() && end.After(j.submittedAt) {
		s, last := j.lastFinished(end)
		if last == nil {
			break
		}
		finished, _ := last.finishedAt()
		ready := j.readyAt(s)
		total.add(h.taskBreakdown(s, last, span{ready, finished}))
		if !ready.Before(end) {
			break
		}
		end = ready
	}
	return total
}

// lastFinished returns the last task that finished at or before the given time, with its step; nil
// if there is none.
func (j *job) lastFinished(at time.Time) (*step, *task) {
	var last *task
	var lastStep *step
	var latest time.Time
	for _, name := range slices.Sorted(maps.Keys(j.steps)) {
		s := j.steps[name]
		for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
			t := s.tasks[id]
			if finished, ok := t.finishedAt(); ok && !finished.After(at) && (last == nil || finished.After(latest)) {
				lastStep, last, latest = s, t, finished
			}
		}
	}
	return lastStep, last
}

// readyAt returns when a step became ready: the time at which the last of the steps that finished
// before its first activity did so, or at which the job was submitted.
func (j *job) readyAt(s *step) time.Time {
	ready := j.submittedAt
	first := s.firstActivity()
	for _, other := range j.steps {
		if other == s {
			continue
		}
		if finished, ok := other.finishedAt(); ok && !finished.After(first) && finished.After(ready) {
			ready = finished
		}
	}
	return ready
}

// finishedAt returns when the last task of a step succeeded; false while any task has not.
func (s *step) finishedAt() (time.Time, bool) {
	var last time.Time
	for _, t := range s.tasks {
		finished, ok := t.finishedAt()
		if !ok {
			return time.Time{}, false
		}
		if finished.After(last) {
			last = finished
		}
	}
	return last, len(s.tasks) > 0
}

// taskBreakdown breaks down the time of a task within a span.
func (h *history) taskBreakdown(s *step, t *task, within span) Breakdown {
	var total Breakdown
	at := within.from
	cause := WaitsUnexplained
	for _, r := range t.runs {
		if !r.start.Before(within.to) {
			break
		}
		gap := span{at, r.start}
		if r == t.runs[0] {
			h.addWait(&total, s, gap)
		} else {
			h.addGap(&total, gap, cause)
		}
		end := r.end
		if end.IsZero() || end.After(within.to) {
			end = within.to
		}
		r.addRunTime(&total, span{r.start, end})
		at, cause = end, r.cause
	}
	return total
}

// addGap adds a time without a run under its cause. The part of it without a leader counts as
// NoLeader, since only a leader can start the next run.
func (h *history) addGap(total *Breakdown, gap span, cause Cause) {
	length := gap.length()
	for _, s := range h.leaderless {
		lost := min(length, gap.overlap(s))
		total[NoLeader] += lost
		length -= lost
	}
	total[cause] += length
}

// addWait adds the time before the first run of a task, by the causes in the lines about its
// waiting step. Each line applies until the next one.
func (h *history) addWait(total *Breakdown, s *step, gap span) {
	waits := slices.Clone(s.waits)
	slices.SortStableFunc(waits, func(a, b wait) int { return a.to.Compare(b.to) })
	at := gap.from
	for i, w := range waits {
		until := gap.to
		if i+1 < len(waits) && waits[i+1].from.Before(until) {
			until = waits[i+1].from
		}
		if w.from.After(at) {
			at = w.from
		}
		if until.After(at) && at.Before(gap.to) {
			h.addGap(total, span{at, until}, w.cause)
			at = until
		}
	}
	before := gap.length()
	if len(waits) > 0 {
		before = span{gap.from, earlierOf(gap.to, waits[0].from)}.length()
	}
	h.addGap(total, span{gap.from, gap.from.Add(before)}, WaitsUnexplained)
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// addRunTime adds the time of a run within a span, divided by its paces into time at full speed and
// time lost.
func (r *run) addRunTime(total *Breakdown, within span) {
	const full = 100
	at, percent := within.from, float64(full)
	addUntil := func(until time.Time) {
		length := span{at, until}.length()
		worked := time.Duration(float64(length) * percent / full)
		total[Working] += worked
		total[SlowedDown] += length - worked
		at = until
	}
	slices.SortStableFunc(r.paces, func(a, b pace) int { return a.at.Compare(b.at) })
	for _, p := range r.paces {
		if p.at.After(at) && p.at.Before(within.to) {
			addUntil(p.at)
		}
		percent = p.percent
	}
	addUntil(within.to)
}

// Window is a period of a long-running job with the time that was lost in it.
type Window struct {
	Job  string
	Path string
	Zone string
	From time.Time
	// TaskTime is the length of the window times the number of tasks; Breakdown divides it by cause.
	TaskTime  time.Duration
	Breakdown Breakdown
}

// Cause returns the cause of most of the lost time, or Working if none was lost.
func (w *Window) Cause() Cause {
	worst := Working
	for c := Working + 1; c < numCauses; c++ {
		if w.Breakdown[c] > 0 && (worst == Working || w.Breakdown[c] > w.Breakdown[worst]) {
			worst = c
		}
	}
	return worst
}

// tailReportInterval is the time that each report of a tail latency covers, from one report to the
// next: agents report a worker on which nothing ends twice per second.
const tailReportInterval = 500 * time.Millisecond

// windows returns the windows of a long-running job, from the first start of any of its tasks to
// its cancellation or the last line.
func (h *history) windows(j *job, length time.Duration) []Window {
	var tasks []*task
	var first time.Time
	for _, name := range slices.Sorted(maps.Keys(j.steps)) {
		for _, id := range slices.Sorted(maps.Keys(j.steps[name].tasks)) {
			t := j.steps[name].tasks[id]
			if !t.longRunning || len(t.runs) == 0 {
				continue
			}
			tasks = append(tasks, t)
			if start := t.runs[0].start; first.IsZero() || start.Before(first) {
				first = start
			}
		}
	}
	last := h.last
	if !j.canceledAt.IsZero() {
		last = j.canceledAt
	}
	var windows []Window
	if len(tasks) == 0 {
		return nil
	}
	for from := first; !from.Add(length).After(last); from = from.Add(length) {
		w := Window{Job: j.id, Path: j.path, Zone: j.zone, From: from, TaskTime: length * time.Duration(len(tasks))}
		for _, t := range tasks {
			w.Breakdown.add(h.longRunningBreakdown(t, span{from, from.Add(length)}))
		}
		windows = append(windows, w)
	}
	return windows
}

// longRunningBreakdown breaks down the time of a long-running task within a span.
func (h *history) longRunningBreakdown(t *task, within span) Breakdown {
	var total Breakdown
	at, cause := within.from, WaitsUnexplained
	for _, r := range t.runs {
		if !r.end.IsZero() && !r.end.After(within.from) {
			cause = r.cause
			continue
		}
		if r.start.After(at) {
			h.addGap(&total, span{at, earlierOf(r.start, within.to)}, cause)
		}
		at, cause = within.to, r.cause
		if r.end.IsZero() || !r.end.Before(within.to) {
			break
		}
		at = r.end
	}
	h.addGap(&total, span{at, within.to}, cause)
	for _, reportedAt := range t.overObjectiveAt {
		if !reportedAt.Before(within.from) && reportedAt.Before(within.to) {
			total[OverObjective] += tailReportInterval
		}
	}
	total[Working] = max(0, within.length()-total.Lost())
	return total
}

// Outcome is the outcome of a job that is not long-running.
type Outcome int

// The outcomes. Late is after the allowed time; TooLate is after three times the allowed time, when
// callers count the job as not served.
const (
	InTime Outcome = iota
	Late
	TooLate
	FailedJob
	Unfinished
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"in time", "late", "too late", "failed", "open"}

// String returns the name of the outcome in tables.
func (o Outcome) String() string { return outcomeNames[o] }

// tooLateFactor times the allowed time is the time after which callers proceed without the job.
const tooLateFactor = 3

func (j *job) outcome() Outcome {
	switch {
	case j.finishedAt.IsZero():
		return Unfinished
	case j.result == "failed":
		return FailedJob
	case j.took > tooLateFactor*j.allowed:
		return TooLate
	case j.took > j.allowed:
		return Late
	}
	return InTime
}

func (j *job) isLongRunning() bool {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.longRunning {
				return true
			}
		}
	}
	return false
}

func (h *history) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(h.jobs), func(a, b *job) int {
		return cmp.Or(a.submittedAt.Compare(b.submittedAt), cmp.Compare(a.id, b.id))
	})
}

// Outcomes returns all outcomes in display order.
func Outcomes() []Outcome {
	list := make([]Outcome, numOutcomes)
	for i := range list {
		list[i] = Outcome(i)
	}
	return list
}
