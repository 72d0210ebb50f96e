package record

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/trace"
)

// Lines of single runs, as trace makes them of gathered ones.
const (
	lineStart = "start"
	lineEnded = "run ended"
	lineLost  = "run lost"
)

// span is a time from one moment to another.
type span struct{ from, to time.Time }

func (s span) length() time.Duration { return max(0, s.to.Sub(s.from)) }

// overlap is how long two spans have in common.
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

// run is one run of a task. Its end is zero while none is known.
type run struct {
	number float64
	start  time.Time
	end    time.Time
	// cause it ended; Working for one that ended done.
	cause Cause
	// paces are the changes of its pace, oldest first.
	paces []pace
}

type pace struct {
	at      time.Time
	percent float64
}

// task is a task with its runs, in their order.
type task struct {
	runs []*run
	// longRunning: its step is long-running.
	longRunning bool
	// overObjectiveAt are the times of the reports that showed its tail over its objective.
	overObjectiveAt []time.Time
}

// finishedAt returns when the task ended well.
func (t *task) finishedAt() (time.Time, bool) {
	for _, r := range t.runs {
		if r.cause == Working && !r.end.IsZero() {
			return r.end, true
		}
	}
	return time.Time{}, false
}

// wait is a line on a step that found no worker.
type wait struct {
	span
	cause Cause
}

// step is a step of a job.
type step struct {
	name  string
	tasks map[string]*task
	waits []wait
}

// firstActivity is when the step's turn is first seen to have come.
func (s *step) firstActivity() time.Time {
	var first time.Time
	note := func(at time.Time) {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			note(r.start)
		}
	}
	for _, w := range s.waits {
		note(w.from)
	}
	return first
}

// job is what the lines say of a job.
type job struct {
	id, path, zone string
	submittedAt    time.Time
	canceledAt     time.Time
	// finishedAt is when it ended, how, after which time, and within which it should have.
	finishedAt    time.Time
	result        string
	took, allowed time.Duration
	steps         map[string]*step
}

// history is what the lines of many processes say of jobs and leaders.
type history struct {
	jobs  map[string]*job
	first time.Time
	last  time.Time
	// leaderless are the times without a leader.
	leaderless []span
	// refused counts the submissions that were refused, by path.
	refused map[string]int
	// events are what the table by time counts.
	events []occurrence
}

// occurrence is something that happened, for the table by time.
type occurrence struct {
	at    time.Time
	cause Cause
}

// newHistory takes in lines that are in one order.
func newHistory(lines []trace.Line) *history {
	h := &history{jobs: map[string]*job{}, refused: map[string]int{}}
	zones := zonesByProcess(lines)
	leads := leadership{}
	for i := range lines {
		l := &lines[i]
		if h.first.IsZero() || l.At.Before(h.first) {
			h.first = l.At
		}
		if l.At.After(h.last) {
			h.last = l.At
		}
		leads.apply(l)
		h.apply(l, zones)
	}
	h.leaderless = leads.leaderless()
	h.sortRuns()
	h.backdateLosses()
	return h
}

// lossReportDelay is the time after a new leader is ready in which it tells of what was lost
// before.
const lossReportDelay = time.Second

// backdateLosses puts losses that a new leader tells of to the end of the leader before: where
// both went with the same power cut, nobody saw the runs end.
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

func (r *run) backdateLoss(away []span) {
	for _, a := range away {
		told := r.end.Sub(a.to)
		if r.cause == WorkerLost && r.start.Before(a.from) && told >= 0 && told <= lossReportDelay {
			r.end = a.from
			return
		}
	}
}

// zonesByProcess returns the availability zone of each process that named one at its start.
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
	case lineStart, lineEnded, lineLost, event.RunStop.Name, event.PaceAnswered.Name, event.TailObjectivesExceeded.Name:
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

// stepOf returns the step of a task's or step's name.
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

// endCauses is why a run ended, by how its line says that it did. A member of a gang that is
// broken, or that waited alone for the others, went with a failure of another one.
var endCauses = map[string]Cause{
	"done": Working, "failed": Failed, "broken": Failed, "alone": Failed, "stopped": Moved, "lapsed": WorkerLost,
}

func (h *history) applyRun(l *trace.Line) {
	name := l.Text(event.NameTask)
	cut := strings.LastIndexByte(name, '/')
	if cut < 0 || !strings.Contains(name[:cut], "/") {
		return
	}
	s := h.stepOf(name[:cut])
	t := s.tasks[name]
	if t == nil {
		t = &task{}
		s.tasks[name] = t
	}
	number, _ := l.Fields[event.NameRun].(float64)
	r := t.run(number)
	switch l.Event {
	case lineStart:
		r.start = l.At
		t.longRunning = t.longRunning || l.Fields[event.NameLongRunning] == true
	case lineEnded:
		cause, known := endCauses[l.Text(event.NameOutcome)]
		if !known {
			return // Another program's line: it ends nothing.
		}
		r.finish(l.At, cause)
		if cause == Failed {
			h.events = append(h.events, occurrence{l.At, Failed})
		}
	case lineLost:
		r.finish(l.At, WorkerLost)
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

// finish notes a run's end; what ended it first counts.
func (r *run) finish(at time.Time, why Cause) {
	if r.end.IsZero() || why == Working {
		r.end, r.cause = at, why
	}
}

// sortRuns puts runs in order, and leaves out those whose start no line tells.
func (h *history) sortRuns() {
	for _, j := range h.jobs {
		for _, s := range j.steps {
			for _, t := range s.tasks {
				t.runs = slices.DeleteFunc(t.runs, func(r *run) bool { return r.start.IsZero() })
				slices.SortFunc(t.runs, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
			}
		}
	}
}

// leadership collects from when to when there was a leader.
type leadership struct {
	readyAt []time.Time
	// lastSeen is when the leader of a term was last seen to lead.
	terms    []float64
	lastSeen map[float64]time.Time
}

func (g *leadership) apply(l *trace.Line) {
	term, known := l.Fields[event.NameTerm].(float64)
	if !known {
		return
	}
	if l.Event == event.LeaderReady.Name && l.Part == string(event.Dispatch) {
		g.readyAt = append(g.readyAt, l.At)
		g.terms = append(g.terms, term)
	}
	leads := l.Event == event.GroupState.Name && l.Fields["leads"] == true
	if leads || l.Part == string(event.Dispatch) || l.Event == lineStart || l.Event == lineEnded {
		if g.lastSeen == nil {
			g.lastSeen = map[float64]time.Time{}
		}
		if l.At.After(g.lastSeen[term]) {
			g.lastSeen[term] = l.At
		}
	}
}

// leaderless returns the times from the last sign of a leader until the next one was ready.
func (g *leadership) leaderless() []span {
	var away []span
	for i := 1; i < len(g.readyAt); i++ {
		if last := g.lastSeen[g.terms[i-1]]; last.Before(g.readyAt[i]) {
			away = append(away, span{last, g.readyAt[i]})
		}
	}
	return away
}
