package runs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// successiveLeaders is a leader that is replaced once, and each time accepts only reports of sessions
// whose number it issued.
type successiveLeaders struct {
	*leader
	term       atomic.Uint64
	rejectedAt atomic.Pointer[time.Time]
	acceptedAt atomic.Pointer[time.Time]
	departed   atomic.Bool
}

func newSuccessiveLeaders() *successiveLeaders {
	l := &successiveLeaders{leader: &leader{epoch: 1, orders: idleOrders()}}
	l.term.Store(term)
	return l
}

func (l *successiveLeaders) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	now, current := time.Now(), l.term.Load()
	if r.SessionTerm != current {
		l.rejectedAt.CompareAndSwap(nil, &now)
		return &apiv1.JobsReportResponse{Term: current, Outcome: apiv1.JobOutcome_JOB_OUTCOME_STALE, SessionSuperseded: true}, nil
	}
	if l.rejectedAt.Load() != nil {
		l.acceptedAt.CompareAndSwap(nil, &now)
	}
	if r.Departed {
		l.departed.Store(true)
	}
	resp, err := l.leader.Report(ctx, r)
	if err == nil {
		resp.Term = current
	}
	return resp, err
}

func (l *successiveLeaders) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	resp, err := l.leader.HostLease(ctx, host)
	if err == nil {
		resp.Term, resp.SessionNumber = l.term.Load(), 1
	}
	return resp, err
}

// Guards against a worker that each new leader counts as unreachable for half a second, because it
// rejects the first report of the worker's session.
func TestReportIsRepeatedAtOnceForNewLeader(t *testing.T) {
	l := newSuccessiveLeaders()
	withDriver(t, l, func(*runs.Driver, *countingWorker) {
		time.Sleep(2 * time.Second)
		l.term.Add(1)
		time.Sleep(2 * time.Second)
		rejected, accepted := l.rejectedAt.Load(), l.acceptedAt.Load()
		if rejected == nil || accepted == nil || !accepted.Equal(*rejected) {
			t.Errorf("rejected at %v, accepted at %v", rejected, accepted)
		}
	})
}

// Guards against runs that stay assigned to a worker that has left, because a new leader rejected the
// report of its departure.
func TestDepartureIsRepeatedForNewLeader(t *testing.T) {
	l := newSuccessiveLeaders()
	withDriver(t, l, func(d *runs.Driver, _ *countingWorker) {
		time.Sleep(previousCallsExpired)
		l.term.Add(1)
		d.Depart("w1")
		time.Sleep(2 * time.Second)
		if !l.departed.Load() {
			t.Error("the departure is not reported")
		}
	})
}
