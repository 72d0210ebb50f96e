package schedule

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// maxWait is how long a long-running task may wait while there is free capacity for two such tasks.
const maxWait = 3 * time.Second

var fleetSeeds = flag.Int64("fleets.seeds", 0, "simulate this many random fleets for each property instead of a few")

const (
	// defaultFleets is the number of fleets for properties that have not failed yet. For the
	// others, the first manyFleets seeds or the seeds listed with the property include all that
	// have failed.
	defaultFleets = 4
	manyFleets    = 20
)

// fleetSeedsToRun returns the seeds of the fleets to simulate, and adds seeds that failed before.
func fleetSeedsToRun(count int64, failed ...int64) []int64 {
	if *fleetSeeds > 0 {
		count = *fleetSeeds
	}
	var seeds []int64
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return append(seeds, failed...)
}

// Guards against a long-running task that waits although sound workers have free capacity for it.
func TestLongRunningTaskWithFreeCapacityStarts(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fleetFaults
		fleets int64
		failed []int64
	}{
		{"workers crash", fleetFaults{}, defaultFleets, nil},
		{"workers are unreachable or leave", fleetFaults{unreachable: true, leaving: true}, defaultFleets, nil},
		{"queues are advised", fleetFaults{advised: true}, defaultFleets, nil},
		{"sets reserve no processors", fleetFaults{backfillSets: true}, manyFleets, nil},
		{"a run fails in five minutes", fleetFaults{failuresPerMille: 3}, defaultFleets, nil},
		{"a run fails in half a minute", fleetFaults{failuresPerMille: 33}, defaultFleets, nil},
		{"a run fails in a hundred seconds, and none ends", fleetFaults{failuresPerMille: 10, noBatch: true}, defaultFleets, []int64{8}},
		{"workers fail all runs for some time", fleetFaults{broken: true}, manyFleets, nil},
		{"workers refuse starts", fleetFaults{refusing: true}, defaultFleets, []int64{80, 136, 161}},
		{"decisions are not committed", fleetFaults{uncommitted: true}, defaultFleets, nil},
		{"all of these", fleetFaults{
			unreachable: true, leaving: true, advised: true, backfillSets: true, failuresPerMille: 33, broken: true, refusing: true, uncommitted: true,
		}, manyFleets, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			waits := newWaitChecker()
			for _, seed := range fleetSeedsToRun(c.fleets, c.failed...) {
				s := newFleetSim(t, seed, c.faults)
				waits.begin(seed)
				for range simSpan / simStep {
					s.tick()
					waits.check(s)
				}
			}
			waits.report(t)
		})
	}
}

// waitChecker finds long-running tasks that wait although there is free capacity for them, and the
// reasons.
type waitChecker struct {
	seed     int64
	since    map[jobqueue.TaskID]time.Time
	reported map[jobqueue.TaskID]bool
	waits    int
	tooLong  int
	longest  time.Duration
	examples []string
	// reasons counts the tasks that waited too long by the reasons against the workers that could
	// run them.
	reasons map[string]int
}

func newWaitChecker() *waitChecker { return &waitChecker{reasons: map[string]int{}} }

func (j *waitChecker) begin(seed int64) {
	j.seed, j.since, j.reported = seed, map[jobqueue.TaskID]time.Time{}, map[jobqueue.TaskID]bool{}
}

// check checks the state after a decision was applied.
func (j *waitChecker) check(s *fleetSim) {
	round := s.openRound()
	waiting := map[jobqueue.TaskID]bool{}
	for _, c := range longRunningWithoutRun(s.machine) {
		able := s.ableWorkers(c)
		if !fitsTwice(c, able) {
			continue
		}
		id := jobqueue.TaskID{Job: c.job.ID(), Index: uint32(c.tasks[0])}
		waiting[id] = true
		if _, known := j.since[id]; !known {
			j.since[id] = s.now
			j.waits++
		}
		j.checkWait(s, round, c, id, able)
	}
	maps.DeleteFunc(j.since, func(id jobqueue.TaskID, _ time.Time) bool { return !waiting[id] })
	maps.DeleteFunc(j.reported, func(id jobqueue.TaskID, _ bool) bool { return !waiting[id] })
}

func (j *waitChecker) checkWait(s *fleetSim, round *round, c *candidate, id jobqueue.TaskID, able []*jobqueue.Worker) {
	waited := s.now.Sub(j.since[id])
	j.longest = max(j.longest, waited)
	if waited <= maxWait || j.reported[id] {
		return
	}
	j.reported[id] = true
	j.tooLong++
	reasons := round.reasonsAgainst(c, able)
	j.reasons[reasons]++
	if len(j.examples) < 3 {
		j.examples = append(j.examples, fmt.Sprintf("seed %d, after %v: %v waits for %v: %s",
			j.seed, time.Duration(s.steps)*simStep, id, waited, reasons))
	}
}

func (j *waitChecker) report(t *testing.T) {
	t.Helper()
	t.Logf("%d waits beside free capacity, the longest %v", j.waits, j.longest)
	if j.tooLong == 0 {
		return
	}
	for _, reasons := range slices.Sorted(maps.Keys(j.reasons)) {
		t.Logf("%d tasks: %s", j.reasons[reasons], reasons)
	}
	t.Errorf("%d long-running tasks waited for more than %v beside free capacity for two:\n%s",
		j.tooLong, maxWait, strings.Join(j.examples, "\n"))
}

