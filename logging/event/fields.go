package event

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Names of the fields that tie the lines of several processes together.
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
	NameWaitingSteps      = "waits"
	NameTasks             = "tasks"
	NameWorkers           = "workers"
	NameWaited            = "waited"
	NameLongRunning       = "long_running"
	NameTails             = "tails"
	NameTasksNotRunning   = "tasks_away"
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
)

// Ids, spelled the same in all parts.

// Job is the id that the caller gave a job.
func Job(id string) Field { return stringField(NameJob, id) }

// Task is a task of a job: JOB/OCCURRENCE/STEP/INDEX.
func Task(id fmt.Stringer) Field { return Field{zap.Stringer(NameTask, id)} }

// TaskName is a task by its name alone.
func TaskName(id string) Field { return stringField(NameTask, id) }

// Step is a step of a job: JOB/OCCURRENCE/STEP.
func Step(id fmt.Stringer) Field { return Field{zap.Stringer(NameStep, id)} }

// Run is the number of a task's run; each start gets the next one.
func Run(number uint64) Field { return uint64Field(NameRun, number) }

// Worker is an incarnation of a worker.
func Worker(id string) Field { return stringField(NameWorker, id) }

// Term is the leader's term.
func Term(t uint64) Field { return uint64Field(NameTerm, t) }

// Version is a version of the configuration.
func Version(v uint64) Field { return uint64Field(NameVersion, v) }

// Wave is the number of a maintenance wave.
func Wave(number uint64) Field { return uint64Field("wave", number) }

// Outcomes and what decided them.

// Err is the error; nil adds no field.
func Err(err error) Field { return Field{zap.Error(err)} }

// Reason is why.
func Reason(why string) Field { return stringField(NameReason, why) }

// Answer is what the other side answered to an order.
func Answer(a fmt.Stringer) Field { return Field{zap.Stringer("answer", a)} }

// Outcome is how a run ended.
func Outcome(kind string) Field { return stringField(NameOutcome, kind) }

// Status is the HTTP status of an answer.
func Status(code int) Field { return intField(NameStatus, code) }

// Took is how long it took.
func Took(d time.Duration) Field { return durationField(NameTook, d) }

// Allowed is how long the caller was ready to wait.
func Allowed(d time.Duration) Field { return durationField(NameAllowed, d) }

// UnresponsiveFor is how long ago the other side was heard of last.
func UnresponsiveFor(d time.Duration) Field { return durationField("silent", d) }

// Lease is for how long the lease was granted.
func Lease(d time.Duration) Field { return durationField("lease", d) }

// Delay is how much later than what it is judged by something was asked.
func Delay(d time.Duration) Field { return durationField("after", d) }

// Epoch counts how often a worker's lease ran out, as the leader has it.
func Epoch(n uint64) Field { return uint64Field("epoch", n) }

// Percent is a pace.
func Percent(p uint32) Field { return Field{zap.Uint32(NamePercent, p)} }

// Counts and lists.

// RunCount is a number of runs.
func RunCount(n int) Field { return intField("runs", n) }

// EndCount is a number of ended runs.
func EndCount(n int) Field { return intField("ends", n) }

// RunningCount is a number of running runs.
func RunningCount(n int) Field { return intField("running", n) }

// OrderCount is a number of starts that are ordered and not known to have begun.
func OrderCount(n int) Field { return intField("orders", n) }

// HostCount is a number of hosts.
func HostCount(n int) Field { return intField("hosts", n) }

// CandidateWorkers is the number of workers that the advisor was asked about.
func CandidateWorkers(n int) Field { return intField("asked", n) }

// ApprovedWorkers is the number of workers that the advisor allows.
func ApprovedWorkers(n int) Field { return intField("approved", n) }

// Started lists the runs that were started, by worker; each is "TASK RUN AGE", the
// age in milliseconds before the line.
func Started(byWorker map[string][]string) Field { return listsField(NameStarted, byWorker) }

// Ended lists the runs that ended done, like Started.
func Ended(byWorker map[string][]string) Field { return listsField(NameEnded, byWorker) }

// LongRunning lists the runs of long-running steps that were started, like Started.
func LongRunning(byWorker map[string][]string) Field { return listsField(NameLongRunning, byWorker) }

// Tails lists the serving runs whose tails are over their objectives, by worker; each is
// "TASK RUN PERCENT AGE", the tail in percent of the objective and the age in milliseconds.
func Tails(byWorker map[string][]string) Field { return listsField(NameTails, byWorker) }

// Jobs lists the jobs that came to an end, by the path of their queue; each is "JOB HOW TOOK
// ALLOWED AGE", the times in milliseconds.
func Jobs(byPath map[string][]string) Field { return listsField(NameJobs, byPath) }

// AvailabilityZone is where the process runs.
func AvailabilityZone(name string) Field { return stringField(NameZone, name) }

// Lost lists the runs that are lost, like Started.
func Lost(byWorker map[string][]string) Field { return listsField(NameLost, byWorker) }

// Unlogged lists the runs that a worker has and the log does not hold, like Started.
func Unlogged(byWorker map[string][]string) Field { return listsField(NameUnlogged, byWorker) }

