// Package state implements the replicated state of the control group: the
// configuration, jobs and their tasks, workers and the capacity granted on them,
// and claims of idempotency keys. A Machine is deterministic and does no I/O:
// replicas that apply the same log have the same state. Its time is the log's: the
// largest time stamp of any applied command.
//
// The retained state is bounded: see MaxSubmissions, MaxClaims, MaxResponseBytes,
// MaxTotalResponseBytes, MaxTasksPerJob and MaxDirectories.
package state

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	index  uint64
	timeMs int64
	// commandTimeMs is the time of the command being applied and clockTerm the term of
	// the leader that stamped it.
	commandTimeMs int64
	clockTerm     uint64
	// leaderTerm is the term of the latest leader that was ready to lead.
	leaderTerm uint64

	configuration *apiv1.Configuration
	services      map[string]*apiv1.Service

	// jobs holds the jobs of the configuration by name. removedJobs holds, by id,
	// jobs that were removed from the configuration and still have live attempts;
	// removedCount counts them by name.
	jobs         map[string]*job
	removedJobs  map[string]*job
	removedCount map[string]int
	// dependents holds, per job name, the jobs that depend on it.
	dependents map[string]map[*job]struct{}
	tasks      map[string]*task
	teams      map[string]*team

	workers map[string]*worker

	claims      claimTable
	submissions submissionTable

	// callerJobs holds the jobs that callers submit to queues.
	callerJobs *jobqueue.Machine

	// directories are the addresses of control hosts without a replica, the one recorded first at the
	// start.
	directories []string
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		configuration: &apiv1.Configuration{},
		services:      map[string]*apiv1.Service{},
		jobs:          map[string]*job{},
		removedJobs:   map[string]*job{},
		removedCount:  map[string]int{},
		dependents:    map[string]map[*job]struct{}{},
		tasks:         map[string]*task{},
		teams:         map[string]*team{},
		workers:       map[string]*worker{},
		claims:        newClaimTable(),
		submissions:   newSubmissionTable(),
		callerJobs:    jobqueue.New(),
	}
}

// Apply applies the command at a log index and returns its result. The machine
// keeps references into cmd; the caller must not change it afterwards.
func (m *Machine) Apply(index uint64, cmd *apiv1.Command) *apiv1.Result {
	if index <= m.index {
		panic(fmt.Sprintf("state: log entries are applied once and in order: got index %d after %d", index, m.index))
	}
	m.index = index
	m.timeMs = max(m.timeMs, cmd.GetTimeMs())
	m.commandTimeMs, m.clockTerm = cmd.GetTimeMs(), cmd.GetClockTerm()
	m.claims.cleanUp(m.timeMs, maxCleanupsPerCommand)
	res := m.applyBody(cmd)
	res.Index = index
	return res
}

// ApplyEncoded decodes a command, applies it and returns the encoded result.
func (m *Machine) ApplyEncoded(index uint64, command []byte) []byte {
	cmd := &apiv1.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		// Decoding the same bytes fails on every replica, so the states stay equal.
		cmd = &apiv1.Command{}
	}
	out, err := proto.Marshal(m.Apply(index, cmd))
	if err != nil {
		panic("state: every result can be encoded: " + err.Error())
	}
	return out
}

func (m *Machine) applyBody(cmd *apiv1.Command) *apiv1.Result {
	switch body := cmd.GetBody().(type) {
	case *apiv1.Command_Submit:
		return m.submit(body.Submit)
	case *apiv1.Command_RegisterWorker:
		return m.registerWorker(body.RegisterWorker)
	case *apiv1.Command_Place:
		return m.place(body.Place)
	case *apiv1.Command_RecordTasks:
		return m.recordTasks(body.RecordTasks)
	case *apiv1.Command_Evict:
		return m.evict(body.Evict)
	case *apiv1.Command_Expire:
		return m.expire(body.Expire)
	case *apiv1.Command_Cancel:
		return m.cancel(body.Cancel)
	case *apiv1.Command_Drain:
		return m.drain(body.Drain)
	case *apiv1.Command_Park:
		return m.park(body.Park)
	case *apiv1.Command_Claim:
		return m.claim(body.Claim)
	case *apiv1.Command_Settle:
		return m.settle(body.Settle)
	case *apiv1.Command_Lead:
		return m.recordLeader(body.Lead)
	case *apiv1.Command_ForgetWorkers:
		return m.forgetWorkers(body.ForgetWorkers)
	case *apiv1.Command_Jobs:
		return m.applyJobs(body.Jobs)
	case *apiv1.Command_RecordDirectory:
		return m.recordDirectory(body.RecordDirectory)
	}
	return refused("the command has no body that this version recognizes")
}

// applyJobs applies a command about submitted jobs.
func (m *Machine) applyJobs(cmd *apiv1.JobsCommand) *apiv1.Result {
	if cmd.GetReport() != nil && m.clockTerm != 0 && m.clockTerm != m.leaderTerm {
		// A previous leader accepted the report. A later session of the worker may have reported to
		// the present one since.
		return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_REFUSED, Job: apiv1.JobOutcome_JOB_OUTCOME_STALE}
	}
	outcome := m.callerJobs.Apply(cmd, m.timeMs, m.leaderTerm)
	verdict := apiv1.Verdict_VERDICT_REFUSED
	if outcome == apiv1.JobOutcome_JOB_OUTCOME_OK {
		verdict = apiv1.Verdict_VERDICT_ACCEPTED
	}
	return &apiv1.Result{Verdict: verdict, Job: outcome}
}

// CallerJobs returns the jobs that callers submitted.
func (m *Machine) CallerJobs() *jobqueue.Machine { return m.callerJobs }

// LeaderTerm returns the term of the newest leader that was ready to lead.
func (m *Machine) LeaderTerm() uint64 { return m.leaderTerm }

// recordLeader records that the leader of a term is ready. Commands do not carry the
// term of the log, so a command that a deposed leader created could be appended after
// it is elected again; meanwhile another leader may have renewed the leases that the
// deposed one found expired.
func (m *Machine) recordLeader(l *apiv1.Lead) *apiv1.Result {
	if l.GetTerm() < m.leaderTerm {
		return conflict(fmt.Sprintf("the leader of term %d is ready", m.leaderTerm))
	}
	m.leaderTerm = l.GetTerm()
	return accepted("")
}

func accepted(message string) *apiv1.Result {
	return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_ACCEPTED, Message: message}
}

func repeated(message string) *apiv1.Result {
	return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_REPEATED, Message: message}
}

func conflict(message string) *apiv1.Result {
	return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_CONFLICT, Message: message}
}

func refused(message string) *apiv1.Result {
	return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_REFUSED, Message: message}
}

// sortedKeys returns a map's keys in order. Replicas must not depend on Go's random
// map order wherever it affects the state or a result.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
