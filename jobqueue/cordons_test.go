package jobqueue_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	zone      = "north"
	otherZone = "south"
)

func (m *machine) setCordon(cordoned bool, readRevision uint64) apiv1.JobOutcome {
	return m.setCordonOf(zone, cordoned, readRevision)
}

func (m *machine) setCordonOf(zone string, cordoned bool, readRevision uint64) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetCordon{SetCordon: &apiv1.SetCordon{
		Zone: zone, Cordoned: cordoned, ReadRevision: readRevision, Operator: "op",
	}}})
}

func (m *machine) workerIn(zone, id string) {
	w := spec(id, "host-"+id, 1000)
	w.AvailabilityZone = zone
	m.report(&apiv1.ReportWorker{Worker: w})
}

// Guards against an old copy of an order that takes effect after a later order was acknowledged: it was
// held up after its revision had been read.
func TestDelayedCopyOfCordonOrderIsSuperseded(t *testing.T) {
	const ok, superseded = apiv1.JobOutcome_JOB_OUTCOME_OK, apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED
	for _, x := range []struct {
		name string
		// steps are orders: whether to cordon, the revision read, and the outcome.
		steps []struct {
			cordoned bool
			read     uint64
			want     apiv1.JobOutcome
		}
		cordoned bool
	}{
		{"copy of the first order after its withdrawal", []struct {
			cordoned bool
			read     uint64
			want     apiv1.JobOutcome
		}{{true, 0, ok}, {false, 1, ok}, {true, 0, superseded}}, false},
		{"withdrawal of an open zone, then a cordon that was read before it", []struct {
			cordoned bool
			read     uint64
			want     apiv1.JobOutcome
		}{{false, 0, ok}, {true, 0, superseded}}, false},
		{"repeated cordon, then a withdrawal that was read before it", []struct {
			cordoned bool
			read     uint64
			want     apiv1.JobOutcome
		}{{true, 0, ok}, {true, 0, ok}, {false, 1, superseded}}, true},
		{"retry of an accepted order at its old revision", []struct {
			cordoned bool
			read     uint64
			want     apiv1.JobOutcome
		}{{true, 0, ok}, {true, 0, ok}, {false, 2, ok}}, false},
	} {
		m := newMachine()
		for i, s := range x.steps {
			if got := m.setCordon(s.cordoned, s.read); got != s.want {
				t.Errorf("%s, order %d: %v, want %v", x.name, i, got, s.want)
			}
		}
		if m.Cordoned(zone) != x.cordoned {
			t.Errorf("%s: cordoned is %v", x.name, !x.cordoned)
		}
	}
}

// Guards against a start in a cordoned zone by a plan that was made before the cordon.
func TestPlanMadeBeforeCordonStartsNothingThere(t *testing.T) {
	m := newMachine()
	m.workerIn(zone, "w1")
	m.workerIn(otherZone, "w2")
	m.submit("j", &apiv1.JobStep{Count: 4})
	if !m.start(task("j", 0, 0), 1, "w1") {
		t.Fatal("no start before the cordon")
	}
	before := m.Revision("w1")
	m.setCordon(true, 0)
	if m.Revision("w1") == before {
		t.Error("the agent does not hear of the cordon at once")
	}
	if m.start(task("j", 0, 1), 1, "w1") {
		t.Error("a task started in the cordoned zone")
	}
	if !m.start(task("j", 0, 2), 1, "w2") {
		t.Error("no start in the other zone")
	}
	if r := m.Run(jobqueue.RunID{Task: task("j", 0, 0), Number: 1}); r == nil || r.Stopping {
		t.Error("the run in the cordoned zone does not continue")
	}
	m.setCordon(false, 1)
	if !m.start(task("j", 0, 1), 1, "w1") {
		t.Error("no start after the cordon was withdrawn")
	}
}

// Guards against a cordon that is lost with a snapshot, and against a snapshot of a release without
// cordons that can't be restored.
func TestCordonsAreInSnapshots(t *testing.T) {
	m := newMachine()
	m.workerIn(zone, "w1")
	m.setCordon(true, 0)
	m.setCordonOf(otherZone, true, 0)
	m.setCordonOf(otherZone, false, 1)
	snapshot := m.Snapshot()
	restored, err := jobqueue.Restore(proto.CloneOf(snapshot), m.now)
	if err != nil {
		t.Fatal(err)
	}
	if !restored.Cordoned(zone) || restored.Cordoned(otherZone) {
		t.Error("the cordons are lost")
	}
	if !proto.Equal(snapshot, restored.Snapshot()) {
		t.Errorf("restored %v, want %v", restored.Cordons(), m.Cordons())
	}
	c := restored.Cordon(zone)
	if c.Revision != 1 || c.Operator != "op" || c.SinceMs == 0 {
		t.Errorf("the record is %v", c)
	}
	snapshot.Cordons = nil
	if earlier, err := jobqueue.Restore(snapshot, m.now); err != nil || earlier.Cordoned(zone) {
		t.Errorf("snapshot of an earlier release: %v", err)
	}
}

// Guards against orders that can't be meant, and against a state that grows without bound.
func TestInvalidCordonOrdersChangeNothing(t *testing.T) {
	m := newMachine()
	for _, name := range []string{"", strings.Repeat("z", 201)} {
		if got := m.setCordonOf(name, true, 0); got != apiv1.JobOutcome_JOB_OUTCOME_INVALID {
			t.Errorf("zone %.10q: %v", name, got)
		}
	}
	last := apiv1.JobOutcome_JOB_OUTCOME_OK
	for i := 0; last == apiv1.JobOutcome_JOB_OUTCOME_OK && i < 10_000; i++ {
		last = m.setCordonOf(fmt.Sprint(i), true, 0)
	}
	if last != apiv1.JobOutcome_JOB_OUTCOME_FULL {
		t.Errorf("the last of many zones: %v", last)
	}
}
