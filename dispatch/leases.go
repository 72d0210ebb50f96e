package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// leaseTable counts the workers' leases on the leader.
//
// An agent counts a lease from the sending of its report, the leader from the
// handling, which is later, and adds a bound on the clocks' rate error: so the
// worker has always stopped before the leader gives its runs up. The leader
// renews before it confirms that it still leads, and grants only after: so a
// lease that a deposed leader grants was renewed before its successor began to
// count.
type leaseTable struct {
	duration       time.Duration
	contactTimeout time.Duration
	startedAt      time.Time
	byWorker       map[string]*lease
}

type lease struct {
	renewedAt time.Time
	// number grows with each renewal.
	number uint64
	// reported is set by the first report; without one, nothing is known of the worker.
	reported bool
	// expiring: a plan that gives the worker's runs up is on its way into the log.
	// The lease must not be renewed until its fate is known.
	expiring bool
	// epoch is the worker's when that plan was made.
	epoch uint64
	// expired: the runs were given up; the next report makes the worker usable again.
	expired bool
	// duration is how long the lease was last granted for.
	duration time.Duration
}

func newLeaseTable(now time.Time, duration, contact time.Duration) *leaseTable {
	return &leaseTable{duration: duration, contactTimeout: contact, startedAt: now, byWorker: map[string]*lease{}}
}

func (t *leaseTable) get(worker string) *lease {
	l := t.byWorker[worker]
	if l == nil {
		l = &lease{renewedAt: t.startedAt, duration: t.duration}
		t.byWorker[worker] = l
	}
	return l
}

// renew counts a worker's lease from now on, and returns for how long; false while
// the lease must not be renewed. A bound above 0 is what the agent promises to hold
// at most, of earlier grants too.
func (t *leaseTable) renew(worker string, now time.Time, bound time.Duration) (time.Duration, bool) {
	l := t.get(worker)
	if l.expiring {
		return 0, false
	}
	l.duration = t.duration
	if bound > 0 {
		l.duration = min(t.duration, bound)
	}
	l.renewedAt = now
	l.number++
	l.reported = true
	l.expired = false
	return l.duration, true
}

// expire returns the workers whose lease surely ran out and marks them.
func (t *leaseTable) expire(workers []*jobqueue.Worker, now time.Time) []string {
	var expired []string
	for _, w := range workers {
		l := t.get(w.Spec.Id)
		wait := l.duration + l.duration*clockRateErrorPPM/1_000_000 + leaseMargin
		// A run that was decided before a lapse and committed after it can't have begun: its
		// start needs a lease that is granted after.
		overdue := now.Sub(l.renewedAt) > wait && !l.expired || l.expired && len(w.Runs) > 0
		if l.expiring || !overdue {
			continue
		}
		t.beginExpiry(w)
		expired = append(expired, w.Spec.Id)
	}
	return expired
}

// beginExpiry begins to give up the runs of a worker; false if that has begun already.
func (t *leaseTable) beginExpiry(w *jobqueue.Worker) bool {
	l := t.get(w.Spec.Id)
	if l.expiring {
		return false
	}
	l.expiring, l.epoch = true, w.Epoch
	return true
}

// settleExpiries ends the expiries whose plans were in doubt, by what became of them. Those that
// came to nothing are due again.
func (t *leaseTable) settleExpiries(worker func(id string) *jobqueue.Worker) {
	for id, l := range t.byWorker {
		if !l.expiring {
			continue
		}
		w := worker(id)
		l.expiring = false
		l.expired = w == nil || w.Epoch != l.epoch
	}
}

// finishExpiry ends an expiry that is committed.
func (t *leaseTable) finishExpiry(worker string) {
	l := t.get(worker)
	l.expiring = false
	l.expired = true
}

// reachable reports whether an order would reach the worker soon.
func (t *leaseTable) reachable(worker string, now time.Time) bool {
	l := t.byWorker[worker]
	return l != nil && l.reported && !l.expiring && !l.expired && now.Sub(l.renewedAt) < t.contactTimeout
}
