// Package cordon receives operators' orders to cordon and uncordon availability zones, and to hold and
// release queues. Nothing starts in a cordoned zone or of a held queue; what runs there continues.
// It also receives the orders to put a job before the others of its priority.
//
// An order has no number, so a copy of it that was held up must not take effect after a later order was
// acknowledged. A receiver reads the revision of the zone or queue after it has received the order, and the replicated
// state accepts the order at that revision only: whatever is accepted in between makes it void. That
// covers the time from the read on, with retries, forwarders and changes of leader. Before the read, an
// order is discarded if it is older than its sender waits for an answer: by its age here, by a pause of
// the process in which it may have waited in a buffer, and if its sender has closed the connection.
package cordon

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	// callerPatience is how long operators wait for an answer before they send the order to another
	// host.
	callerPatience = time.Second
	// maxOrderAge is the age of an order from which on it is discarded instead of proposed.
	maxOrderAge = 500 * time.Millisecond
	retryAfter  = time.Second
)

// Log is the control group as a receiver uses it; *jobclient.Client implements it.
type Log interface {
	Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error)
	SetCordon(ctx context.Context, c *apiv1.SetCordon) (apiv1.JobOutcome, error)
	SetQueueHold(ctx context.Context, o *apiv1.SetQueueHold) (apiv1.JobOutcome, error)
	Prioritize(ctx context.Context, id, operator string) (apiv1.JobOutcome, error)
}

// Order is an operator's order about an availability zone.
type Order struct {
	Zone     string
	Cordoned bool
	// Operator is the sender as far as it is known.
	Operator string
}

// Options configure a Receiver. Zero values select the defaults.
type Options struct {
	Log Log
	// Zones are the availability zones that the settings name, in addition to those with workers.
	Zones   []string
	Logger  *zap.Logger
	Metrics metrics.Registry
	// Now reads a clock that goes on while the host is suspended; the default is the boot clock.
	Now func() time.Duration
}

// Receiver receives orders and has them committed.
type Receiver struct {
	opts               Options
	logger             *zap.Logger
	pauses             *pauses
	accepted, rejected metrics.Counter
	cordoned           metrics.Gauge
	// holdsAccepted and holdsRejected count the orders about queues.
	holdsAccepted, holdsRejected metrics.Counter
}

// NewReceiver returns a receiver. Run must be called for it to notice pauses.
func NewReceiver(o Options) *Receiver {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = worker.Now
	}
	return &Receiver{
		opts: o, logger: event.Operator.Named(o.Logger), pauses: newPauses(o.Now),
		accepted: metrics.GetOrRegisterCounter("zones.orders_accepted", o.Metrics),
		rejected: metrics.GetOrRegisterCounter("zones.orders_rejected", o.Metrics),
		cordoned: metrics.GetOrRegisterGauge("zones.cordoned", o.Metrics),

		holdsAccepted: metrics.GetOrRegisterCounter("queues.orders_accepted", o.Metrics),
		holdsRejected: metrics.GetOrRegisterCounter("queues.orders_rejected", o.Metrics),
	}
}

// Run watches for pauses of the process until ctx ends.
func (r *Receiver) Run(ctx context.Context) { r.pauses.run(ctx) }

// OrderZone has an order committed. ctx must end when the sender of the order closes its connection.
// The outcome is OK, NO_ZONE, INVALID or SUPERSEDED; errors are those of Log.SetCordon.
func (r *Receiver) OrderZone(ctx context.Context, o Order) (apiv1.JobOutcome, error) {
	outcome, zones, err := r.order(ctx, o)
	if err != nil || outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		r.rejected.Inc(1)
		event.CordonRefused.Write(r.logger, event.AvailabilityZone(o.Zone), event.Cordoned(o.Cordoned), event.OrderedBy(o.Operator),
			event.OrderOutcome(outcome), event.Err(err))
		return outcome, err
	}
	r.accepted.Inc(1)
	event.CordonAccepted.Write(r.logger, event.AvailabilityZone(o.Zone), event.Cordoned(o.Cordoned), event.OrderedBy(o.Operator))
	r.reviewZones(zones, o)
	return outcome, nil
}

func (r *Receiver) order(ctx context.Context, o Order) (apiv1.JobOutcome, []*apiv1.ZoneRecord, error) {
	received := r.opts.Now()
	if jobqueue.ValidateZoneName(o.Zone) != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID, nil, nil
	}
	resp, err := r.read(ctx, apiv1.JobsReadKind_JOBS_READ_KIND_ZONES)
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, nil, unavailable(err.Error())
	}
	zones := resp.Zones
	zone, known := r.find(zones, o.Zone)
	if !known {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE, nil, nil
	}
	if why := r.outdated(ctx, received); why != "" {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, nil, unavailable(why)
	}
	outcome, err := r.opts.Log.SetCordon(ctx, &apiv1.SetCordon{
		Zone: o.Zone, Cordoned: o.Cordoned, ReadRevision: zone.GetCordon().GetRevision(), Operator: o.Operator,
	})
	return outcome, zones, err
}

// read reads zones or queues as they are after the call.
func (r *Receiver) read(ctx context.Context, kind apiv1.JobsReadKind) (*apiv1.JobsReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxOrderAge)
	defer cancel()
	return r.opts.Log.Read(ctx, &apiv1.JobsReadRequest{Kind: kind})
}

// find returns the record of a zone, nil if there is none, and whether the settings or the record know the
// zone.
func (r *Receiver) find(zones []*apiv1.ZoneRecord, name string) (zone *apiv1.ZoneRecord, known bool) {
	for _, z := range zones {
		if z.GetCordon().GetZone() == name {
			return z, true
		}
	}
	return nil, slices.Contains(r.opts.Zones, name)
}

// outdated returns why the sender may have given the order up, "" if it has not.
func (r *Receiver) outdated(ctx context.Context, received time.Duration) string {
	switch {
	case ctx.Err() != nil:
		return "the sender has gone"
	case r.opts.Now()-received > maxOrderAge:
		return "the order was held up here"
	case r.pauses.endedSince(received - callerPatience):
		return "this process was paused, the order may have waited in a buffer"
	}
	return ""
}

func unavailable(cause string) error {
	return &control.UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

// reviewZones counts the cordoned zones after an order, and warns if nothing can start anywhere.
func (r *Receiver) reviewZones(zones []*apiv1.ZoneRecord, o Order) {
	cordoned, open := 0, 0
	for _, z := range zones {
		isCordoned := z.GetCordon().GetCordoned()
		if z.GetCordon().GetZone() == o.Zone {
			isCordoned = o.Cordoned
		}
		switch {
		case isCordoned:
			cordoned++
		case z.Workers > 0:
			open++
		}
	}
	r.cordoned.Update(int64(cordoned))
	if cordoned > 0 && open == 0 {
		event.AllZonesCordoned.Write(r.logger, event.ZoneCount(cordoned))
	}
}
