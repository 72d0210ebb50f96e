package event

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Names of the fields that trace and record use to relate the lines of several processes.
const (
	NameJob               = "job"
	NameTask              = "task"
	NameStep              = "step"
	NameRun               = "run"
	NameWorker            = "worker"
	NameTerm              = "term"
	NameVersion           = "version"
	NamePath              = "path"
	NameStarted           = "started"
	NameEnded             = "ended"
	NameOutcome           = "how"
	NameLost              = "lost"
	NameReason            = "reason"
	NameUnlogged          = "unlogged"
	NameCounted           = "counted"
	NameBegan             = "began"
	NameBegun             = "begun"
	NameWaitingSteps      = "waits"
	NameWaitingAccounts   = "accounts_waiting"
	NameUsingAccounts     = "accounts_using"
	NameTasks             = "tasks"
	NameWorkers           = "workers"
	NameWaited            = "waited"
	NameLongRunning       = "long_running"
	NameTails             = "tails"
	NameTasksNotRunning   = "tasks_away"
	NameOutlasting        = "outlasting"
	NameWorked            = "worked"
	NameSuspects          = "suspects"
	NamePassedProbation   = "trials"
	NameTasksRunningAgain = "tasks_back"
	NameJobs              = "jobs"
	NameTook              = "took"
	NameAllowed           = "allowed"
	NamePercent           = "percent"
	NameZone              = "availability_zone"
	NameStatus            = "status"
	NameMethod            = "method"
	NameLeads             = "leads"
	NameUnresponsiveFor   = "silent"
	NameAnswer            = "answer"
	NameQueue             = "queue"
	NameAccount           = "account"
)

// Identifiers. They are formatted the same way in all parts.

// Job is the id that the caller assigned to a job.
func Job(id string) Field { return stringField(NameJob, id) }

// Task identifies a task of a job: JOB/OCCURRENCE/STEP/INDEX.
func Task(id fmt.Stringer) Field { return Field{zap.Stringer(NameTask, id)} }

// TaskName identifies a task whose id is available as a string only.
func TaskName(id string) Field { return stringField(NameTask, id) }

// Step identifies a step of a job: JOB/OCCURRENCE/STEP.
func Step(id fmt.Stringer) Field { return Field{zap.Stringer(NameStep, id)} }

// Run is the number of a run of a task; each start of the task gets the next number.
func Run(number uint64) Field { return uint64Field(NameRun, number) }

// Worker is the id of an incarnation of a worker.
func Worker(id string) Field { return stringField(NameWorker, id) }

// Term is the leader's term.
func Term(t uint64) Field { return uint64Field(NameTerm, t) }

// Version is the version of the configuration.
func Version(v uint64) Field { return uint64Field(NameVersion, v) }

// Wave is the number of a maintenance wave.
func Wave(number uint64) Field { return uint64Field("wave", number) }

// Outcomes and their reasons.

// Err is an error; nil adds no field.
func Err(err error) Field { return Field{zap.Error(err)} }

// Reason is the reason for a decision or an outcome.
func Reason(reason string) Field { return stringField(NameReason, reason) }

// Answer is the answer to an order.
func Answer(a fmt.Stringer) Field { return Field{zap.Stringer(NameAnswer, a)} }

// Try is the number of a call among the calls for one order, from 1.
func Try(n int) Field { return intField("try", n) }

// StartPending reports whether a start of the run may still be carried out.
func StartPending(pending bool) Field { return Field{zap.Bool("start_pending", pending)} }

// Outcome is the kind of end of a run.
func Outcome(kind string) Field { return stringField(NameOutcome, kind) }

// Status is the HTTP status of a response.
func Status(code int) Field { return intField(NameStatus, code) }

// Took is the duration of a call or request.
func Took(d time.Duration) Field { return durationField(NameTook, d) }

// Allowed is how long the caller of a request was willing to wait.
func Allowed(d time.Duration) Field { return durationField(NameAllowed, d) }

// UnresponsiveFor is the time since the last answer or report of the other side, or since the wait
// for the first one began.
func UnresponsiveFor(d time.Duration) Field { return durationField(NameUnresponsiveFor, d) }

// Lease is the duration for which a lease was granted.
func Lease(d time.Duration) Field { return durationField("lease", d) }

// StopConfirmed reports whether the worker confirmed the stop of a run that never began. Otherwise
// no start of the run could arrive any more.
func StopConfirmed(confirmed bool) Field { return Field{zap.Bool("stop_confirmed", confirmed)} }

// Epoch is the number of expiries of a worker's lease that the leader has counted.
func Epoch(n uint64) Field { return uint64Field("epoch", n) }

