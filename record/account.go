package record

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Breakdown are times by cause.
type Breakdown [numCauses]time.Duration

func (c *Breakdown) add(o Breakdown) {
	for cause := range c {
		c[cause] += o[cause]
	}
}

// Lost is the time that was not spent at work.
func (c *Breakdown) Lost() time.Duration {
	var sum time.Duration
	for cause, d := range c {
		if Cause(cause) != Working {
			sum += d
		}
	}
	return sum
}

// criticalPath accounts for the time of a job that ended, from the time that it was handed in: the
// task that ended last is followed back to when its step's turn had come, then the one that
// ended last before that, and so on. A job ends with its slowest tasks; what the others met
// cost nobody anything.
func (h *history) criticalPath(j *job) Breakdown {
	var costs Breakdown
	end := j.finishedAt
	for !end.IsZero() && end.After(j.submittedAt) {
		s, last := j.lastFinished(end)
		if last == nil {
			break
		}
		done, _ := last.finishedAt()
		turn := j.readyAt(s)
		costs.add(h.taskBreakdown(s, last, span{turn, done}))
		if !turn.Before(end) {
			break
		}
		end = turn
	}
	return costs
}

// lastFinished returns the task that ended last, no later than at, with its step.
func (j *job) lastFinished(at time.Time) (*step, *task) {
	var found *task
	var of *step
	var newest time.Time
	for _, name := range slices.Sorted(maps.Keys(j.steps)) {
		s := j.steps[name]
		for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
			t := s.tasks[id]
			if done, ok := t.finishedAt(); ok && !done.After(at) && (found == nil || done.After(newest)) {
				of, found, newest = s, t, done
			}
		}
	}
	return of, found
}

// readyAt is when a step's turn had come: when the last step that ended before its first
// sign did, or the job was handed in.
func (j *job) readyAt(s *step) time.Time {
	turn := j.submittedAt
	first := s.firstActivity()
	for _, other := range j.steps {
		if other == s {
			continue
		}
		if ended, ok := other.finishedAt(); ok && !ended.After(first) && ended.After(turn) {
			turn = ended
		}
	}
	return turn
}

// finishedAt is when the last task of a step ended well; false while one has not.
func (s *step) finishedAt() (time.Time, bool) {
	var last time.Time
	for _, t := range s.tasks {
		done, ok := t.finishedAt()
		if !ok {
			return time.Time{}, false
		}
		if done.After(last) {
			last = done
		}
	}
	return last, len(s.tasks) > 0
}

// taskBreakdown accounts for a task's time within a span.
func (h *history) taskBreakdown(s *step, t *task, within span) Breakdown {
	var costs Breakdown
	at := within.from
	why := WaitsUnexplained
	for _, r := range t.runs {
		if !r.start.Before(within.to) {
			break
		}
		gap := span{at, r.start}
		if r == t.runs[0] {
			h.addWait(&costs, s, gap)
		} else {
			h.addGap(&costs, gap, why)
		}
		end := r.end
		if end.IsZero() || end.After(within.to) {
			end = within.to
		}
		r.addRunTime(&costs, span{r.start, end})
		at, why = end, r.cause
	}
	return costs
}

// addGap adds a time without a run: while there was no leader, nobody could end it.
func (h *history) addGap(costs *Breakdown, gap span, why Cause) {
	length := gap.length()
	for _, away := range h.leaderless {
		lost := min(length, gap.overlap(away))
		costs[NoLeader] += lost
		length -= lost
	}
	costs[why] += length
}

// addWait adds the time before a task's first run, by what the lines on its step say. Each
// line holds until the next one.
func (h *history) addWait(costs *Breakdown, s *step, gap span) {
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
			h.addGap(costs, span{at, until}, w.cause)
			at = until
		}
	}
	before := gap.length()
	if len(waits) > 0 {
		before = span{gap.from, earlierOf(gap.to, waits[0].from)}.length()
	}
	h.addGap(costs, span{gap.from, gap.from.Add(before)}, WaitsUnexplained)
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// addRunTime adds the time of a run, what its paces took apart.
func (r *run) addRunTime(costs *Breakdown, within span) {
	const full = 100
	at, percent := within.from, float64(full)
	spend := func(until time.Time) {
		length := span{at, until}.length()
		worked := time.Duration(float64(length) * percent / full)
		costs[Working] += worked
		costs[SlowedDown] += length - worked
		at = until
	}
	slices.SortStableFunc(r.paces, func(a, b pace) int { return a.at.Compare(b.at) })
	for _, p := range r.paces {
		if p.at.After(at) && p.at.Before(within.to) {
			spend(p.at)
		}
		percent = p.percent
	}
	spend(within.to)
}

// Window is a time of a long-running job with what was lost in it.
type Window struct {
	Job  string
	Path string
	Zone string
	From time.Time
	// TaskTime is the time that all tasks together had, Costs what was lost of it.
	TaskTime  time.Duration
	Breakdown Breakdown
}

// Cause is the one that took most.
func (w *Window) Cause() Cause {
	worst := Working
	for c := Working + 1; c < numCauses; c++ {
		if w.Breakdown[c] > 0 && (worst == Working || w.Breakdown[c] > w.Breakdown[worst]) {
			worst = c
		}
	}
	return worst
}

// tailReportInterval is the time that one report of a tail stands for: agents report a worker on
// which nothing ends twice a second.
const tailReportInterval = 500 * time.Millisecond

// windows returns the windows of a long-running job, from the first start of one of its
// tasks until it was canceled or the lines end.
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

// longRunningBreakdown accounts for a long-running task's time within a span.
func (h *history) longRunningBreakdown(t *task, within span) Breakdown {
	var costs Breakdown
	at, why := within.from, WaitsUnexplained
	for _, r := range t.runs {
		if !r.end.IsZero() && !r.end.After(within.from) {
			why = r.cause
			continue
		}
		if r.start.After(at) {
			h.addGap(&costs, span{at, earlierOf(r.start, within.to)}, why)
		}
		at, why = within.to, r.cause
		if r.end.IsZero() || !r.end.Before(within.to) {
			break
		}
		at = r.end
	}
	h.addGap(&costs, span{at, within.to}, why)
	for _, over := range t.overObjectiveAt {
		if !over.Before(within.from) && over.Before(within.to) {
			costs[OverObjective] += tailReportInterval
		}
	}
	costs[Working] = max(0, within.length()-costs.Lost())
	return costs
}

// Outcome is how a job that should end did.
type Outcome int

// The outcomes. TooLate is later than three times the allowed time, after which callers
// count a job as not served.
const (
	InTime Outcome = iota
	Late
	TooLate
	FailedJob
	Unfinished
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"in time", "late", "too late", "failed", "open"}

// String returns the outcome's name in tables.
func (o Outcome) String() string { return outcomeNames[o] }

// tooLateFactor times the allowed time is when callers have made do without the job.
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

// Outcomes returns all outcomes, in the order in which they are shown.
func Outcomes() []Outcome {
	list := make([]Outcome, numOutcomes)
	for i := range list {
		list[i] = Outcome(i)
	}
	return list
}
