package dispatch

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// outageCheckInterval is the time between two checks of all long-running tasks.
	outageCheckInterval = time.Second
	// outageLogInterval is the time from the start of an outage to its first line, and between two
	// lines about it. Most tasks run again sooner.
	outageLogInterval = 2 * time.Second
	// maxOutageBytesPerCheck bounds what one check logs about outages, since the log of a process takes
	// 32 KiB of warnings per second, also about other faults. The other outages follow with the next checks.
	maxOutageBytesPerCheck = 16 << 10
	// maxRecoveryBytesPerCheck bounds what one check logs about tasks that run again, since the log of a
	// process takes 8 KiB of rare lines per second, among them the one about a change of leader. The other
	// tasks follow with the next checks.
	maxRecoveryBytesPerCheck = 4 << 10
	// maxQueuedRecoveries bounds the recoveries that are not logged yet. A fleet of the design size has
	// 22,200 long-running tasks.
	maxQueuedRecoveries = 25_000
)

// pauseThreshold is the time between two rounds from which on the leader counts as paused. Rounds are
// at most idleRoundInterval apart unless a commit takes long.
const pauseThreshold = time.Second

// attention is since when the leader has been able to receive reports. What it knows of a worker that
// has not reported since then may be outdated, and the run may be well.
type attention struct {
	since, roundAt time.Time
	// reason is why a worker may not have been heard before since.
	reason string
}

func newAttention(now time.Time) attention {
	return attention{since: now, roundAt: now, reason: event.OutageNewLeader}
}

// recordRound records that the leader plans, and a pause if the last round was too long ago.
func (a *attention) recordRound(now time.Time) {
	if now.Sub(a.roundAt) >= pauseThreshold {
		a.since, a.reason = now, event.OutagePaused
	}
	a.roundAt = now
}

// outage is the period in which a long-running task is not known to run.
type outage struct {
	since time.Time
	// run is the task's last run, worker where it was, and endReason how it ended, empty while it
	// has not ended.
	run       uint64
	worker    string
	endReason string
	loggedAt  time.Time
}

// outages are the outages of all long-running tasks.
type outages struct {
	checkedAt time.Time
	byTask    map[jobqueue.TaskID]*outage
	// lastEnds is how the last run of each task ended, until the task runs again.
	lastEnds map[jobqueue.TaskID]outage
	// recoveries are the ends of logged outages that are not logged yet, oldest first.
	recoveries []recovery
}

// recovery is a run with which a long-running task runs again.
type recovery struct {
	run    jobqueue.RunID
	worker string
	// outage is how long the task did not run.
	outage time.Duration
	at     time.Time
}

func newOutages() *outages {
	return &outages{byTask: map[jobqueue.TaskID]*outage{}, lastEnds: map[jobqueue.TaskID]outage{}}
}

// recordEnd records how a run ended or that it is lost.
func (o *outages) recordEnd(r *jobqueue.Run, how string, now time.Time) {
	if last, known := o.lastEnds[r.ID.Task]; known && last.run == r.ID.Number {
		return // The same report may be applied again.
	}
	if r.Step.LongRunning && r.Job().Open() {
		o.lastEnds[r.ID.Task] = outage{since: now, run: r.ID.Number, worker: r.Worker, endReason: how}
	}
}

// longRunningTask is a task that should be running.
type longRunningTask struct {
	id   jobqueue.TaskID
	task *jobqueue.Task
}

// longRunningTasks iterates over the long-running tasks of open jobs that should be running at
// wallMs.
func longRunningTasks(m *jobqueue.Machine, wallMs int64) iter.Seq[longRunningTask] {
	return func(yield func(longRunningTask) bool) {
		for _, j := range m.Active() {
			if j.Open() && !yieldTasks(j, wallMs, yield) {
				return
			}
		}
	}
}

func yieldTasks(j *jobqueue.Job, wallMs int64, yield func(longRunningTask) bool) bool {
	for k, o := range j.Occurrences {
		for i, s := range o.Steps {
			if !s.Spec.LongRunning || !j.Due(k, wallMs) || !o.StepReady(i) {
				continue
			}
			id := jobqueue.TaskID{Job: j.ID(), Occurrence: uint32(k), Step: uint32(i)}
			for n, t := range s.Tasks {
				id.Index = uint32(n)
				if !yield(longRunningTask{id, t}) {
					return false
				}
			}
		}
	}
	return true
}

