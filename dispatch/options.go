package dispatch

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Replica is the control group's replica on this host; *control.Replica
// implements it.
type Replica interface {
	// ProposeLocal commits a command if this replica leads.
	ProposeLocal(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Barrier returns once everything committed before the call is applied here;
	// on a leader, success proves that it still led after the call.
	Barrier(ctx context.Context) error
	Leading() (term uint64, ok bool)
	LeaderAddress() string
	ReadState(func(*state.Machine))
}

// Options set up a Dispatcher. Values of zero take the defaults.
type Options struct {
	Replica Replica
	// Members returns the addresses of the control group.
	Members func() []string
	// Advisor says which workers may run the steps of advised queues; without one,
	// these queues wait.
	Advisor Advisor
	// Hosts takes hosts down for their maintenance and moves them between pools; without
	// it, waves wait and nothing moves.
	Hosts Hosts
	// LeaseDuration is how long a worker may run on after its agent's last report.
	// A short lease hands lost work on sooner, a long one survives elections and
	// agents that are down for a while.
	LeaseDuration time.Duration
	// ContactTimeout is how long after its last report a worker gets no new work.
	ContactTimeout time.Duration
	Logger         *zap.Logger
	Metrics        metrics.Registry
	// Now reads the clock; time.Now when unset.
	Now func() time.Time
}
