// Package jobqueue is the replicated state of jobs that callers submit to
// queues: the queues' configuration, jobs with their tasks, workers, and which
// run of a task holds room on which worker. A Machine is deterministic and does
// no I/O. It judges every start again when the command is applied, whatever the
// planner believed: room, order of steps, attempts, labels and spread.
package jobqueue

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// retentionMs is how long a finished job is remembered, in milliseconds of the
	// log's time: callers ask for a state some minutes after the end, and a
	// submission that was delayed on its way must still find its job.
	retentionMs = 10 * 60 * 1000
	// MaxTasksPerJob bounds what one submission can make every replica hold.
	MaxTasksPerJob = 20_000
	// MaxJobs bounds the jobs held, finished ones included.
	MaxJobs = 200_000
)

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	configuration *apiv1.QueueConfiguration
	jobs          map[string]*Job
	// active lists the jobs that are neither finished nor without runs.
	active orderedMap[*Job]
	// finished lists the ids of finished jobs, oldest first.
	finished []string
	workers  orderedMap[*Worker]
	// current is the incarnation of each host's worker.
	current map[string]string
	// departed lists the incarnations that are gone, oldest first: a late report of one
	// must not bring it back.
	departed []string
	waves    map[uint64]*Wave
	// moves is the newest move of each host; hostOrders counts the hosts ordered away.
	moves      map[string]*apiv1.HostMove
	hostOrders uint64
	// leaving are the workers that are emptied, for maintenance or a move of their hosts.
	leaving map[string]bool
	// learned is what the leader last kept for its successors.
	learned *apiv1.Learnt
	nowMs   int64
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
	}
}

// Apply applies a command at the log's time nowMs (Unix milliseconds). leaderTerm
// is the term of the newest leader that the log knows.
func (m *Machine) Apply(cmd *apiv1.JobsCommand, nowMs int64, leaderTerm uint64) apiv1.JobOutcome {
	m.nowMs = max(m.nowMs, nowMs)
	m.pruneExpired()
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
	}
	return apiv1.JobOutcome_JOB_OUTCOME_INVALID
}

// pruneExpired drops jobs that finished long ago and workers that left long ago.
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
		delete(m.jobs, j.ID())
		m.finished = m.finished[1:]
	}
}

// Configuration returns the configuration in force; version 0 when there is none.
func (m *Machine) Configuration() *apiv1.QueueConfiguration { return m.configuration }

// Learned returns what leaders have learnt of images; it must not be changed.
func (m *Machine) Learned() *apiv1.Learnt { return m.learned }

// Job returns a job, nil when there is none of that id.
func (m *Machine) Job(id string) *Job { return m.jobs[id] }

// Active returns the jobs that have tasks to run or runs to stop, ordered by id.
func (m *Machine) Active() []*Job {
	return slices.Clone(m.active.values)
}

// Workers returns the workers that have not left, ordered by id.
func (m *Machine) Workers() []*Worker {
	workers := make([]*Worker, 0, len(m.workers.values))
	for _, w := range m.workers.values {
		if !w.Departed {
			workers = append(workers, w)
		}
	}
	return workers
}

// Worker returns an incarnation, nil when it is unknown or has left.
func (m *Machine) Worker(id string) *Worker {
	if w := m.workers.get(id); w != nil && !w.Departed {
		return w
	}
	return nil
}

// WorkerOnHost returns the current worker of a host, nil when there is none.
func (m *Machine) WorkerOnHost(host string) *Worker { return m.Worker(m.current[host]) }

// Task returns a task of a job that holds its tasks, nil when there is none.
func (m *Machine) Task(id TaskID) *Task {
	t, _ := m.task(id)
	return t
}

// StepSpec returns what a task's step asks for, nil when there is no such task.
func (m *Machine) StepSpec(id TaskID) *apiv1.JobStep {
	if _, s := m.task(id); s != nil {
		return s.Spec
	}
	return nil
}

// Run returns a run that holds room, nil when there is none.
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