// checkLongRunning records which long-running tasks are not known to run. It logs the outages that
// are longer than outageLogInterval, at most maxOutageBytesPerCheck of them, and the ends of those that
// were logged, at most maxRecoveryBytesPerCheck of them.
func (d *Dispatcher) checkLongRunning(l *leaderState, m *jobqueue.Machine, decision schedule.Decision, now time.Time) {
	o := l.outages
	if now.Sub(o.checkedAt) < outageCheckInterval {
		return
	}
	o.checkedAt = now
	r := reasonsInRound(m, decision)
	tracked := map[jobqueue.TaskID]bool{}
	var due []dueOutage
	for t := range longRunningTasks(m, now.UnixMilli()) {
		if o.tracks(t.id) {
			tracked[t.id] = true
		}
		reason, since := l.outageReason(t, r, now)
		if reason == "" {
			d.endOutage(o, t, now)
			continue
		}
		out := o.begin(t, since)
		tracked[t.id] = true
		if now.Sub(out.since) >= outageLogInterval && now.Sub(out.loggedAt) >= outageLogInterval {
			due = append(due, dueOutage{t.id, reason, out})
		}
	}
	o.prune(tracked)
	d.metrics.longRunningNotRunning.Update(int64(len(o.byTask)))
	for _, part := range splitLists(selectOutages(due, now)) {
		event.LongRunningOutage.Write(d.logger, event.Term(l.term), event.TasksNotRunning(part))
	}
	for _, part := range splitLists(o.takeRecoveries(now)) {
		event.LongRunningRecovered.Write(d.logger, event.Term(l.term), event.TasksRunningAgain(part))
	}
}

// dueOutage is an outage about which a line is due.
type dueOutage struct {
	id     jobqueue.TaskID
	reason string
	*outage
}

// selectOutages returns the descriptions of the outages that this check logs, by reason. The ones that were
// logged the longest ago come first, since all are due again while the bound holds some back: in a fixed
// order the last ones would never be logged.
func selectOutages(due []dueOutage, now time.Time) map[string][]string {
	slices.SortStableFunc(due, func(a, b dueOutage) int {
		return cmp.Or(a.loggedAt.Compare(b.loggedAt), a.since.Compare(b.since))
	})
	selected := boundedLists{maxBytes: maxOutageBytesPerCheck, lists: map[string][]string{}}
	for _, d := range due {
		if !selected.add(d.reason, d.describe(d.id, now)) {
			break
		}
		d.loggedAt = now
	}
	return selected.lists
}

// boundedLists are lists of log entries by name whose text is bounded.
type boundedLists struct {
	maxBytes, bytes int
	lists           map[string][]string
}

// add adds an entry and reports whether there was room for it. There is always room for the first one, as
// otherwise a long one would hold back the others.
func (b *boundedLists) add(name, entry string) bool {
	added := len(entry) + entryOverheadBytes
	if len(b.lists[name]) == 0 {
		added += len(name) + entryOverheadBytes
	}
	if len(b.lists) > 0 && b.bytes+added > b.maxBytes {
		return false
	}
	b.bytes += added
	b.lists[name] = append(b.lists[name], entry)
	return true
}

// roundReasons are the reasons of a round for which tasks without a run have none.
type roundReasons struct {
	machine *jobqueue.Machine
	// unplaced are the reasons that rule out the workers for a step, and starting the tasks for which
	// the round found a worker.
	unplaced map[jobqueue.StepID]string
	starting map[jobqueue.TaskID]bool
}

func reasonsInRound(m *jobqueue.Machine, decision schedule.Decision) roundReasons {
	r := roundReasons{machine: m, unplaced: map[jobqueue.StepID]string{}, starting: map[jobqueue.TaskID]bool{}}
	for _, w := range decision.Unplaced {
		r.unplaced[w.Step] = w.ReasonSummary()
	}
	for _, s := range decision.Starts {
		r.starting[jobqueue.TaskIDOf(s.Task)] = true
	}
	return r
}

// reason returns why a task without a run has none.
func (r roundReasons) reason(t longRunningTask) string {
	switch {
	case r.starting[t.id]:
		return event.OutageOrdered
	case r.machine.HeldByCrashLimit(t.id, t.task):
		return event.OutageCrashLimit
	}
	return cmp.Or(r.unplaced[t.id.StepID()], event.OutageUnplanned)
}

