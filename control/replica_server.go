package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ReplicaServer implements the part of the Control service that a host without an entry provides:
// it accepts commands and worker heartbeats for its replica.
type ReplicaServer struct{ Replica *Replica }

var _ apiv1.Control = ReplicaServer{}

// Propose implements apiv1.Control.
func (s ReplicaServer) Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	return s.Replica.ServePropose(ctx, r)
}

// Renew implements apiv1.Control.
func (s ReplicaServer) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return s.Replica.ServeRenew(ctx, r)
}

// Heartbeat implements apiv1.Control. It always fails, because agents send their heartbeats to
// entries.
func (s ReplicaServer) Heartbeat(context.Context, *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host has no entry and accepts no agent heartbeats")
}

// Sync implements apiv1.Control. It always fails, because only entries exchange announcements.
func (s ReplicaServer) Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host has no entry")
}
