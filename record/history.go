package record

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/trace"
)

// Events of single runs, which package trace expands from aggregated lines.
const (
	lineStart = "start"
	lineBegun = "run begun"
	lineEnded = "run ended"
	lineLost  = "run lost"
)

// span is a period of time.
type span struct{ from, to time.Time }

func (s span) length() time.Duration { return max(0, s.to.Sub(s.from)) }

// overlap returns the duration that two spans have in common.
func (s span) overlap(o span) time.Duration {
	from, to := s.from, s.to
	if o.from.After(from) {
		from = o.from
	}
	if o.to.Before(to) {
		to = o.to
	}
	return max(0, to.Sub(from))
}

// run is a run of a task. Its end is zero while none is known.
type run struct {
	number float64
	// start is when the start was ordered. startTerm is the term of the leader that ordered it.
	start     time.Time
	startTerm any
	// startMissing is set if no line shows the start.
	startMissing bool
	// acceptedAt is when the worker accepted the start, by the line of its agent, and begunAt when it
	// first reported the run to the leader that ordered it. notBegunAt is the last time at which the
	// leader knew that the run had not begun. refused is set if it never began.
	acceptedAt, begunAt, notBegunAt time.Time
	refused                         bool
	end                             time.Time
	// lossKnownAt is when a leader learned of the loss of the run, zero if the run ended otherwise, and
	// unknownCause is the cause of the time from the end until then.
	lossKnownAt  time.Time
	unknownCause Cause
	// cause is why the run ended; Working if it ended as done.
	cause Cause
	// paces are the changes of the pace, in the order of their lines.
	paces []pace
}

// pace is a change of the allowed fraction of full speed.
type pace struct {
	at      time.Time
	percent float64
}

// task is a task with its runs, ordered by number.
type task struct {
	runs []*run
	// longRunning reports whether the step of the task is long-running.
	longRunning bool
	// overObjectiveAt are the times of the reports of a tail latency that exceeds its objective.
	overObjectiveAt []time.Time
	// waits are the lines about the task itself, ordered by time.
	waits []wait
}

// finishedAt returns when the task succeeded; false while it has not.
func (t *task) finishedAt() (time.Time, bool) {
	for _, r := range t.runs {
		if r.cause == Working && !r.end.IsZero() {
			return r.end, true
		}
	}
	return time.Time{}, false
}

// wait is a period in which a step or a task waited for a run by a line at its end, and the cause.
type wait struct {
	span
	cause Cause
}

// sortWaits sorts waits by their lines.
func sortWaits(waits []wait) {
	slices.SortStableFunc(waits, func(a, b wait) int { return a.to.Compare(b.to) })
}

// step is a step of a job. Its waits are ordered by time.
type step struct {
	name  string
	tasks map[string]*task
	waits []wait
}

// firstActivity returns the time of the first start or wait of the step.
func (s *step) firstActivity() time.Time {
	var first time.Time
	record := func(at time.Time) {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			record(r.start)
		}
	}
	for _, w := range s.waits {
		record(w.from)
	}
	return first
}

// job is the state of a job as the lines show it.
type job struct {
	id, path, zone string
	submittedAt    time.Time
	canceledAt     time.Time
	// finishedAt is when the job ended, result is how it ended, took is the time that it took, and
	// allowed is the time that its caller allowed.
	finishedAt    time.Time
	result        string
	took, allowed time.Duration
	steps         map[string]*step
}

// history is the state of jobs and leaders as the lines of many processes show it.
type history struct {
	jobs  map[string]*job
	first time.Time
	last  time.Time
	// leaderless are the periods without a leader.
	leaderless []span
	// refused counts the refused submissions by path.
	refused map[string]int
	// events are the events that the table of intervals counts.
	events []occurrence
}

// occurrence is an event in the table of intervals.
type occurrence struct {
	at    time.Time
	cause Cause
}