// outageReason returns why a long-running task is not known to run and since when, an empty reason
// if it is known to run.
func (l *leaderState) outageReason(t longRunningTask, r roundReasons, now time.Time) (string, time.Time) {
	if len(t.task.Runs) == 0 {
		since := now
		if ended, found := l.outages.lastEnds[t.id]; found {
			since = ended.since
		}
		return r.reason(t), since
	}
	run := t.task.Runs[len(t.task.Runs)-1]
	observed, found := l.observed[run.ID]
	lease := l.leases.get(run.Worker)
	sinceReport := now.Sub(lease.renewedAt)
	heard := lease.reported && !lease.renewedAt.Before(l.attention.since)
	switch {
	case !heard && (!found || sinceReport >= outageLogInterval):
		return l.attention.reason, l.attention.since
	case sinceReport >= outageLogInterval:
		return event.OutageWorkerUnresponsive, now.Add(-sinceReport)
	case !found:
		return event.OutageOrdered, now
	case observed.At.Before(now.Add(-outageLogInterval)):
		return event.OutageUnlisted, observed.At
	}
	return "", now
}

// begin returns the outage of a task. A new one starts at since, or earlier if its last run ended
// earlier.
func (o *outages) begin(t longRunningTask, since time.Time) *outage {
	out := o.byTask[t.id]
	if out == nil {
		out = &outage{since: since, run: t.task.LastRun}
		o.byTask[t.id] = out
	}
	if last, known := o.lastEnds[t.id]; known {
		out.run, out.worker, out.endReason = last.run, last.worker, last.endReason
		out.since = earlier(out.since, last.since)
	}
	if len(t.task.Runs) > 0 {
		run := t.task.Runs[len(t.task.Runs)-1]
		out.run, out.worker = run.ID.Number, run.Worker
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// endOutage ends the outage of a running task if there was one.
func (d *Dispatcher) endOutage(o *outages, t longRunningTask, now time.Time) {
	if !o.tracks(t.id) {
		return
	}
	delete(o.lastEnds, t.id)
	out := o.byTask[t.id]
	if out == nil {
		return
	}
	delete(o.byTask, t.id)
	d.metrics.longRunningOutage.Observe(now.Sub(out.since))
	if !out.loggedAt.IsZero() {
		run := t.task.Runs[len(t.task.Runs)-1]
		o.recoveries = append(o.recoveries, recovery{run.ID, run.Worker, now.Sub(out.since), now})
		o.recoveries = o.recoveries[max(0, len(o.recoveries)-maxQueuedRecoveries):]
	}
}

// takeRecoveries removes the oldest recoveries that this check logs, and returns their descriptions by
// worker, as "TASK RUN AWAY AGE".
func (o *outages) takeRecoveries(now time.Time) map[string][]string {
	taken := boundedLists{maxBytes: maxRecoveryBytesPerCheck, lists: map[string][]string{}}
	n := 0
	for _, r := range o.recoveries {
		text := fmt.Sprintf("%s %d %d %d", r.run.Task, r.run.Number, r.outage.Milliseconds(), now.Sub(r.at).Milliseconds())
		if !taken.add(r.worker, text) {
			break
		}
		n++
	}
	o.recoveries = o.recoveries[n:]
	return taken.lists
}

// tracks reports whether an outage or a last end of the task is recorded.
func (o *outages) tracks(id jobqueue.TaskID) bool {
	if len(o.byTask)+len(o.lastEnds) == 0 {
		return false
	}
	_, ended := o.lastEnds[id]
	return ended || o.byTask[id] != nil
}

// prune drops the tasks that no longer have to run.
func (o *outages) prune(tracked map[jobqueue.TaskID]bool) {
	for id := range o.byTask {
		if !tracked[id] {
			delete(o.byTask, id)
		}
	}
	for id := range o.lastEnds {
		if !tracked[id] {
			delete(o.lastEnds, id)
		}
	}
}

// describe formats an outage as "TASK RUN WORKER AWAY HOW", with its length so far in milliseconds.
func (out *outage) describe(id jobqueue.TaskID, now time.Time) string {
	text := fmt.Sprintf("%s %d %s %d", id, out.run, out.worker, now.Sub(out.since).Milliseconds())
	if out.endReason != "" {
		text += " " + out.endReason
	}
	return text
}

// recordEnds records how the runs in a report ended, for those that the log still contains.
func (o *outages) recordEnds(w *jobqueue.Worker, ends []*apiv1.RunEnd, refusals []*apiv1.RunRefusal, now time.Time) {
	for _, e := range ends {
		if run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}]; run != nil {
			o.recordEnd(run, endKindName(e.Kind), now)
		}
	}
	for _, refusal := range refusals {
		if run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(refusal.Task), Number: refusal.Run}]; run != nil {
			o.recordEnd(run, "refused: "+refusal.Reason, now)
		}
	}
}
