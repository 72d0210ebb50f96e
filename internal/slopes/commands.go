package main

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// submit returns a submission of configuration c as a change of version base.
func submit(n int, base uint64, c *apiv1.Configuration) *apiv1.Command {
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_Submit{Submit: &apiv1.Submit{
		SubmissionId: fmt.Sprintf("submission-%08d", n), BaseVersion: base, Configuration: c, Operator: "duty",
	}}}
}

// submitDelta returns a submission that carries only the delta of a change to version base.
func submitDelta(n int, base uint64, d *apiv1.ConfigurationDelta) *apiv1.Command {
	rebased := &apiv1.ConfigurationDelta{
		FromVersion: base, ToVersion: base + 1, Services: d.Services, Jobs: d.Jobs, Teams: d.Teams,
		PolicyChanged: d.PolicyChanged, Policy: d.Policy, Text: d.Text, TextDigest: d.TextDigest, Digest: d.Digest,
	}
	cmd := submit(n, base, nil)
	cmd.GetSubmit().Delta = rebased
	return cmd
}

func register(i int) *apiv1.Command {
	info := workerInfo(i)
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
		Worker: info.Name, Incarnation: info.Incarnation, Capacity: info.Capacity,
		Region: info.Location.Region, AvailabilityZone: info.Location.AvailabilityZone, Rack: info.Location.Rack,
	}}}
}

func grant(worker, job, i int, attempt uint64) *apiv1.Grant {
	info := workerInfo(worker)
	return &apiv1.Grant{
		Task: taskName(job, i), Attempt: attempt, Worker: info.Name,
		WorkerIncarnation: info.Incarnation, Resources: taskSize(),
	}
}

func placeCommand(grants ...*apiv1.Grant) *apiv1.Command {
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_Place{Place: &apiv1.Place{Grants: grants}}}
}

// recordStops returns a command by which worker i reports attempts of job i as stopped, so that
// their tasks return to the queue.
func recordStops(i, tasks int, attempt uint64) *apiv1.Command {
	info := workerInfo(i)
	r := &apiv1.RecordTasks{Worker: info.Name, WorkerIncarnation: info.Incarnation}
	for n := range tasks {
		r.Ends = append(r.Ends, &apiv1.TaskEnd{
			Task: &apiv1.TaskAttempt{Task: taskName(i, n), Attempt: attempt}, Kind: apiv1.EndKind_END_KIND_STOPPED,
			Checkpoint: fmt.Sprintf("%s/2/000041", taskName(i, n)),
		})
	}
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_RecordTasks{RecordTasks: r}}
}

// expire returns a command that ends the leases of job i's tasks.
func expire(i, tasks int) *apiv1.Command {
	e := &apiv1.Expire{Term: 1}
	for n := range tasks {
		a := &apiv1.TaskAttempt{Task: taskName(i, n), Attempt: 2}
		e.Tasks = append(e.Tasks, a)
		e.Checkpoints = append(e.Checkpoints, &apiv1.TaskCheckpoint{Task: a, Checkpoint: fmt.Sprintf("%s/2/000041", a.Task)})
	}
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_Expire{Expire: e}}
}

func claim(i int) *apiv1.Command {
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{
		Service: serviceName(1), Key: fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i), RequestDigest: make([]byte, 32),
		RequestId: fmt.Sprintf("entry-01-%016d", i), Entry: entryName(1), Agent: workerName(1),
		AgentIncarnation: workerInfo(1).Incarnation, Attempt: 1, WindowMs: 86_400_000,
	}}}
}

func settle(i int) *apiv1.Command {
	c := claim(i).GetClaim()
	return &apiv1.Command{TimeMs: 1e12, Body: &apiv1.Command_Settle{Settle: &apiv1.Settle{
		Service: c.Service, Key: c.Key, RequestId: c.RequestId, Attempt: 1, Outcome: apiv1.Outcome_OUTCOME_ANSWERED,
		Response: &apiv1.HttpResponse{Status: 201, Body: make([]byte, 200)},
	}}}
}
