package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ReplicaServer serves the part of the Control service that a host without an entry
// has: it takes commands and workers' heartbeats for its replica.
type ReplicaServer struct{ Replica *Replica }

var _ apiv1.Control = ReplicaServer{}

// Propose implements apiv1.Control.
func (p ReplicaServer) Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	return p.Replica.ServePropose(ctx, r)
}

// Renew implements apiv1.Control.
func (p ReplicaServer) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return p.Replica.ServeRenew(ctx, r)
}

// Heartbeat implements apiv1.Control; agents have entries for homes.
func (p ReplicaServer) Heartbeat(context.Context, *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host is no home of agents")
}

// Sync implements apiv1.Control; only entries exchange announcements.
func (p ReplicaServer) Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this host is no entry")
}
