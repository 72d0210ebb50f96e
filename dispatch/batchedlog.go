package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// logBatchInterval is the time from the first entry of a batch to the lines that report it.
	logBatchInterval = time.Second
	// maxLogBatchBytes bounds the text of the entries of one batch, so that each of its lines stays below
	// 8 KiB. Collectors that cut longer lines make the record lose all starts and ends in them.
	maxLogBatchBytes = 7000
	// entryOverheadBytes bounds what an entry takes in addition to the names in it: numbers and
	// punctuation.
	entryOverheadBytes = 24
)

// batchedLog collects routine events and writes them as one line per kind and interval: starts, and
// ends without a failure, by worker; waiting steps by the reasons that exclude the workers.
//
// Without batching, a busy leader writes little other than two lines per run. Someone who has only
// the end of its log then sees a few seconds of starts, but not the line that reports a change of
// leadership, of a worker or of the configuration.
type batchedLog struct {
	logger    *zap.Logger
	startedAt time.Time
	byteCount int
	starts    map[string][]runEntry
	// longRunningStarts are the starts of runs of long-running steps.
	longRunningStarts map[string][]runEntry
	// begins are the first reports that list runs of long-running steps.
	begins          map[string][]runEntry
	ends            map[string][]runEntry
	waits           map[string][]waitEntry
	objectiveMisses map[string][]objectiveMissEntry
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
		begins: map[string][]runEntry{}, ends: map[string][]runEntry{}, waits: map[string][]waitEntry{},
		objectiveMisses: map[string][]objectiveMissEntry{}, finishedJobs: map[string][]finishedJobEntry{},
	}
}

func (g *batchedLog) addStart(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	addEntry(g, term, g.starts, worker, runEntry{id, now}, id.Task.String(), now)
}

func (g *batchedLog) addLongRunningStart(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	addEntry(g, term, g.longRunningStarts, worker, runEntry{id, now}, id.Task.String(), now)
}

func (g *batchedLog) addBegin(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	addEntry(g, term, g.begins, worker, runEntry{id, now}, id.Task.String(), now)
}

func (g *batchedLog) addObjectiveMiss(term uint64, worker string, id jobqueue.RunID, percent int64, now time.Time) {
	addEntry(g, term, g.objectiveMisses, worker, objectiveMissEntry{runEntry{id, now}, percent}, id.Task.String(), now)
}

func (g *batchedLog) addFinishedJob(term uint64, path string, j finishedJobEntry) {
	addEntry(g, term, g.finishedJobs, path, j, j.id+j.outcome, j.at)
}

func (g *batchedLog) addEnd(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	addEntry(g, term, g.ends, worker, runEntry{id, now}, id.Task.String(), now)
}

func (g *batchedLog) addWait(term uint64, w schedule.UnplacedStep, waited time.Duration, now time.Time) {
	addEntry(g, term, g.waits, w.ReasonSummary(), waitEntry{w, waited, now}, w.Step.String(), now)
}

// addEntry adds an entry with the given names in it to a list, and writes the batch if it is full.
func addEntry[T any](g *batchedLog, term uint64, lists map[string][]T, list string, entry T, names string, now time.Time) {
	if g.byteCount == 0 {
		g.startedAt = now
	}
	if len(lists[list]) == 0 {
		g.byteCount += len(list) + entryOverheadBytes
	}
	lists[list] = append(lists[list], entry)
	g.byteCount += len(names) + entryOverheadBytes
	if g.byteCount >= maxLogBatchBytes {
		g.flush(term, now)
	}
}

// flushIfDue writes the batch if logBatchInterval has passed since its first entry.
func (g *batchedLog) flushIfDue(term uint64, now time.Time) {
	if g.byteCount > 0 && now.Sub(g.startedAt) >= logBatchInterval {
		g.flush(term, now)
	}
}

// flush writes the collected entries and starts a new batch.
func (g *batchedLog) flush(term uint64, now time.Time) {
	if g.byteCount == 0 {
		return
	}
	if len(g.starts)+len(g.longRunningStarts)+len(g.begins)+len(g.ends) > 0 {
		event.RunsSummary.Write(g.logger, event.Term(term), event.Started(formatRuns(g.starts, now)),
			event.LongRunning(formatRuns(g.longRunningStarts, now)), event.Begun(formatRuns(g.begins, now)), event.Ended(formatRuns(g.ends, now)))
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
	clear(g.begins)
	clear(g.ends)
	clear(g.waits)
	clear(g.objectiveMisses)
	clear(g.finishedJobs)
	g.byteCount = 0
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

// splitLists divides lists into parts that fit into one line each, in the order of their names.
func splitLists(lists map[string][]string) []map[string][]string {
	var parts []map[string][]string
	bytes := maxLogBatchBytes
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		for _, entry := range lists[name] {
			added := len(entry) + entryOverheadBytes
			if bytes+added > maxLogBatchBytes {
				parts, bytes = append(parts, map[string][]string{}), 0
			}
			part := parts[len(parts)-1]
			if len(part[name]) == 0 {
				added += len(name)
			}
			part[name] = append(part[name], entry)
			bytes += added
		}
	}
	return parts
}
