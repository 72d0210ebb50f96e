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

// longestWait is how long a long-running task may wait beside room for it twice over.
const longestWait = 3 * time.Second

var fleetSeeds = flag.Int64("fleets.seeds", 0, "play this many random fleets for each property, in place of a few")

const (
	// fewFleets are played where none has failed yet, failedFleets hold all that have.
	fewFleets    = 4
	failedFleets = 20
)

// fleetsToPlay returns the seeds of the fleets to play, with some that failed before.
func fleetsToPlay(count int64, kept ...int64) []int64 {
	if *fleetSeeds > 0 {
		count = *fleetSeeds
	}
	var seeds []int64
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return append(seeds, kept...)
}

// Guards against a long-running task that waits beside sound workers with room for it.
func TestLongRunningTaskWithRoomIsNotKeptWaiting(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fleetFaults
		fleets int64
		kept   []int64
	}{
		{"workers die", fleetFaults{}, fewFleets, nil},
		{"workers are quiet or leave", fleetFaults{quiet: true, leaving: true}, fewFleets, nil},
		{"queues are advised", fleetFaults{advised: true}, fewFleets, nil},
		{"tasks fill", fleetFaults{fills: true}, failedFleets, nil},
		{"a run fails in five minutes", fleetFaults{failing: 3}, fewFleets, nil},
		{"a run fails in half a minute", fleetFaults{failing: 33}, fewFleets, nil},
		{"a run fails in a hundred seconds, and none ends", fleetFaults{failing: 10, noBatch: true}, fewFleets, []int64{8}},
		{"workers fail all they get for a while", fleetFaults{broken: true}, failedFleets, nil},
		{"workers refuse starts", fleetFaults{refusing: true}, fewFleets, []int64{80, 136, 161}},
		{"decisions come to nothing", fleetFaults{uncommitted: true}, fewFleets, nil},
		{"all of these", fleetFaults{
			quiet: true, leaving: true, advised: true, fills: true, failing: 33, broken: true, refusing: true, uncommitted: true,
		}, failedFleets, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			waits := newWaitJudge()
			for _, seed := range fleetsToPlay(c.fleets, c.kept...) {
				s := newFleetSim(t, seed, c.faults)
				waits.begin(seed)
				for range simSpan / simStep {
					s.tick()
					waits.look(s)
				}
			}
			waits.tell(t)
		})
	}
}

// waitJudge finds the long-running tasks that wait beside room for them, and why.
type waitJudge struct {
	seed     int64
	since    map[jobqueue.TaskID]time.Time
	told     map[jobqueue.TaskID]bool
	spells   int
	tooLong  int
	longest  time.Duration
	examples []string
	// reasons counts the tasks that waited too long by what was said against the workers that
	// could have taken them.
	reasons map[string]int
}

func newWaitJudge() *waitJudge { return &waitJudge{reasons: map[string]int{}} }

func (j *waitJudge) begin(seed int64) {
	j.seed, j.since, j.told = seed, map[jobqueue.TaskID]time.Time{}, map[jobqueue.TaskID]bool{}
}

// look judges the state after a decision was applied.
func (j *waitJudge) look(s *fleetSim) {
	round := s.openRound()
	waiting := map[jobqueue.TaskID]bool{}
	for _, c := range longRunningWithoutRun(s.machine) {
		could := s.couldTake(c)
		if !roomTwiceOver(c, could) {
			continue
		}
		id := jobqueue.TaskID{Job: c.job.ID(), Index: uint32(c.tasks[0])}
		waiting[id] = true
		if _, known := j.since[id]; !known {
			j.since[id] = s.now
			j.spells++
		}
		j.judge(s, round, c, id, could)
	}
	maps.DeleteFunc(j.since, func(id jobqueue.TaskID, _ time.Time) bool { return !waiting[id] })
	maps.DeleteFunc(j.told, func(id jobqueue.TaskID, _ bool) bool { return !waiting[id] })
}

func (j *waitJudge) judge(s *fleetSim, round *round, c *candidate, id jobqueue.TaskID, could []*jobqueue.Worker) {
	waited := s.now.Sub(j.since[id])
	j.longest = max(j.longest, waited)
	if waited <= longestWait || j.told[id] {
		return
	}
	j.told[id] = true
	j.tooLong++
	said := round.saidAgainst(c, could)
	j.reasons[said]++
	if len(j.examples) < 3 {
		j.examples = append(j.examples, fmt.Sprintf("seed %d, %v into it: %v waits for %v: %s",
			j.seed, time.Duration(s.steps)*simStep, id, waited, said))
	}
}

