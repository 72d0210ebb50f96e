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
	// logBatchInterval is the time that starts and ends are gathered for one line.
	logBatchInterval = time.Second
	// maxLogBatchEntries is the number of starts and ends that one line names at most, so that
	// a line stays below some 10 kB.
	maxLogBatchEntries = 200
)

// batchedLog gathers what routinely happens into lines of an interval: starts, and ends
// without a failure, by worker; steps that wait by what rules the workers out.
//
// What goes wrong without it: a busy leader writes little but two lines for each run.
// Whoever has only the end of its log then sees seconds of starts, and not the line that
// says when leadership, a worker or the configuration changed.
type batchedLog struct {
	logger     *zap.Logger
	startedAt  time.Time
	entryCount int
	starts     map[string][]runEntry
	// longRunningStarts are the started runs of long-running steps.
	longRunningStarts map[string][]runEntry
	ends              map[string][]runEntry
	waits             map[string][]waitEntry
	objectiveMisses   map[string][]objectiveMissEntry
	// finishedJobs are the jobs that came to an end, by the path of their queue.
	finishedJobs map[string][]finishedJobEntry
}

// objectiveMissEntry is a serving run whose tail is over its objective, in percent of it.
type objectiveMissEntry struct {
	run     runEntry
	percent int64
}

// finishedJobEntry is a job that came to an end: how, after which time, and within which it
// should have.
type finishedJobEntry struct {
	id            string
	outcome       string
	took, allowed time.Duration
	at            time.Time
}

// waitEntry is a step whose tasks found no worker.
type waitEntry struct {
	wait   schedule.UnplacedStep
	waited time.Duration
	at     time.Time
}

// runEntry is a run and when it started or ended.
type runEntry struct {
	id jobqueue.RunID
	at time.Time
}

func newBatchedLog(logger *zap.Logger) *batchedLog {
	return &batchedLog{
		logger: logger, starts: map[string][]runEntry{}, longRunningStarts: map[string][]runEntry{},
		ends: map[string][]runEntry{}, waits: map[string][]waitEntry{},
		objectiveMisses: map[string][]objectiveMissEntry{}, finishedJobs: map[string][]finishedJobEntry{},
	}
}

func (g *batchedLog) addStart(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.starts[worker] = append(g.starts[worker], runEntry{id, now})
	g.entryAdded(term, now)
}

func (g *batchedLog) addLongRunningStart(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.longRunningStarts[worker] = append(g.longRunningStarts[worker], runEntry{id, now})
	g.entryAdded(term, now)
}

func (g *batchedLog) addObjectiveMiss(term uint64, worker string, id jobqueue.RunID, percent int64, now time.Time) {
	g.objectiveMisses[worker] = append(g.objectiveMisses[worker], objectiveMissEntry{runEntry{id, now}, percent})
	g.entryAdded(term, now)
}

func (g *batchedLog) addFinishedJob(term uint64, path string, j finishedJobEntry) {
	g.finishedJobs[path] = append(g.finishedJobs[path], j)
	g.entryAdded(term, j.at)
}

func (g *batchedLog) addEnd(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.ends[worker] = append(g.ends[worker], runEntry{id, now})
	g.entryAdded(term, now)
}

func (g *batchedLog) addWait(term uint64, w schedule.UnplacedStep, waited time.Duration, now time.Time) {
	why := w.ReasonSummary()
	g.waits[why] = append(g.waits[why], waitEntry{w, waited, now})
	g.entryAdded(term, now)
}

func (g *batchedLog) entryAdded(term uint64, now time.Time) {
	if g.entryCount == 0 {
		g.startedAt = now
	}
	g.entryCount++
	if g.entryCount >= maxLogBatchEntries {
		g.flush(term, now)
	}
}

// flushIfDue writes what is due.
func (g *batchedLog) flushIfDue(term uint64, now time.Time) {
	if g.entryCount > 0 && now.Sub(g.startedAt) >= logBatchInterval {
		g.flush(term, now)
	}
}

// flush writes what was gathered.
func (g *batchedLog) flush(term uint64, now time.Time) {
	if g.entryCount == 0 {
		return
	}
	if len(g.starts)+len(g.longRunningStarts)+len(g.ends) > 0 {
		event.RunsRoutine.Write(g.logger, event.Term(term), event.Started(formatRuns(g.starts, now)),
			event.LongRunning(formatRuns(g.longRunningStarts, now)), event.Ended(formatRuns(g.ends, now)))
	}
	if len(g.waits) > 0 {
		event.TasksWait.Write(g.logger, event.Term(term), event.Waits(formatWaits(g.waits, now)))
	}
	if len(g.objectiveMisses) > 0 {
		event.TailsOver.Write(g.logger, event.Term(term), event.Tails(formatObjectiveMisses(g.objectiveMisses, now)))
	}
	if len(g.finishedJobs) > 0 {
		event.JobsOver.Write(g.logger, event.Term(term), event.Jobs(formatFinishedJobs(g.finishedJobs, now)))
	}
	clear(g.starts)
	clear(g.longRunningStarts)
	clear(g.ends)
	clear(g.waits)
	clear(g.objectiveMisses)
	clear(g.finishedJobs)
	g.entryCount = 0
}

// formatRuns writes each run as "TASK RUN AGE", the age in milliseconds.
func formatRuns(runs map[string][]runEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(runs))
	for worker, list := range runs {
		for _, r := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d", r.id.Task, r.id.Number, now.Sub(r.at).Milliseconds()))
		}
	}
	return lists
}

// formatWaits writes each step as "STEP TASKS WAITED AGE", both times in milliseconds.
func formatWaits(waits map[string][]waitEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(waits))
	for why, list := range waits {
		for _, w := range list {
			lists[why] = append(lists[why], fmt.Sprintf("%s %d %d %d", w.wait.Step, w.wait.Tasks, w.waited.Milliseconds(),
				now.Sub(w.at).Milliseconds()))
		}
	}
	return lists
}

// formatObjectiveMisses writes each run as "TASK RUN PERCENT AGE", the age in milliseconds.
func formatObjectiveMisses(tails map[string][]objectiveMissEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(tails))
	for worker, list := range tails {
		for _, t := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d %d", t.run.id.Task, t.run.id.Number, t.percent,
				now.Sub(t.run.at).Milliseconds()))
		}
	}
	return lists
}

// formatFinishedJobs writes each job as "JOB HOW TOOK ALLOWED AGE", the times in milliseconds.
func formatFinishedJobs(jobs map[string][]finishedJobEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(jobs))
	for path, list := range jobs {
		for _, j := range list {
			lists[path] = append(lists[path], fmt.Sprintf("%s %s %d %d %d", j.id, j.outcome, j.took.Milliseconds(),
				j.allowed.Milliseconds(), now.Sub(j.at).Milliseconds()))
		}
	}
	return lists
}
