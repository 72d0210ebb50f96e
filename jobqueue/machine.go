// Package jobqueue implements the replicated state of jobs that callers submit to queues: the
// queues' configuration, jobs with their tasks, workers, and which run of a task reserves resources
// on which worker. A Machine is deterministic and does no I/O. When it applies a command, it
// validates every start again, regardless of what the planner assumed: free capacity, order of
// steps, attempts, labels and spread.
package jobqueue

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// retentionMs is the time from the end of a job, or the departure of a worker, until the
	// machine forgets it, in milliseconds of the log's time. Callers query a job's state for some
	// minutes after its end, and a delayed submission must still find its job.
	retentionMs = 10 * 60 * 1000
	// MaxTasksPerJob bounds the state that one submission adds to every replica.
	MaxTasksPerJob = 20_000
	// MaxJobs bounds the number of stored jobs, including finished ones.
	MaxJobs = 200_000
)

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	configuration *apiv1.QueueConfiguration
	// accounts maps the names of the configured client accounts to their configuration.
	accounts map[string]*apiv1.AccountConfiguration
	jobs     map[string]*Job
	// active contains the jobs that are unfinished or still have runs.
	active orderedMap[*Job]
	// finished lists the IDs of finished jobs, oldest first.
	finished []string
	// unsubmitted counts the jobs of which only a cancel has arrived.
	unsubmitted int
	workers     orderedMap[*Worker]
	// current maps each host to the incarnation of its worker.
	current map[string]string
	// departed lists the departed incarnations, oldest first. They are remembered so that a late
	// report of one does not add it again.
	departed []string
	waves    map[uint64]*Wave
	// moves maps each host to its newest move. hostOrders counts the orders to take a host out of
	// service or move it.
	moves      map[string]*apiv1.HostMove
	hostOrders uint64
	// cordons maps each availability zone to the newest order about it.
	cordons map[string]*apiv1.ZoneCordon
	// pendingByAccount and pendingByQueue count the accepted jobs that have not started.
	pendingByAccount map[string]int
	pendingByQueue   map[queueKey]int
	// holds maps the name of each queue to the newest order about its hold.
	holds map[string]*apiv1.QueueHold
	// leaving contains the workers that are drained for maintenance or a move of their hosts.
	leaving map[string]bool
	// learned is the data that the leader last stored for its successors.
	learned *apiv1.Learnt
	// crashEvents are the recent crashes of workers, oldest first, and lastCrashEvent is the number of
	// the last one.
	crashEvents    []*crashEvent
	lastCrashEvent uint64
	// pendingVerdicts are the tasks at their crash limit whose jobs fail at the given time of the log.
	pendingVerdicts map[TaskID]int64
	// estimatedBytes is the estimated memory of the jobs.
	estimatedBytes int64
	nowMs          int64
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		configuration: &apiv1.QueueConfiguration{},
		jobs:          map[string]*Job{},
		active:        newOrderedMap[*Job](),
		workers:       newOrderedMap[*Worker](),
		current:       map[string]string{},
		waves:         map[uint64]*Wave{},
		moves:         map[string]*apiv1.HostMove{},
		cordons:       map[string]*apiv1.ZoneCordon{},
		holds:         map[string]*apiv1.QueueHold{},

		pendingByAccount: map[string]int{},
		pendingByQueue:   map[queueKey]int{},

		lastCrashEvent:  legacyCrashEvent,
		pendingVerdicts: map[TaskID]int64{},
	}
}

