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
	// minHostFailures is the number of hosts that go down at the same moment, with their agents, from
	// which on a common cause is assumed.
	minHostFailures = 2
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

// excuseCommonCause excuses the tasks on workers that crashed at the same moment as others for a reason
// that none of the tasks explains. One step may explain crashes of several workers, and so may starts
// of several steps just before. Several steps whose runs had worked for different times do not crash
// their workers at the same moment.
func (m *Machine) excuseCommonCause(newest *crashEvent) {
	together := m.simultaneousCrashes(newest)
	numbers := map[uint64]bool{}
	for _, e := range together {
		numbers[e.number] = true
	}
	var unexplained []*crashEvent
	allAtStarts := true
	for _, e := range together {
		if !m.isExplained(e, numbers) {
			unexplained = append(unexplained, e)
			allAtStarts = allAtStarts && m.hasImmediate(e)
		}
	}
	hosts := countHosts(together)
	if hosts >= minHostFailures && !slices.ContainsFunc(together, m.agentSurvived) {
		hosts = max(hosts, crashloop.MinCommonCauseHosts)
	}
	for _, e := range together {
		for _, id := range e.runs {
			t, _ := m.task(id.Task)
			if t == nil {
				continue
			}
			crash := t.Crashes.Crash(e.number)
			immediate := t.Crashes.Immediate(e.number)
			unrelated := 0
			if !immediate || !allAtStarts {
				unrelated = countHosts(m.withoutSimilarRun(unexplained, id.Task.StepID(), crash))
			}
			// Without an upper bound, a runtime is similar to most others.
			similar := crash.MaxRuntime != crashloop.UnknownRuntime && t.Crashes.SimilarExcept(numbers) > 0
			if crashloop.HaveCommonCause(hosts, unrelated, immediate || similar) {
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

// isExplained reports whether crashes at other moments show that a task on a crashed worker probably
// crashed it.
func (m *Machine) isExplained(e *crashEvent, together map[uint64]bool) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		return t != nil && t.Crashes.MayHaveCaused(e.number) && t.Crashes.SimilarExcept(together) >= crashloop.RepeatedCrashes
	})
}

// agentSurvived reports whether the agent of a crashed worker told how long the runs had worked. If it
// did not, the whole host was probably down, which no task is suspected of.
func (m *Machine) agentSurvived(e *crashEvent) bool {
	return len(e.runs) == 0 || slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		return t != nil && t.Crashes.Crash(e.number).MaxRuntime != crashloop.UnknownRuntime
	})
}

// hasImmediate reports whether the crash of a worker coincided with the start of a task on it.
func (m *Machine) hasImmediate(e *crashEvent) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		return t != nil && t.Crashes.Immediate(e.number)
	})
}

// withoutSimilarRun returns the crashes of workers without a run of a step that had worked for a time
// similar to that of the given one.
func (m *Machine) withoutSimilarRun(events []*crashEvent, step StepID, c crashloop.Crash) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool {
		return slices.ContainsFunc(e.runs, func(id RunID) bool {
			t, _ := m.task(id.Task)
			return id.Task.StepID() == step && t != nil && crashloop.SimilarRuntimes(c, t.Crashes.Crash(e.number))
		})
	})
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

// isStrongestSuspect reports whether a task has more crashes after similar runtimes, apart from the
// crash of an event, than every task of another step on the crashed worker.
func (m *Machine) isStrongestSuspect(id TaskID, e *crashEvent) bool {
	this := map[uint64]bool{e.number: true}
	t, _ := m.task(id)
	similar := t.Crashes.SimilarExcept(this)
	return !slices.ContainsFunc(e.runs, func(other RunID) bool {
		o, _ := m.task(other.Task)
		return o != nil && other.Task.StepID() != id.StepID() && o.Crashes.SimilarExcept(this) >= similar
	})
}