// newHistory builds a history from lines in causal order.
func newHistory(lines []trace.Line) *history {
	h := &history{jobs: map[string]*job{}, refused: map[string]int{}}
	zones := zonesByProcess(lines)
	leaders := leadership{}
	for i := range lines {
		l := &lines[i]
		if h.first.IsZero() || l.At.Before(h.first) {
			h.first = l.At
		}
		if l.At.After(h.last) {
			h.last = l.At
		}
		if l.Deposed {
			continue
		}
		leaders.apply(l)
		h.apply(l, zones)
	}
	h.leaderless = leaders.leaderless()
	h.sortRuns()
	h.backdateLosses()
	return h
}

// lossReportDelay is the time, from the moment at which a new leader is ready, within which it
// reports the runs that were lost before.
const lossReportDelay = time.Second

// readyTolerance is more than the time from the moment from which a new leader counts the age of reports
// to the line that says that it is ready.
const readyTolerance = 100 * time.Millisecond

// backdateLosses moves losses that a new leader reports to the last sign of the previous leader. If
// the leader and the worker fail in the same power outage, no line shows when the runs ended.
func (h *history) backdateLosses() {
	for _, j := range h.jobs {
		for _, s := range j.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					r.backdateLoss(h.leaderless)
				}
			}
		}
	}
}

func (r *run) backdateLoss(leaderless []span) {
	for _, s := range leaderless {
		delay := r.end.Sub(s.to)
		if r.cause == WorkerLost && r.start.Before(s.from) && delay >= -readyTolerance && delay <= lossReportDelay {
			r.end, r.unknownCause = s.from, LeaderUninformed
			return
		}
	}
}

// zonesByProcess returns the availability zone of each process that logged one when it started.
func zonesByProcess(lines []trace.Line) map[string]string {
	zones := map[string]string{}
	for i := range lines {
		if zone := lines[i].Text(event.NameZone); zone != "" {
			zones[lines[i].Process] = zone
		}
	}
	return zones
}

func (h *history) apply(l *trace.Line, zones map[string]string) {
	switch l.Event {
	case event.Request.Name, event.RequestFailed.Name:
		h.applyRequest(l, zones)
	case event.JobsFinished.Name:
		j := h.job(l.Text(event.NameJob))
		j.finishedAt, j.result, j.path = l.At, l.Text(event.NameOutcome), l.Text(event.NamePath)
		j.took, _ = l.Fields[event.NameTook].(time.Duration)
		j.allowed, _ = l.Fields[event.NameAllowed].(time.Duration)
	case event.TasksWaiting.Name:
		h.applyWait(l)
	case event.LongRunningOutage.Name:
		h.applyOutage(l)
	case lineStart, lineBegun, lineEnded, lineLost, event.StartAnswered.Name, event.StartRefused.Name, event.RunStop.Name,
		event.PaceAnswered.Name, event.TailObjectivesExceeded.Name:
		h.applyRun(l)
	}
}

func (h *history) job(id string) *job {
	j := h.jobs[id]
	if j == nil {
		j = &job{id: id, steps: map[string]*step{}}
		h.jobs[id] = j
	}
	return j
}

const (
	statusOK          = 200
	statusMultiple    = 300
	statusUnavailable = 503
	statusTooMany     = 429
)

func (h *history) applyRequest(l *trace.Line, zones map[string]string) {
	id := l.Text(event.NameJob)
	status, _ := l.Fields[event.NameStatus].(float64)
	if id == "" {
		return
	}
	accepted := status >= statusOK && status < statusMultiple
	path := strings.TrimSuffix(l.Text(event.NamePath), id)
	switch l.Text(event.NameMethod) {
	case "POST":
		if status == statusUnavailable || status == statusTooMany {
			h.refused[path]++
			return
		}
		j := h.job(id)
		if j.submittedAt.IsZero() || l.At.Before(j.submittedAt) {
			j.submittedAt, j.zone = l.At, zones[l.Process]
		}
		j.path = path
	case "DELETE":
		if j := h.job(id); accepted && j.canceledAt.IsZero() {
			j.canceledAt = l.At
		}
	}
}

// stepOf returns the step of the given name and adds it if it is not known.
func (h *history) stepOf(name string) *step {
	j := h.job(name[:strings.IndexByte(name, '/')])
	s := j.steps[name]
	if s == nil {
		s = &step{name: name, tasks: map[string]*task{}}
		j.steps[name] = s
	}
	return s
}