// Worked lists the runs that began last on a worker, by worker; each is "TASK RUN WORKED", the time
// that it had worked at least in milliseconds.
func Worked(byWorker map[string][]string) Field { return listsField(NameWorked, byWorker) }

// Suspects lists tasks that may crash their workers, each "TASK IN_ROW ALONE": the crashes under it in
// a row, and those of them that no other run can have caused.
func Suspects(tasks []string) Field { return Field{zap.Strings(NameSuspects, tasks)} }

// PassedProbation lists the runs whose trial went well, each "TASK RUN".
func PassedProbation(runs []string) Field { return Field{zap.Strings(NamePassedProbation, runs)} }

// TasksNotRunning lists the long-running tasks that are not known to run, by why; each is
// "TASK RUN WORKER AWAY HOW", of its last run and how that ended, the time away in
// milliseconds.
func TasksNotRunning(byReasons map[string][]string) Field {
	return listsField(NameTasksNotRunning, byReasons)
}

// TasksRunningAgain lists the long-running tasks that run again, by worker; each is
// "TASK RUN AWAY", the time away in milliseconds.
func TasksRunningAgain(byWorker map[string][]string) Field {
	return listsField(NameTasksRunningAgain, byWorker)
}

// WaitingSteps lists the steps that wait, by how many workers each reason rules out; each is
// "STEP TASKS WAITED AGE", both times in milliseconds.
func WaitingSteps(byReasons map[string][]string) Field {
	return listsField(NameWaitingSteps, byReasons)
}

// CoreSeconds is processor time.
func CoreSeconds(d time.Duration) Field {
	return Field{zap.Float64("core_seconds", d.Round(time.Millisecond).Seconds())}
}

// Others.

// Method is the method of a caller's request.
func Method(m string) Field { return stringField(NameMethod, m) }

// Host is a queue's host, or a host of the fleet.
func Host(name string) Field { return stringField("host", name) }

// Path is the path of a caller's request.
func Path(p string) Field { return stringField(NamePath, p) }

// State is a host's state in a wave.
func State(s fmt.Stringer) Field { return Field{zap.Stringer("state", s)} }

// Committed says whether a step of a wave was committed.
func Committed(yes bool) Field { return Field{zap.Bool("taken", yes)} }

// PreviousWorker is the incarnation that was served before.
func PreviousWorker(worker string) Field { return stringField("before", worker) }

// ClockMs is what a worker's clock shows, in milliseconds.
func ClockMs(ms int64) Field { return Field{zap.Int64("clock_ms", ms)} }

// PreviousClockMs is what it showed before.
func PreviousClockMs(ms int64) Field { return Field{zap.Int64("clock_before_ms", ms)} }

// Acknowledged is the number up to which a worker's ends are acknowledged.
func Acknowledged(n uint64) Field { return uint64Field("acknowledged", n) }

// Replaced says that another incarnation answers in a worker's place.
func Replaced(yes bool) Field { return Field{zap.Bool("replaced", yes)} }

// Role is the process's role.
func Role(name string) Field { return stringField("role", name) }

// Node is the host's name in the settings.
func Node(name string) Field { return stringField("node", name) }

// IP is the host's address.
func IP(address string) Field { return stringField("ip", address) }

// Bootstrap says that the process forms the first group.
func Bootstrap(yes bool) Field { return Field{zap.Bool("bootstrap", yes)} }

// Addresses are addresses of control hosts.
func Addresses(list []string) Field { return Field{zap.Strings("addresses", list)} }

// Address is the address of another process.
func Address(a string) Field { return stringField("address", a) }

// Index is an index of the log.
func Index(i uint64) Field { return uint64Field("index", i) }

// Changed names the settings that a reload found changed.
func Changed(names []string) Field { return Field{zap.Strings("changed", names)} }

// Dependency is what a process needs another one for.
func Dependency(name string) Field { return stringField("dependency", name) }

// OutageDuration is how long a dependency was lost.
func OutageDuration(d time.Duration) Field { return durationField("away", d) }

// durationField is written to ten microseconds: finer digits only take room.
func durationField(name string, d time.Duration) Field {
	const resolution = 10 * time.Microsecond
	return Field{zap.Duration(name, d.Round(resolution))}
}

func stringField(name, value string) Field { return Field{zap.String(name, value)} }

func intField(name string, n int) Field { return Field{zap.Int(name, n)} }

func uint64Field(name string, n uint64) Field { return Field{zap.Uint64(name, n)} }

// listsField is a map of lists, written in the order of the names.
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

// Pool is the pool that a host moves to.
func Pool(name string) Field { return stringField("pool", name) }

// FromPool is the pool that a host leaves.
func FromPool(name string) Field { return stringField("from", name) }

// Order is the number of an order about a host.
func Order(n uint64) Field { return uint64Field("order", n) }

// EntryKind is what kind of entries a line is about.
func EntryKind(name string) Field { return stringField("kind", name) }

// EntryCount is the number of entries of one message.
func EntryCount(n int) Field { return intField("entries", n) }

// TotalCount is a count since the start of the process.
func TotalCount(n int64) Field { return Field{zap.Int64("so_far", n)} }
