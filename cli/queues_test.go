package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobapi"
)

// fakeQueues knows two queues, of which one is held, an account and a prioritized job.
type fakeQueues struct {
	jobapi.Backend
	orders      []cordon.QueueOrder
	prioritized []string
}

func (g *fakeQueues) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK,
		Queues:  []*apiv1.QueueHold{{Queue: "night", Held: true, Revision: 3, SinceMs: 1_000, Operator: "op"}, {Queue: "quick"}},
		Accounts: []*apiv1.AccountRecord{
			{Weight: 1, WaitingTasks: 2},
			{
				Name: "team", Weight: 2.5, Limits: &apiv1.WorkLimits{CpuMilli: 4500, PendingJobs: 9}, CpuMilli: 1500, RunningTasks: 1,
				PendingJobs: 3, Share: 0.125, Refused: 7, NextTurnMs: 300,
			},
		},
		Explanation: &apiv1.JobExplanation{Job: &apiv1.SubmittedJobRecord{
			State: apiv1.JobState_JOB_STATE_QUEUED, Spec: &apiv1.JobSpec{Account: "team"}, Queue: &apiv1.JobQueue{Name: "night"}, Prioritized: true,
		}},
	}, nil
}

func (g *fakeQueues) OrderQueue(_ context.Context, o cordon.QueueOrder) (apiv1.JobOutcome, error) {
	g.orders = append(g.orders, o)
	if o.Queue == "x" {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, nil
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK, nil
}

func (g *fakeQueues) PrioritizeJob(_ context.Context, id, operator string) (apiv1.JobOutcome, error) {
	g.prioritized = append(g.prioritized, id+" by "+operator)
	if id == "x" {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_JOB, nil
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK, nil
}

// Checks the output and the exit codes of the commands about queues, prioritized jobs and accounts.
func TestQueueAndAccountCommands(t *testing.T) {
	g := &fakeQueues{}
	s := httptest.NewServer(jobapi.Handler(g))
	defer s.Close()
	const list = "night\theld\t1970-01-01T00:00:01Z\top\nquick\topen\t-\t-\n"
	for _, c := range []commandCase{
		{"queues", 0, list, ""},
		{"queues list", 0, list, ""},
		{"queues hold night", 0, "accepted\n", ""},
		{"queues release night --json", 0, "{\n  \"queue\": \"night\",\n  \"held\": false\n}\n", ""},
		{"queues hold x", 1, "", "NO_QUEUE"},
		{"queues hold", 2, "", "name"},
		{"job prioritize j1", 0, "accepted\n", ""},
		{"job prioritize x", 1, "", "NO_JOB"},
		{"job prioritize", 2, "", "id"},
		{"job explain j1", 0, "queued\naccount team\nprioritized before the others of its priority\n" +
			"queue night is held since 1970-01-01T00:00:01Z by op: nothing of it starts\n", ""},
		{"accounts", 0, "" +
			"ACCOUNT  WEIGHT  PROCESSORS/LIMIT  MEMORY MB  ACCELERATORS  TASKS/LIMIT  WAITING  PENDING JOBS/LIMIT  SHARE  REFUSED  NEXT TURN\n" +
			"-        1       0                 0          0             0            2        0                   0.000  0        0s\n" +
			"team     2.5     1.5/4.5           0          0             1            0        3/9                 0.125  7        300ms\n", ""},
	} {
		c.check(t, s.URL)
	}
	if first := (cordon.QueueOrder{Queue: "night", Held: true, Operator: "me"}); len(g.orders) != 3 || g.orders[0] != first {
		t.Errorf("orders: %v", g.orders)
	}
	if !slices.Equal(g.prioritized, []string{"j1 by me", "x by me"}) {
		t.Errorf("prioritized: %v", g.prioritized)
	}
}

// Guards against a status that hides holds and prioritized jobs, and against one that changes without them.
func TestStatusShowsHoldsAndPrioritizedJobs(t *testing.T) {
	var out, without bytes.Buffer
	a := New()
	a.Stdout = &without
	a.printStatus(&admin.Status{})
	a.Stdout = &out
	a.printStatus(&admin.Status{HeldQueues: []string{"night", "quick"}, PrioritizedJobs: []string{"j1"}})
	want := without.String() + "held queues, of which nothing starts: night, quick\nprioritized jobs: j1\n"
	if out.String() != want || strings.Contains(without.String(), "held") {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
