package jobqueue

import (
	"fmt"
	"maps"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// TaskIDOf reads a reference of a message.
func TaskIDOf(r *apiv1.TaskRef) TaskID {
	return TaskID{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex()}
}

// Ref returns the reference for a message.
func (t TaskID) Ref() *apiv1.TaskRef {
	return &apiv1.TaskRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// String returns the task's name in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunID names a run of a task.
type RunID struct {
	Task   TaskID
	Number uint64
}

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// StepID names the task's step.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// String returns the step's name in logs.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// Resources are what a task takes and a worker has.
type Resources struct {
	CPUMilli     int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Reserved is what a task of a step takes of a worker. A backfilling task runs on
// what the others leave of the processors, so it reserves none.
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
	// Queue is the queue as it was when the job was accepted.
	Queue       *apiv1.JobQueue
	State       apiv1.JobState
	Started     bool
	AcceptedMs  int64
	FinishedMs  int64
	Occurrences []*Occurrence
	// Failure is why the job failed, and FailedTask of what; unset for others.
	Failure    apiv1.JobFailure
	FailedTask TaskID
	// openSteps counts the steps with tasks that have not ended; liveRuns the runs
	// that hold room.
	openSteps int
	liveRuns  int
}

// ID returns the caller's id of the job.
func (j *Job) ID() string { return j.Spec.Id }

// Open reports whether the job still has to run.
func (j *Job) Open() bool {
	return j.State == apiv1.JobState_JOB_STATE_QUEUED || j.State == apiv1.JobState_JOB_STATE_RUNNING
}

// Running reports whether a run of the job holds room.
func (j *Job) Running() bool { return j.liveRuns > 0 }

// DueMs is when an occurrence is due (Unix milliseconds).
func (j *Job) DueMs(occurrence int) int64 {
	if j.Spec.Occurrences == 0 {
		return j.AcceptedMs
	}
	return j.Spec.StartAtMs + int64(occurrence)*j.Spec.IntervalMs
}

// Due reports whether an occurrence may start by a leader's wall clock (Unix milliseconds). A
// job without occurrences may once it is accepted. What goes wrong if the clock is asked then:
// it is set back or behind the earlier leader's, and a job that has run already is due later.
func (j *Job) Due(occurrence int, wallMs int64) bool {
	return j.Spec.Occurrences == 0 || j.DueMs(occurrence) <= wallMs
}

// Occurrence is one time that a job's steps run.
type Occurrence struct {
	Steps []*Step
}

// StepReady reports whether the steps before a step have ended.
func (o *Occurrence) StepReady(step int) bool {
	for _, before := range o.Steps[step].Spec.After {
		if !o.Steps[before].Succeeded() {
			return false
		}
	}
	return true
}

// Step is a step of an occurrence.
type Step struct {
	Spec  *apiv1.JobStep
	Tasks []*Task
	// done counts the tasks that ended well, and covered the others that have a run.
	done, scheduled int
	// failedRun is the gang's newest run whose failure is counted.
	failedRun uint64
}

// Succeeded reports whether all tasks ended well.
func (s *Step) Succeeded() bool { return s.done == len(s.Tasks) }

// FullyScheduled reports whether each task ended well or has a run, so that none waits for one.
func (s *Step) FullyScheduled() bool { return s.done+s.scheduled == len(s.Tasks) }

// NextRun is the number of the next run of a task; the members of a gang share it.
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
	// Checkpoint is where the next run goes on from; empty for the beginning.
	Checkpoint string
	Crashes    Crashes
	// Runs are those that may be running.
	Runs []*Run
}

// Run is a run of a task that holds room on a worker.
type Run struct {
	ID       RunID
	Worker   string
	Stopping bool
	// Checkpoint is what the run started from.
	Checkpoint string
	// Ticket is the placement advisor's for the step on the worker, empty for most.
	Ticket string
	// OnProbation: the task may crash its workers, and nothing else starts beside it for now.
	OnProbation bool
	Step        *apiv1.JobStep
	job         *Job
	worker      *Worker
}

// Job returns the job that the run belongs to.
func (r *Run) Job() *Job { return r.job }

// requestStop orders the run to stop; its room is held until its end is recorded.
func (r *Run) requestStop() {
	if !r.Stopping {
		r.Stopping = true
		r.worker.Revision++
	}
}

// Worker is one incarnation of a worker.
type Worker struct {
	Spec *apiv1.JobWorker
	// Acknowledged is the sequence number up to which its ends are recorded.
	Acknowledged uint64
	// Used is what its runs reserve, those that are being stopped included.
	Used Resources
	Runs map[RunID]*Run
	// runsOnProbation counts its runs on trial.
	runsOnProbation int
	// lostRuns are the runs that were given up when its lease ran out, until it is heard of or
	// gone: what ended them is not known before that.
	lostRuns map[RunID]bool
	// Revision grows with each change of what the worker is to run. It is no part of
	// the replicated state: agents learn by it that there are new orders.
	Revision uint64
	// Epoch grows when the worker's runs are given up because its lease ran out. A
	// start that was ordered before must not be made under a lease renewed after.
	Epoch uint64
	// Departed is set once the incarnation is gone for good.
	Departed   bool
	DepartedMs int64
}

// Capacity is what the worker has.
func (w *Worker) Capacity() Resources {
	return Resources{CPUMilli: w.Spec.CpuMilli, MemoryMB: w.Spec.MemoryMb, Accelerators: w.Spec.Accelerators}
}

// Free is what the worker has left.
func (w *Worker) Free() Resources { return w.Capacity().Sub(w.Used) }

// SortedRunIDs returns the names of the worker's runs in order.
func (w *Worker) SortedRunIDs() []RunID {
	return slices.SortedFunc(maps.Keys(w.Runs), compareRunIDs)
}

// RunsMatching returns the runs that match, in order. Few do where this is asked for each
// worker, so it is cheaper than to put all in order first.
func (w *Worker) RunsMatching(match func(*Run) bool) []*Run {
	var found []*Run
	for _, r := range w.Runs {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *Run) int { return compareRunIDs(a.ID, b.ID) })
	return found
}

// HasLabel reports whether the worker carries a label; every worker does the
// empty one.
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

// StepRunCount returns how many runs of a step the worker holds.
func (w *Worker) StepRunCount(step StepID) int {
	count := 0
	for id := range w.Runs {
		if id.Task.StepID() == step {
			count++
		}
	}
	return count
}
