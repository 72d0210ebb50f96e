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

// finishedAt returns when the last task of a step of a job that succeeded did so; false if no line
// shows the end of any task. All tasks of the job succeeded, so a task without an end only lacks the
// line. If it counted as unfinished, the whole time of the step would be a wait of the next one.
func (s *step) finishedAt() (time.Time, bool) {
	var last time.Time
	for _, t := range s.tasks {
		if finished, ok := t.finishedAt(); ok && finished.After(last) {
			last = finished
		}
	}
	return last, !last.IsZero()
}

// taskBreakdown breaks down the time of a task within a span.
func (h *history) taskBreakdown(s *step, t *task, within span) Breakdown {
	var total Breakdown
	at := within.from
	var previous *run
	for i, r := range t.runs {
		if r.start.After(within.to) || r.start.Equal(within.to) && !r.startMissing {
			break
		}
		end := earlierOf(t.endOf(i, within.to), within.to)
		if end.After(at) {
			h.addGap(&total, s, t, previous, r, span{at, r.start})
			r.addTime(&total, span{laterOf(at, r.start), end})
			at = end
		}
		previous = r
	}
	h.addGap(&total, s, t, previous, nil, span{at, within.to})
	return total
}

// endOf returns when the run at an index ended. A run without a known end ended by the start of the
// next one, or not before the given time.
func (t *task) endOf(index int, to time.Time) time.Time {
	switch r := t.runs[index]; {
	case !r.end.IsZero():
		return r.end
	case index+1 < len(t.runs):
		return t.runs[index+1].start
	}
	return to
}

// addGap adds a time without a run, by the lines about the wait, else under the cause of the end of
// the previous run, which is nil before the first one. next is nil after the last one.
func (h *history) addGap(total *Breakdown, s *step, t *task, previous, next *run, gap span) {
	if next != nil && next.startMissing {
		h.addPeriod(total, gap, WaitsUnexplained)
		return
	}
	if previous != nil {
		known := earlierOf(gap.to, laterOf(gap.from, previous.lossKnownAt))
		h.addPeriod(total, span{gap.from, known}, previous.unknownCause)
		gap.from = known
		cause := previous.cause
		if cause == Working {
			cause = NotPlanned // the run of a long-running task ended by itself
		}
		h.addWait(total, s, t, previous.end, gap, cause)
		return
	}
	decided := gap.to
	if first := s.firstActivity(); !first.IsZero() {
		decided = earlierOf(gap.to, laterOf(gap.from, first))
	}
	h.addWait(total, s, t, time.Time{}, span{gap.from, decided}, NotPlanned)
	h.addWait(total, s, t, time.Time{}, span{decided, gap.to}, WaitsUnexplained)
}

// reasonValidity is the time after a line about a wait for which its reason is taken to apply. The
// lines about a wait are 2 s apart; one of them may be missing.
const reasonValidity = 4 * time.Second

// addWait adds a time without a run by the lines about the waits of its task and step. A line
// explains the wait before it, up to the line before; after the last one its reason applies for
// reasonValidity. What no line explains counts under the given cause.
// Lines before since, at which the previous run ended, are about an earlier wait.
func (h *history) addWait(total *Breakdown, s *step, t *task, since time.Time, gap span, cause Cause) {
	at := gap.from
	latest := wait{cause: cause}
	// addUntil adds the time up to a line, or to the end of the gap.
	addUntil := func(until time.Time) {
		valid := earlierOf(laterOf(at, latest.to.Add(reasonValidity)), until)
		h.addPeriod(total, span{at, valid}, latest.cause)
		h.addPeriod(total, span{valid, until}, cause)
		at = until
	}
	waits := slices.Concat(s.waits, t.waits)
	sortWaits(waits)
	for _, w := range waits {
		if w.cause == WaitsUnexplained || w.to.Before(since) {
			continue
		}
		if !w.from.Before(gap.to) {
			break
		}
		if w.to.After(at) {
			addUntil(laterOf(at, w.from))
			until := earlierOf(w.to, gap.to)
			h.addPeriod(total, span{at, until}, w.cause)
			at = until
		}
		latest = w
	}
	addUntil(gap.to)
}

// addPeriod adds a time without a run under its cause. The part of it without a leader counts as
// NoLeader, since only a leader can start the next run.
func (h *history) addPeriod(total *Breakdown, period span, cause Cause) {
	length := period.length()
	for _, s := range h.leaderless {
		lost := min(length, period.overlap(s))
		total[NoLeader] += lost
		length -= lost
	}
	total[cause] += length
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// addTime adds the time of a run within a span: first the time until it began.
func (r *run) addTime(total *Breakdown, within span) {
	begun := laterOf(within.from, r.begunBy(within.to))
	total[OrderedNotBegun] += span{within.from, begun}.length()
	r.addRunTime(total, span{begun, within.to})
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

// windows returns the windows of a long-running job, from its submission to its end or to the last
// line.
func (h *history) windows(j *job, length time.Duration) []Window {
	type stepTask struct {
		step *step
		task *task
	}
	var tasks []stepTask
	for _, name := range slices.Sorted(maps.Keys(j.steps)) {
		s := j.steps[name]
		for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
			if t := s.tasks[id]; t.longRunning {
				tasks = append(tasks, stepTask{s, t})
			}
		}
	}
	last := h.last
	for _, ended := range []time.Time{j.canceledAt, j.finishedAt} {
		if !ended.IsZero() {
			last = earlierOf(last, ended)
		}
	}
	var windows []Window
	if len(tasks) == 0 {
		return nil
	}
	for from := j.submittedAt; !from.Add(length).After(last); from = from.Add(length) {
		w := Window{Job: j.id, Path: j.path, Zone: j.zone, From: from, TaskTime: length * time.Duration(len(tasks))}
		for _, t := range tasks {
			w.Breakdown.add(h.longRunningBreakdown(t.step, t.task, span{from, from.Add(length)}))
		}
		windows = append(windows, w)
	}
	return windows
}

// longRunningBreakdown breaks down the time of a long-running task within a span.
func (h *history) longRunningBreakdown(s *step, t *task, within span) Breakdown {
	total := h.taskBreakdown(s, t, within)
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

// The outcomes. Late is after the time that the job's queue allows.
const (
	InTime Outcome = iota
	Late
	FailedJob
	Unfinished
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"in time", "late", "failed", "open"}

// String returns the name of the outcome in tables.
func (o Outcome) String() string { return outcomeNames[o] }

func (j *job) outcome() Outcome {
	switch {
	case j.finishedAt.IsZero():
		return Unfinished
	case j.result == "failed":
		return FailedJob
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
