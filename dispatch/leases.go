package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// leaseTable tracks the workers' leases on the leader.
//
// An agent counts a lease from the time when it sends its report. The leader counts it from the
// time when it handles the report, which is later, and adds a bound on the clocks' rate error. So
// the worker has always stopped its runs before the leader counts them as lost. The leader renews a
// lease before it confirms that it still leads and grants it only after that, so a lease that a
// deposed leader grants was renewed before its successor started counting.
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
	// reported is set by the first report; before that, nothing is known of the worker.
	reported bool
	// expiring means that a plan that marks the worker's runs lost, or the departure of the worker, is
	// being committed. The lease must not be renewed until the outcome is known.
	expiring bool
	// inDoubt means that this commit has failed and may still take effect.
	inDoubt bool
	// epoch is the worker's epoch when that was decided, 0 if the log did not contain the worker.
	epoch uint64
	// returning counts the reports being committed that return starts, by session. The lease must not
	// be granted to another session meanwhile: it could carry out these starts.
	returning map[uint64]int
	// expired means that the runs were marked lost; the next report makes the worker usable again.
	expired bool
	// duration is the duration of the last grant.
	duration time.Duration
	// capacityAnnouncedAt is when the worker announced the capacity that was last reported.
	capacityAnnouncedAt time.Time
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

// renew restarts a worker's lease at now for a session and returns its duration, false while the lease
// must not be renewed. A bound above 0 is the longest lease that the agent promises to use, for
// earlier grants too.
func (t *leaseTable) renew(worker string, session uint64, now time.Time, bound time.Duration) (time.Duration, bool) {
	l := t.get(worker)
	if l.expiring || len(l.returning) > 1 || len(l.returning) == 1 && l.returning[session] == 0 {
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

// beginReturn records that a report of a session that returns starts is being committed.
func (t *leaseTable) beginReturn(worker string, session uint64) {
	l := t.get(worker)
	if l.returning == nil {
		l.returning = map[uint64]int{}
	}
	l.returning[session]++
}

// finishReturn records that such a commit has ended.
func (t *leaseTable) finishReturn(worker string, session uint64) {
	l := t.get(worker)
	l.returning[session]--
	if l.returning[session] == 0 {
		delete(l.returning, session)
	}
}

// expire returns the workers whose leases have certainly expired, and marks them as expiring.
func (t *leaseTable) expire(workers []*jobqueue.Worker, now time.Time) []string {
	var ids []string
	for _, w := range workers {
		l := t.get(w.Spec.Id)
		wait := l.duration + l.duration*clockRateErrorPPM/1_000_000 + leaseMargin
		// A run that was decided before an expiry and committed after it can't have begun, since
		// its start needs a lease that is granted after the expiry.
		overdue := now.Sub(l.renewedAt) > wait && !l.expired || l.expired && len(w.Runs) > 0
		if l.expiring || !overdue {
			continue
		}
		t.beginExpiry(w)
		ids = append(ids, w.Spec.Id)
	}
	return ids
}

// beginExpiry marks a worker's lease as expiring, and returns false if it is already.
func (t *leaseTable) beginExpiry(w *jobqueue.Worker) bool { return t.beginEnd(w.Spec.Id, w.Epoch) }

// beginEnd does the same for a worker that the log may not contain.
func (t *leaseTable) beginEnd(worker string, epoch uint64) bool {
	l := t.get(worker)
	if l.expiring {
		return false
	}
	l.expiring, l.epoch = true, epoch
	return true
}

// settleExpiries ends the expiries and departures whose commits were in doubt, according to their
// outcome. The leases of plans that were not applied can expire again.
func (t *leaseTable) settleExpiries(worker func(id string) *jobqueue.Worker) {
	for id, l := range t.byWorker {
		if !l.inDoubt {
			continue // A commit in progress may follow the one that settled the others.
		}
		w := worker(id)
		l.expiring, l.inDoubt = false, false
		l.expired = w == nil || w.Departed || w.Epoch != l.epoch
	}
}

// recordDoubt records that the outcome of an expiry or departure is unknown.
func (t *leaseTable) recordDoubt(worker string) {
	t.get(worker).inDoubt = true
}

// finishExpiry ends an expiry or a departure that is committed.
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
