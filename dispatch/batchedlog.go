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
	// logBatchInterval is the time from the first entry of a batch to the lines that report it.
	logBatchInterval = time.Second
	// maxLogBatchEntries bounds the entries of one batch, so that a line stays below about 10 kB.
	maxLogBatchEntries = 200
)

// batchedLog collects routine events and writes them as one line per kind and interval: starts, and
// ends without a failure, by worker; waiting steps by the reasons that exclude the workers.
//
// Without batching, a busy leader writes little other than two lines per run. Someone who has only
// the end of its log then sees a few seconds of starts, but not the line that reports a change of
// leadership, of a worker or of the configuration.
type batchedLog struct {
	logger     *zap.Logger
	startedAt  time.Time
	entryCount int
	starts     map[string][]runEntry
	// longRunningStarts are the starts of runs of long-running steps.
	longRunningStarts map[string][]runEntry
	ends              map[string][]runEntry
	waits             map[string][]waitEntry
	objectiveMisses   map[string][]objectiveMissEntry
	// finishedJobs are the jobs that finished, by the path prefix of their queue.
	finishedJobs map[string][]finishedJobEntry
}

// objectiveMissEntry is a serving run whose tail latency exceeds its objective; percent is relative
// to the objective.
type objectiveMissEntry struct {
	run     runEntry
	percent int64
}

// finishedJobEntry is a job that finished: its outcome, the time that it took and the time that it
// was allowed.
type finishedJobEntry struct {
	id            string
	outcome       string
	took, allowed time.Duration
	at            time.Time
}

// waitEntry is a step with tasks for which the planner found no worker.
type waitEntry struct {
	wait   schedule.UnplacedStep
	waited time.Duration
	at     time.Time
}

// runEntry is a run and the time when it started or ended.
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
	reason := w.ReasonSummary()
	g.waits[reason] = append(g.waits[reason], waitEntry{w, waited, now})
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

// flushIfDue writes the batch if logBatchInterval has passed since its first entry.
func (g *batchedLog) flushIfDue(term uint64, now time.Time) {
	if g.entryCount > 0 && now.Sub(g.startedAt) >= logBatchInterval {
		g.flush(term, now)
	}
}

// flush writes the collected entries and starts a new batch.
func (g *batchedLog) flush(term uint64, now time.Time) {
	if g.entryCount == 0 {
		return
	}
	if len(g.starts)+len(g.longRunningStarts)+len(g.ends) > 0 {
		event.RunsSummary.Write(g.logger, event.Term(term), event.Started(formatRuns(g.starts, now)),
			event.LongRunning(formatRuns(g.longRunningStarts, now)), event.Ended(formatRuns(g.ends, now)))
	}
	if len(g.waits) > 0 {
		event.TasksWaiting.Write(g.logger, event.Term(term), event.WaitingSteps(formatWaits(g.waits, now)))
	}
	if len(g.objectiveMisses) > 0 {
		event.TailObjectivesExceeded.Write(g.logger, event.Term(term), event.Tails(formatObjectiveMisses(g.objectiveMisses, now)))
	}
	if len(g.finishedJobs) > 0 {
		event.JobsFinished.Write(g.logger, event.Term(term), event.Jobs(formatFinishedJobs(g.finishedJobs, now)))
	}
	clear(g.starts)
	clear(g.longRunningStarts)
	clear(g.ends)
	clear(g.waits)
	clear(g.objectiveMisses)
	clear(g.finishedJobs)
	g.entryCount = 0
}

// formatRuns formats each run as "TASK RUN AGE", the age in milliseconds.
func formatRuns(runs map[string][]runEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(runs))
	for worker, list := range runs {
		for _, r := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d", r.id.Task, r.id.Number, now.Sub(r.at).Milliseconds()))
		}
	}
	return lists
}

// formatWaits formats each step as "STEP TASKS WAITED AGE", both times in milliseconds.
func formatWaits(waits map[string][]waitEntry, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(waits))
	for reason, list := range waits {
		for _, w := range list {
			lists[reason] = append(lists[reason], fmt.Sprintf("%s %d %d %d", w.wait.Step, w.wait.Tasks, w.waited.Milliseconds(),
				now.Sub(w.at).Milliseconds()))
		}
	}
	return lists
}

// formatObjectiveMisses formats each run as "TASK RUN PERCENT AGE", the age in milliseconds.
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

// formatFinishedJobs formats each job as "JOB HOW TOOK ALLOWED AGE", the times in milliseconds.
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