// Apply applies a command at the log's time nowMs (Unix milliseconds). leaderTerm is the term of
// the newest leader recorded in the log.
func (m *Machine) Apply(cmd *apiv1.JobsCommand, nowMs int64, leaderTerm uint64) apiv1.JobOutcome {
	m.nowMs = max(m.nowMs, nowMs)
	m.pruneExpired()
	m.settleVerdicts()
	switch body := cmd.GetBody().(type) {
	case *apiv1.JobsCommand_PutQueues:
		return m.putQueues(body.PutQueues.GetConfiguration())
	case *apiv1.JobsCommand_Submit:
		return m.submit(body.Submit.GetSpec())
	case *apiv1.JobsCommand_Cancel:
		return m.cancel(body.Cancel)
	case *apiv1.JobsCommand_Report:
		return m.report(body.Report)
	case *apiv1.JobsCommand_Plan:
		return m.plan(body.Plan, leaderTerm)
	case *apiv1.JobsCommand_PutWave:
		return m.putWave(body.PutWave.GetWave())
	case *apiv1.JobsCommand_Maintain:
		return m.advanceWaveHost(body.Maintain, leaderTerm)
	case *apiv1.JobsCommand_RequestMove:
		return m.requestMove(body.RequestMove)
	case *apiv1.JobsCommand_MoveHost:
		return m.advanceMove(body.MoveHost, leaderTerm)
	case *apiv1.JobsCommand_SetCordon:
		return m.setCordon(body.SetCordon)
	case *apiv1.JobsCommand_SetQueueHold:
		return m.setQueueHold(body.SetQueueHold)
	case *apiv1.JobsCommand_Prioritize:
		return m.prioritize(body.Prioritize)
	}
	return apiv1.JobOutcome_JOB_OUTCOME_INVALID
}

// pruneExpired forgets jobs that finished, and workers that departed, at least retentionMs ago.
func (m *Machine) pruneExpired() {
	for len(m.departed) > 0 && m.workers.get(m.departed[0]).DepartedMs+retentionMs <= m.nowMs {
		m.workers.remove(m.departed[0])
		m.departed = m.departed[1:]
	}
	for len(m.finished) > 0 {
		j := m.jobs[m.finished[0]]
		if j.FinishedMs+retentionMs > m.nowMs || j.liveRuns > 0 {
			return
		}
		if j.unsubmitted() {
			m.unsubmitted--
		}
		m.setEstimate(j, 0)
		delete(m.jobs, j.ID())
		m.finished = m.finished[1:]
	}
}

// Configuration returns the configuration in effect; its version is 0 if there is none.
func (m *Machine) Configuration() *apiv1.QueueConfiguration { return m.configuration }

// Learned returns what leaders have learned about images. The caller must not modify it.
func (m *Machine) Learned() *apiv1.Learnt { return m.learned }

// Job returns the job with the given ID, or nil if there is none.
func (m *Machine) Job(id string) *Job {
	if j := m.jobs[id]; j != nil && !j.unsubmitted() {
		return j
	}
	return nil
}

// FinishedSince returns the jobs that finished at the given time of the log or later, oldest first.
func (m *Machine) FinishedSince(ms int64) []*Job {
	first := len(m.finished)
	for first > 0 && m.jobs[m.finished[first-1]].FinishedMs >= ms {
		first--
	}
	var jobs []*Job
	for _, id := range m.finished[first:] {
		if j := m.Job(id); j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// Active returns the jobs that have tasks to run or runs to stop, ordered by ID.
func (m *Machine) Active() []*Job {
	return slices.Clone(m.active.values)
}

// Workers returns the workers that have not departed, ordered by ID.
func (m *Machine) Workers() []*Worker {
	workers := make([]*Worker, 0, len(m.workers.values))
	for _, w := range m.workers.values {
		if !w.Departed {
			workers = append(workers, w)
		}
	}
	return workers
}

// Worker returns an incarnation, or nil if it is unknown or has departed.
func (m *Machine) Worker(id string) *Worker {
	if w := m.workers.get(id); w != nil && !w.Departed {
		return w
	}
	return nil
}

// Revision returns the revision of an incarnation, also of one that has departed; 0 if it is unknown.
func (m *Machine) Revision(worker string) uint64 {
	if w := m.workers.get(worker); w != nil {
		return w.Revision
	}
	return 0
}

// WorkerOnHost returns the current worker of a host, or nil if there is none.
func (m *Machine) WorkerOnHost(host string) *Worker { return m.Worker(m.current[host]) }

// Task returns a task, or nil if there is no such task or its job no longer stores its tasks.
func (m *Machine) Task(id TaskID) *Task {
	t, _ := m.task(id)
	return t
}

// StepSpec returns the specification of a task's step, or nil if there is no such task.
func (m *Machine) StepSpec(id TaskID) *apiv1.JobStep {
	if _, s := m.task(id); s != nil {
		return s.Spec
	}
	return nil
}

// Run returns a run that reserves resources, or nil if there is none.
func (m *Machine) Run(id RunID) *Run {
	t, _ := m.task(id.Task)
	if t == nil {
		return nil
	}
	for _, r := range t.Runs {
		if r.ID == id {
			return r
		}
	}
	return nil
}
