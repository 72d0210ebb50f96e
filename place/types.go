// Package place decides which worker runs each task and which running tasks are throttled or
// evicted. It does no I/O: a Placer learns from workers' reports and turns a read-only snapshot of
// the state into a plan. The replicated state validates each part of a plan again when it is
// applied.
package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Resources is an amount of processors, memory and accelerators in whole units, so that sums are
// exact.
type Resources struct {
	MilliProcessors int64
	MemoryBytes     int64
	Accelerators    int64
}

// Worker is the state of a worker in a Snapshot.
type Worker struct {
	Name             string
	Incarnation      uint64
	Region           string
	AvailabilityZone string
	Rack             string
	Capacity         Resources
	// Reserved is the capacity set aside for the targets on the worker.
	Reserved Resources
	Draining bool
	// Cordoned reports that nothing may start in the worker's availability zone.
	Cordoned bool
	// Alive reports that the worker's leases were renewed recently. A worker that is not alive
	// receives no new tasks.
	Alive bool
	// Services lists the services that have a target on the worker.
	Services []string
	// Running lists the granted attempts, including those that are stopping.
	Running []*Task
}

// Task is the state of a task in a Snapshot.
type Task struct {
	ID       string
	Job      string
	Kind     string
	Team     string
	Priority apiv1.Priority
	State    apiv1.TaskState
	Attempt  uint64
	// Size is the declared size of a queued task and the granted size of a running one.
	Size Resources
	// Declared is the declared size of a running task. If it is zero, Size is used.
	Declared      Resources
	Worker        string
	Checkpoint    string
	Failures      int32
	Evictions     int32
	EvictionCost  int32
	ExpectedRun   time.Duration
	QueuedAt      time.Time
	GrantedAt     time.Time
	NotBefore     time.Time
	FailedWorkers []string
	// CheckpointedAt is the time of the last durable checkpoint, zero if there is none.
	CheckpointedAt time.Time
	// ProgressMilli is the completed fraction of the work in thousandths, 0 if unknown.
	ProgressMilli int32
}

// Team is a team with its quota and its fair-share weight.
type Team struct {
	Name   string
	Quota  Resources // zero fields are unlimited
	Weight int32
}

// Snapshot is the input of one planning round. The Placer does not modify it.
type Snapshot struct {
	Workers []*Worker
	// Queued lists the tasks whose dependencies are ready, in any order.
	Queued []*Task
	Teams  map[string]*Team
	// Services maps service names to the services, which carry the latency objectives.
	Services map[string]*apiv1.Service
	Policy   *apiv1.Policy
}

// Grant assigns capacity on a worker to a task.
type Grant struct {
	Task              *Task
	Worker            string
	WorkerIncarnation uint64
	Resources         Resources
}

// Eviction ends an attempt so that its task can resume elsewhere.
type Eviction struct {
	Task    string
	Attempt uint64
	Worker  string
	Reason  string
}

// ReasonStillInEffect marks a throttle that is sent again without a new decision, so that a worker
// that lost it applies it again.
const ReasonStillInEffect = "still in effect"

// Throttle limits an attempt to a share of its processors. A share of 1000 removes the limit.
type Throttle struct {
	Task       string
	Attempt    uint64
	Worker     string
	ShareMilli int32
	Reason     string
}

// Rejection is the refusal of one worker for a task by one filter.
type Rejection struct {
	Worker string
	Filter string
	Reason string
}

// Decision is the outcome for one queued task in a round. Each is logged as one line.
type Decision struct {
	Task    string
	Attempt uint64
	// Worker is empty if the task stays queued.
	Worker     string
	Reason     string
	Candidates int
	Score      float64
	// Rejections lists at most Config.MaxRejections workers. Refused counts all refused workers by
	// filter.
	Rejections []Rejection
	Refused    map[string]int
}

// Plan is the output of one round.
type Plan struct {
	Grants    []Grant
	Evictions []Eviction
	Throttles []Throttle
	// Unplaceable maps each job that would not fit on any worker, even without other tasks there,
	// to the reason.
	Unplaceable map[string]string
	Decisions   []Decision
}