// Percent is a pace in percent of full speed, or a tail latency in percent of its objective.
func Percent(p uint32) Field { return Field{zap.Uint32(NamePercent, p)} }

// Counts and lists.

// RunCount is a number of runs.
func RunCount(n int) Field { return intField("runs", n) }

// EndCount is a number of ended runs.
func EndCount(n int) Field { return intField("ends", n) }

// RunningCount is a number of running runs.
func RunningCount(n int) Field { return intField("running", n) }

// OrderCount is a number of ordered starts that are not confirmed.
func OrderCount(n int) Field { return intField("orders", n) }

// ConflictCount is the number of hosts whose entries contradict each other.
func ConflictCount(n int) Field { return intField("conflicts", n) }

// HostCount is a number of hosts.
func HostCount(n int) Field { return intField("hosts", n) }

// CandidateWorkers is the number of workers in a query to the placement advisor.
func CandidateWorkers(n int) Field { return intField("asked", n) }

// ApprovedWorkers is the number of workers that the placement advisor approved.
func ApprovedWorkers(n int) Field { return intField("approved", n) }

// Started lists the runs that were started, by worker; each is "TASK RUN AGE", where AGE is the
// time from the start to the line in milliseconds.
func Started(byWorker map[string][]string) Field { return listsField(NameStarted, byWorker) }

// Ended lists the runs that ended as done, in the format of Started.
func Ended(byWorker map[string][]string) Field { return listsField(NameEnded, byWorker) }

// LongRunning lists the runs of long-running steps that were started, in the format of Started.
func LongRunning(byWorker map[string][]string) Field { return listsField(NameLongRunning, byWorker) }

// Begun lists the runs of long-running steps that a worker listed for the first time since this leader
// ordered their starts, in the format of Started. There is at most one entry for each of these starts.
func Begun(byWorker map[string][]string) Field { return listsField(NameBegun, byWorker) }

// Tails lists the serving runs whose tail latencies exceed their objectives, by worker; each is
// "TASK RUN PERCENT AGE", with the tail latency in percent of the objective and the age in
// milliseconds.
func Tails(byWorker map[string][]string) Field { return listsField(NameTails, byWorker) }

// Jobs lists the jobs that finished, by the path of their queue; each is "JOB HOW TOOK ALLOWED
// AGE", with times in milliseconds.
func Jobs(byPath map[string][]string) Field { return listsField(NameJobs, byPath) }

// AvailabilityZone is the availability zone in which the process runs.
func AvailabilityZone(name string) Field { return stringField(NameZone, name) }

// Lost lists lost runs, in the format of Started.
func Lost(byWorker map[string][]string) Field { return listsField(NameLost, byWorker) }

// Unlogged lists the runs that a worker reports but the replicated log does not contain, in the
// format of Started.
func Unlogged(byWorker map[string][]string) Field { return listsField(NameUnlogged, byWorker) }

// Counted lists the runs that count towards the use of a worker's capacity, by whether the replicated log
// contains them; each is "TASK RUN RESERVED".
func Counted(byKind map[string][]string) Field { return listsField(NameCounted, byKind) }

// Began lists the runs that a worker lists for the first time; each is "TASK RUN".
func Began(runs []string) Field { return Field{zap.Strings(NameBegan, runs)} }

// Capacity is the capacity of a worker: "CPU MEMORY ACCELERATORS", in thousandths of a core, MB and units.
func Capacity(r fmt.Stringer) Field { return Field{zap.Stringer("capacity", r)} }

// CapacityAge is the time since the worker announced its capacity.
func CapacityAge(d time.Duration) Field { return durationField("capacity_age", d) }

// Reserved is the total that runs reserve on a worker, in the format of Capacity.
func Reserved(r fmt.Stringer) Field { return Field{zap.Stringer("reserved", r)} }

// Worked lists the most recently started runs of a worker, by worker; each is "TASK RUN WORKED",
// where WORKED is the least time that the run had worked, in milliseconds.
func Worked(byWorker map[string][]string) Field { return listsField(NameWorked, byWorker) }

// Suspects lists tasks that may crash their workers; each is "TASK IN_ROW ALONE", the number of
// consecutive crashes of its workers, and the number of those that no other run can have caused.
func Suspects(tasks []string) Field { return Field{zap.Strings(NameSuspects, tasks)} }

// PassedProbation lists the runs that passed their probation; each is "TASK RUN".
func PassedProbation(runs []string) Field { return Field{zap.Strings(NamePassedProbation, runs)} }

// TasksNotRunning lists the long-running tasks that are not known to run, by reason; each is
// "TASK RUN WORKER AWAY HOW", where AWAY is the duration of the outage in milliseconds, and RUN,
// WORKER and HOW are the number, the worker and the outcome of the last run.
func TasksNotRunning(byReasons map[string][]string) Field {
	return listsField(NameTasksNotRunning, byReasons)
}

