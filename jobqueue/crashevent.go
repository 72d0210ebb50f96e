package jobqueue

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

const (
	// crashEventRetentionMs is the time for which the crash of a worker is kept, in milliseconds.
	// Workers that crash together are back within seconds; a task that crashes its workers reaches its
	// limit within some more.
	crashEventRetentionMs = 60_000
	// maxCrashEvents bounds the crashes that are kept.
	maxCrashEvents = 256
	// verdictDelayMs is how long a job is not failed while workers that may have crashed at the same
	// moment are silent, in milliseconds. Workers are back some seconds after a crash.
	verdictDelayMs = 3000
)

// crashEvent is the crash of a worker.
type crashEvent struct {
	number     uint64
	host       string
	at         crashloop.Moment
	recordedMs int64
	// othersSilent: several other workers were silent when the crash was reported.
	othersSilent bool
	runs         []RunID
}

// addCrashEvent keeps the crash of a worker.
func (m *Machine) addCrashEvent(w *Worker, crash *apiv1.WorkerCrash, runs []crashedRun) *crashEvent {
	m.crashEvents = slices.DeleteFunc(m.crashEvents, func(e *crashEvent) bool {
		return e.recordedMs+crashEventRetentionMs <= m.nowMs
	})
	m.crashEvents = m.crashEvents[max(0, len(m.crashEvents)+1-maxCrashEvents):]
	m.lastCrashEvent++
	e := &crashEvent{
		number: m.lastCrashEvent, host: w.Spec.Host, at: momentOf(crash.AtMs, crash.UncertaintyMs), recordedMs: m.nowMs,
		othersSilent: crash.OthersSilent,
	}
	for _, r := range runs {
		e.runs = append(e.runs, r.id)
	}
	m.crashEvents = append(m.crashEvents, e)
	return e
}

// momentOf returns the zero moment if the time is unknown.
func momentOf(atMs, uncertaintyMs int64) crashloop.Moment {
	if atMs == 0 {
		return crashloop.Moment{}
	}
	return crashloop.Moment{At: time.UnixMilli(atMs), Uncertainty: milliseconds(uncertaintyMs)}
}

// excuseCommonCause excuses the tasks on workers that crashed at the same moment as others without a
// task in common.
func (m *Machine) excuseCommonCause(newest *crashEvent) {
	together := m.simultaneousCrashes(newest)
	numbers := map[uint64]bool{}
	for _, e := range together {
		numbers[e.number] = true
	}
	var unexplained []*crashEvent
	for _, e := range together {
		if !m.isExplained(e, numbers) {
			unexplained = append(unexplained, e)
		}
	}
	hosts := countHosts(together)
	for _, e := range together {
		for _, id := range e.runs {
			t, _ := m.task(id.Task)
			if t == nil {
				continue
			}
			suspect := t.Crashes.Immediate(e.number) || t.Crashes.SimilarExcept(numbers) > 0
			if crashloop.HaveCommonCause(hosts, countHosts(withoutStep(unexplained, id.Task.StepID())), suspect) {
				t.Crashes.Excuse(e.number)
			}
		}
	}
}

// simultaneousCrashes returns the crashes of workers that may have occurred at the same moment,
// including the given one.
func (m *Machine) simultaneousCrashes(newest *crashEvent) []*crashEvent {
	if newest.at.At.IsZero() {
		return nil
	}
	var together []*crashEvent
	for _, e := range m.crashEvents {
		if !e.at.At.IsZero() && crashloop.Simultaneous(e.at, newest.at) {
			together = append(together, e)
		}
	}
	return together
}

// isExplained reports whether a task on a crashed worker probably crashed it.
func (m *Machine) isExplained(e *crashEvent, together map[uint64]bool) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		return t != nil && t.Crashes.ProbablyCaused(e.number, together)
	})
}

// withoutStep returns the crashes of workers without a run of a step.
func withoutStep(events []*crashEvent, step StepID) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool { return e.hasStep(step) })
}

func countHosts(events []*crashEvent) int {
	hosts := map[string]bool{}
	for _, e := range events {
		hosts[e.host] = true
	}
	return len(hosts)
}

func (e *crashEvent) hasStep(step StepID) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool { return id.Task.StepID() == step })
}

// excuseWeakerSuspects excuses the tasks on a crashed worker that have no other crash after a similar
// runtime, beside a task of another step that has several.
func (m *Machine) excuseWeakerSuspects(e *crashEvent) {
	this := map[uint64]bool{e.number: true}
	strong := map[StepID]bool{}
	for _, id := range e.runs {
		t, _ := m.task(id.Task)
		if t.Crashes.MayHaveCaused(e.number) && t.Crashes.SimilarExcept(this) >= crashloop.RepeatedCrashes {
			strong[id.Task.StepID()] = true
		}
	}
	for _, id := range e.runs {
		t, _ := m.task(id.Task)
		if len(strong) > 0 && !strong[id.Task.StepID()] && t.Crashes.SimilarExcept(this) == 0 {
			t.Crashes.Excuse(e.number)
		}
	}
}

// excuseOthers excuses the tasks whose workers crashed under a step that has failed its job by the
// crash limit. A task that has crashes after similar runtimes without that step is not excused.
func (m *Machine) excuseOthers(guilty StepID) {
	crashed := map[uint64]bool{}
	for _, e := range m.crashEvents {
		if e.hasStep(guilty) {
			crashed[e.number] = true
		}
	}
	for _, e := range m.crashEvents {
		if !crashed[e.number] {
			continue
		}
		for _, id := range e.runs {
			t, _ := m.task(id.Task)
			if id.Task.StepID() != guilty && t != nil && t.Crashes.SimilarExcept(crashed) == 0 {
				t.Crashes.Excuse(e.number)
			}
		}
	}
}

// verdictDueMs returns the time of the log at which the job of a task at its crash limit fails.
func (m *Machine) verdictDueMs(t *Task) int64 {
	due := int64(0)
	for _, c := range t.Crashes.Crashes {
		if e := m.crashEvent(c.Event); e != nil && e.othersSilent && !c.Excused {
			due = max(due, e.recordedMs+verdictDelayMs)
		}
	}
	return due
}

func (m *Machine) crashEvent(number uint64) *crashEvent {
	for _, e := range m.crashEvents {
		if e.number == number {
			return e
		}
	}
	return nil
}

// settleVerdicts fails the jobs whose verdict is due.
func (m *Machine) settleVerdicts() {
	for _, id := range m.VerdictsDue(m.nowMs) {
		delete(m.pendingVerdicts, id)
		m.failIfCrashLimitReached(id)
	}
}

// VerdictsDue returns, in order, the tasks whose jobs may fail with the next command at the given time
// of the log.
func (m *Machine) VerdictsDue(nowMs int64) []TaskID {
	var ids []TaskID
	for id, due := range m.pendingVerdicts {
		if due <= nowMs {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareTaskIDs)
	return ids
}