func (j *waitJudge) tell(t *testing.T) {
	t.Helper()
	t.Logf("%d waits beside room, the longest %v", j.spells, j.longest)
	if j.tooLong == 0 {
		return
	}
	for _, said := range slices.Sorted(maps.Keys(j.reasons)) {
		t.Logf("%d tasks: %s", j.reasons[said], said)
	}
	t.Errorf("%d long-running tasks waited for more than %v beside room twice over:\n%s",
		j.tooLong, longestWait, strings.Join(j.examples, "\n"))
}

// longRunningWithoutRun returns a candidate for each task that lasts and has no run.
func longRunningWithoutRun(m *jobqueue.Machine) []*candidate {
	var found []*candidate
	for _, j := range m.Active() {
		for i, step := range j.Occurrences[0].Steps {
			for k, task := range step.Tasks {
				if j.Open() && step.Spec.LongRunning && len(task.Runs) == 0 {
					found = append(found, &candidate{job: j, queue: m.QueueOf(j), number: i, step: step, tasks: []int{k}, neededSpeed: usualSpeed})
				}
			}
		}
	}
	return found
}

// couldTake returns the sound workers that may and can run a task, whatever the planner thinks.
func (s *fleetSim) couldTake(c *candidate) []*jobqueue.Worker {
	return slices.DeleteFunc(s.machine.Workers(), func(w *jobqueue.Worker) bool {
		id := jobqueue.TaskID{Job: c.job.ID(), Step: uint32(c.number)}
		unsound := slices.ContainsFunc(s.hosts, func(h *fleetHost) bool {
			return h.worker == w.Spec.Id && (s.now.Before(h.refusesUntil) || s.now.Before(h.brokenUntil))
		})
		return s.silent[w.Spec.Id] || unsound || !s.machine.MayRunOn(c.job, id, c.step.Spec, w) ||
			c.queue.Advised && !approves(c.key(), w.Spec.Id)
	})
}

// roomTwiceOver reports whether workers have room for two tasks as a candidate's.
func roomTwiceOver(c *candidate, could []*jobqueue.Worker) bool {
	if len(could) != 1 {
		return len(could) > 1
	}
	need := jobqueue.Reserved(c.step.Spec)
	limit := int(c.step.Spec.MaxPerWorker)
	return need.Add(need).Fits(could[0].Free()) && (limit == 0 || could[0].StepRunCount(c.key())+2 <= limit)
}

// saidAgainst sums up what the planner has against workers.
func (r *round) saidAgainst(c *candidate, workers []*jobqueue.Worker) string {
	w := Wait{}
	for _, s := range r.slots {
		if slices.Contains(workers, s.worker) {
			_, reason := r.judge(c, s)
			w.Workers[reason]++
		}
	}
	var names []string
	for reason, n := range w.Workers {
		if n > 0 {
			names = append(names, Reason(reason).String())
		}
	}
	return strings.Join(names, " and ")
}

// Guards against a state that refuses again and again what the planner decides.
func TestStateTakesWhatThePlannerDecides(t *testing.T) {
	t.Parallel()
	faults := fleetFaults{quiet: true, leaving: true, advised: true, fills: true, failing: 33, broken: true}
	refused := 0
	for _, seed := range fleetsToPlay(fewFleets) {
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
		t.Errorf("the state refused %d starts", refused)
	}
}

func startedRun(s *apiv1.StartRun) jobqueue.RunID {
	return jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}
}

// Guards against room of a worker that is taken by no run of it, and runs that only their task or their worker knows.
func TestRoomOfAFleetIsThatOfItsRuns(t *testing.T) {
	t.Parallel()
	faults := fleetFaults{quiet: true, leaving: true, advised: true, fills: true, failing: 33, broken: true, refusing: true}
	for _, seed := range fleetsToPlay(fewFleets) {
		s := newFleetSim(t, seed, faults)
		for range simSpan / simStep {
			s.tick()
			s.checkCovered()
			held := 0
			for _, w := range s.machine.Workers() {
				used := jobqueue.Resources{}
				for id, run := range w.Runs {
					used = used.Add(jobqueue.Reserved(run.Step))
					if s.machine.Run(id) != run {
						t.Fatalf("seed %d: %v holds room on %s, and its task doesn't know it", seed, id, w.Spec.Id)
					}
				}
				if used != w.Used {
					t.Fatalf("seed %d: %s counts %+v in use, its runs reserve %+v", seed, w.Spec.Id, w.Used, used)
				}
				held += len(w.Runs)
			}
			if known := runsOfTasks(s.machine); known != held {
				t.Fatalf("seed %d: tasks have %d runs, workers %d", seed, known, held)
			}
		}
	}
}

// runsOfTasks counts the runs that tasks know.
func runsOfTasks(m *jobqueue.Machine) int {
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
