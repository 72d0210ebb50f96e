package jobqueue

import (
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// CrashRecord returns the history of the crashes under a task as a message, nil if there is none.
func (t *Task) CrashRecord() *apiv1.TaskCrashes {
	h := &t.Crashes
	if len(h.Crashes) == 0 && h.Survived == 0 {
		return nil
	}
	r := &apiv1.TaskCrashes{SurvivedMs: h.Survived.Milliseconds()}
	for _, c := range h.Crashes {
		most := int64(UnknownMs)
		if c.MaxRuntime != crashloop.UnknownRuntime {
			most = c.MaxRuntime.Milliseconds()
		}
		r.Crashes = append(r.Crashes, &apiv1.TaskCrash{
			Event: c.Event, Run: c.Run, LeastMs: c.MinRuntime.Milliseconds(), MostMs: most, Began: c.Began,
			OnProbation: c.OnProbation, RecentStart: c.RecentStart, SoleCause: c.SoleCause, Excused: c.Excused, Outlived: c.Outlived, Starts: c.Starts,
		})
	}
	return r
}

func crashHistoryOf(r *apiv1.TaskCrashes) crashloop.History {
	h := crashloop.History{Survived: milliseconds(r.GetSurvivedMs())}
	for _, c := range r.GetCrashes() {
		most := crashloop.UnknownRuntime
		if c.MostMs >= 0 {
			most = milliseconds(c.MostMs)
		}
		h.Crashes = append(h.Crashes, crashloop.Crash{
			Event: c.Event, Run: c.Run, MinRuntime: milliseconds(c.LeastMs), MaxRuntime: most, Began: c.Began,
			OnProbation: c.OnProbation, RecentStart: c.RecentStart, SoleCause: c.SoleCause, Excused: c.Excused, Outlived: c.Outlived, Starts: c.Starts,
		})
	}
	if len(h.Crashes) == 0 {
		h.Crashes = crashesOfPreviousRelease(r)
	}
	return h
}

// legacyCrashEvent is the event of crashes that the previous release recorded.
const legacyCrashEvent = 1

// crashesOfPreviousRelease converts the counts that the previous release stored.
func crashesOfPreviousRelease(r *apiv1.TaskCrashes) []crashloop.Crash {
	var list []crashloop.Crash
	if r.GetUnseen() {
		list = append(list, crashloop.Crash{Event: legacyCrashEvent, MaxRuntime: crashloop.UnknownRuntime, Starts: r.Starts})
	}
	for i := range r.GetInRow() {
		list = append(list, crashloop.Crash{
			Event: legacyCrashEvent, MinRuntime: milliseconds(r.LeastMs), MaxRuntime: milliseconds(r.MostMs), Began: true,
			RecentStart: r.Suspect, SoleCause: i < r.Alone, Starts: r.Starts,
		})
	}
	return list
}

func (e *crashEvent) record() *apiv1.CrashEvent {
	r := &apiv1.CrashEvent{
		Number: e.number, Host: e.host, UncertaintyMs: e.at.Uncertainty.Milliseconds(), RecordedMs: e.recordedMs,
		OthersSilent: e.othersSilent, Runs: runRefs(e.runs),
	}
	if !e.at.At.IsZero() {
		r.AtMs = e.at.At.UnixMilli()
	}
	return r
}

func crashEventOf(r *apiv1.CrashEvent) *crashEvent {
	e := &crashEvent{
		number: r.Number, host: r.Host, at: momentOf(r.AtMs, r.UncertaintyMs), recordedMs: r.RecordedMs, othersSilent: r.OthersSilent,
	}
	for _, ref := range r.Runs {
		e.runs = append(e.runs, RunID{TaskIDOf(ref.Task), ref.Run})
	}
	return e
}

// pendingVerdictRecords returns the pending verdicts as messages, in order.
func (m *Machine) pendingVerdictRecords() []*apiv1.PendingVerdict {
	var list []*apiv1.PendingVerdict
	for _, id := range m.VerdictsDue(math.MaxInt64) {
		list = append(list, &apiv1.PendingVerdict{Task: id.Ref(), DueMs: m.pendingVerdicts[id]})
	}
	return list
}

// restoreCrashes restores the recent crashes and the pending verdicts.
func (m *Machine) restoreCrashes(s *apiv1.JobsSnapshot) {
	for _, r := range s.GetCrashes() {
		m.crashEvents = append(m.crashEvents, crashEventOf(r))
	}
	m.lastCrashEvent = max(legacyCrashEvent, s.GetLastCrash())
	for _, r := range s.GetPendingVerdicts() {
		m.pendingVerdicts[TaskIDOf(r.Task)] = r.DueMs
	}
}
