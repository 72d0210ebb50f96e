package runs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// fencingWorker answers the first stop after a delay, as fenced.
type fencingWorker struct {
	*fakes.RunWorker
	stops atomic.Int64
}

const fencedAnswerDelay = 200 * time.Millisecond

func (w *fencingWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	if w.stops.Add(1) == 1 {
		time.Sleep(fencedAnswerDelay)
		return runs.AnswerFenced, nil
	}
	return w.RunWorker.Stop(ctx, o, id)
}

// promptLeader answers calls for orders as soon as there are new ones.
type promptLeader struct{ *leader }

func (l promptLeader) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	for ctx.Err() == nil {
		l.mu.Lock()
		orders := l.orders
		l.mu.Unlock()
		if r.Term != orders.Term || r.Sequence != orders.Sequence {
			return orders, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, ctx.Err()
}

// Guards against a run that is never stopped because the worker's refusal of the stop arrived
// after the orders of the next leader.
func TestFencedStopIsRetriedUnderNextTerm(t *testing.T) {
	for name, nextLeaderAfter := range map[string]time.Duration{
		"next leader before the answer": fencedAnswerDelay / 2, "next leader after the answer": 2 * fencedAnswerDelay,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				orders := func(term, sequence uint64) *apiv1.JobsOrdersResponse {
					return &apiv1.JobsOrdersResponse{
						Term: term, Sequence: sequence, Epoch: 1, Stops: []*apiv1.StopOrder{{Task: firstTask.Ref(), Run: 1}},
					}
				}
				l := &leader{epoch: 1, orders: orders(term, 1)}
				watch := fakes.NewRunChecker()
				watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
				w := &fencingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
				d := runs.New(runs.Options{Worker: w, Leader: promptLeader{l}})
				defer runDriver(d)()
				announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
				for w.stops.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(nextLeaderAfter)
				l.update(func() { l.orders = orders(term+1, 1) })
				time.Sleep(30 * time.Second)
				if n := w.stops.Load(); n < 2 {
					t.Errorf("%d stop calls in 30 s, and the worker refused the first", n)
				}
			})
		})
	}
}
