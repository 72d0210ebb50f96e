package jobqueue

import (
	"fmt"
	"maps"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// TaskIDOf returns the TaskID of a TaskRef message.
func TaskIDOf(r *apiv1.TaskRef) TaskID {
	return TaskID{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex()}
}

// Ref returns the TaskRef message of the task.
func (t TaskID) Ref() *apiv1.TaskRef {
	return &apiv1.TaskRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// String returns the task's name as used in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunID identifies a run of a task.
type RunID struct {
	Task   TaskID
	Number uint64
}

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// StepID returns the ID of the task's step.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// String returns the step's name as used in logs.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// Resources is an amount of each resource that a task requires or a worker provides.
type Resources struct {
	CPUMilli     int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r for n tasks, negative if n is.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPUMilli * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Fits reports whether r is within o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Message returns the resources as a message.
func (r Resources) Message() *apiv1.JobResources {
	return &apiv1.JobResources{CpuMilli: r.CPUMilli, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

// ResourcesOf returns the resources in a message.
func ResourcesOf(m *apiv1.JobResources) Resources {
	return Resources{CPUMilli: m.GetCpuMilli(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

// String returns the resources as they appear in logs.
func (r Resources) String() string {
	return fmt.Sprintf("%d %d %d", r.CPUMilli, r.MemoryMB, r.Accelerators)
}

// Reserved returns the resources that a task of the step reserves on a worker. A backfill task runs
// on the processor time that other tasks leave unused, so it reserves no CPU.
func Reserved(s *apiv1.JobStep) Resources {
	r := Resources{CPUMilli: s.CpuMilli, MemoryMB: s.MemoryMb, Accelerators: s.Accelerators}
	if s.Backfill {
		r.CPUMilli = 0
	}
	return r
}

// Job is a submitted job.
type Job struct {
	Spec *apiv1.JobSpec
	// Queue is the newest configuration of the job's queue: the one in effect, or the last one if the queue
	// was removed. That of a finished job is not updated.
	Queue *apiv1.JobQueue
	State apiv1.JobState
	// Started: a run of the job is known to have begun, because it ended, saved a checkpoint or was listed by
	// its worker.
	Started bool
	// Prioritized: an operator put the job before the others of its priority.
	Prioritized bool
	AcceptedMs  int64
	FinishedMs  int64
	Occurrences []*Occurrence
	// Failure is the reason why the job failed, FailedTask the task that caused it, and FailedRun the
	// last run of that task. All are unset unless the job failed.
	Failure    apiv1.JobFailure
	FailedTask TaskID
	FailedRun  uint64
	// openSteps counts the steps with unfinished tasks, and liveRuns the runs that reserve
	// resources on a worker.
	openSteps int
	liveRuns  int
	// estimatedBytes is the job's part of Machine.EstimatedBytes.
	estimatedBytes int64
}

// ID returns the job's ID, which the caller chose.
func (j *Job) ID() string { return j.Spec.Id }

// Open reports whether the job is not finished.
func (j *Job) Open() bool {
	return j.State == apiv1.JobState_JOB_STATE_QUEUED || j.State == apiv1.JobState_JOB_STATE_RUNNING
}

// Running reports whether a run of the job reserves resources on a worker.
func (j *Job) Running() bool { return j.liveRuns > 0 }

// DueMs returns when an occurrence is due (Unix milliseconds).
func (j *Job) DueMs(occurrence int) int64 {
	if j.Spec.Occurrences == 0 {
		return j.AcceptedMs
	}
	return j.Spec.StartAtMs + int64(occurrence)*j.Spec.IntervalMs
}

// Due reports whether an occurrence may start at wallMs, the leader's wall clock (Unix
// milliseconds). A job without occurrences may start as soon as it is accepted: comparing it with
// the clock would make a job that has already run due later if the clock is set back or is behind
// the previous leader's clock.
func (j *Job) Due(occurrence int, wallMs int64) bool {
	return j.Spec.Occurrences == 0 || j.DueMs(occurrence) <= wallMs
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Steps []*Step
}

// StepReady reports whether all steps that the given step depends on are done.
func (o *Occurrence) StepReady(step int) bool {
	for _, dependency := range o.Steps[step].Spec.After {
		if !o.Steps[dependency].Succeeded() {
			return false
		}
	}
	return true
}

// Step is a step of an occurrence.
type Step struct {
	Spec  *apiv1.JobStep
	Tasks []*Task
	// done counts the tasks that succeeded, and scheduled the other tasks that have a run.
	done, scheduled int
	// failedRun is the number of the gang's newest run whose failure is counted.
	failedRun uint64
}

// Succeeded reports whether all tasks succeeded.
func (s *Step) Succeeded() bool { return s.done == len(s.Tasks) }

// FullyScheduled reports whether each task either succeeded or has a run, so that no task is
// waiting to be started.
func (s *Step) FullyScheduled() bool { return s.done+s.scheduled == len(s.Tasks) }

// Begun reports whether a task succeeded or has a run.
func (s *Step) Begun() bool { return s.done+s.scheduled > 0 }

// NextRun returns the number of the next run of a task. The members of a gang share one number.
func (s *Step) NextRun(index int) uint64 {
	if !s.Spec.Gang {
		return s.Tasks[index].LastRun + 1
	}
	var last uint64
	for _, t := range s.Tasks {
		last = max(last, t.LastRun)
	}
	return last + 1
}

// Task is a task of a step.
type Task struct {
	Done     bool
	Failures uint32
	// LastRun is the number of the newest run.
	LastRun uint64
	// Checkpoint is the checkpoint from which the next run resumes; empty to start from the
	// beginning.
	Checkpoint string
	Crashes    crashloop.History
	// Runs are the runs that may be running.
	Runs []*Run
}

// Run is a run of a task that reserves resources on a worker.
type Run struct {
	ID       RunID
	Worker   string
	Stopping bool
	// Checkpoint is the checkpoint that the run started from.
	Checkpoint string
	// Ticket is the placement advisor's ticket for the step on the worker; empty for most runs.
	Ticket string
	// OnProbation marks the run of a task that may crash its worker. No task of another step starts
	// on the worker during the probation.
	OnProbation bool
	Step        *apiv1.JobStep
	job         *Job
	worker      *Worker
}

// Job returns the job that the run belongs to.
func (r *Run) Job() *Job { return r.job }

// HasPreferredRack reports whether the run is on the rack that its step prefers.
func (r *Run) HasPreferredRack() bool { return r.worker.HasLabel(r.Step.PreferredRack) }

// requestStop orders the run to stop. Its resources stay reserved until its end is recorded.
func (r *Run) requestStop() {
	if !r.Stopping {
		r.Stopping = true
		r.worker.Revision++
	}
}

// Worker is one incarnation of a worker.
type Worker struct {
	Spec *apiv1.JobWorker
	// Acknowledged is the sequence number up to which the ends of the worker's runs are recorded.
	Acknowledged uint64
	// Used is the total that the worker's runs reserve, including runs that are being stopped.
	Used Resources
	Runs map[RunID]*Run
	// runsOnProbation counts the worker's runs on probation.
	runsOnProbation int
	// lostRuns are the runs that were released when the worker's lease expired, kept until the
	// worker reports again or departs: until then it is not known what ended them.
	lostRuns map[RunID]bool
	// Revision increases with each change of what the worker is to run. It is not part of the
	// replicated state; agents use it to detect new orders.
	Revision uint64
	// Epoch increases when the worker's runs are released because its lease expired. A start
	// ordered in an earlier epoch must not be executed under a lease renewed later.
	Epoch uint64
	// Departed is set once the incarnation has permanently left.
	Departed   bool
	DepartedMs int64
}

// Capacity returns the worker's total resources.
func (w *Worker) Capacity() Resources { return CapacityOf(w.Spec) }

// CapacityOf returns the total resources in a worker's description.
func CapacityOf(w *apiv1.JobWorker) Resources {
	return Resources{CPUMilli: w.CpuMilli, MemoryMB: w.MemoryMb, Accelerators: w.Accelerators}
}

// Free returns the resources that no run reserves.
func (w *Worker) Free() Resources { return w.Capacity().Sub(w.Used) }

// SortedRunIDs returns the IDs of the worker's runs in order.
func (w *Worker) SortedRunIDs() []RunID {
	return slices.SortedFunc(maps.Keys(w.Runs), CompareRunIDs)
}

// RunsMatching returns the matching runs in order. Callers query every worker and few runs match,
// so sorting only the matches is cheaper than sorting all runs first.
func (w *Worker) RunsMatching(match func(*Run) bool) []*Run {
	var found []*Run
	for _, r := range w.Runs {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *Run) int { return CompareRunIDs(a.ID, b.ID) })
	return found
}

// HasLabel reports whether the worker has the label. Every worker has the empty label.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Spec.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StepRunCount returns the number of the step's runs on the worker.
func (w *Worker) StepRunCount(step StepID) int {
	count := 0
	for id := range w.Runs {
		if id.Task.StepID() == step {
			count++
		}
	}
	return count
}