// Outlasting lists the runs that were ordered to stop and are not known to have ended, by reason; each
// is "TASK RUN WORKER AGE", where AGE is the time since the order in milliseconds.
func Outlasting(byReason map[string][]string) Field { return listsField(NameOutlasting, byReason) }

// TasksRunningAgain lists the long-running tasks that run again, by worker; each is "TASK RUN
// AWAY AGE", where AWAY is the duration of the outage and AGE the time since it ended, in milliseconds.
func TasksRunningAgain(byWorker map[string][]string) Field {
	return listsField(NameTasksRunningAgain, byWorker)
}

// WaitingSteps lists the waiting steps, by the number of workers that each reason rules out; each
// is "STEP TASKS WAITED AGE", with both times in milliseconds.
func WaitingSteps(byReasons map[string][]string) Field {
	return listsField(NameWaitingSteps, byReasons)
}

// AccountCount is a number of client accounts.
func AccountCount(n int) Field { return Field{zap.Int("accounts", n)} }

// WaitingAccounts lists accounts with tasks that find no capacity; each is "ACCOUNT SHARE WEIGHT TASKS
// WAITED", with the time since the last start in milliseconds.
func WaitingAccounts(accounts []string) Field {
	return Field{zap.Strings(NameWaitingAccounts, accounts)}
}

// UsingAccounts lists accounts with running tasks; each is "ACCOUNT SHARE WEIGHT".
func UsingAccounts(accounts []string) Field { return Field{zap.Strings(NameUsingAccounts, accounts)} }

// CoreSeconds is processor time in seconds of one core.
func CoreSeconds(d time.Duration) Field {
	return Field{zap.Float64("core_seconds", d.Round(time.Millisecond).Seconds())}
}

// Rates of workers.

// RateSubject is whose rate the line is about: "worker ID", "zone NAME" or "label NAME".
func RateSubject(name string) Field { return stringField("subject", name) }

// Slow reports whether the subject deviates from the usual rate.
func Slow(yes bool) Field { return Field{zap.Bool("slow", yes)} }

// Rate is a rate relative to the usual one.
func Rate(r float64) Field { return hundredthsField("rate", r) }

// Uncertainty is the standard deviation of the logarithm of a rate.
func Uncertainty(u float64) Field { return hundredthsField("uncertainty", u) }

// Samples is the decayed number of runs that a rate is based on.
func Samples(n float64) Field { return hundredthsField("samples", n) }

func hundredthsField(name string, v float64) Field {
	return Field{zap.Float64(name, math.Round(100*v)/100)}
}

// Other fields.

// Method is the HTTP method of a caller's request.
func Method(m string) Field { return stringField(NameMethod, m) }

// Account is the client account of a submitted job; there is no field if it is empty.
func Account(name string) Field { return optionalStringField(NameAccount, name) }

// optionalStringField returns a field that is left out if its value is empty.
func optionalStringField(name, value string) Field {
	if value == "" {
		return Field{zap.Skip()}
	}
	return stringField(name, value)
}

// Estimate is the time that a submitted job was expected to take, 0 if it was not known.
func Estimate(d time.Duration) Field { return durationField("estimate", d) }

// EstimateError is the factor by which recent estimates were exceeded.
func EstimateError(factor float64) Field { return Field{zap.Float64("estimate_error", factor)} }

// WorkAhead is the work before a submitted job in core-milliseconds: of tasks that reserve processors,
// and of backfilling ones.
func WorkAhead(coreMs, backfillMs int64) Field {
	return Field{zap.Int64s("ahead_core_ms", []int64{coreMs, backfillMs})}
}

// QueueingDelay is how long the oldest step of an account has waited for capacity.
func QueueingDelay(d time.Duration) Field { return durationField("queueing_delay", d) }

// RetryAfter is when a refused caller was told to return.
func RetryAfter(d time.Duration) Field { return durationField("retry_after", d) }

// RefusalsByReason and RefusalsByAccount count refusals: "NAME COUNT".
func RefusalsByReason(counts []string) Field { return Field{zap.Strings("reasons", counts)} }

// RefusalsByAccount counts refusals; see RefusalsByReason.
func RefusalsByAccount(counts []string) Field { return Field{zap.Strings("accounts", counts)} }

// Host is the Host header of a caller's request, or a host of the fleet.
func Host(name string) Field { return stringField("host", name) }

// Path is the URL path of a caller's request.
func Path(p string) Field { return stringField(NamePath, p) }

// State is the state of a host in a maintenance wave or a move.
func State(s fmt.Stringer) Field { return Field{zap.Stringer("state", s)} }

