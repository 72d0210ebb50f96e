package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// ServePropose implements the Control service's Propose for other hosts; failures are reported in
// the response. Only the leader commits, and commands that only the leader may issue are refused
// from other hosts.
func (r *Replica) ServePropose(ctx context.Context, req *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	if !proposableByPeers(req.GetCommand()) {
		return &apiv1.ProposeResponse{Result: &apiv1.Result{
			Verdict: apiv1.Verdict_VERDICT_REFUSED,
			Message: "only the leader may issue this command",
		}}, nil
	}
	res, err := r.ProposeLocal(ctx, req.Command)
	return encodeProposeResponse(res, err), nil
}

// proposableByPeers reports whether a command may come from another host.
func proposableByPeers(cmd *apiv1.Command) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.Command_Submit, *apiv1.Command_Cancel, *apiv1.Command_Drain,
		*apiv1.Command_Claim, *apiv1.Command_Settle, *apiv1.Command_RecordDirectory:
		return true
	case *apiv1.Command_Jobs:
		return jobsProposableByPeers(cmd.GetJobs())
	}
	return false
}

// jobsProposableByPeers reports whether a command about submitted jobs may come from another host.
// Reports of agents and the placement of runs are committed by the leader only, because it counts
// leases by them.
func jobsProposableByPeers(cmd *apiv1.JobsCommand) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.JobsCommand_PutQueues, *apiv1.JobsCommand_Submit, *apiv1.JobsCommand_Cancel,
		*apiv1.JobsCommand_SetCordon, *apiv1.JobsCommand_PutWave, *apiv1.JobsCommand_RequestMove,
		*apiv1.JobsCommand_SetQueueHold, *apiv1.JobsCommand_Prioritize:
		return true
	}
	return false
}

func encodeProposeResponse(res *apiv1.Result, err error) *apiv1.ProposeResponse {
	var notLeader *NotLeaderError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return &apiv1.ProposeResponse{Result: res}
	case errors.As(err, &notLeader):
		return &apiv1.ProposeResponse{NotLeader: true, LeaderAddress: notLeader.LeaderAddress}
	case errors.As(err, &unavailable):
		return &apiv1.ProposeResponse{NotLeader: true}
	}
	return &apiv1.ProposeResponse{Unknown: true}
}

// decodeProposeResponse converts a response back to the values that ProposeLocal returned.
func decodeProposeResponse(resp *apiv1.ProposeResponse) (*apiv1.Result, error) {
	switch {
	case resp.Unknown:
		return nil, &UnknownError{Cause: "the leader does not know the outcome"}
	case resp.NotLeader:
		return nil, &NotLeaderError{LeaderAddress: resp.LeaderAddress}
	case resp.Result == nil:
		return nil, &UnknownError{Cause: "the response has no result"}
	}
	return resp.Result, nil
}

// ServeRenew implements the Control service's Renew for other hosts.
func (r *Replica) ServeRenew(ctx context.Context, req *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	orders, err := r.RenewLocal(ctx, req.GetWorkers())
	if err == nil {
		return &apiv1.RenewResponse{Leader: true, Orders: orders}, nil
	}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return &apiv1.RenewResponse{LeaderAddress: notLeader.LeaderAddress}, nil
	}
	return &apiv1.RenewResponse{}, nil
}

// safeToResend reports whether a command may be proposed again when the first proposal may have
// been committed. A submission is identified by its id, a claim and its settlement by key, request
// and attempt, and a directory by its address: a repeated one changes nothing. A cancellation or a
// drain has no such identity: applied late, it would undo what an operator did in between.
func safeToResend(cmd *apiv1.Command) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.Command_Submit, *apiv1.Command_Claim, *apiv1.Command_Settle, *apiv1.Command_RecordDirectory:
		return true
	case *apiv1.Command_Jobs:
		// A job and its cancellation are identified by the job's id, a configuration by its version, a
		// wave by its number, a move by its host and pool, and an order about an availability zone or a
		// queue by the revision that it changes. Operators only ever put a job first, so a repeated order
		// changes nothing.
		return true
	}
	return false
}

// decidedAnew reports whether a result refuses a command for a reason that may not hold for a copy that is
// applied later: a hold, a limit, the load or the configuration in effect. Such a copy may be on its way after
// an attempt without a response.
func decidedAnew(cmd *apiv1.Command, r *apiv1.Result) bool {
	switch r.GetJob() {
	case apiv1.JobOutcome_JOB_OUTCOME_INVALID:
		// The configuration decides whether the path of a job is valid.
		spec := cmd.GetJobs().GetSubmit().GetSpec()
		return spec != nil && jobqueue.ValidateJob(spec) == nil
	case apiv1.JobOutcome_JOB_OUTCOME_HELD, apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT, apiv1.JobOutcome_JOB_OUTCOME_REFUSED,
		apiv1.JobOutcome_JOB_OUTCOME_FULL, apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION:
		return true
	}
	return false
}

func commandName(cmd *apiv1.Command) string {
	m := cmd.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if f == nil {
		return "none"
	}
	return string(f.Name())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
