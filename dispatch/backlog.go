package dispatch

import (
	"math"
	"time"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// backlogInterval is the least time between two computations of the backlog, and backlogCost the
	// least time between them as a multiple of what the last one took, so that it takes at most a
	// twentieth of a processor however many jobs wait.
	backlogInterval = 50 * time.Millisecond
	backlogCost     = 20
	// drainWindow is the time over which the fleet's rate is averaged.
	drainWindow = 5 * time.Second
	// minDrainShare is the least part of the fleet's rate that a priority is expected to get beside
	// higher ones.
	minDrainShare = 0.05
	coreMilli     = 1000
	// maxYield bounds the learned yield, which is off by much while few runs have ended.
	maxYield = 4.0
)

// backlogState is the waiting work and the rate at which the fleet does work, refreshed in rounds. A
// submission is decided on without looking at any job.
type backlogState struct {
	refreshedAt time.Time
	// took is how long the last computation took.
	took      time.Duration
	durations schedule.Durations
	waiting   admission.Waiting
	// delays is the time that the oldest startable step of each account and priority has waited.
	delays  map[laneKey]time.Duration
	weights map[string]float64
	version uint64
	// done is the rate at which the fleet does work, usable the processors, in thousandths, that do work
	// now or could, and arrived the rate of accepted work by priority. The rate that follows from usable is
	// right as soon as a load or a fleet changes, while done lags behind by its window.
	done rate
	// busy is the processor time that runs with an end of their own reserve, per second.
	busy   rate
	usable admission.Work
	// free are the processors, in thousandths, that no run reserves, and releases those of the runs.
	free     int64
	releases releases
	arrived  map[uint32]*rate
}

type laneKey struct {
	priority uint32
	account  string
}

func newBacklogState(now time.Time) backlogState {
	return backlogState{done: newRate(now), busy: newRate(now), arrived: map[uint32]*rate{}}
}

// rate is the mean rate of work per second over the last seconds.
type rate struct {
	began, at          time.Time
	coreMs, backfillMs float64
}

func newRate(now time.Time) rate { return rate{began: now, at: now} }

func (r *rate) add(w admission.Work) {
	r.coreMs += float64(w.CoreMs)
	r.backfillMs += float64(w.BackfillMs)
}

func (r *rate) advance(now time.Time) {
	kept := math.Exp(-now.Sub(r.at).Seconds() / drainWindow.Seconds())
	r.coreMs, r.backfillMs, r.at = r.coreMs*kept, r.backfillMs*kept, now
}

// perSecond returns the rate. The time since the rate began counts if that is less than the window.
func (r *rate) perSecond() admission.Work {
	seen := drainWindow.Seconds() * (1 - math.Exp(-r.at.Sub(r.began).Seconds()/drainWindow.Seconds()))
	if seen <= 0 {
		return admission.Work{}
	}
	return admission.Work{CoreMs: int64(r.coreMs / seen), BackfillMs: int64(r.backfillMs / seen)}
}

// workOf returns the expected work of tasks of a step.
func (b *backlogState) workOf(s *apiv1.JobStep, tasks int) admission.Work {
	ms := float64(b.durations.Expected(s).Milliseconds()) * float64(s.CpuMilli) / coreMilli * float64(tasks)
	if s.Backfill {
		return admission.Work{BackfillMs: int64(ms)}
	}
	return admission.Work{CoreMs: int64(ms), Slots: s.CpuMilli * int64(tasks)}
}

// request describes a submitted job.
func (b *backlogState) request(q *apiv1.JobQueue, spec *apiv1.JobSpec) admission.Request {
	r := admission.Request{
		Job: spec.Id, Account: spec.Account, Queue: q.Name, Priority: q.Priority, Scheduled: spec.Occurrences > 0,
	}
	for _, s := range spec.Steps {
		if s.LongRunning {
			r.LongRunning = true
			continue
		}
		w := b.workOf(s, int(s.Count))
		r.Work.CoreMs += w.CoreMs
		r.Work.Slots += w.Slots
		r.Work.BackfillMs += w.BackfillMs
		r.Width = max(r.Width, w.Slots)
	}
	chain, allowed := b.durations.Chain(q, spec.Steps)
	r.Chain, r.Allowed = chain, allowed
	return r
}

