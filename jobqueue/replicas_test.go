package jobqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against replicas that decide differently after one of them was restored from a snapshot: both
// apply the same starts, ends, crashes, lost leases and passed probations from then on.
func TestRestoredReplicaGoesOnAlike(t *testing.T) {
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		first := scheduledMachine(t)
		nowMs := int64(1)
		incarnations := [scheduledWorkers]int{}
		second := first
		for i := range 120 {
			if i == 60 {
				restored, err := Restore(proto.CloneOf(first.Snapshot()), nowMs)
				if err != nil {
					t.Fatal(err)
				}
				second = restored
			}
			nowMs += int64(random.Intn(1500))
			c := crashCommand(first, random, &incarnations, nowMs)
			outcome := first.Apply(proto.CloneOf(c), nowMs, 1)
			if second == first {
				continue
			}
			if other := second.Apply(c, nowMs, 1); other != outcome {
				t.Fatalf("seed %d, command %d: %v and %v for %v", seed, i, outcome, other, c)
			}
			if a, b := first.EstimatedBytes(), second.EstimatedBytes(); a != b {
				t.Fatalf("seed %d: the replicas estimate %d and %d bytes after command %d, %v", seed, a, b, i, c)
			}
			if a, b := first.Snapshot(), second.Snapshot(); !proto.Equal(a, b) {
				t.Fatalf("seed %d: the replicas differ after command %d, %v:\n%v\n%v", seed, i, c, a, b)
			}
		}
	}
}

// crashCommand returns a random command, among them reports that a worker crashed and is back.
func crashCommand(m *Machine, random *rand.Rand, incarnations *[scheduledWorkers]int, nowMs int64) *apiv1.JobsCommand {
	n := random.Intn(scheduledWorkers)
	w := m.WorkerOnHost(fmt.Sprint("host-w", n))
	runs := w.SortedRunIDs()
	plan := &apiv1.PlanRuns{Term: 1}
	switch random.Intn(6) {
	case 0:
		plan.Lapsed = []string{w.Spec.Id}
	case 1:
		for _, id := range runs {
			plan.TrialsOver = append(plan.TrialsOver, &apiv1.RunRef{Task: id.Task.Ref(), Run: id.Number, WorkedMs: int64(500 + random.Intn(4000))})
		}
	case 2:
		incarnations[n]++
		crash := &apiv1.WorkerCrash{OthersSilent: random.Intn(2) == 0, AtMs: nowMs - int64(random.Intn(2000)), UncertaintyMs: int64(random.Intn(2)) * 250}
		for _, id := range append(runs, w.LostRuns()...) {
			worked := int64(random.Intn(3000))
			crash.Worked = append(crash.Worked, &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, WorkedMs: worked, AtMostMs: worked + 300, Began: random.Intn(4) > 0})
		}
		return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{Crash: crash, Worker: &apiv1.JobWorker{
			Id: fmt.Sprintf("w%d@%d", n, incarnations[n]), Host: w.Spec.Host, Pool: "p", CpuMilli: 1000, MemoryMb: 1000,
		}}}}
	case 3:
		r := &apiv1.ReportWorker{Worker: proto.CloneOf(w.Spec)}
		if len(runs) > 0 {
			id := runs[random.Intn(len(runs))]
			r.Ends = []*apiv1.RunEnd{{Sequence: w.Acknowledged + 1, Task: id.Task.Ref(), Run: id.Number, Kind: apiv1.RunEndKind(1 + random.Intn(6))}}
		}
		return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: r}}
	default:
		task := TaskID{Job: fmt.Sprint("j", random.Intn(scheduledJobs)), Index: uint32(random.Intn(scheduledTasks))}
		if t, _ := m.task(task); t != nil {
			plan.Starts = []*apiv1.StartRun{{Task: task.Ref(), Run: t.LastRun + 1, Worker: w.Spec.Id}}
		}
	}
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: plan}}
}
