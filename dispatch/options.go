package dispatch

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Replica is the control group's replica on this host; *control.Replica implements it.
type Replica interface {
	// ProposeLocal commits a command if this replica leads.
	ProposeLocal(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Barrier returns once everything that was committed before the call is applied here. On a
	// leader, success confirms that it still led after the call.
	Barrier(ctx context.Context) error
	Leading() (term uint64, ok bool)
	LeaderAddress() string
	ReadState(func(*state.Machine))
}

// Options configure a Dispatcher. Zero values select the defaults.
type Options struct {
	Replica Replica
	// Members returns the addresses of the control group.
	Members func() []string
	// OnDirectory is called with the address of each directory that requests the members, and
	// OnAnnounced with each announcement of the group to this host. They must not block.
	OnDirectory func(address string)
	OnAnnounced func(*apiv1.JobsAnnounceRequest) error
	// Advisor decides which workers may run the steps of advised queues. Without an advisor, the
	// steps of these queues wait.
	Advisor Advisor
	// Hosts takes hosts down for their maintenance and moves them between pools. Without it, waves
	// wait and no host is moved.
	Hosts Hosts
	// LeaseDuration is how long a worker may keep running after its agent's last report. With a
	// short lease, lost work is restarted sooner; a long lease survives elections and agents that
	// are down for a while.
	LeaseDuration time.Duration
	// ContactTimeout is the time after a worker's last report from which on it gets no new work.
	ContactTimeout time.Duration
	// MaxCapacityAge is the age of a worker's announcement of its capacity from which on the worker
	// gets no new work; 0 means none.
	MaxCapacityAge time.Duration
	// Admission is how the leader decides on submitted jobs; empty means admission.Off. It needs
	// control.Config.SubmitJob to call the dispatcher's SubmitJob.
	Admission admission.Mode
	// JobMemoryLimit bounds the estimated memory of the stored jobs in bytes; the leader refuses further ones.
	// 0 means 1 GiB. It needs control.Config.SubmitJob, too.
	JobMemoryLimit int64
	// WorkerRates is whether workers are rated by the progress of their runs, and stragglers on slow
	// workers are moved or copied.
	WorkerRates bool
	// MaxInterference is how long backfill tasks may keep the tail latency of a serving task beside them over
	// its objective; 0 means 4 s.
	MaxInterference time.Duration
	Logger          *zap.Logger
	Metrics         metrics.Registry
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}
