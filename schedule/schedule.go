// Package schedule decides which tasks of submitted jobs start on which workers and which runs are
// stopped. It does no I/O and changes no state: it reads the applied state and the last reports of
// the agents, and returns a decision. The state machine validates the decision again when it is
// committed.
package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fairshare"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Observation is what an agent last reported of a run.
type Observation struct {
	// At is the time at which the report was handled.
	At time.Time
	// FirstAt is the time at which the run was first reported running.
	FirstAt time.Time
	// FirstClockMs and ClockMs are the readings of the worker's clock in the first and the last report
	// that listed the run, 0 if the agent does not report them.
	FirstClockMs, ClockMs int64
	// ProgressAt is the time at which Percent last changed.
	ProgressAt time.Time
	Percent    uint32
	// Figure is the tail latency in milliseconds of a run with a tail latency objective, else the
	// processor time in use in thousandths of a core.
	Figure     int64
	Checkpoint string
}

// Worked returns how long the run has been observed running. The worker's clock is used if it is
// known: the network may deliver a report long after the worker listed its runs.
func (o Observation) Worked() time.Duration {
	if o.FirstClockMs != 0 {
		return time.Duration(o.ClockMs-o.FirstClockMs) * time.Millisecond
	}
	return o.At.Sub(o.FirstAt)
}

// Fleet is what the leader knows of workers and runs in addition to the applied state.
type Fleet interface {
	// Reachable reports whether a worker's lease is valid and its agent has reported recently, so
	// that an order would reach it.
	Reachable(worker string) bool
	// Observed returns the last observation of a run.
	Observed(id jobqueue.RunID) (Observation, bool)
	// ReportingSince returns the time since which a worker has sent reports that list all of its
	// runs without a gap. It returns false while no such reports arrive.
	ReportingSince(worker string) (time.Time, bool)
	// Availability returns what may start on a worker before this round's starts.
	Availability(w *jobqueue.Worker) jobqueue.Availability
}

// Decision is the set of changes to commit, with what the leader does beside them.
type Decision struct {
	Starts []*apiv1.StartRun
	Stops  []*apiv1.StopRun
	// RepacedWorkers are the workers whose runs have new paces.
	RepacedWorkers []string
	// EndedProbations are the runs on probation that have run for long enough.
	EndedProbations []*apiv1.RunRef
	// AdviceRequests are to be sent to the placement advisor.
	AdviceRequests []AdviceRequest
	// Unplaced are the steps with tasks that were ready to start and found no worker.
	Unplaced []UnplacedStep
	// WaitingAccounts are the accounts whose tasks find no capacity while other accounts use some, the
	// lowest share over weight first.
	WaitingAccounts []AccountWait
}

// Empty reports whether there is nothing to commit.
func (d *Decision) Empty() bool {
	return len(d.Starts) == 0 && len(d.Stops) == 0 && len(d.EndedProbations) == 0
}

// Planner decides on starts and stops, and keeps what it has learned from one decision to the next.
// It is not safe for concurrent use.
type Planner struct {
	health       healthTable
	durations    durationTable
	interference *interference
	approvals    approvals
	pacers       map[string]*pacer
	// waitingSince is the time since which a step has had tasks that are ready to start while its
	// job had no run. For a long-running step, one task without a run is enough.
	waitingSince map[jobqueue.StepID]time.Time
	// probationWaitingSince is the time since which a step has had tasks that wait for their
	// probation.
	probationWaitingSince map[jobqueue.StepID]time.Time
	// lowPaceSince is the time since which a run has had a pace of at most lowPace.
	lowPaceSince map[jobqueue.RunID]time.Time
	// cachedUses is the last computed use of each worker's runs.
	cachedUses map[*jobqueue.Worker]cachedUse
	// prunedAt is the time at which the state of departed workers and finished jobs was last
	// dropped.
	prunedAt time.Time
	// unobservedSince is the time since which the log has had a long-running run that no report has
	// listed yet. unlistedCheckedAt is the time of the last check for such runs.
	unobservedSince   map[jobqueue.RunID]time.Time
	unlistedCheckedAt time.Time
	// leavingSince is the time since which a worker is being evacuated.
	leavingSince map[string]time.Time
	// workloads is the running work by account and queue, and ledger the use of each account.
	workloads workloads
	ledger    *fairshare.Ledger
	// turns are the accounts with ready tasks at a priority that they compete for with others.
	turns map[turnKey]turnState
	// rankBuffer is the memory of a ranking that is not in use.
	rankBuffer []rankedSlot
	// rates is nil unless workers are rated.
	rates      *rateTable
	stragglers *stragglers
	// pauseAfter is how long a tail latency may exceed its objective before all backfill runs beside it are
	// paused.
	pauseAfter time.Duration
}

