// Package place decides which task runs on which worker, and which has to give
// way. It does no I/O: a Placer learns from workers' reports and turns a
// read-only snapshot of the state into a plan. The replicated state checks each
// part of a plan again when it is applied.
package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Resources counts a worker's goods in whole units, so that sums are exact.
type Resources struct {
	MilliProcessors int64
	MemoryBytes     int64
	Accelerators    int64
}

// Worker is a worker as the snapshot shows it.
type Worker struct {
	Name             string
	Incarnation      uint64
	Region           string
	AvailabilityZone string
	Rack             string
	Capacity         Resources
	// Reserved is what targets on the worker take.
	Reserved Resources
	Draining bool
	// Alive: its leases were renewed lately; nothing new goes to one that is not.
	Alive bool
	// Services with a target on the worker.
	Services []string
	// Running holds the granted attempts, stopping ones included.
	Running []*Task
}

// Task is a task as the snapshot shows it.
type Task struct {
	ID       string
	Job      string
	Kind     string
	Team     string
	Priority apiv1.Priority
	State    apiv1.TaskState
	Attempt  uint64
	// Size is what a queued task declares and what a running one was granted.
	Size Resources
	// Declared is what a running task declared, Size when zero.
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
	// CheckpointedAt is when the last durable checkpoint was seen, zero when never.
	CheckpointedAt time.Time
	// ProgressMilli is the share of the work done, in thousandths, 0 when unknown.
	ProgressMilli int32
}

// Team is a team with its limit and share.
type Team struct {
	Name   string
	Quota  Resources // zero fields are unlimited
	Weight int32
}

// Snapshot is the input of one planning round. Nothing in it is changed.
type Snapshot struct {
	Workers []*Worker
	// Queued tasks whose dependencies are ready, in any order.
	Queued []*Task
	Teams  map[string]*Team
	// Services by name, for objectives.
	Services map[string]*apiv1.Service
	Policy   *apiv1.Policy
}

// Grant gives a task room on a worker.
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

// ReasonStillInEffect marks a throttle that is ordered again so that a worker that
// lost it takes it up; nothing new was decided.
const ReasonStillInEffect = "still in force"

// Throttle holds an attempt's processors down; share 1000 ends it.
type Throttle struct {
	Task       string
	Attempt    uint64
	Worker     string
	ShareMilli int32
	Reason     string
}

// Rejection says which filter refused which worker for a task.
type Rejection struct {
	Worker string
	Filter string
	Reason string
}

// Decision is what became of one queued task in a round; one log line each.
type Decision struct {
	Task    string
	Attempt uint64
	// Worker is empty when the task stays queued.
	Worker     string
	Reason     string
	Candidates int
	Score      float64
	// Rejections is bounded; Refused counts workers per filter in full.
	Rejections []Rejection
	Refused    map[string]int
}

// Plan is the output of one round.
type Plan struct {
	Grants    []Grant
	Evictions []Eviction
	Throttles []Throttle
	// Unplaceable jobs could not run on any worker even when it is empty: job to reason.
	Unplaceable map[string]string
	Decisions   []Decision
}
