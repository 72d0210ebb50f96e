package jobclient

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const noReplica = "this host keeps no replica"

// Directory stands in for a replica on a control host that keeps none, as it has no
// disk. Other processes may have been told nothing but such hosts: they have to
// find the group through them, and must go on to the next host with everything
// else. So it tells the control hosts that its client knows, and answers any other
// call as a replica does that leads nothing and can confirm nothing: nothing was
// done. An error would not do, since after an error nobody knows whether a command
// was committed.
type Directory struct {
	client *Client
	// name is this host's in the control group's settings.
	name string
	// address is this host's own, which is never named: only a member of the group
	// names itself.
	address string
}

var (
	_ apiv1.Jobs    = Directory{}
	_ apiv1.Control = Directory{}
	_ apiv1.Quorum  = Directory{}
)

// NewDirectory returns the directory of a host with a name and an internal address.
func NewDirectory(client *Client, name, address string) Directory {
	return Directory{client: client, name: name, address: address}
}

// Identify implements apiv1.Quorum: an answer without an id says that there is no
// replica to wait for. Hosts that found a group would wait for ever without it.
func (d Directory) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	return &apiv1.IdentifyResponse{Name: d.name}, nil
}

// Join implements apiv1.Quorum.
func (d Directory) Join(context.Context, *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	return &apiv1.JoinResponse{NotLeader: true, Message: noReplica}, nil
}

// Deliver implements apiv1.Quorum.
func (d Directory) Deliver(context.Context, *apiv1.DeliverRequest) (*apiv1.DeliverResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, noReplica)
}

// Members implements apiv1.Jobs.
func (d Directory) Members(context.Context, *apiv1.JobsMembersRequest) (*apiv1.JobsMembersResponse, error) {
	others := slices.DeleteFunc(d.client.Addresses(), func(a string) bool { return a == d.address })
	return &apiv1.JobsMembersResponse{Addresses: others}, nil
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

// Renew implements apiv1.Control; the answer names no leader.
func (d Directory) Renew(context.Context, *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return &apiv1.RenewResponse{}, nil
}

// Heartbeat implements apiv1.Control; agents have entries for homes.
func (d Directory) Heartbeat(context.Context, *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host is no home of agents")
}

// Sync implements apiv1.Control; only entries exchange announcements.
func (d Directory) Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host is no entry")
}