func (b *backlogState) weight(account string) float64 {
	if w := b.weights[account]; w > 0 {
		return w
	}
	return 1
}

// of returns the backlog that a job meets.
func (b *backlogState) of(r admission.Request, now time.Time) admission.Backlog {
	return admission.Backlog{
		Ahead: b.waiting.Ahead(r, b.weight), Drain: b.drain(r.Priority), Delay: b.delays[laneKey{r.Priority, r.Account}],
		FreeMilli: b.free, Releases: b.releases.list(now.Sub(b.refreshedAt)),
	}
}

// drain returns the rate at which the fleet does the work of a priority: what it does in all and could
// do, less what arrives of higher priorities.
func (b *backlogState) drain(priority uint32) admission.Work {
	done, busy := b.done.perSecond(), b.busy.perSecond()
	total := admission.Work{
		CoreMs:     max(done.CoreMs, int64(float64(b.usable.CoreMs)*yield(done.CoreMs, busy.CoreMs))),
		BackfillMs: max(done.BackfillMs, int64(float64(b.usable.BackfillMs)*yield(done.BackfillMs, busy.BackfillMs))),
	}
	left := total
	for p, arrived := range b.arrived {
		if p < priority {
			w := arrived.perSecond()
			left.CoreMs -= w.CoreMs
			left.BackfillMs -= w.BackfillMs
		}
	}
	left.CoreMs = max(left.CoreMs, int64(minDrainShare*float64(total.CoreMs)))
	left.BackfillMs = max(left.BackfillMs, int64(minDrainShare*float64(total.BackfillMs)))
	return left
}

// yield returns how much work is done per reserved processor time. It differs from 1 since tasks reserve
// processors before they begin, and since work is counted by expected durations.
func yield(done, busy int64) float64 {
	if done <= 0 || busy <= 0 {
		return 1
	}
	return min(maxYield, max(1/maxYield, float64(done)/float64(busy)))
}

// accept adds an accepted job to the waiting work.
func (b *backlogState) accept(r admission.Request) {
	b.waiting.Add(r.Priority, r.Account, r.Work)
	if b.refreshedAt.IsZero() {
		return
	}
	arrived := b.arrived[r.Priority]
	if arrived == nil {
		first := newRate(b.refreshedAt)
		arrived = &first
		b.arrived[r.Priority] = arrived
	}
	arrived.add(r.Work)
}

func (b *backlogState) recordEnd(s *apiv1.JobStep) { b.done.add(b.workOf(s, 1)) }

func (b *backlogState) due(now time.Time) bool {
	return now.Sub(b.refreshedAt) >= max(backlogInterval, backlogCost*b.took)
}

// refresh computes the waiting work from the log, and adds that of the accepted jobs which the log
// does not hold yet. The processors of the starts that the round has decided on count as reserved:
// otherwise a fleet that was free before the round would be believed to do nothing after it.
func (b *backlogState) refresh(l *leaderState, m *jobqueue.Machine, starts []*apiv1.StartRun, accepted []admission.Request, now time.Time) {
	started := time.Now()
	b.durations = l.planner.Durations()
	b.waiting = admission.Waiting{}
	for _, j := range m.Active() {
		if q := j.Queue; j.Open() && !m.QueueHeld(q.Name) {
			b.addJob(j, q.Priority, now)
		}
	}
	for _, r := range accepted {
		b.waiting.Add(r.Priority, r.Account, r.Work)
	}
	b.refreshDelays(l, m, now)
	b.done.advance(now)
	for _, arrived := range b.arrived {
		arrived.advance(now)
	}
	reserved := reservedMilli(m)
	b.releases = releases{}
	b.releases.addRunning(l, m, b.durations.Expected, now)
	for _, start := range starts {
		if step := m.StepSpec(jobqueue.TaskIDOf(start.Task)); step != nil {
			addMilli(&reserved, step)
			b.releases.add(step, b.durations.Expected(step))
		}
	}
	since := min(drainWindow, now.Sub(b.refreshedAt)).Seconds()
	b.busy.add(admission.Work{CoreMs: int64(float64(reserved.CoreMs) * since), BackfillMs: int64(float64(reserved.BackfillMs) * since)})
	b.busy.advance(now)
	free := freeRate(l, m, reserved.BackfillMs > 0, now)
	b.free = free.CoreMs
	b.usable = admission.Work{CoreMs: reserved.CoreMs + free.CoreMs, BackfillMs: reserved.BackfillMs + free.BackfillMs}
	if c := m.Configuration(); c.Version != b.version {
		b.version, b.weights = c.Version, map[string]float64{}
		for _, a := range c.Accounts {
			b.weights[a.Name] = a.Weight
		}
	}
	b.refreshedAt, b.took = now, time.Since(started)
}

