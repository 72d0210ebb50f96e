package entry

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// revokeRetryInterval is the time from a failed revocation to its retry.
const revokeRetryInterval = 5 * time.Millisecond

// revoke queries an agent for the outcome of an attempt and prevents the attempt from running later.
//
// The attempt's connection has often just failed, and the client may reuse another one that is
// about to fail in the same way: the revocation then fails although the agent is reachable, and a
// request that could have been answered would end as "unknown". Revocations are idempotent, so
// revoke retries until the context ends.
func revoke(ctx context.Context, client apiv1.Agent, req *apiv1.RevokeRequest) (*apiv1.RevokeResponse, error) {
	for {
		resp, err := client.Revoke(ctx, req)
		if err == nil {
			return resp, nil
		}
		if !sleepContext(ctx, revokeRetryInterval) {
			return nil, err
		}
	}
}
