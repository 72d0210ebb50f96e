package admin

import "github.com/cairnlift/cairnlift/spec"

// SubmitRequest replaces the configuration with the operators' configuration text.
type SubmitRequest struct {
	// SubmissionID makes a retry safe: a repeated id gets the response to its first submission.
	SubmissionID string `json:"submission_id"`
	// BaseVersion is the version that the text was derived from. It must be the newest one.
	BaseVersion uint64 `json:"base_version"`
	Text        string `json:"text"`
	Operator    string `json:"operator"`
}

// SubmitResponse confirms that the text was accepted.
type SubmitResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Repeated is true if this submission id had already been accepted.
	Repeated bool `json:"repeated"`
}

// ValidateRequest checks a text for errors and changes nothing.
type ValidateRequest struct {
	Text string `json:"text"`
}

// ValidateResponse lists what a valid text would change.
type ValidateResponse struct {
	Digest  string            `json:"digest"`
	Version uint64            `json:"version"`
	Changes []spec.ItemChange `json:"changes"`
}

// Configuration is the newest configuration known to the entry that answers.
type Configuration struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

// WatchResponse reports the newest version.
type WatchResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Changed is false if the wait ended without a newer version.
	Changed bool `json:"changed"`
}

// Resources is an amount of the resources of a worker.
type Resources struct {
	MilliProcessors int64 `json:"milli_processors"`
	MemoryBytes     int64 `json:"memory_bytes"`
	Accelerators    int64 `json:"accelerators"`
}

// The sections of a status. A query may select some of them.
const (
	SectionProcesses = "processes"
	SectionWorkers   = "workers"
	SectionTargets   = "targets"
	SectionJobs      = "jobs"
)

// Status is the state of the system as known to the entry that answers.
type Status struct {
	Entry string `json:"entry"`
	// ConfigurationVersion is the newest version known to the entry.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// ConfirmedAgeMs is the time since a quorum confirmed that this version is the
	// newest; negative if none ever did.
	ConfirmedAgeMs int64  `json:"confirmed_age_ms"`
	Leader         string `json:"leader"`
	Term           uint64 `json:"term"`
	// Index is the last log index that is applied to this state.
	Index uint64 `json:"index"`
	// CordonedZones are the availability zones in which nothing may start.
	CordonedZones []string `json:"cordoned_zones,omitempty"`
	// HeldQueues are the queues that operators hold, and PrioritizedJobs up to 100 submitted jobs that they
	// put before the others of their priority.
	HeldQueues      []string  `json:"held_queues,omitempty"`
	PrioritizedJobs []string  `json:"prioritized_jobs,omitempty"`
	Processes       []Process `json:"processes,omitempty"`
	Workers         []Worker  `json:"workers,omitempty"`
	Targets         []Target  `json:"targets,omitempty"`
	Jobs            []Job     `json:"jobs,omitempty"`
}

