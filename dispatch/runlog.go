package dispatch

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// runLogInterval is the time that starts and ends are gathered for one line.
	runLogInterval = time.Second
	// runLogMost is the number of starts and ends that one line names at most, so that
	// a line stays below some 10 kB.
	runLogMost = 200
)

// runLog gathers what routinely happens into lines of an interval: starts, and ends
// without a failure, by worker; steps that wait by what rules the workers out.
//
// What goes wrong without it: a busy leader writes little but two lines for each run.
// Whoever has only the end of its log then sees seconds of starts, and not the line that
// says when leadership, a worker or the configuration changed.
type runLog struct {
	logger  *zap.Logger
	began   time.Time
	count   int
	started map[string][]gatheredRun
	// longRunning are the started runs of long-running steps.
	longRunning map[string][]gatheredRun
	ended       map[string][]gatheredRun
	waits       map[string][]gatheredWait
	tails       map[string][]gatheredTail
	// over are the jobs that came to an end, by the path of their queue.
	over map[string][]gatheredJob
}

// gatheredTail is a serving run whose tail is over its objective, in percent of it.
type gatheredTail struct {
	run     gatheredRun
	percent int64
}

// gatheredJob is a job that came to an end: how, after which time, and within which it
// should have.
type gatheredJob struct {
	id            string
	how           string
	took, allowed time.Duration
	at            time.Time
}

// gatheredWait is a step whose tasks found no worker.
type gatheredWait struct {
	wait   schedule.UnplacedStep
	waited time.Duration
	at     time.Time
}

// gatheredRun is a run and when it started or ended.
type gatheredRun struct {
	id jobqueue.RunID
	at time.Time
}

func newRunLog(logger *zap.Logger) *runLog {
	return &runLog{
		logger: logger, started: map[string][]gatheredRun{}, longRunning: map[string][]gatheredRun{},
		ended: map[string][]gatheredRun{}, waits: map[string][]gatheredWait{},
		tails: map[string][]gatheredTail{}, over: map[string][]gatheredJob{},
	}
}

func (g *runLog) start(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.started[worker] = append(g.started[worker], gatheredRun{id, now})
	g.gathered(term, now)
}

func (g *runLog) startLongRunning(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.longRunning[worker] = append(g.longRunning[worker], gatheredRun{id, now})
	g.gathered(term, now)
}

func (g *runLog) tailOver(term uint64, worker string, id jobqueue.RunID, percent int64, now time.Time) {
	g.tails[worker] = append(g.tails[worker], gatheredTail{gatheredRun{id, now}, percent})
	g.gathered(term, now)
}

func (g *runLog) jobOver(term uint64, path string, j gatheredJob) {
	g.over[path] = append(g.over[path], j)
	g.gathered(term, j.at)
}

func (g *runLog) end(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.ended[worker] = append(g.ended[worker], gatheredRun{id, now})
	g.gathered(term, now)
}

func (g *runLog) wait(term uint64, w schedule.UnplacedStep, waited time.Duration, now time.Time) {
	why := w.ReasonSummary()
	g.waits[why] = append(g.waits[why], gatheredWait{w, waited, now})
	g.gathered(term, now)
}

func (g *runLog) gathered(term uint64, now time.Time) {
	if g.count == 0 {
		g.began = now
	}
	g.count++
	if g.count >= runLogMost {
		g.write(term, now)
	}
}

// tick writes what is due.
func (g *runLog) tick(term uint64, now time.Time) {
	if g.count > 0 && now.Sub(g.began) >= runLogInterval {
		g.write(term, now)
	}
}

// write writes what was gathered.
func (g *runLog) write(term uint64, now time.Time) {
	if g.count == 0 {
		return
	}
	if len(g.started)+len(g.longRunning)+len(g.ended) > 0 {
		event.RunsRoutine.Write(g.logger, event.Term(term), event.Started(named(g.started, now)),
			event.LongRunning(named(g.longRunning, now)), event.Ended(named(g.ended, now)))
	}
	if len(g.waits) > 0 {
		event.TasksWait.Write(g.logger, event.Term(term), event.Waits(namedWaits(g.waits, now)))
	}
	if len(g.tails) > 0 {
		event.TailsOver.Write(g.logger, event.Term(term), event.Tails(namedTails(g.tails, now)))
	}
	if len(g.over) > 0 {
		event.JobsOver.Write(g.logger, event.Term(term), event.Jobs(namedJobs(g.over, now)))
	}
	clear(g.started)
	clear(g.longRunning)
	clear(g.ended)
	clear(g.waits)
	clear(g.tails)
	clear(g.over)
	g.count = 0
}

// named writes each run as "TASK RUN AGE", the age in milliseconds.
func named(runs map[string][]gatheredRun, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(runs))
	for worker, list := range runs {
		for _, r := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d", r.id.Task, r.id.Number, now.Sub(r.at).Milliseconds()))
		}
	}
	return lists
}

// namedWaits writes each step as "STEP TASKS WAITED AGE", both times in milliseconds.
func namedWaits(waits map[string][]gatheredWait, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(waits))
	for why, list := range waits {
		for _, w := range list {
			lists[why] = append(lists[why], fmt.Sprintf("%s %d %d %d", w.wait.Step, w.wait.Tasks, w.waited.Milliseconds(),
				now.Sub(w.at).Milliseconds()))
		}
	}
	return lists
}

// namedTails writes each run as "TASK RUN PERCENT AGE", the age in milliseconds.
func namedTails(tails map[string][]gatheredTail, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(tails))
	for worker, list := range tails {
		for _, t := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d %d", t.run.id.Task, t.run.id.Number, t.percent,
				now.Sub(t.run.at).Milliseconds()))
		}
	}
	return lists
}

// namedJobs writes each job as "JOB HOW TOOK ALLOWED AGE", the times in milliseconds.
func namedJobs(jobs map[string][]gatheredJob, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(jobs))
	for path, list := range jobs {
		for _, j := range list {
			lists[path] = append(lists[path], fmt.Sprintf("%s %s %d %d %d", j.id, j.how, j.took.Milliseconds(),
				j.allowed.Milliseconds(), now.Sub(j.at).Milliseconds()))
		}
	}
	return lists
}
