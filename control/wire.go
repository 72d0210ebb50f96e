package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ServePropose answers the Control service's Propose for another host; what went
// wrong is in the response. Only the leader commits; what the leader alone may
// judge is not taken from others.
func (r *Replica) ServePropose(ctx context.Context, req *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	if !proposableByPeers(req.GetCommand()) {
		return &apiv1.ProposeResponse{Result: &apiv1.Result{
			Verdict: apiv1.Verdict_VERDICT_REFUSED,
			Message: "only the leader makes this command",
		}}, nil
	}
	res, err := r.ProposeLocal(ctx, req.Command)
	return encodeProposeResponse(res, err), nil
}

// proposableByPeers reports whether a command may come from another host.
func proposableByPeers(cmd *apiv1.Command) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.Command_Submit, *apiv1.Command_Cancel, *apiv1.Command_Drain,
		*apiv1.Command_Claim, *apiv1.Command_Settle:
		return true
	case *apiv1.Command_Jobs:
		return jobsProposableByPeers(cmd.GetJobs())
	}
	return false
}

// jobsProposableByPeers: what agents report and what runs where the leader alone commits,
// since it counts leases by them.
func jobsProposableByPeers(cmd *apiv1.JobsCommand) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.JobsCommand_PutQueues, *apiv1.JobsCommand_Submit, *apiv1.JobsCommand_Cancel:
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

// decodeProposeResponse reads a response back into what ProposeLocal returned.
func decodeProposeResponse(resp *apiv1.ProposeResponse) (*apiv1.Result, error) {
	switch {
	case resp.Unknown:
		return nil, &UnknownError{Cause: "the leader can't tell"}
	case resp.NotLeader:
		return nil, &NotLeaderError{LeaderAddress: resp.LeaderAddress}
	case resp.Result == nil:
		return nil, &UnknownError{Cause: "the answer has no result"}
	}
	return resp.Result, nil
}

// ServeRenew answers the Control service's Renew for another host.
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

// safeToResend reports whether a command may be proposed again when the first
// proposal may have been committed. A submission is bound to its id, a claim and
// its settlement to key, request and attempt: the state machine answers a second
// one like the first. A cancellation or a drain has no such identity: applied
// late, it would undo what an operator did in between.
func safeToResend(cmd *apiv1.Command) bool {
	switch cmd.GetBody().(type) {
	case *apiv1.Command_Submit, *apiv1.Command_Claim, *apiv1.Command_Settle:
		return true
	case *apiv1.Command_Jobs:
		// A job and its cancellation are bound to the id, a configuration to its
		// version.
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

// sleep waits for a while or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