// longRunningWithoutRun returns a candidate for each long-running task without a run.
func longRunningWithoutRun(m *jobqueue.Machine) []*candidate {
	var found []*candidate
	for _, j := range m.Active() {
		for i, step := range j.Occurrences[0].Steps {
			for k, task := range step.Tasks {
				if j.Open() && step.Spec.LongRunning && len(task.Runs) == 0 {
					found = append(found, &candidate{job: j, queue: j.Queue, stepIndex: i, step: step, tasks: []int{k}, neededSpeed: defaultMinSpeed})
				}
			}
		}
	}
	return found
}

// ableWorkers returns the sound workers that may run a task and have capacity for it, regardless of
// the planner.
func (s *fleetSim) ableWorkers(c *candidate) []*jobqueue.Worker {
	return slices.DeleteFunc(s.machine.Workers(), func(w *jobqueue.Worker) bool {
		id := jobqueue.TaskID{Job: c.job.ID(), Step: uint32(c.stepIndex)}
		unsound := slices.ContainsFunc(s.hosts, func(h *fleetHost) bool {
			return h.worker == w.Spec.Id && (s.now.Before(h.refusesUntil) || s.now.Before(h.brokenUntil))
		})
		return s.unresponsive[w.Spec.Id] || unsound || !s.machine.MayRunOn(c.job, id, c.step.Spec, w) ||
			c.queue.Advised && !approves(c.key(), w.Spec.Id)
	})
}

// fitsTwice reports whether workers have free capacity for two tasks of a candidate.
func fitsTwice(c *candidate, able []*jobqueue.Worker) bool {
	if len(able) != 1 {
		return len(able) > 1
	}
	need := jobqueue.Reserved(c.step.Spec)
	limit := int(c.step.Spec.MaxPerWorker)
	return need.Add(need).Fits(able[0].Free()) && (limit == 0 || able[0].StepRunCount(c.key())+2 <= limit)
}

// reasonsAgainst summarizes the reasons of the planner against workers.
func (r *round) reasonsAgainst(c *candidate, workers []*jobqueue.Worker) string {
	w := UnplacedStep{}
	for _, s := range r.slots {
		if slices.Contains(workers, s.worker) {
			_, reason := r.evaluate(c, s)
			w.WorkersByReason[reason]++
		}
	}
	var names []string
	for reason, n := range w.WorkersByReason {
		if n > 0 {
			names = append(names, Reason(reason).String())
		}
	}
	return strings.Join(names, " and ")
}

// Guards against a state machine that repeatedly rejects what the planner decides.
func TestStateAcceptsPlannedStarts(t *testing.T) {
	t.Parallel()
	faults := fleetFaults{unreachable: true, leaving: true, advised: true, backfillSets: true, failuresPerMille: 33, broken: true}
	refused := 0
	for _, seed := range fleetSeedsToRun(defaultFleets) {
		s := newFleetSim(t, seed, faults)
		for range simSpan / simStep {
			for _, start := range s.tick().Starts {
				if s.machine.Run(startedRun(start)) == nil {
					refused++
				}
			}
		}
	}
	if refused > 0 {
		t.Errorf("the state machine rejected %d starts", refused)
	}
}

func startedRun(s *apiv1.StartRun) jobqueue.RunID {
	return jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}
}

// Guards against capacity that is reserved on a worker for none of its runs, and runs that only
// their task or only their worker records.
func TestReservedCapacityMatchesRuns(t *testing.T) {
	t.Parallel()
	faults := fleetFaults{unreachable: true, leaving: true, advised: true, backfillSets: true, failuresPerMille: 33, broken: true, refusing: true}
	for _, seed := range fleetSeedsToRun(defaultFleets) {
		s := newFleetSim(t, seed, faults)
		for range simSpan / simStep {
			s.tick()
			s.checkCovered()
			onWorkers := 0
			for _, w := range s.machine.Workers() {
				used := jobqueue.Resources{}
				for id, run := range w.Runs {
					used = used.Add(jobqueue.Reserved(run.Step))
					if s.machine.Run(id) != run {
						t.Fatalf("seed %d: %v reserves capacity on %s, and its task does not record it", seed, id, w.Spec.Id)
					}
				}
				if used != w.Used {
					t.Fatalf("seed %d: %s counts %+v in use, its runs reserve %+v", seed, w.Spec.Id, w.Used, used)
				}
				onWorkers += len(w.Runs)
			}
			if onTasks := countTaskRuns(s.machine); onTasks != onWorkers {
				t.Fatalf("seed %d: tasks have %d runs, workers %d", seed, onTasks, onWorkers)
			}
		}
	}
}

// countTaskRuns counts the runs that tasks record.
func countTaskRuns(m *jobqueue.Machine) int {
	count := 0
	for _, j := range m.Active() {
		for _, o := range j.Occurrences {
			for _, step := range o.Steps {
				for _, task := range step.Tasks {
					count += len(task.Runs)
				}
			}
		}
	}
	return count
}
