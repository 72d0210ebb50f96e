package control

import (
	"math"
	"time"
)

const (
	partsPerMillion = 1_000_000
	// stopMargin is how late a worker may be at ending a task whose deadline has
	// passed: a timer that fires late, a signal that takes its time.
	stopMargin = 250 * time.Millisecond
	// aliveDivisor divides a lease: after so long a silence nothing new is placed on
	// a worker.
	aliveDivisor = 2
)

// leases is the leader's count of how long each worker may still run what it was
// granted. It does no I/O; the caller passes the time.
//
// What goes wrong without it: the leader lets a task's next attempt start while
// the worker of the last one, cut off or frozen, still runs it. The leader has
// to count longer than any holder can. Three things make it so.
//
// The holder counts the lease's duration D from when it sent its heartbeat, the
// leader from when it handled it, which is later.
//
// Each clock's rate is off by at most e: the holder's D lasts up to D/(1-e), the
// leader's wait W at least W/(1+e). W = D(1+e)/(1-e), plus a margin for the
// worker's own lateness, so the holder has stopped when the leader acts.
//
// A leader that was deposed without knowing may still be asked for renewals.
// It answers one only after a read barrier that it began after handling it, and
// only if it led in the same term throughout. A majority therefore followed it
// after the renewal was handled, so any later leader was elected after that; and
// that leader counts every lease from when it was ready, which is later still.
// The proof needs no clock: a leader that is suspended, with its clock, for an
// hour finds its barrier refused when it wakes. Election timeouts and the time
// until check-quorum makes a cut-off leader step down do not enter into it.
type leases struct {
	duration   time.Duration
	expiryWait time.Duration
	readyAt    time.Time
	byWorker   map[string]*lease
}

type lease struct {
	handledAt   time.Time
	incarnation uint64
	// expiring: an Expire of the worker's attempts is on its way. A renewal in
	// between would let the worker go on with attempts that are about to end.
	expiring bool
}

// leaderExpiryWait is how long a leader counts a lease of a duration, by its own clock.
func leaderExpiryWait(duration time.Duration, rateErrorPPM int64) time.Duration {
	e := float64(rateErrorPPM) / partsPerMillion
	w := float64(duration) * (1 + e) / (1 - e)
	return time.Duration(math.Ceil(w)) + stopMargin
}

// newLeases returns the table of a leader that is ready at a time: it counts
// every lease that an earlier leader may have renewed from then on.
func newLeases(duration time.Duration, rateErrorPPM int64, readyAt time.Time) *leases {
	return &leases{
		duration:   duration,
		expiryWait: leaderExpiryWait(duration, rateErrorPPM),
		readyAt:    readyAt,
		byWorker:   map[string]*lease{},
	}
}

// renew counts the worker's leases from now. False: they are being expired, or
// the incarnation is behind.
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

// expired reports whether every lease of the worker has surely run out.
func (l *leases) expired(worker string, now time.Time) bool {
	return l.sinceRenewal(worker, now) > l.expiryWait
}

// alive reports whether the worker renewed lately enough to be given more.
func (l *leases) alive(worker string, now time.Time) bool {
	h := l.byWorker[worker]
	return h != nil && !h.expiring && now.Sub(h.handledAt) < l.duration/aliveDivisor
}

// sinceRenewal returns how long the worker has renewed nothing in this term.
func (l *leases) sinceRenewal(worker string, now time.Time) time.Duration {
	if h := l.byWorker[worker]; h != nil && h.handledAt.After(l.readyAt) {
		return now.Sub(h.handledAt)
	}
	return now.Sub(l.readyAt)
}

// forget drops a worker that the state is about to forget.
func (l *leases) forget(worker string) { delete(l.byWorker, worker) }

// beginExpiry keeps the worker's leases from being renewed until endExpiry.
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
