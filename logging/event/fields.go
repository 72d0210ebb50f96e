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
	NameJob         = "job"
	NameTask        = "task"
	NameStep        = "step"
	NameRun         = "run"
	NameWorker      = "worker"
	NameTerm        = "term"
	NameVersion     = "version"
	NamePath        = "path"
	NameStarted     = "started"
	NameEnded       = "ended"
	NameHow         = "how"
	NameLost        = "lost"
	NameReason      = "reason"
	NameUnlogged    = "unlogged"
	NameWaits       = "waits"
	NameTasks       = "tasks"
	NameWorkers     = "workers"
	NameWaited      = "waited"
	NameLongRunning = "long_running"
	NameTails       = "tails"
	NameTasksAway   = "tasks_away"
	NameWorked      = "worked"
	NameSuspects    = "suspects"
	NameTrials      = "trials"
	NameTasksBack   = "tasks_back"
	NameJobs        = "jobs"
	NameTook        = "took"
	NameAllowed     = "allowed"
	NamePercent     = "percent"
	NameZone        = "availability_zone"
	NameStatus      = "status"
	NameMethod      = "method"
)

// Ids, spelled the same in all parts.

// Job is the id that the caller gave a job.
func Job(id string) Field { return text(NameJob, id) }

// Task is a task of a job: JOB/OCCURRENCE/STEP/INDEX.
func Task(id fmt.Stringer) Field { return Field{zap.Stringer(NameTask, id)} }

// TaskName is a task by its name alone.
func TaskName(id string) Field { return text(NameTask, id) }

// Step is a step of a job: JOB/OCCURRENCE/STEP.
func Step(id fmt.Stringer) Field { return Field{zap.Stringer(NameStep, id)} }

// Run is the number of a task's run; each start gets the next one.
func Run(number uint64) Field { return number64(NameRun, number) }

// Worker is an incarnation of a worker.
func Worker(id string) Field { return text(NameWorker, id) }

// Term is the leader's term.
func Term(t uint64) Field { return number64(NameTerm, t) }

// Version is a version of the configuration.
func Version(v uint64) Field { return number64(NameVersion, v) }

// Wave is the number of a maintenance wave.
func Wave(number uint64) Field { return number64("wave", number) }

// Outcomes and what decided them.

// Err is the error; nil adds no field.
func Err(err error) Field { return Field{zap.Error(err)} }

// Reason is why.
func Reason(why string) Field { return text(NameReason, why) }

// Answer is what the other side answered to an order.
func Answer(a fmt.Stringer) Field { return Field{zap.Stringer("answer", a)} }

// How is how a run ended.
func How(kind string) Field { return text(NameHow, kind) }

// Status is the HTTP status of an answer.
func Status(code int) Field { return number(NameStatus, code) }

// Took is how long it took.
func Took(d time.Duration) Field { return duration(NameTook, d) }

// Allowed is how long the caller was ready to wait.
func Allowed(d time.Duration) Field { return duration(NameAllowed, d) }

// Silent is how long ago the other side was heard of last.
func Silent(d time.Duration) Field { return duration("silent", d) }

// Lease is for how long the lease was granted.
func Lease(d time.Duration) Field { return duration("lease", d) }

// After is how much later than what it is judged by something was asked.
func After(d time.Duration) Field { return duration("after", d) }

// Epoch counts how often a worker's lease ran out, as the leader has it.
func Epoch(n uint64) Field { return number64("epoch", n) }

// Percent is a pace.
func Percent(p uint32) Field { return Field{zap.Uint32(NamePercent, p)} }

// Counts and lists.

// RunCount is a number of runs.
func RunCount(n int) Field { return number("runs", n) }

// EndCount is a number of ended runs.
func EndCount(n int) Field { return number("ends", n) }

// RunningCount is a number of running runs.
func RunningCount(n int) Field { return number("running", n) }

// OrderCount is a number of starts that are ordered and not known to have begun.
func OrderCount(n int) Field { return number("orders", n) }

// HostCount is a number of hosts.
func HostCount(n int) Field { return number("hosts", n) }

// Asked is the number of workers that the advisor was asked about.
func Asked(n int) Field { return number("asked", n) }

// Approved is the number of workers that the advisor allows.
func Approved(n int) Field { return number("approved", n) }

// Started lists the runs that were started, by worker; each is "TASK RUN AGE", the
// age in milliseconds before the line.
func Started(byWorker map[string][]string) Field { return byName(NameStarted, byWorker) }

// Ended lists the runs that ended done, like Started.
func Ended(byWorker map[string][]string) Field { return byName(NameEnded, byWorker) }

// LongRunning lists the runs of long-running steps that were started, like Started.
func LongRunning(byWorker map[string][]string) Field { return byName(NameLongRunning, byWorker) }

// Tails lists the serving runs whose tails are over their objectives, by worker; each is
// "TASK RUN PERCENT AGE", the tail in percent of the objective and the age in milliseconds.
func Tails(byWorker map[string][]string) Field { return byName(NameTails, byWorker) }

// Jobs lists the jobs that came to an end, by the path of their queue; each is "JOB HOW TOOK
// ALLOWED AGE", the times in milliseconds.
func Jobs(byPath map[string][]string) Field { return byName(NameJobs, byPath) }

// AvailabilityZone is where the process runs.
func AvailabilityZone(name string) Field { return text(NameZone, name) }

// Lost lists the runs that are lost, like Started.
func Lost(byWorker map[string][]string) Field { return byName(NameLost, byWorker) }

