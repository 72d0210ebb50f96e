package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/hdrmetric"
	"github.com/cairnlift/cairnlift/state"
)

// maxPrioritizedShown bounds the prioritized jobs in a status.
const maxPrioritizedShown = 100

// Status is a replica's view of the control group and of the state that it has applied.
type Status struct {
	Term          uint64
	Leading       bool
	LeaderAddress string
	// Index is the last log index applied on this replica.
	Index uint64
	// CordonedZones are the cordoned availability zones.
	CordonedZones []string
	// HeldQueues are the queues that operators hold, and PrioritizedJobs the first of the open jobs that
	// they put before the others of their priority.
	HeldQueues, PrioritizedJobs []string

	Workers []WorkerStatus
	Jobs    []state.Job
}

// WorkerStatus is a worker's record and the age of its last report.
type WorkerStatus struct {
	state.Worker
	// ReportAge is negative if this replica has no report of the worker in its term: only the
	// leader has reports.
	ReportAge time.Duration
}

// Explanation describes the state of a job and why its tasks wait.
type Explanation struct {
	Job   state.Job
	Tasks []state.Task
	// MissingService is a service that the job depends on and that has no target on a live worker;
	// only the leader knows it.
	MissingService string
	// Decisions are the kept planning decisions on the job's tasks, oldest first; only the leader
	// has them.
	Decisions []RecordedDecision
}

// Status returns the replica's current view.
func (r *Replica) Status() Status {
	s := Status{LeaderAddress: r.log().LeaderAddress()}
	s.Term, s.Leading = r.log().Leading()
	now := r.cfg.Now()
	reported := r.reportTimes()
	r.mu.RLock()
	defer r.mu.RUnlock()
	s.Index = r.machine.Index()
	r.machine.EachWorker(func(w state.Worker) {
		ws := WorkerStatus{Worker: w, ReportAge: -1}
		if at, ok := reported[w.Name]; ok {
			ws.ReportAge = now.Sub(at)
		}
		s.Workers = append(s.Workers, ws)
	})
	slices.SortFunc(s.Workers, func(a, b WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	s.Jobs = r.machine.Jobs()
	s.HeldQueues = r.machine.CallerJobs().HeldQueues()
	for _, j := range r.machine.CallerJobs().FirstPrioritized(maxPrioritizedShown) {
		s.PrioritizedJobs = append(s.PrioritizedJobs, j.ID())
	}
	for _, c := range r.machine.CallerJobs().Cordons() {
		if c.Cordoned {
			s.CordonedZones = append(s.CordonedZones, c.Zone)
		}
	}
	return s
}

func (r *Replica) reportTimes() map[string]time.Time {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	times := map[string]time.Time{}
	if r.coordinator == nil {
		return times
	}
	for name, rep := range r.coordinator.reports {
		times[name] = rep.handledAt
	}
	return times
}

// Explain returns the explanation of a job, or false if there is no job of that name.
func (r *Replica) Explain(job string) (Explanation, bool) {
	var e Explanation
	var ok bool
	r.withState(func(m *state.Machine) {
		e.Job, e.Tasks, ok = m.Job(job)
		if ok && r.coordinator != nil {
			e.MissingService = missingService(e.Job.Definition, m, r.coordinator.served)
		}
	})
	if !ok {
		return Explanation{}, false
	}
	taskIDs := make(map[string]bool, len(e.Tasks))
	for _, t := range e.Tasks {
		taskIDs[t.ID] = true
	}
	e.Decisions = r.decisions.forTasks(taskIDs)
	return e, true
}

// Decisions returns the most recent planning decisions made on this replica, oldest first.
func (r *Replica) Decisions() []RecordedDecision { return r.decisions.list() }

// replicaMetrics holds the replica's metrics, which are registered with its daemon's registry.
type replicaMetrics struct {
	applied     metrics.Meter
	unconfirmed metrics.Meter
	commit      *hdrmetric.Histogram
	round       metrics.Timer
}

func newReplicaMetrics(reg metrics.Registry) *replicaMetrics {
	return &replicaMetrics{
		applied:     metrics.GetOrRegisterMeter("control.applied", reg),
		unconfirmed: metrics.GetOrRegisterMeter("control.unconfirmed", reg),
		commit:      hdrmetric.GetOrRegister("control.commit_us", reg),
		round:       metrics.GetOrRegisterTimer("control.round", reg),
	}
}
