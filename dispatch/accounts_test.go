package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/control/controltest"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/dispatch"
)

// Operations of the history of TestOrdersAboutQueuesAreLinearizable.
const (
	opSubmit = iota
	opHold
	opRelease
	opPrioritize
	opReadQueue
	opReadJob
	opCount
)

const (
	// simPendingLimit is the limit of pending jobs of the account that the history submits for.
	simPendingLimit = 3
	simAccount      = "team"
	simHistoryJobs  = 6
)

// queueOp is an operation on the queue or one of its jobs.
type queueOp struct {
	kind int
	job  string
}

// queueResult is what the client of an operation was told. unknown is set if it was told nothing.
type queueResult struct {
	outcome           apiv1.JobOutcome
	held, prioritized bool
	unknown           bool
}

// queueModel is the model of the queue: jobs lists the known ones as "ID;", in the order of their
// submission, and first the prioritized ones.
type queueModel struct {
	held        bool
	jobs, first string
}

func stepQueue(st, in, out any) (bool, any) {
	s, o, r := st.(queueModel), in.(queueOp), out.(queueResult)
	name := o.job + ";"
	known := strings.Contains(s.jobs, name)
	next, want := s, queueResult{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	switch o.kind {
	case opSubmit:
		switch {
		case known:
		case s.held:
			want.outcome = apiv1.JobOutcome_JOB_OUTCOME_HELD
		case strings.Count(s.jobs, ";") >= simPendingLimit:
			want.outcome = apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT
		default:
			next.jobs += name
		}
	case opHold, opRelease:
		if r.outcome == apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED {
			return true, s // another order was accepted after the receiver had read the queue
		}
		next.held = o.kind == opHold
	case opPrioritize:
		if !known {
			want.outcome = apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
		} else if !strings.Contains(s.first, name) {
			next.first += name
		}
	case opReadQueue:
		want.held = s.held
	case opReadJob:
		want.prioritized = strings.Contains(s.first, name)
		if !known {
			want.outcome = apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
		}
	}
	return r.unknown || r == want, next
}

// simQueueLog is the control group as clients on the leader's host use it.
type simQueueLog struct {
	cordon.Log
	replica    *control.Replica
	dispatcher *dispatch.Dispatcher
}

func (l simQueueLog) propose(ctx context.Context, c *apiv1.JobsCommand) (apiv1.JobOutcome, error) {
	res, err := l.replica.ProposeLocal(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: c}})
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, err
	}
	return res.Job, nil
}

func (l simQueueLog) Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	resp, err := l.dispatcher.Read(ctx, r)
	if err == nil && resp.Unconfirmed {
		err = &control.UnavailableError{Cause: "unconfirmed"}
	}
	return resp, err
}

func (l simQueueLog) SetQueueHold(ctx context.Context, o *apiv1.SetQueueHold) (apiv1.JobOutcome, error) {
	return l.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetQueueHold{SetQueueHold: o}})
}

func (l simQueueLog) Prioritize(ctx context.Context, id, operator string) (apiv1.JobOutcome, error) {
	return l.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Prioritize{
		Prioritize: &apiv1.PrioritizeJob{Id: id, Prioritized: true, Operator: operator},
	}})
}

// call executes an operation.
func (l simQueueLog) call(ctx context.Context, receiver *cordon.Receiver, o queueOp) queueResult {
	var r queueResult
	var err error
	switch o.kind {
	case opSubmit:
		r.outcome, err = l.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: o.job, Host: simHost, Path: "/q/" + o.job, Account: simAccount, Steps: []*apiv1.JobStep{{Count: 1}},
		}}}})
	case opHold, opRelease:
		r.outcome, err = receiver.OrderQueue(ctx, cordon.QueueOrder{Queue: "q", Held: o.kind == opHold})
	case opPrioritize:
		r.outcome, err = receiver.PrioritizeJob(ctx, o.job, "op")
	case opReadQueue:
		var resp *apiv1.JobsReadResponse
		if resp, err = l.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUES}); err == nil {
			r.outcome, r.held = resp.Outcome, resp.Queues[0].Held
		}
	case opReadJob:
		var resp *apiv1.JobsReadResponse
		if resp, err = l.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION, Id: o.job}); err == nil {
			r.outcome, r.prioritized = resp.Outcome, resp.GetExplanation().GetJob().GetPrioritized()
		}
	}
	r.unknown = err != nil
	return r
}