// Options select what a planner does beyond the default.
type Options struct {
	// WorkerRates is whether workers are rated by the progress of their runs, and stragglers on slow
	// workers are moved or copied.
	WorkerRates bool
	// MaxInterference is how long backfill tasks may keep the tail latency of a serving task beside them over
	// its objective; 0 means 4 s.
	MaxInterference time.Duration
}

// New returns a planner with the default options that has learned nothing yet.
func New() *Planner { return NewWithOptions(Options{}) }

// NewWithOptions returns a planner that has learned nothing yet.
func NewWithOptions(o Options) *Planner {
	p := &Planner{
		health: newHealthTable(), durations: newDurationTable(), interference: newInterference(),
		approvals: newApprovals(), pacers: map[string]*pacer{},
		waitingSince: map[jobqueue.StepID]time.Time{}, lowPaceSince: map[jobqueue.RunID]time.Time{},
		cachedUses: map[*jobqueue.Worker]cachedUse{}, leavingSince: map[string]time.Time{},
		unobservedSince: map[jobqueue.RunID]time.Time{},
		workloads:       newWorkloads(), ledger: fairshare.New(), pauseAfter: o.pauseAfter(),
	}
	if o.WorkerRates {
		p.rates, p.stragglers = newRateTable(), newStragglers()
	}
	return p
}

// Plan decides at the steady time now. The wall time wallMs, in Unix milliseconds, determines which
// occurrences are due.
func (p *Planner) Plan(m *jobqueue.Machine, fleet Fleet, now time.Time, wallMs int64) Decision {
	p.rates.findCommonCauses(m, now)
	r := p.newRound(m, fleet, now, wallMs)
	r.buildSlots()
	p.rates.decay(r.slots, now)
	r.endProbations()
	r.stopStuck()
	r.stopUnlisted()
	r.stopOvercommitted()
	r.startWaiting()
	r.evacuate()
	r.moveSlowedRuns()
	r.handleStragglers()
	r.setStartPaces()
	return r.decision
}

func (p *Planner) newRound(m *jobqueue.Machine, fleet Fleet, now time.Time, wallMs int64) *round {
	return &round{
		planner: p, machine: m, fleet: fleet, now: now, wallMs: wallMs, stopped: map[jobqueue.RunID]bool{}, probations: map[string]int{},
		starts: newWorkloads(), turns: map[turnKey]turnState{}, keptWorkers: map[string]int{},
		unplacedByAccount: map[string]int{}, full: map[taskShape][reasonCount]int{},
		infeasible: map[taskShape]bool{}, unkeepable: map[taskShape]bool{}, crowding: map[string]poolCrowding{},
	}
}

// RecordRunEnd updates what the planner has learned of the worker and the image of an ended run.
func (p *Planner) RecordRunEnd(e EndedRun) {
	p.health.recordEnd(e)
	p.durations.recordEnd(p.rates.normalized(e))
	p.rates.recordEnd(e)
	p.stragglers.recordEnd(e)
}

// EndedRun describes how a run ended.
type EndedRun struct {
	Worker string
	Run    jobqueue.RunID
	Kind   apiv1.RunEndKind
	Step   *apiv1.JobStep
	At     time.Time
	// Duration is the time from the first observation to the end, 0 if unknown.
	Duration time.Duration
	// Resumed is set for a run that resumed from a checkpoint.
	Resumed bool
}

// pruneInterval is the time from one removal of outdated entries to the next. Pruning serves only
// to bound the memory in use.
const pruneInterval = time.Second

// pruneDeparted drops what was learned of departed workers, finished jobs and unused images.
func (p *Planner) pruneDeparted(m *jobqueue.Machine, now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	departed := func(worker string) bool { return m.Worker(worker) == nil }
	maps.DeleteFunc(p.pacers, func(worker string, _ *pacer) bool { return departed(worker) })
	p.forgetUses(m)
	maps.DeleteFunc(p.health.byWorker, func(worker string, _ *health) bool { return departed(worker) })
	finished := func(step jobqueue.StepID) bool {
		j := m.Job(step.Job)
		return j == nil || !j.Open()
	}
	p.interference.prune(finished, now)
	p.approvals.removeFinished(finished)
	p.durations.prune(now)
}

// forgetUses drops the uses of workers that the log no longer contains.
func (p *Planner) forgetUses(m *jobqueue.Machine) {
	maps.DeleteFunc(p.cachedUses, func(w *jobqueue.Worker, c cachedUse) bool {
		departed := m.Worker(w.Spec.Id) != w
		if departed {
			p.workloads.add(c.workloads, -1)
		}
		return departed
	})
}
