// Package runstest provides a simulated network between an agent and the leader.
package runstest

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ErrUnreachable is returned to an agent by a partitioned link, or for a host that is not the
// leader.
var ErrUnreachable = errors.New("leader is unreachable")

// Leader is the leader's side of a link; *dispatch.Dispatcher implements it.
type Leader interface {
	Report(context.Context, *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error)
	Orders(context.Context, *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error)
}

// pollInterval is the time between two checks whether a partition has ended.
const pollInterval = 50 * time.Millisecond

// Link implements runs.Leader over a network that may be partitioned, and that may delay reports
// and deliver them after their sender abandoned them.
type Link struct {
	// Leader returns the current leader.
	Leader func() Leader
	// Context bounds the deliveries of delayed reports, Go starts them, and Sleep waits for their
	// delay.
	Context func() context.Context
	Go      func(func())
	Sleep   func(time.Duration)
	// DelaysReport reports whether the network delays a report; partitioned reports whether the link
	// is partitioned. DeliveryDelay returns the time from the end of the partition to the
	// delivery.
	DelaysReport  func(r *apiv1.JobsReportRequest, partitioned bool) bool
	DeliveryDelay func() time.Duration
	// OrdersWait is how long a call for orders waits for new ones.
	OrdersWait time.Duration
	// OnReport is called with each report that the link delivers at once; may be nil.
	OnReport func(*apiv1.JobsReportRequest)

	mu sync.Mutex
	// partitioned blocks reports and calls for orders; reportsOnly lets calls for orders through.
	partitioned, reportsOnly bool
	// leaderFound: the agent has found the leader, which calls for orders do not look for.
	leaderFound bool
}

// SetPartitioned partitions the link or restores it.
func (l *Link) SetPartitioned(partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = partitioned
}

// SetReportsOnly sets whether a partition blocks reports only.
func (l *Link) SetReportsOnly(reportsOnly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportsOnly = reportsOnly
}

// IsPartitioned reports whether the link blocks reports.
func (l *Link) IsPartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned
}

func (l *Link) ordersBlocked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned && !l.reportsOnly
}

// ForgetLeader resets the link to that of a newly started agent, which has yet to find the
// leader.
func (l *Link) ForgetLeader() { l.setLeaderFound(false) }

func (l *Link) setLeaderFound(found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderFound = found
}

func (l *Link) hasFoundLeader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderFound
}

// Report implements runs.Leader.
func (l *Link) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	partitioned := l.IsPartitioned()
	delayed := l.DelaysReport(r, partitioned)
	if delayed {
		l.delayReport(proto.CloneOf(r))
	}
	if partitioned || delayed {
		<-ctx.Done()
		return nil, ErrUnreachable
	}
	if l.OnReport != nil {
		l.OnReport(proto.CloneOf(r))
	}
	resp, err := l.Leader().Report(ctx, r)
	if err != nil || resp.NotLeader || l.IsPartitioned() {
		return nil, ErrUnreachable
	}
	l.setLeaderFound(true)
	return resp, nil
}

// delayReport delivers a report once the partition has ended, as a network may do with what it
// accepted earlier. The sender has abandoned the report before that.
func (l *Link) delayReport(r *apiv1.JobsReportRequest) {
	delay := l.DeliveryDelay()
	ctx := l.Context()
	l.Go(func() {
		for l.IsPartitioned() && ctx.Err() == nil {
			l.Sleep(pollInterval)
		}
		l.Sleep(delay)
		if ctx.Err() == nil {
			_, _ = l.Leader().Report(ctx, r) // No caller waits for the response any more.
		}
	})
}

// CurrentOrders implements runs.Leader.
func (l *Link) CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error) {
	if l.ordersBlocked() {
		return nil, ErrUnreachable
	}
	resp, err := l.requestOrders(ctx, &apiv1.JobsOrdersRequest{Worker: worker})
	if err == nil {
		l.setLeaderFound(true)
	}
	return resp, err
}

// HostLease implements runs.Leader.
func (l *Link) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	if l.ordersBlocked() {
		return nil, ErrUnreachable
	}
	return l.requestOrders(ctx, &apiv1.JobsOrdersRequest{Host: host})
}

// Orders implements runs.Leader.
func (l *Link) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	if l.ordersBlocked() || !l.hasFoundLeader() {
		return nil, ErrUnreachable
	}
	r.WaitMs = l.OrdersWait.Milliseconds()
	resp, err := l.requestOrders(ctx, r)
	if err != nil {
		l.setLeaderFound(false)
	}
	return resp, err
}

func (l *Link) requestOrders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.Leader().Orders(ctx, r)
	if err != nil || resp.NotLeader || l.ordersBlocked() {
		return nil, ErrUnreachable
	}
	return resp, nil
}