// Guards against an acknowledged order about a queue or job that is lost or undone, a job that is accepted
// although its caller was told otherwise, and a read that misses an acknowledged order. Operators and
// callers act at the same time while the leader changes; some proposals of a deposed leader are committed
// and some are not.
func TestOrdersAboutQueuesAreLinearizable(t *testing.T) {
	metrics.NewMeter().Stop()
	model := porcupine.Model{Init: func() any { return queueModel{} }, Step: stepQueue}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			history, answered := recordQueueHistory(t, seed)
			if answered < len(history)/2 {
				t.Errorf("seed %d: only %d of %d operations were answered", seed, answered, len(history))
			}
			if got := porcupine.CheckOperationsTimeout(model, history, 0); got != porcupine.Ok {
				for _, op := range history {
					t.Logf("%d..%d %+v -> %+v", op.Call, op.Return, op.Input, op.Output)
				}
				t.Errorf("seed %d: the check of the history returned %v", seed, got)
			}
		})
	}
}

// recordQueueHistory returns the operations of some clients, and how many of them were answered.
func recordQueueHistory(t *testing.T, seed uint64) (history []porcupine.Operation, answered int) {
	const clients, opsPerClient = 5, 12
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7))
	intN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	var d *dispatch.Dispatcher
	replica := control.NewReplica(control.Config{OnApplied: func() { d.Applied() }})
	log := controltest.NewLog(replica)
	log.CommitsUnconfirmed = func() bool { return intN(2) == 0 }
	d = dispatch.New(dispatch.Options{Replica: replica})
	var loops, callers sync.WaitGroup
	loops.Go(func() { d.Run(ctx) })
	controltest.Propose(ctx, t, replica, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 1, Pools: []*apiv1.WorkerPool{{Name: simPool}},
			Queues:   []*apiv1.JobQueue{{Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, TimeoutMs: 1000, RefuseWhileHeld: true}},
			Accounts: []*apiv1.AccountConfiguration{{Name: simAccount, Limits: &apiv1.WorkLimits{PendingJobs: simPendingLimit}}},
		},
	}}})
	group := simQueueLog{replica: replica, dispatcher: d}
	started := time.Now()
	receiver := cordon.NewReceiver(cordon.Options{Log: group, Now: func() time.Duration { return time.Since(started) }})
	for client := range clients {
		callers.Go(func() {
			for range opsPerClient {
				time.Sleep(time.Duration(intN(60)) * time.Millisecond)
				op := queueOp{kind: intN(opCount), job: fmt.Sprint("j", intN(simHistoryJobs))}
				call := time.Since(started).Nanoseconds()
				result := group.call(ctx, receiver, op)
				end := time.Since(started).Nanoseconds()
				mu.Lock()
				if result.unknown {
					end = time.Hour.Nanoseconds() // it may take effect at any later time, or never
				} else {
					answered++
				}
				history = append(history, porcupine.Operation{ClientId: client, Input: op, Output: result, Call: call, Return: end})
				mu.Unlock()
			}
		})
	}
	loops.Go(func() {
		for range 4 {
			time.Sleep(time.Duration(50+intN(100)) * time.Millisecond)
			log.LoseLeadership(time.Duration(intN(30)) * time.Millisecond)
		}
	})
	callers.Wait()
	stop()
	loops.Wait()
	return history, answered
}

// Guards against a list of accounts without what only the leader knows, and against a replica that does
// not lead and answers with zeros.
func TestAccountsAreReadFromTheLeader(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		var d *dispatch.Dispatcher
		replica := control.NewReplica(control.Config{OnApplied: func() { d.Applied() }})
		controltest.NewLog(replica)
		d = dispatch.New(dispatch.Options{Replica: replica})
		read := func() *apiv1.JobsReadResponse {
			resp, err := d.Read(ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_ACCOUNTS})
			if err != nil {
				t.Error(err)
			}
			return resp
		}
		if resp := read(); !resp.Unconfirmed {
			t.Errorf("before the dispatcher leads: %v", resp)
		}
		loops.Go(func() { d.Run(ctx) })
		time.Sleep(time.Second)
		controltest.Propose(ctx, t, replica, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
			Configuration: &apiv1.QueueConfiguration{Version: 1, Accounts: []*apiv1.AccountConfiguration{{Name: "a", Weight: 2}}},
		}}})
		resp := read()
		if len(resp.Accounts) != 1 || resp.Accounts[0].Weight != 2 {
			t.Errorf("accounts: %v", resp)
		}
		stop()
		loops.Wait()
	})
}