// addJob adds the waiting tasks of a job. Long-running tasks have no end, and occurrences that are not
// due do not wait yet.
func (b *backlogState) addJob(j *jobqueue.Job, priority uint32, now time.Time) {
	for i, o := range j.Occurrences {
		if !j.Due(i, now.UnixMilli()) {
			continue
		}
		for _, s := range o.Steps {
			if waiting := s.WaitingTasks(); waiting > 0 && !s.Spec.LongRunning {
				b.waiting.Add(priority, j.Account(), b.workOf(s.Spec, waiting))
			}
		}
	}
}

// refreshDelays computes how long startable steps have waited for capacity. Steps that wait for
// another reason, such as a label that no worker has, say nothing about the load.
func (b *backlogState) refreshDelays(l *leaderState, m *jobqueue.Machine, now time.Time) {
	b.delays = map[laneKey]time.Duration{}
	for _, w := range l.waits {
		j := m.Job(w.Step.Job)
		wait, logged := l.loggedWaits[w.Step]
		if j == nil || !j.Open() || !logged || !w.LacksCapacity() {
			continue
		}
		if spec := j.Spec.Steps[w.Step.Step]; spec.LongRunning {
			continue
		}
		key := laneKey{j.Queue.Priority, j.Account()}
		b.delays[key] = max(b.delays[key], now.Sub(wait.since))
	}
}

// freeRate returns the work per second that the processors which are free now could do, by kind. Once
// the planner finds no worker for a step of a kind, what is free is of no use to it. Work that merely
// waits for the next round is no such sign: without the free processors, a fleet that was given little
// work would be believed to be able to do little.
func freeRate(l *leaderState, m *jobqueue.Machine, backfills bool, now time.Time) admission.Work {
	var free admission.Work
	unplaced, unplacedBackfill := false, false
	for _, w := range l.waits {
		j := m.Job(w.Step.Job)
		if j == nil || !w.LacksCapacity() || j.Spec.Steps[w.Step.Step].LongRunning {
			continue
		}
		backfill := j.Spec.Steps[w.Step.Step].Backfill
		unplaced, unplacedBackfill = unplaced || !backfill, unplacedBackfill || backfill
	}
	if unplaced && unplacedBackfill {
		return free
	}
	for _, w := range m.Workers() {
		if !l.leases.reachable(w.Spec.Id, now) || w.Spec.Draining || m.Cordoned(w.Spec.AvailabilityZone) {
			continue
		}
		milli := max(0, l.availability(m, w, now).Free().CPUMilli)
		if !unplaced {
			free.CoreMs += milli
		}
		if !unplacedBackfill {
			free.BackfillMs += milli
			if backfills {
				free.BackfillMs -= min(milli, runsMilli(w).BackfillMs)
			}
		}
	}
	return free
}

// reservedMilli returns the processors, in thousandths, of the runs that have an end of their own.
func reservedMilli(m *jobqueue.Machine) admission.Work {
	var total admission.Work
	for _, w := range m.Workers() {
		of := runsMilli(w)
		total.CoreMs += of.CoreMs
		total.BackfillMs += of.BackfillMs
	}
	return total
}

func runsMilli(w *jobqueue.Worker) admission.Work {
	var milli admission.Work
	for _, r := range w.Runs {
		addMilli(&milli, r.Step)
	}
	return milli
}

// addMilli adds the processors of a run of a step. Long-running tasks do no work that ends.
func addMilli(milli *admission.Work, s *apiv1.JobStep) {
	switch {
	case s.LongRunning:
	case s.Backfill:
		milli.BackfillMs += s.CpuMilli
	default:
		milli.CoreMs += s.CpuMilli
	}
}