// startsExhausted reports whether a task that has crashed a worker is out of starts, although too few
// of its crashes count to reach the limit.
func (m *Machine) startsExhausted(id TaskID) bool {
	t, _ := m.task(id)
	if !t.Crashes.StartsExhausted() {
		return false
	}
	e := m.crashEvent(t.Crashes.Crashes[len(t.Crashes.Crashes)-1].Event)
	return e != nil && m.isStrongestSuspect(id, e)
}

// excuseExplained excuses a task from its crashes if another step on the worker explains each of them. It
// reports whether it did.
func (m *Machine) excuseExplained(id TaskID) bool {
	t, _ := m.task(id)
	var events []uint64
	for _, c := range t.Crashes.Crashes {
		if c.Excused || !t.Crashes.MayHaveCaused(c.Event) {
			continue
		}
		e := m.crashEvent(c.Event)
		if e == nil || !m.hasOtherSuspect(e, id.StepID()) {
			return false
		}
		events = append(events, c.Event)
	}
	for _, e := range events {
		t.Crashes.Excuse(e)
	}
	return len(events) > 0
}

// hasOtherSuspect reports whether a step other than the given one may have caused a crash, and has crashed
// another worker after a similar time without the given one.
func (m *Machine) hasOtherSuspect(e *crashEvent, step StepID) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		if t == nil || id.Task.StepID() == step || !t.Crashes.MayHaveCaused(e.number) {
			return false
		}
		crash := t.Crashes.Crash(e.number)
		return slices.ContainsFunc(m.crashEvents, func(other *crashEvent) bool {
			return other != e && !other.hasStep(step) && m.hasSuspect(other, id.Task.StepID(), crash)
		})
	})
}

// hasSuspect reports whether a run of a step may have caused a crash after a time similar to that of the
// given one.
func (m *Machine) hasSuspect(e *crashEvent, step StepID, similarTo crashloop.Crash) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		if t == nil || id.Task.StepID() != step || !t.Crashes.MayHaveCaused(e.number) {
			return false
		}
		c := t.Crashes.Crash(e.number)
		return !c.Excused && crashloop.SimilarRuntimes(c, similarTo)
	})
}

// excuseOthers excuses the tasks on workers that a step may have crashed which fails its job by the crash
// limit. A task that has crashes after similar runtimes without that step is not excused.
func (m *Machine) excuseOthers(guilty StepID) {
	withGuilty := map[uint64]bool{}
	for _, e := range m.crashEvents {
		if e.hasStep(guilty) {
			withGuilty[e.number] = true
		}
	}
	for _, e := range m.crashEvents {
		if !m.mayHaveCrashed(guilty, e) {
			continue
		}
		for _, id := range e.runs {
			t, _ := m.task(id.Task)
			if id.Task.StepID() != guilty && t != nil && t.Crashes.SimilarExcept(withGuilty) == 0 {
				t.Crashes.Excuse(e.number)
			}
		}
	}
}

// mayHaveCrashed reports whether a run of a step may have crashed a worker.
func (m *Machine) mayHaveCrashed(step StepID, e *crashEvent) bool {
	return slices.ContainsFunc(e.runs, func(id RunID) bool {
		t, _ := m.task(id.Task)
		return t != nil && id.Task.StepID() == step && t.Crashes.MayHaveCaused(e.number)
	})
}

// verdictDueMs returns the time of the log at which the job of a task at its crash limit fails.
func (m *Machine) verdictDueMs(t *Task) int64 {
	due := int64(0)
	for _, c := range t.Crashes.Crashes {
		if e := m.crashEvent(c.Event); e != nil && !c.Excused {
			for _, other := range m.crashesAtMomentOf(e) {
				if other.othersSilent {
					due = max(due, other.recordedMs+verdictDelayMs)
				}
			}
		}
	}
	return due
}

// crashesAtMomentOf returns the given crash and those that may have occurred at the same moment.
func (m *Machine) crashesAtMomentOf(e *crashEvent) []*crashEvent {
	if together := m.simultaneousCrashes(e); together != nil {
		return together
	}
	return []*crashEvent{e}
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