// Cordoned reports whether an availability zone is cordoned, or is to be.
func Cordoned(yes bool) Field { return Field{zap.Bool("cordoned", yes)} }

// Queue is the name of a queue.
func Queue(name string) Field { return stringField(NameQueue, name) }

// Held reports whether a queue is held, or is to be.
func Held(yes bool) Field { return Field{zap.Bool("held", yes)} }

// Revision is the number of an order among those about the same availability zone or queue.
func Revision(n uint64) Field { return uint64Field("revision", n) }

// OrderedBy is the sender of an operator's order.
func OrderedBy(name string) Field { return stringField("operator", name) }

// OrderOutcome is the outcome of an operator's order.
func OrderOutcome(o fmt.Stringer) Field { return Field{zap.Stringer("outcome", o)} }

// ZoneCount is a number of availability zones.
func ZoneCount(n int) Field { return intField("zones", n) }

// Committed reports whether a step of a wave or a move was committed.
func Committed(yes bool) Field { return Field{zap.Bool("taken", yes)} }

// PreviousWorker is the incarnation that the agent served before.
func PreviousWorker(worker string) Field { return stringField("before", worker) }

// ClockMs is a reading of a worker's clock, in milliseconds.
func ClockMs(ms int64) Field { return Field{zap.Int64("clock_ms", ms)} }

// PreviousClockMs is the reading before ClockMs.
func PreviousClockMs(ms int64) Field { return Field{zap.Int64("clock_before_ms", ms)} }

// Acknowledged is the sequence number up to which the ends that a worker reports are acknowledged.
func Acknowledged(n uint64) Field { return uint64Field("acknowledged", n) }

// Replaced reports whether another incarnation answers at the worker's address.
func Replaced(yes bool) Field { return Field{zap.Bool("replaced", yes)} }

// Role is the role of the process.
func Role(name string) Field { return stringField("role", name) }

// Node is the name of the host in the settings.
func Node(name string) Field { return stringField("node", name) }

// IP is the IP address of the host.
func IP(address string) Field { return stringField("ip", address) }

// Bootstrap reports whether the process forms the first control group.
func Bootstrap(yes bool) Field { return Field{zap.Bool("bootstrap", yes)} }

// Addresses are the addresses of control hosts.
func Addresses(list []string) Field { return Field{zap.Strings("addresses", list)} }

// Asked are the control hosts that were asked for the members, each with its answer.
func Asked(list []string) Field { return Field{zap.Strings("asked", list)} }

// Address is the address of another process.
func Address(a string) Field { return stringField("address", a) }

// Index is an index in the replicated log.
func Index(i uint64) Field { return uint64Field("index", i) }

// Changed lists the names of the settings that changed in a reload.
func Changed(names []string) Field { return Field{zap.Strings("changed", names)} }

// Dependency is the name of a process or service that the process depends on.
func Dependency(name string) Field { return stringField("dependency", name) }

// OutageDuration is how long a dependency was unavailable.
func OutageDuration(d time.Duration) Field { return durationField("away", d) }

// durationField returns a duration rounded to ten microseconds, since finer digits only add bytes
// to the line.
func durationField(name string, d time.Duration) Field {
	const resolution = 10 * time.Microsecond
	return Field{zap.Duration(name, d.Round(resolution))}
}

func stringField(name, value string) Field { return Field{zap.String(name, value)} }

func intField(name string, n int) Field { return Field{zap.Int(name, n)} }

func uint64Field(name string, n uint64) Field { return Field{zap.Uint64(name, n)} }

// listsField returns a map of lists, written in the order of their names; an empty map adds no
// field.
func listsField(name string, lists map[string][]string) Field {
	if len(lists) == 0 {
		return Field{zap.Skip()}
	}
	return Field{zap.Object(name, listsByName(lists))}
}

type listsByName map[string][]string

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l listsByName) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for _, name := range slices.Sorted(maps.Keys(l)) {
		zap.Strings(name, l[name]).AddTo(enc)
	}
	return nil
}

// Pool is the pool to which a host moves, or in which a worker is.
func Pool(name string) Field { return stringField("pool", name) }

// FromPool is the pool that a host leaves, or in which a worker was believed to be.
func FromPool(name string) Field { return stringField("from", name) }

// Order is the sequence number of an order about a host.
func Order(n uint64) Field { return uint64Field("order", n) }

// EntryKind is the kind of the entries that a line is about.
func EntryKind(name string) Field { return stringField("kind", name) }

// EntryCount is a number of entries in one message.
func EntryCount(n int) Field { return intField("entries", n) }

// TotalCount is a cumulative count since the process started.
func TotalCount(n int64) Field { return Field{zap.Int64("so_far", n)} }
