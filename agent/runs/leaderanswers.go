package runs

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// leaderAnswers passes calls on to the leader and records when it last answered one.
type leaderAnswers struct {
	leader Leader
	now    func() time.Time

	mu   sync.Mutex
	last time.Time
}

// since reports whether a leader has answered at a given time or later.
func (l *leaderAnswers) since(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.last.IsZero() && !l.last.Before(t)
}

func (l *leaderAnswers) record(err error) {
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = l.now()
}

// Report implements Leader.
func (l *leaderAnswers) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	resp, err := l.leader.Report(ctx, r)
	l.record(err)
	return resp, err
}

// Orders implements Leader.
func (l *leaderAnswers) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.leader.Orders(ctx, r)
	l.record(err)
	return resp, err
}

// CurrentOrders implements Leader.
func (l *leaderAnswers) CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.leader.CurrentOrders(ctx, worker)
	l.record(err)
	return resp, err
}

// HostLease implements Leader.
func (l *leaderAnswers) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.leader.HostLease(ctx, host)
	l.record(err)
	return resp, err
}
