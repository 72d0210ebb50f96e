// Package runstest holds a stand-in for the network between an agent and the leader.
package runstest

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ErrUnreachable is what an agent gets from a link that is cut, or from a host that does not lead.
var ErrUnreachable = errors.New("cut off")

// Leader is the leader's side of a link; *dispatch.Dispatcher implements it.
type Leader interface {
	Report(context.Context, *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error)
	Orders(context.Context, *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error)
}

// pollInterval is the time between two looks whether a cut is over.
const pollInterval = 50 * time.Millisecond

// Link implements runs.Leader over a network that may be cut, and that may hold reports up
// and deliver them after their sender gave them up.
type Link struct {
	// Leader returns whoever leads now.
	Leader func() Leader
	// Context bounds the deliveries of what was held up, Go starts them, and Sleep passes
	// their time.
	Context func() context.Context
	Go      func(func())
	Sleep   func(time.Duration)
	// DelaysReport says whether the network holds a report up; cut says that the link is cut.
	// Late is how long after the cut it arrives.
	DelaysReport  func(r *apiv1.JobsReportRequest, cut bool) bool
	DeliveryDelay func() time.Duration
	// OrdersWait is how long a call for orders is held.
	OrdersWait time.Duration
	// OnReport is told of each report that goes over the link; may be nil.
	OnReport func(*apiv1.JobsReportRequest)

	mu sync.Mutex
	// partitioned holds what the agent reports; reportsOnly lets it ask for orders meanwhile.
	partitioned, reportsOnly bool
	// leaderFound: the agent has found the leader; calls for orders don't look for it.
	leaderFound bool
}

// SetPartitioned cuts the link or mends it.
func (l *Link) SetPartitioned(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = cut
}

// SetReportsOnly says whether a cut holds reports only.
func (l *Link) SetReportsOnly(oneWay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportsOnly = oneWay
}

// IsPartitioned reports whether reports are held.
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

// ForgetLeader makes the agent one that was just started: it has yet to find the leader.
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
	cut := l.IsPartitioned()
	held := l.DelaysReport(r, cut)
	if held {
		l.delayReport(proto.CloneOf(r))
	}
	if cut || held {
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

// delayReport delivers a report once the cut is over, as a network does with what it was sent
// before; its sender has given it up by then.
func (l *Link) delayReport(r *apiv1.JobsReportRequest) {
	late := l.DeliveryDelay()
	ctx := l.Context()
	l.Go(func() {
		for l.IsPartitioned() && ctx.Err() == nil {
			l.Sleep(pollInterval)
		}
		l.Sleep(late)
		if ctx.Err() == nil {
			_, _ = l.Leader().Report(ctx, r) // Nobody waits for the answer any more.
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
