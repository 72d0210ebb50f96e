package runs_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// unreadableEndWorker has an end that can't be read: the one with the sequence number in unreadable.
type unreadableEndWorker struct {
	*fakes.RunWorker
	unreadable atomic.Uint64
}

func (w *unreadableEndWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	s, a, err := w.RunWorker.Renew(ctx, o, r)
	unreadable := w.unreadable.Load()
	for i, e := range s.Ended {
		if e.Sequence == unreadable {
			s.Ended, s.Partial, s.EndsAfterUnreadable = slices.Delete(s.Ended, i, i+1), true, len(s.Ended)-i-1
			break
		}
	}
	return s, a, err
}

// withUnreadableEnd runs three tasks that succeed, of which the end of the first can't be read.
func withUnreadableEnd(t *testing.T, f func(*leader, *unreadableEndWorker)) {
	orders := &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}
	for i := range uint32(3) {
		task := jobqueue.TaskID{Job: firstTask.Job, Index: i}
		orders.Starts = append(orders.Starts, &apiv1.StartOrder{Task: task.Ref(), Run: 1})
	}
	synctest.Test(t, func(t *testing.T) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: firstTask.Job, Steps: []*apiv1.JobStep{{Count: 3}}})
		w := &unreadableEndWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Duration = func(id jobqueue.TaskID) time.Duration { return time.Duration(500+100*id.Index) * time.Millisecond }
		w.unreadable.Store(1)
		l := &leader{epoch: 1, orders: orders}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		f(l, w)
	})
}

func (l *leader) reportCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reports)
}

// reportedEnds returns the sequence numbers of the ends that an agent reported.
func (l *leader) reportedEnds() map[uint64]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := map[uint64]bool{}
	for _, r := range l.reports {
		for _, e := range r.Ends {
			ends[e.Sequence] = true
		}
	}
	return ends
}

// Guards against a task that runs again after it succeeded: its end could not be read at first, and
// the worker discarded it because a later end was acknowledged.
func TestEndIsReportedOnceItCanBeRead(t *testing.T) {
	withUnreadableEnd(t, func(l *leader, w *unreadableEndWorker) {
		time.Sleep(2 * time.Second)
		w.unreadable.Store(0)
		time.Sleep(2 * time.Second)
		if ends := l.reportedEnds(); !ends[1] || !ends[2] || !ends[3] {
			t.Errorf("the reported ends are %v, want 1 to 3", ends)
		}
	})
}

// Guards against a task that runs again after it succeeded: its end counts as one that stays unreadable,
// since another one could not be read before.
func TestEndsThatCantBeReadInTurnAreReported(t *testing.T) {
	withUnreadableEnd(t, func(l *leader, w *unreadableEndWorker) {
		time.Sleep(2 * time.Second)
		w.unreadable.Store(2)
		time.Sleep(1500 * time.Millisecond)
		w.unreadable.Store(0)
		time.Sleep(2 * time.Second)
		if ends := l.reportedEnds(); !ends[1] || !ends[2] || !ends[3] {
			t.Errorf("the reported ends are %v, want 1 to 3", ends)
		}
	})
}

// Guards against a task that runs again after it succeeded: its end counts as one that stays unreadable
// after the few statuses that were requested while reports got no response.
func TestEndUnreadableInFewStatusesIsReported(t *testing.T) {
	for _, hang := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second} {
		t.Run(hang.String(), func(t *testing.T) {
			withUnreadableEnd(t, func(l *leader, w *unreadableEndWorker) {
				time.Sleep(300 * time.Millisecond)
				l.update(func() { l.reportsHang = true })
				time.Sleep(hang)
				l.update(func() { l.reportsHang = false })
				for before := l.reportCount(); l.reportCount() == before; {
					time.Sleep(10 * time.Millisecond)
				}
				w.unreadable.Store(0)
				time.Sleep(3 * time.Second)
				if ends := l.reportedEnds(); !ends[1] || !ends[2] || !ends[3] {
					t.Errorf("the reported ends are %v, want 1 to 3", ends)
				}
			})
		})
	}
}

// Guards against ends that are never reported because an earlier one can never be read.
func TestUnreadableEndHoldsOthersBackForLimitedTime(t *testing.T) {
	withUnreadableEnd(t, func(l *leader, _ *unreadableEndWorker) {
		time.Sleep(5 * time.Second)
		if ends := l.reportedEnds(); !ends[2] || !ends[3] {
			t.Errorf("the reported ends are %v, want 2 and 3", ends)
		}
	})
}
