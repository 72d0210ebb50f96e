// Package schedule decides which tasks of submitted jobs start where, and which
// runs are stopped. It does no I/O and changes no state: it reads the applied
// state and what agents last reported, and returns a decision that the state
// judges again when the decision is committed.
package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Observation is what an agent last reported of a run.
type Observation struct {
	// At is when the report was handled.
	At time.Time
	// FirstAt is when the run was first seen running.
	FirstAt time.Time
	// ProgressAt is when Percent last changed.
	ProgressAt time.Time
	Percent    uint32
	// Figure is the tail latency in milliseconds of a run with an objective for it,
	// else the processor time in use, in thousandths of a core.
	Figure     int64
	Checkpoint string
}

// Fleet is what the leader knows of workers and runs beside the applied state.
type Fleet interface {
	// Reachable reports whether a worker's lease holds and its agent was heard of
	// lately, so that an order would reach it.
	Reachable(worker string) bool
	// Observed returns the last observation of a run.
	Observed(id jobqueue.RunID) (Observation, bool)
	// ReportingSince returns since when reports that list all that runs on a worker have come in
	// without a gap; false while none come.
	ReportingSince(worker string) (time.Time, bool)
}

// Decision is what should be committed.
type Decision struct {
	Starts []*apiv1.StartRun
	Stops  []*apiv1.StopRun
	// RepacedWorkers are the workers whose runs have new paces.
	RepacedWorkers []string
	// EndedProbations are runs on trial that have worked for long enough.
	EndedProbations []*apiv1.RunRef
	// AdviceRequests are to be put to the placement advisor.
	AdviceRequests []AdviceRequest
	// Unplaced are the steps with tasks that could start and found no worker.
	Unplaced []UnplacedStep
}

// Empty reports whether there is nothing to commit.
func (d *Decision) Empty() bool {
	return len(d.Starts) == 0 && len(d.Stops) == 0 && len(d.EndedProbations) == 0
}

// Planner keeps what was learnt from one decision to the next. It is not safe for
// concurrent use.
type Planner struct {
	health       healthTable
	durations    durationTable
	interference *interference
	approvals    approvals
	pacers       map[string]*pacer
	// waitingSince says since when a step had tasks whose turn had come and its job had
	// nothing running.
	waitingSince map[jobqueue.StepID]time.Time
	// probationWaitingSince says since when a step has had tasks that wait for their trial.
	probationWaitingSince map[jobqueue.StepID]time.Time
	// paceReduction says since when a run's pace has been so low that it hardly works.
	lowPaceSince map[jobqueue.RunID]time.Time
	// cachedUses is what the runs of each worker were last found to use.
	cachedUses map[*jobqueue.Worker]cachedUse
	// prunedAt is when what is gone was last dropped.
	prunedAt time.Time
	// unobservedSince says since when a long-running run that no report has listed yet stands in
	// the log, and unlistedCheckedAt when such runs were last looked for.
	unobservedSince   map[jobqueue.RunID]time.Time
	unlistedCheckedAt time.Time
	// leavingSince says since when a worker has been emptied.
	leavingSince map[string]time.Time
}

// New returns a planner that has learnt nothing yet.
func New() *Planner {
	return &Planner{
		health: newHealthTable(), durations: newDurationTable(), interference: newInterference(),
		approvals: newApprovals(), pacers: map[string]*pacer{},
		waitingSince: map[jobqueue.StepID]time.Time{}, lowPaceSince: map[jobqueue.RunID]time.Time{},
		cachedUses: map[*jobqueue.Worker]cachedUse{}, leavingSince: map[string]time.Time{},
		unobservedSince: map[jobqueue.RunID]time.Time{},
	}
}

// Plan decides at the steady time now and the wall time wallMs (Unix
// milliseconds), by which occurrences are due.
func (p *Planner) Plan(m *jobqueue.Machine, fleet Fleet, now time.Time, wallMs int64) Decision {
	r := p.newRound(m, fleet, now, wallMs)
	r.buildSlots()
	r.endProbations()
	r.stopStuck()
	r.stopUnlisted()
	r.stopOvercommitted()
	r.startWaiting()
	r.evacuate()
	r.moveSlowedRuns()
	r.setStartPaces()
	return r.decision
}

func (p *Planner) newRound(m *jobqueue.Machine, fleet Fleet, now time.Time, wallMs int64) *round {
	return &round{planner: p, machine: m, fleet: fleet, now: now, wallMs: wallMs, stopped: map[jobqueue.RunID]bool{}, probations: map[string]int{}}
}

// RecordRunEnd teaches the planner how a run ended.
func (p *Planner) RecordRunEnd(e EndedRun) {
	p.health.recordEnd(e)
	p.durations.recordEnd(e)
}

// EndedRun is a run's end as the planner learns of it.
type EndedRun struct {
	Worker string
	Kind   apiv1.RunEndKind
	Step   *apiv1.JobStep
	At     time.Time
	// Duration is the time from the first observation to the end, 0 when unknown.
	Duration time.Duration
	// Resumed is set for a run that went on from a checkpoint.
	Resumed bool
}

// pruneInterval is the time between two looks for what is gone: it only bounds the memory.
const pruneInterval = time.Second

// pruneDeparted drops what was learnt of workers that have left.
func (p *Planner) pruneDeparted(m *jobqueue.Machine, now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	gone := func(worker string) bool { return m.Worker(worker) == nil }
	maps.DeleteFunc(p.pacers, func(worker string, _ *pacer) bool { return gone(worker) })
	maps.DeleteFunc(p.cachedUses, func(w *jobqueue.Worker, _ cachedUse) bool { return m.Worker(w.Spec.Id) != w })
	maps.DeleteFunc(p.health.byWorker, func(worker string, _ *health) bool { return gone(worker) })
	over := func(step jobqueue.StepID) bool {
		j := m.Job(step.Job)
		return j == nil || !j.Open()
	}
	p.interference.prune(over, now)
	p.approvals.removeFinished(over)
	p.durations.prune(now)
}