func (h *history) applyWait(l *trace.Line) {
	name := l.Text(event.NameStep)
	if !strings.Contains(name, "/") {
		return
	}
	waited, _ := l.Fields[event.NameWaited].(time.Duration)
	cause := waitCause(l.Text(event.NameWorkers))
	s := h.stepOf(name)
	s.waits = append(s.waits, wait{span{l.At.Add(-waited), l.At}, cause})
	h.events = append(h.events, occurrence{l.At, cause})
}

// applyOutage applies a line about a long-running task that does not run. It may be the only line
// about a task that has never run.
func (h *history) applyOutage(l *trace.Line) {
	t := h.taskOf(l.Text(event.NameTask))
	if t == nil {
		return
	}
	t.longRunning = true
	waited, _ := l.Fields[event.NameWaited].(time.Duration)
	cause := outageCause(l.Text(event.NameReason))
	t.waits = append(t.waits, wait{span{l.At.Add(-waited), l.At}, cause})
	if number, err := strconv.ParseFloat(l.Text(event.NameRun), 64); err == nil && number > 0 && cause == OrderedNotBegun {
		t.run(number).notBegunAt = l.At
	}
}

// taskOf returns the task of the given name and adds it if it is not known; nil if it is not the name of a task.
func (h *history) taskOf(name string) *task {
	cut := strings.LastIndexByte(name, '/')
	if cut < 0 || !strings.Contains(name[:cut], "/") {
		return nil
	}
	s := h.stepOf(name[:cut])
	t := s.tasks[name]
	if t == nil {
		t = &task{}
		s.tasks[name] = t
	}
	return t
}

// endCauses maps the outcomes in lines about ended runs to causes. The outcomes "broken" and
// "alone" are of members of a gang that has lost another member, or that waited in vain for the
// others: they end because another member failed.
var endCauses = map[string]Cause{
	"done": Working, "failed": Failed, "broken": Failed, "alone": Failed, "stopped": Moved, "lapsed": WorkerLost,
}

func (h *history) applyRun(l *trace.Line) {
	t := h.taskOf(l.Text(event.NameTask))
	if t == nil {
		return
	}
	number, _ := l.Fields[event.NameRun].(float64)
	r := t.run(number)
	switch l.Event {
	case lineStart:
		if r.refused { // the number is used again
			*r = run{number: number}
		}
		r.start, r.startTerm = l.At, l.Fields[event.NameTerm]
		t.longRunning = t.longRunning || l.Fields[event.NameLongRunning] == true
	case lineEnded:
		cause, known := endCauses[l.Text(event.NameOutcome)]
		if !known {
			return // an unrecognized outcome, for instance from another program
		}
		r.finish(l.At, cause)
		if cause == Failed {
			h.events = append(h.events, occurrence{l.At, Failed})
		}
	case lineBegun:
		if r.startTerm == l.Fields[event.NameTerm] && r.begunAt.IsZero() {
			r.begunAt = l.At
		}
	case event.StartAnswered.Name:
		if l.Text(event.NameAnswer) == answerDone && r.acceptedAt.IsZero() {
			r.acceptedAt = l.At
		}
	case event.StartRefused.Name:
		r.refused = true
		r.finish(l.At, OrderedNotBegun)
	case lineLost:
		r.lose(l)
		h.events = append(h.events, occurrence{l.At, WorkerLost})
	case event.RunStop.Name:
		r.finish(l.At, Moved)
		h.events = append(h.events, occurrence{l.At, Moved})
	case event.PaceAnswered.Name:
		percent, _ := l.Fields[event.NamePercent].(float64)
		r.paces = append(r.paces, pace{l.At, percent})
	case event.TailObjectivesExceeded.Name:
		t.overObjectiveAt = append(t.overObjectiveAt, l.At)
		h.events = append(h.events, occurrence{l.At, OverObjective})
	}
}

func (t *task) run(number float64) *run {
	for _, r := range t.runs {
		if r.number == number {
			return r
		}
	}
	r := &run{number: number}
	t.runs = append(t.runs, r)
	return r
}
