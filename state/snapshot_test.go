package state

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against snapshots that replicas of a release that encodes all jobs as one message read differently.
func TestSnapshotIsReadAsOneMessage(t *testing.T) {
	m := New()
	apply := func(index uint64, c *apiv1.JobsCommand) {
		m.Apply(index, &apiv1.Command{TimeMs: 1, Body: &apiv1.Command_Jobs{Jobs: c}})
	}
	apply(1, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}},
		Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 1, TimeoutMs: 1000}},
	}}}})
	for i := range uint64(3) {
		id := fmt.Sprint("job", i)
		apply(2+i, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{
			Spec: &apiv1.JobSpec{Id: id, Host: "h", Path: "/q/" + id, Steps: []*apiv1.JobStep{{Count: 2}}},
		}}})
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s, err := decodeSnapshot(data)
	if err != nil || len(s.SubmittedJobs.Jobs) != 3 || s.SubmittedJobs.Configuration.Version != 1 {
		t.Fatalf("decoded as %v, %v", s, err)
	}
	body, err := proto.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(addSnapshotHeader(body)); err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(data, again) {
		t.Errorf("the state differs when it was restored: %v", err)
	}
}
