package jobqueue

import (
	"fmt"
	"math/rand"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: a task waits for good beside free workers. Sequence: tasks with and without
// copies start, end well or badly, are stopped and lose their workers, in random order;
// the count of covered tasks is compared with the tasks after each command, and after a
// snapshot. Cause: an end of one of two runs, or of a run of a task that is done, that
// changes the count twice or not at all.
func TestScheduledCountMatchesTasks(t *testing.T) {
	for seed := range int64(100) {
		random := rand.New(rand.NewSource(seed))
		m := scheduledMachine(t)
		for range 60 {
			randomCommand(m, random)
			checkScheduled(t, seed, m)
		}
		restored, err := Restore(m.Snapshot(), 1)
		if err != nil {
			t.Fatal(err)
		}
		checkScheduled(t, seed, restored)
	}
}

const (
	scheduledJobs    = 4
	scheduledWorkers = 3
	scheduledTasks   = 4
)

func scheduledMachine(t *testing.T) *Machine {
	t.Helper()
	m := New()
	commands := []*apiv1.JobsCommand{{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}},
			Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 2, TimeoutMs: 1000}},
		},
	}}}}
	for i := range scheduledWorkers {
		commands = append(commands, workerReport(i, nil))
	}
	for i := range scheduledJobs {
		id := fmt.Sprint("j", i)
		commands = append(commands, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: id, Host: "h", Path: "/q/" + id,
			Steps: []*apiv1.JobStep{{Count: scheduledTasks, CpuMilli: 1, MemoryMb: 1, AllowDuplicates: i%2 == 0}},
		}}}})
	}
	for _, c := range commands {
		if o := m.Apply(c, 1, 1); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
			t.Fatalf("%v: %v", c, o)
		}
	}
	return m
}

func workerReport(worker int, end *apiv1.RunEnd) *apiv1.JobsCommand {
	id := fmt.Sprint("w", worker)
	r := &apiv1.ReportWorker{Worker: &apiv1.JobWorker{Id: id, Host: "host-" + id, Pool: "p", CpuMilli: 1000, MemoryMb: 1000}}
	if end != nil {
		r.Ends = []*apiv1.RunEnd{end}
	}
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: r}}
}

func randomCommand(m *Machine, random *rand.Rand) {
	worker := random.Intn(scheduledWorkers)
	w := m.Worker(fmt.Sprint("w", worker))
	task := TaskID{Job: fmt.Sprint("j", random.Intn(scheduledJobs)), Index: uint32(random.Intn(scheduledTasks))}
	plan := &apiv1.PlanRuns{Term: 1}
	switch runs := w.SortedRunIDs(); {
	case random.Intn(12) == 0:
		plan.Lapsed = []string{w.Spec.Id}
	case len(runs) > 0 && random.Intn(2) == 0:
		id := runs[random.Intn(len(runs))]
		kinds := []apiv1.RunEndKind{
			apiv1.RunEndKind_RUN_END_KIND_DONE, apiv1.RunEndKind_RUN_END_KIND_FAILED, apiv1.RunEndKind_RUN_END_KIND_STOPPED,
		}
		end := &apiv1.RunEnd{Sequence: w.Acknowledged + 1, Task: id.Task.Ref(), Run: id.Number, Kind: kinds[random.Intn(len(kinds))]}
		m.Apply(workerReport(worker, end), 1, 1)
		return
	default:
		t, _ := m.task(task)
		if t == nil {
			return
		}
		plan.Starts = []*apiv1.StartRun{{Task: task.Ref(), Run: t.LastRun + 1, Worker: w.Spec.Id}}
	}
	m.Apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: plan}}, 1, 1)
}

func checkScheduled(t *testing.T, seed int64, m *Machine) {
	t.Helper()
	for _, j := range m.Active() {
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				covered := 0
				for _, task := range s.Tasks {
					if !task.Done && len(task.Runs) > 0 {
						covered++
					}
				}
				if s.scheduled != covered {
					t.Fatalf("seed %d: job %s counts %d covered tasks of %d", seed, j.ID(), s.scheduled, covered)
				}
			}
		}
	}
}
