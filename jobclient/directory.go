package jobclient

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const noReplica = "this host has no replica"

// Directory replaces the replica on a control host that has none because it has no disk. Other
// processes may have been configured with such hosts only: they must be able to find the group
// through them, and must continue with the next host for all other calls. A Directory therefore
// returns the control hosts that its client knows, and responds to any other call as a replica that
// does not lead and cannot confirm reads: nothing was done. An error would be ambiguous, because
// after an error it is unknown whether a command was committed.
type Directory struct {
	client *Client
	// name is this host's name in the control group's settings.
	name string
	// address is this host's own address, which Members never returns: only a member of the group
	// includes its own address.
	address string
}

var (
	_ apiv1.Jobs    = Directory{}
	_ apiv1.Control = Directory{}
	_ apiv1.Quorum  = Directory{}
)

// NewDirectory returns the directory of a host with the given name and internal address. It must be
// called before client.Run, which then has the group record the directory.
func NewDirectory(client *Client, name, address string) Directory {
	client.directory = address
	return Directory{client: client, name: name, address: address}
}

// Identify implements apiv1.Quorum. A response without an ID means that there is no replica to wait
// for. Without it, hosts that form a new group would wait forever.
func (d Directory) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	return &apiv1.IdentifyResponse{Name: d.name}, nil
}

// Join implements apiv1.Quorum.
func (d Directory) Join(context.Context, *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	return &apiv1.JoinResponse{NotLeader: true, Message: noReplica}, nil
}

// Leave implements apiv1.Quorum.
func (d Directory) Leave(context.Context, *apiv1.LeaveRequest) (*apiv1.LeaveResponse, error) {
	return &apiv1.LeaveResponse{NotLeader: true}, nil
}

// Deliver implements apiv1.Quorum.
func (d Directory) Deliver(context.Context, *apiv1.DeliverRequest) (*apiv1.DeliverResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, noReplica)
}

// Members implements apiv1.Jobs.
func (d Directory) Members(context.Context, *apiv1.JobsMembersRequest) (*apiv1.JobsMembersResponse, error) {
	others := slices.DeleteFunc(d.client.Addresses(), func(a string) bool { return a == d.address })
	return &apiv1.JobsMembersResponse{Addresses: others, LeaderAddress: d.client.forwarder.LeaderAddress()}, nil
}

// Announce implements apiv1.Jobs.
func (d Directory) Announce(_ context.Context, r *apiv1.JobsAnnounceRequest) (*apiv1.JobsAnnounceResponse, error) {
	if err := d.client.Announced(r); err != nil {
		return nil, twirp.InvalidArgumentError("addresses", err.Error())
	}
	return &apiv1.JobsAnnounceResponse{}, nil
}

// Read implements apiv1.Jobs.
func (d Directory) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{Unconfirmed: true}, nil
}

// Report implements apiv1.Jobs.
func (d Directory) Report(context.Context, *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	return &apiv1.JobsReportResponse{NotLeader: true}, nil
}

// Orders implements apiv1.Jobs.
func (d Directory) Orders(context.Context, *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	return &apiv1.JobsOrdersResponse{NotLeader: true}, nil
}

// Propose implements apiv1.Control.
func (d Directory) Propose(context.Context, *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	return &apiv1.ProposeResponse{NotLeader: true}, nil
}

// Renew implements apiv1.Control. The response names no leader.
func (d Directory) Renew(context.Context, *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return &apiv1.RenewResponse{}, nil
}

// Heartbeat implements apiv1.Control. It is not supported, because agents send heartbeats to
// entries.
func (d Directory) Heartbeat(context.Context, *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host does not accept agent heartbeats")
}

// Sync implements apiv1.Control. It is not supported, because only entries exchange announcements.
func (d Directory) Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host is not an entry")
}
