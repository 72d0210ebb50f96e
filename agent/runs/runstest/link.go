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

// ErrCut is what an agent gets from a link that is cut, or from a host that does not lead.
var ErrCut = errors.New("cut off")

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
	// HeldUp says whether the network holds a report up; cut says that the link is cut.
	// Late is how long after the cut it arrives.
	HeldUp func(r *apiv1.JobsReportRequest, cut bool) bool
	Late   func() time.Duration
	// OrdersWait is how long a call for orders is held.
	OrdersWait time.Duration
	// OnReport is told of each report that goes over the link; may be nil.
	OnReport func(*apiv1.JobsReportRequest)

	mu sync.Mutex
	// cut holds what the agent reports; oneWay lets it ask for orders meanwhile.
	cut, oneWay bool
	// found: the agent has found the leader; calls for orders don't look for it.
	found bool
}

// SetCut cuts the link or mends it.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// SetOneWay says whether a cut holds reports only.
func (l *Link) SetOneWay(oneWay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oneWay = oneWay
}

// IsCut reports whether reports are held.
func (l *Link) IsCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) ordersCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut && !l.oneWay
}

// Forget makes the agent one that was just started: it has yet to find the leader.
func (l *Link) Forget() { l.setFound(false) }

func (l *Link) setFound(found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found = found
}

func (l *Link) hasFound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found
}

// Report implements runs.Leader.
func (l *Link) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	cut := l.IsCut()
	held := l.HeldUp(r, cut)
	if held {
		l.holdUp(proto.CloneOf(r))
	}
	if cut || held {
		<-ctx.Done()
		return nil, ErrCut
	}
	if l.OnReport != nil {
		l.OnReport(proto.CloneOf(r))
	}
	resp, err := l.Leader().Report(ctx, r)
	if err != nil || resp.NotLeader || l.IsCut() {
		return nil, ErrCut
	}
	l.setFound(true)
	return resp, nil
}

// holdUp delivers a report once the cut is over, as a network does with what it was sent
// before; its sender has given it up by then.
func (l *Link) holdUp(r *apiv1.JobsReportRequest) {
	late := l.Late()
	ctx := l.Context()
	l.Go(func() {
		for l.IsCut() && ctx.Err() == nil {
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
	if l.ordersCut() {
		return nil, ErrCut
	}
	resp, err := l.askForOrders(ctx, &apiv1.JobsOrdersRequest{Worker: worker})
	if err == nil {
		l.setFound(true)
	}
	return resp, err
}

// HostLease implements runs.Leader.
func (l *Link) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	if l.ordersCut() {
		return nil, ErrCut
	}
	return l.askForOrders(ctx, &apiv1.JobsOrdersRequest{Host: host})
}

// Orders implements runs.Leader.
func (l *Link) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	if l.ordersCut() || !l.hasFound() {
		return nil, ErrCut
	}
	r.WaitMs = l.OrdersWait.Milliseconds()
	resp, err := l.askForOrders(ctx, r)
	if err != nil {
		l.setFound(false)
	}
	return resp, err
}

func (l *Link) askForOrders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.Leader().Orders(ctx, r)
	if err != nil || resp.NotLeader || l.ordersCut() {
		return nil, ErrCut
	}
	return resp, nil
}
