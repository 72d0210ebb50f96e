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
	// why it ended; Working for one that ended done.
	why Cause
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
	// over are the times of the reports that showed its tail over its objective.
	over []time.Time
}

// done returns when the task ended well.
func (t *task) done() (time.Time, bool) {
	for _, r := range t.runs {
		if r.why == Working && !r.end.IsZero() {
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

// first is when the step's turn is first seen to have come.
func (s *step) first() time.Time {
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
	handedIn       time.Time
	canceled       time.Time
	// over is when it ended, how, after which time, and within which it should have.
	over          time.Time
	how           string
	took, allowed time.Duration
	steps         map[string]*step
}

// history is what the lines of many processes say of jobs and leaders.
type history struct {
	jobs  map[string]*job
	first time.Time
	last  time.Time
	// away are the times without a leader.
	away []span
	// refused counts the submissions that were refused, by path.
	refused map[string]int
	// events are what the table by time counts.
	events []moment
}

// moment is something that happened, for the table by time.
type moment struct {
	at    time.Time
	cause Cause
}

// read takes in lines that are in one order.
func read(lines []trace.Line) *history {
	h := &history{jobs: map[string]*job{}, refused: map[string]int{}}
	zones := zonesOf(lines)
	leads := leadership{}
	for i := range lines {
		l := &lines[i]
		if h.first.IsZero() || l.At.Before(h.first) {
			h.first = l.At
		}
		if l.At.After(h.last) {
			h.last = l.At
		}
		leads.take(l)
		h.take(l, zones)
	}
	h.away = leads.away()
	h.sortRuns()
	h.dateLosses()
	return h
}

// lossToldWithin is the time after a new leader is ready in which it tells of what was lost
// before.
const lossToldWithin = time.Second

// dateLosses puts losses that a new leader tells of to the end of the leader before: where
// both went with the same power cut, nobody saw the runs end.
func (h *history) dateLosses() {
	for _, j := range h.jobs {
		for _, s := range j.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					r.dateLoss(h.away)
				}
			}
		}
	}
}

func (r *run) dateLoss(away []span) {
	for _, a := range away {
		told := r.end.Sub(a.to)
		if r.why == HostGone && r.start.Before(a.from) && told >= 0 && told <= lossToldWithin {
			r.end = a.from
			return
		}
	}
}

// zonesOf returns the availability zone of each process that named one at its start.
func zonesOf(lines []trace.Line) map[string]string {
	zones := map[string]string{}
	for i := range lines {
		if zone := lines[i].Text(event.NameZone); zone != "" {
			zones[lines[i].Process] = zone
		}
	}
	return zones
}

func (h *history) take(l *trace.Line, zones map[string]string) {
	switch l.Event {
	case event.Request.Name, event.RequestUnanswered.Name:
		h.takeRequest(l, zones)
	case event.JobsOver.Name:
		j := h.job(l.Text(event.NameJob))
		j.over, j.how, j.path = l.At, l.Text(event.NameHow), l.Text(event.NamePath)
		j.took, _ = l.Fields[event.NameTook].(time.Duration)
		j.allowed, _ = l.Fields[event.NameAllowed].(time.Duration)
	case event.TasksWait.Name:
		h.takeWait(l)
	case lineStart, lineEnded, lineLost, event.RunStop.Name, event.PaceAnswered.Name, event.TailsOver.Name:
		h.takeRun(l)
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

func (h *history) takeRequest(l *trace.Line, zones map[string]string) {
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
		if j.handedIn.IsZero() || l.At.Before(j.handedIn) {
			j.handedIn, j.zone = l.At, zones[l.Process]
		}
		j.path = path
	case "DELETE":
		if j := h.job(id); accepted && j.canceled.IsZero() {
			j.canceled = l.At
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

func (h *history) takeWait(l *trace.Line) {
	name := l.Text(event.NameStep)
	if !strings.Contains(name, "/") {
		return
	}
	waited, _ := l.Fields[event.NameWaited].(time.Duration)
	cause := waitCause(l.Text(event.NameWorkers))
	s := h.stepOf(name)
	s.waits = append(s.waits, wait{span{l.At.Add(-waited), l.At}, cause})
	h.events = append(h.events, moment{l.At, cause})
}

// endCauses is why a run ended, by how its line says that it did. A member of a gang that is
// broken, or that waited alone for the others, went with a failure of another one.
var endCauses = map[string]Cause{
	"done": Working, "failed": Failed, "broken": Failed, "alone": Failed, "stopped": Moved, "lapsed": HostGone,
}

func (h *history) takeRun(l *trace.Line) {
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
		cause, known := endCauses[l.Text(event.NameHow)]
		if !known {
			return // Another program's line: it ends nothing.
		}
		r.finish(l.At, cause)
		if cause == Failed {
			h.events = append(h.events, moment{l.At, Failed})
		}
	case lineLost:
		r.finish(l.At, HostGone)
		h.events = append(h.events, moment{l.At, HostGone})
	case event.RunStop.Name:
		r.finish(l.At, Moved)
		h.events = append(h.events, moment{l.At, Moved})
	case event.PaceAnswered.Name:
		percent, _ := l.Fields[event.NamePercent].(float64)
		r.paces = append(r.paces, pace{l.At, percent})
	case event.TailsOver.Name:
		t.over = append(t.over, l.At)
		h.events = append(h.events, moment{l.At, OverObjective})
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
		r.end, r.why = at, why
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
	// lastOf is when the leader of a term was last seen to lead.
	terms  []float64
	lastOf map[float64]time.Time
}

func (g *leadership) take(l *trace.Line) {
	term, known := l.Fields[event.NameTerm].(float64)
	if !known {
		return
	}
	if l.Event == event.LeaderReady.Name && l.Part == string(event.Dispatch) {
		g.readyAt = append(g.readyAt, l.At)
		g.terms = append(g.terms, term)
	}
	leads := l.Event == event.StateOfGroup.Name && l.Fields["leads"] == true
	if leads || l.Part == string(event.Dispatch) || l.Event == lineStart || l.Event == lineEnded {
		if g.lastOf == nil {
			g.lastOf = map[float64]time.Time{}
		}
		if l.At.After(g.lastOf[term]) {
			g.lastOf[term] = l.At
		}
	}
}

// away returns the times from the last sign of a leader until the next one was ready.
func (g *leadership) away() []span {
	var away []span
	for i := 1; i < len(g.readyAt); i++ {
		if last := g.lastOf[g.terms[i-1]]; last.Before(g.readyAt[i]) {
			away = append(away, span{last, g.readyAt[i]})
		}
	}
	return away
}