// Unlogged lists the runs that a worker has and the log does not hold, like Started.
func Unlogged(byWorker map[string][]string) Field { return byName(NameUnlogged, byWorker) }

// Worked lists the runs that began last on a worker, by worker; each is "TASK RUN WORKED", the time
// that it had worked at least in milliseconds.
func Worked(byWorker map[string][]string) Field { return byName(NameWorked, byWorker) }

// Suspects lists tasks that may crash their workers, each "TASK IN_ROW ALONE": the crashes under it in
// a row, and those of them that no other run can have caused.
func Suspects(tasks []string) Field { return Field{zap.Strings(NameSuspects, tasks)} }

// TrialsPassed lists the runs whose trial went well, each "TASK RUN".
func TrialsPassed(runs []string) Field { return Field{zap.Strings(NameTrials, runs)} }

// TasksAway lists the long-running tasks that are not known to run, by why; each is
// "TASK RUN WORKER AWAY HOW", of its last run and how that ended, the time away in
// milliseconds.
func TasksAway(byReasons map[string][]string) Field { return byName(NameTasksAway, byReasons) }

// TasksBack lists the long-running tasks that run again, by worker; each is
// "TASK RUN AWAY", the time away in milliseconds.
func TasksBack(byWorker map[string][]string) Field { return byName(NameTasksBack, byWorker) }

// Waits lists the steps that wait, by how many workers each reason rules out; each is
// "STEP TASKS WAITED AGE", both times in milliseconds.
func Waits(byReasons map[string][]string) Field { return byName(NameWaits, byReasons) }

// CoreSeconds is processor time.
func CoreSeconds(d time.Duration) Field {
	return Field{zap.Float64("core_seconds", d.Round(time.Millisecond).Seconds())}
}

// Others.

// Method is the method of a caller's request.
func Method(m string) Field { return text(NameMethod, m) }

// Host is a queue's host, or a host of the fleet.
func Host(name string) Field { return text("host", name) }

// Path is the path of a caller's request.
func Path(p string) Field { return text(NamePath, p) }

// State is a host's state in a wave.
func State(s fmt.Stringer) Field { return Field{zap.Stringer("state", s)} }

// Taken says whether a step of a wave was committed.
func Taken(yes bool) Field { return Field{zap.Bool("taken", yes)} }

// Before is the incarnation that was served before.
func Before(worker string) Field { return text("before", worker) }

// ClockMs is what a worker's clock shows, in milliseconds.
func ClockMs(ms int64) Field { return Field{zap.Int64("clock_ms", ms)} }

// ClockBeforeMs is what it showed before.
func ClockBeforeMs(ms int64) Field { return Field{zap.Int64("clock_before_ms", ms)} }

// Acknowledged is the number up to which a worker's ends are acknowledged.
func Acknowledged(n uint64) Field { return number64("acknowledged", n) }

// Replaced says that another incarnation answers in a worker's place.
func Replaced(yes bool) Field { return Field{zap.Bool("replaced", yes)} }

// Role is the process's role.
func Role(name string) Field { return text("role", name) }

// Node is the host's name in the settings.
func Node(name string) Field { return text("node", name) }

// IP is the host's address.
func IP(address string) Field { return text("ip", address) }

// Bootstrap says that the process forms the first group.
func Bootstrap(yes bool) Field { return Field{zap.Bool("bootstrap", yes)} }

// Addresses are addresses of control hosts.
func Addresses(list []string) Field { return Field{zap.Strings("addresses", list)} }

// Address is the address of another process.
func Address(a string) Field { return text("address", a) }

// Index is an index of the log.
func Index(i uint64) Field { return number64("index", i) }

// Changed names the settings that a reload found changed.
func Changed(names []string) Field { return Field{zap.Strings("changed", names)} }

// Dependency is what a process needs another one for.
func Dependency(name string) Field { return text("dependency", name) }

// Away is how long a dependency was lost.
func Away(d time.Duration) Field { return duration("away", d) }

// duration is written to ten microseconds: finer digits only take room.
func duration(name string, d time.Duration) Field {
	const resolution = 10 * time.Microsecond
	return Field{zap.Duration(name, d.Round(resolution))}
}

func text(name, value string) Field { return Field{zap.String(name, value)} }

func number(name string, n int) Field { return Field{zap.Int(name, n)} }

func number64(name string, n uint64) Field { return Field{zap.Uint64(name, n)} }

// byName is a map of lists, written in the order of the names.
func byName(name string, lists map[string][]string) Field {
	if len(lists) == 0 {
		return Field{zap.Skip()}
	}
	return Field{zap.Object(name, namedLists(lists))}
}

type namedLists map[string][]string

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l namedLists) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for _, name := range slices.Sorted(maps.Keys(l)) {
		zap.Strings(name, l[name]).AddTo(enc)
	}
	return nil
}

// Pool is the pool that a host moves to.
func Pool(name string) Field { return text("pool", name) }

// FromPool is the pool that a host leaves.
func FromPool(name string) Field { return text("from", name) }

// Order is the number of an order about a host.
func Order(n uint64) Field { return number64("order", n) }

// Kind is what kind of entries a line is about.
func Kind(name string) Field { return text("kind", name) }

// EntryCount is the number of entries of one message.
func EntryCount(n int) Field { return number("entries", n) }

// SoFar is a count since the start of the process.
func SoFar(n int64) Field { return Field{zap.Int64("so_far", n)} }