// Process is one process of the system itself.
type Process struct {
	Name string `json:"name"`
	// Role is leader, follower, learner, entry or agent.
	Role             string `json:"role"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// ConfigurationVersion is the version in force in the process, as it last reported.
	ConfigurationVersion uint64 `json:"configuration_version"`
	Ready                bool   `json:"ready"`
	Leaving              bool   `json:"leaving"`
	// LastHeardMs is the time since the process last reported; 0 for the entry that answers.
	LastHeardMs int64 `json:"last_heard_ms"`
}

// Worker is a machine that runs tasks.
type Worker struct {
	Name             string    `json:"name"`
	AvailabilityZone string    `json:"availability_zone"`
	Rack             string    `json:"rack"`
	Capacity         Resources `json:"capacity"`
	// Reserved is the sum of the reservations of the worker's targets.
	Reserved Resources `json:"reserved"`
	// Granted is the sum of the grants of the worker's running tasks.
	Granted  Resources `json:"granted"`
	Tasks    int       `json:"tasks"`
	Alive    bool      `json:"alive"`
	Draining bool      `json:"draining"`
	// Cordoned reports whether nothing may start in the worker's availability zone.
	Cordoned    bool   `json:"cordoned"`
	Quarantined string `json:"quarantined,omitempty"`
}

// Target is one back end instance of a service.
type Target struct {
	Name             string `json:"name"`
	Service          string `json:"service"`
	Agent            string `json:"agent"`
	AvailabilityZone string `json:"availability_zone"`
	Slots            int    `json:"slots"`
	InFlight         int    `json:"in_flight"`
	Leaving          bool   `json:"leaving"`
}

// Job is a batch job with the number of its tasks in each state.
type Job struct {
	Name      string `json:"name"`
	Team      string `json:"team,omitempty"`
	Priority  string `json:"priority"`
	Queued    int    `json:"queued"`
	Running   int    `json:"running"`
	Stopping  int    `json:"stopping"`
	Succeeded int    `json:"succeeded"`
	Failed    int    `json:"failed"`
	Canceled  int    `json:"canceled"`
	// WaitsFor is the reason why its queued tasks are not placed.
	WaitsFor string `json:"waits_for,omitempty"`
}

// Explanation gives the reasons for the current state of a job.
type Explanation struct {
	Job Job `json:"job"`
	// Reasons are sentences about the job as a whole, for example that it is parked,
	// canceled, waiting for a dependency or too large for every worker.
	Reasons []string          `json:"reasons"`
	Tasks   []TaskExplanation `json:"tasks"`
	// TasksLeftOut is the number of tasks omitted because the list is bounded.
	TasksLeftOut int `json:"tasks_left_out,omitempty"`
}

// TaskExplanation describes one task: its state, its failures and the last attempt to place it.
type TaskExplanation struct {
	Task          string   `json:"task"`
	State         string   `json:"state"`
	Attempt       uint64   `json:"attempt"`
	Worker        string   `json:"worker,omitempty"`
	Reason        string   `json:"reason,omitempty"`
	Failures      int      `json:"failures"`
	Evictions     int      `json:"evictions"`
	FailedWorkers []string `json:"failed_workers,omitempty"`
	// NotBeforeMs is the earliest time of the next attempt, in Unix milliseconds.
	NotBeforeMs int64 `json:"not_before_ms,omitempty"`
	// Refused is the number of workers that each filter excluded in the last placement round.
	Refused map[string]int `json:"refused,omitempty"`
	// Rejections gives the reasons for some of these workers.
	Rejections []Rejection `json:"rejections,omitempty"`
}

// Rejection is the exclusion of a worker by a filter.
type Rejection struct {
	Worker string `json:"worker"`
	Filter string `json:"filter"`
	Reason string `json:"reason"`
}

// DrainRequest starts or, with Undo, ends the drain of a worker or a target.
type DrainRequest struct {
	Name string `json:"name"`
	// Kind is worker or target; if empty, it is whichever of the two has the name.
	Kind     string `json:"kind,omitempty"`
	Undo     bool   `json:"undo,omitempty"`
	Operator string `json:"operator"`
}

// Values of DrainRequest.Kind.
const (
	KindWorker = "worker"
	KindTarget = "target"
)

// DrainResponse reports the progress of a drain.
type DrainResponse struct {
	Kind     string `json:"kind"`
	Draining bool   `json:"draining"`
	// InFlight is the number of requests in flight on a target, or of tasks on a worker.
	InFlight int `json:"in_flight"`
}

// CancelRequest cancels jobs.
type CancelRequest struct {
	Jobs     []string `json:"jobs"`
	Reason   string   `json:"reason,omitempty"`
	Operator string   `json:"operator"`
}

// CancelResponse confirms that the jobs are canceled.
type CancelResponse struct {
	// Repeated is true if all of them had already been canceled.
	Repeated bool `json:"repeated"`
}

// Member is a replica of the control group.
type Member struct {
	ID      uint64 `json:"id,omitempty"`
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is leader, follower or learner.
	Role string `json:"role,omitempty"`
	// Match is the last log index known to be replicated to it; 0 if unknown.
	Match uint64 `json:"match,omitempty"`
}

// MemberList is the membership of the control group.
type MemberList struct {
	Members []Member `json:"members"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
}

// DecisionQuery selects decisions.
type DecisionQuery struct {
	// Part is route or place; both if empty.
	Part string
	// Subject is a request id or a task; all if empty.
	Subject string
	Limit   int
}

// Decision is one routing or placement decision.
type Decision struct {
	TimeMs int64 `json:"time_ms"`
	// Part is route or place.
	Part string `json:"part"`
	// Subject is the request id or the task.
	Subject string `json:"subject"`
	Attempt uint64 `json:"attempt"`
	// Chosen is the target or worker; empty if none was chosen.
	Chosen     string `json:"chosen,omitempty"`
	Candidates int    `json:"candidates"`
	Reason     string `json:"reason"`
}

// DecisionList lists the most recent decisions, newest first.
type DecisionList struct {
	Decisions []Decision `json:"decisions"`
}
