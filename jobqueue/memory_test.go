package jobqueue_test

import (
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against finished jobs that take the memory of their tasks and payloads, against a finished job that is
// not found, and against an estimate that does not return to 0.
func TestFinishedJobsTakeLittleMemory(t *testing.T) {
	m := newMachine()
	submit := func(id string) {
		spec := &apiv1.JobSpec{Id: id, Host: host, Path: "/q/" + id, Payload: strings.Repeat("p", 4000), Steps: []*apiv1.JobStep{{Count: 100}}}
		outcome := m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}}})
		if outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
			t.Fatal(outcome)
		}
	}
	submit("finished")
	m.cancel("finished")
	m.cancel("canceled before")
	submit("canceled before")
	restored, err := jobqueue.Restore(m.Snapshot(), m.now)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range m.Snapshot().Jobs {
		if r.Spec.Payload != "" || m.Job(r.Spec.Id) == nil {
			t.Errorf("the state has %v", r)
		}
	}
	if n := m.EstimatedBytes(); n == 0 || n > 4000 || n != restored.EstimatedBytes() {
		t.Errorf("two finished jobs take %d bytes, restored %d", n, restored.EstimatedBytes())
	}
	m.now += 3_600_000
	m.cancel("other")
	m.now += 3_600_000
	m.put(configuration(2))
	if n := m.EstimatedBytes(); n != 0 {
		t.Errorf("no jobs take %d bytes", n)
	}
}
