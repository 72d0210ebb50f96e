package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

func (r *harness) addWorkerIn(zone, id string, cpuMilli, memoryMB int64) {
	r.t.Helper()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: id, Host: "host-" + id, Pool: testPool, AvailabilityZone: zone, CpuMilli: cpuMilli, MemoryMb: memoryMB},
	}}})
}

func (r *harness) setCordon(zone string, cordoned bool) {
	r.t.Helper()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetCordon{SetCordon: &apiv1.SetCordon{
		Zone: zone, Cordoned: cordoned, ReadRevision: r.machine.Cordon(zone).GetRevision(),
	}}})
}

// kindsOfSteps are steps that the planner starts in different ways.
var kindsOfSteps = map[string]*apiv1.JobStep{
	"plain":        {Count: 4, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500},
	"gang":         {Count: 4, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500, Gang: true},
	"backfill":     {Count: 4, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500, Backfill: true, Image: "b"},
	"long-running": {Count: 4, CpuMilli: 100, MemoryMb: 100, LongRunning: true, Image: "s", TailObjectiveMs: 50},
	"duplicates":   {Count: 4, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500, AllowDuplicates: true},
	"spread":       {Count: 2, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500, MaxPerWorker: 1},
}

// Guards against a kind of start that ignores a cordon: first runs, retries, starving tasks, long-running
// tasks without another worker, gangs and copies.
func TestNothingStartsInCordonedZone(t *testing.T) {
	for kind, step := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			r := newHarness(t)
			for i := range 4 {
				r.addWorkerIn("north", fmt.Sprint("n", i), 4000, 4000)
			}
			r.setCordon("north", true)
			r.submit("urgent", "j", step)
			var last Decision
			for range 60 {
				last = r.plan()
				if len(last.Starts) > 0 {
					t.Fatalf("starts in the only zone, which is cordoned: %v", last.Starts)
				}
				r.advance(100 * time.Millisecond)
			}
			if len(last.Unplaced) != 1 || last.Unplaced[0].ReasonSummary() != "zone cordoned 4" {
				t.Errorf("waits: %v", last.Unplaced)
			}
			r.setCordon("north", false)
			if got := len(r.plan().Starts); got == 0 {
				t.Error("nothing starts once the cordon is withdrawn")
			}
		})
	}
}

// Guards against runs that are moved from a slow worker to one in a cordoned zone, or tasks that lost
// their runs and start again there, while another zone has room.
func TestLostRunsStartInOtherZone(t *testing.T) {
	r := newHarness(t)
	r.addWorkerIn("north", "n", 4000, 4000)
	r.addWorkerIn("south", "s", 4000, 4000)
	r.submit("urgent", "j", kindsOfSteps["long-running"])
	r.startAll("s", "j")
	r.setCordon("north", true)
	for i := range 4 {
		r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskID{Job: "j", Index: uint32(i)}, Number: 1}, apiv1.RunEndKind_RUN_END_KIND_FAILED)
	}
	for range 40 {
		r.plan()
		r.advance(100 * time.Millisecond)
	}
	if got := len(r.runsOn("n")); got != 0 {
		t.Errorf("%d runs started in the cordoned zone", got)
	}
	if got := len(r.runsOn("s")); got != 4 {
		t.Errorf("%d of 4 runs in the other zone", got)
	}
}

// Guards against runs in a cordoned zone that are stopped by the cordon itself.
func TestRunsContinueInCordonedZone(t *testing.T) {
	r := newHarness(t)
	r.addWorkerIn("north", "n", 4000, 4000)
	r.addWorkerIn("south", "s", 4000, 4000)
	r.submit("urgent", "j", kindsOfSteps["long-running"])
	r.startAll("n", "j")
	r.setCordon("north", true)
	for range 40 {
		r.observeAll("n", func(int) int64 { return 20 })
		if d := r.plan(); len(d.Stops) > 0 {
			t.Fatalf("stops: %v", d.Stops)
		}
		r.advance(100 * time.Millisecond)
	}
}

// Guards against a host of standby that is switched on in a cordoned zone, where it gets no work.
func TestNoHostComesFromCordonedZone(t *testing.T) {
	r := newMoverHarness(t)
	r.addHost("a", testPool)
	for _, name := range []string{"b", "c"} {
		r.addHost(name, reservePool)
		view := r.hosts[name]
		view.AvailabilityZone = "zone of " + name
		r.hosts[name] = view
	}
	r.setCordon("zone of b", true)
	r.submitTasks("j", 6, "")
	if got := r.runFor(40 * time.Second); !slices.Equal(got, []string{"c to " + testPool}) {
		t.Errorf("moved %v, want the host of the other zone", got)
	}
}
