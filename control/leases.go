package control

import (
	"math"
	"time"
)

const (
	partsPerMillion = 1_000_000
	// stopMargin is how late a worker may be in ending a task whose deadline has passed, because a
	// timer fires late or a signal takes time to act.
	stopMargin = 250 * time.Millisecond
	// aliveDivisor divides the lease duration: a worker that renewed nothing for that part of the
	// lease gets no new tasks.
	aliveDivisor = 2
)

// leases is the leader's record of how long each worker may still run the tasks granted to it. It
// does no I/O; the caller passes the time.
//
// The leader must count each lease for longer than any holder does. Otherwise it would let the next
// attempt of a task start while the previous worker, partitioned or suspended, still runs the last
// one. Three rules ensure this.
//
// The holder counts the lease's duration D from when it sent its heartbeat, the leader from when it
// handled the heartbeat, which is later.
//
// Each clock's rate is off by at most e: the holder's D lasts up to D/(1-e), the leader's wait W at
// least W/(1+e). W is D(1+e)/(1-e), plus a margin for a worker that stops late, so the holder has
// stopped when the leader acts.
//
// A leader that was deposed without noticing may still receive renewals. It answers one only after
// a read barrier that it began after handling the renewal, and only if it led in the same term
// throughout. A majority therefore still followed it after the renewal was handled, so any later
// leader was elected after that, and that leader counts every lease from when it became ready,
// which is later still. This argument needs no clock: a leader that is suspended together with its
// clock for an hour has its barrier refused when it resumes. It does not depend on election
// timeouts, nor on the time until check-quorum makes a partitioned leader step down.
type leases struct {
	duration   time.Duration
	expiryWait time.Duration
	readyAt    time.Time
	byWorker   map[string]*lease
}

type lease struct {
	handledAt   time.Time
	incarnation uint64
	// expiring reports whether an Expire command for the worker's attempts is in flight. A renewal
	// in that time would let the worker continue attempts that are about to end.
	expiring bool
}

// leaderExpiryWait returns how long a leader must wait, by its own clock, before it may treat a
// lease of the given duration as expired.
func leaderExpiryWait(duration time.Duration, rateErrorPPM int64) time.Duration {
	e := float64(rateErrorPPM) / partsPerMillion
	w := float64(duration) * (1 + e) / (1 - e)
	return time.Duration(math.Ceil(w)) + stopMargin
}

// newLeases returns the lease table of a leader that became ready at readyAt. Every lease that a
// previous leader may have renewed is counted from then.
func newLeases(duration time.Duration, rateErrorPPM int64, readyAt time.Time) *leases {
	return &leases{
		duration:   duration,
		expiryWait: leaderExpiryWait(duration, rateErrorPPM),
		readyAt:    readyAt,
		byWorker:   map[string]*lease{},
	}
}

// renew restarts the worker's leases at now. It returns false if they are being expired or the
// incarnation is older than the recorded one.
func (l *leases) renew(worker string, incarnation uint64, now time.Time) bool {
	h := l.byWorker[worker]
	if h == nil {
		h = &lease{}
		l.byWorker[worker] = h
	}
	if h.expiring || incarnation < h.incarnation {
		return false
	}
	h.incarnation = incarnation
	h.handledAt = now
	return true
}

// expired reports whether every lease of the worker has certainly expired.
func (l *leases) expired(worker string, now time.Time) bool {
	return l.sinceRenewal(worker, now) > l.expiryWait
}

// alive reports whether the worker renewed recently enough to get new tasks.
func (l *leases) alive(worker string, now time.Time) bool {
	h := l.byWorker[worker]
	return h != nil && !h.expiring && now.Sub(h.handledAt) < l.duration/aliveDivisor
}

// sinceRenewal returns the time since the worker's last renewal in this term, or since the leader
// became ready if there was none.
func (l *leases) sinceRenewal(worker string, now time.Time) time.Duration {
	if h := l.byWorker[worker]; h != nil && h.handledAt.After(l.readyAt) {
		return now.Sub(h.handledAt)
	}
	return now.Sub(l.readyAt)
}

// forget drops a worker that is about to be removed from the state.
func (l *leases) forget(worker string) { delete(l.byWorker, worker) }

// beginExpiry blocks renewals of the worker's leases until endExpiry.
func (l *leases) beginExpiry(worker string) {
	h := l.byWorker[worker]
	if h == nil {
		h = &lease{}
		l.byWorker[worker] = h
	}
	h.expiring = true
}

func (l *leases) endExpiry(worker string) {
	if h := l.byWorker[worker]; h != nil {
		h.expiring = false
	}
}
