package gate

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// record is what the gate remembers about an attempt that it let through.
type record struct {
	key       Key
	target    *target
	arrivedAt time.Time
	// startedAt is zero while the attempt waits for a slot, and for good when it never ran.
	startedAt time.Time
	// finishedAt is zero while the attempt waits or runs.
	finishedAt    time.Time
	verdict       Verdict
	responseBytes int
}

func (r *record) waiting() bool { return r.finishedAt.IsZero() && r.startedAt.IsZero() }
func (r *record) running() bool { return r.finishedAt.IsZero() && !r.startedAt.IsZero() }
func (r *record) ended() bool   { return !r.finishedAt.IsZero() }

// duplicateVerdict is the reply to a second dispatch of the same attempt.
func (r *record) duplicateVerdict() Verdict {
	if r.ended() && (r.verdict.Response != nil || !isTargetResponse(r.verdict.Outcome)) {
		return r.verdict
	}
	message := "attempt is running or waiting under an earlier dispatch"
	if r.ended() {
		message = "attempt has finished and its answer is no longer kept"
	}
	return Verdict{
		Outcome: apiv1.Outcome_OUTCOME_UNKNOWN,
		Reason:  apiv1.Reason_REASON_DUPLICATE,
		Message: message,
	}
}

// records remembers attempts while they run and for a while after.
//
// Every attempt that arrived after horizon is in byKey. That is what makes a
// "not run" about an attempt without a record true; see Gate.Revoke.
type records struct {
	limits        Limits
	byKey         map[Key]*record
	running       int
	waiting       int
	horizon       time.Time
	finished      queue[*record]
	withResponse  queue[*record]
	responseBytes int
}

func newRecords(limits Limits) records {
	return records{limits: limits, byKey: make(map[Key]*record)}
}

func (rs *records) get(now time.Time, k Key) *record {
	rs.expire(now)
	return rs.byKey[k]
}

// hasCapacity reports whether another attempt can be remembered. Under a high rate old
// records go early, yet none before MinRetention.
func (rs *records) hasCapacity(now time.Time) bool {
	rs.expire(now)
	if len(rs.byKey) < rs.limits.MaxRecords {
		return true
	}
	oldest, ok := rs.finished.peek()
	if !ok || now.Sub(oldest.finishedAt) < rs.limits.MinRetention {
		return false
	}
	rs.dropOldest()
	return true
}

func (rs *records) expire(now time.Time) {
	for {
		oldest, ok := rs.finished.peek()
		if !ok || now.Sub(oldest.finishedAt) < rs.limits.Retention {
			return
		}
		rs.dropOldest()
	}
}

func (rs *records) dropOldest() {
	r := rs.finished.pop()
	rs.dropResponse(r)
	if first, ok := rs.withResponse.peek(); ok && first == r {
		rs.withResponse.pop()
	}
	delete(rs.byKey, r.key)
	if r.arrivedAt.After(rs.horizon) {
		rs.horizon = r.arrivedAt
	}
}

// add remembers an attempt that waits, if only until start is called.
func (rs *records) add(now time.Time, k Key, t *target) *record {
	r := &record{key: k, target: t, arrivedAt: now}
	rs.byKey[k] = r
	rs.waiting++
	return r
}

func (rs *records) start(now time.Time, r *record) {
	rs.waiting--
	rs.running++
	r.startedAt = now
}

// finishUnstarted ends an attempt that never got a slot.
func (rs *records) finishUnstarted(now time.Time, r *record, v Verdict) {
	rs.waiting--
	rs.finishRecord(now, r, v)
}

func (rs *records) finish(now time.Time, k Key, v Verdict) *record {
	r := rs.byKey[k]
	if r == nil || !r.running() {
		// A slot would be freed twice and the target get more than its slots.
		panic(fmt.Sprintf("invariant: an admitted attempt finishes exactly once: %s/%d", k.RequestID, k.Attempt))
	}
	rs.running--
	rs.finishRecord(now, r, v)
	return r
}

func (rs *records) finishRecord(now time.Time, r *record, v Verdict) {
	r.finishedAt = now
	r.verdict = v
	rs.finished.push(r)
	rs.keepResponse(r)
}

// keepResponse counts an answer and drops the oldest ones beyond the bound.
func (rs *records) keepResponse(r *record) {
	if r.verdict.Response == nil {
		return
	}
	r.responseBytes = proto.Size(r.verdict.Response)
	rs.responseBytes += r.responseBytes
	rs.withResponse.push(r)
	for rs.responseBytes > rs.limits.MaxResponseBytes {
		rs.dropResponse(rs.withResponse.pop())
	}
}

// dropResponse forgets a record's answer, not its outcome.
func (rs *records) dropResponse(r *record) {
	rs.responseBytes -= r.responseBytes
	r.responseBytes = 0
	r.verdict.Response = nil
}
