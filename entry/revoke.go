package entry

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// revokeRetryInterval spaces the tries of a revocation.
const revokeRetryInterval = 5 * time.Millisecond

// revoke asks an agent what became of an attempt, and bars it from running later.
//
// The attempt's own connection has often just broken, and the client may reuse
// one that is about to break the same way: the question then fails although the
// agent is there, and a request that could have been answered would end as
// "unknown". Revoking twice changes nothing, so it is tried until the context ends.
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
