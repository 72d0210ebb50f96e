package runs

import (
	"math"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// startsInFlight are the starts that may have been executed, or may still be, without showing in the
// last status. The end of a start's own deadline settles nothing: a worker may execute a late start as
// long as its lease is renewed.
type startsInFlight map[jobqueue.RunID]startInFlight

// startInFlight are the calls that start one run.
type startInFlight struct {
	// epoch is that of the last call's order.
	epoch uint64
	// sentAt is when the last call was sent.
	sentAt time.Time
	// settledAt is when the worker confirmed that the run is present, or that it stops it. The worker
	// begins the run at no later call. Zero while it may.
	settledAt time.Time
	// barring: the worker is being called to stop the run.
	barring bool
}

// add records a call that is about to be sent, and returns what remove needs to undo that.
func (f startsInFlight) add(id jobqueue.RunID, epoch uint64, now time.Time) (before startInFlight) {
	before = f[id]
	call := before
	call.epoch, call.sentAt = epoch, now
	f[id] = call
	return before
}

// remove records that the last call of a run was refused, or never sent.
func (f startsInFlight) remove(id jobqueue.RunID, before startInFlight) {
	call, inFlight := f[id]
	switch {
	case !inFlight:
	case before.sentAt.IsZero():
		delete(f, id)
	default:
		call.epoch, call.sentAt = before.epoch, before.sentAt
		f[id] = call
	}
}

// settle records that the worker begins a run at no later call.
func (f startsInFlight) settle(id jobqueue.RunID, now time.Time) {
	if call, inFlight := f[id]; inFlight && call.settledAt.IsZero() {
		call.settledAt = now
		f[id] = call
	}
}

// isUnsettled reports whether the worker may still begin a run.
func (f startsInFlight) isUnsettled(id jobqueue.RunID) bool {
	call, inFlight := f[id]
	return inFlight && call.settledAt.IsZero()
}

// expire removes and returns the runs that show in a status requested at a given time, unless they
// never began or have ended.
func (f startsInFlight) expire(requested time.Time) []jobqueue.RunID {
	var expired []jobqueue.RunID
	for id, call := range f {
		settled := !call.settledAt.IsZero() && requested.After(call.settledAt)
		if settled || requested.Sub(call.sentAt) > lateCallBound {
			delete(f, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// startMayArrive reports whether a run that the last status does not list may be on the worker, or
// may still begin there. The caller must hold s.mu.
func (s *session) startMayArrive(id jobqueue.RunID) bool {
	_, inFlight := s.startsInFlight[id]
	return inFlight || !s.previousCallsSettled
}

// notSentReason is why a start is returned that never reached its worker.
const notSentReason = "never sent"

// startsNotBegun returns the ordered starts that never reached the worker, and those that are returned to
// the leader anyway, in a session that sends no more starts. The caller must hold s.mu.
func (s *session) startsNotBegun() []*apiv1.RunRefusal {
	list := s.returnedStarts()
	for id, o := range s.orders {
		_, returned := s.refusals[id]
		neverSent := o.notOrderedBefore && (!o.maybeSent || s.callHistory.neverSent(id))
		if o.start != nil && neverSent && !returned {
			list = append(list, &apiv1.RunRefusal{Task: id.Task.Ref(), Run: id.Number, Reason: notSentReason})
		}
	}
	return list
}

// noRunBegan reports whether no run that the leader has not heard of can have begun on the worker, in a
// session that sends no more starts: the worker listed nothing once the calls of a previous agent were
// settled, and this session has called for no start. The caller must hold s.mu.
func (s *session) noRunBegan() bool {
	return s.allRunsKnown && len(s.runsPresent) == 0 && !s.anyStartSent
}

// startsSettled reports whether the last status shows all runs that were ever started, in a session
// that sends no more starts.
func (s *session) startsSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.startsInFlight) == 0 && s.previousCallsSettled
}

// barStarts has the worker stop the runs that it may still begin and whose start was ordered before
// an epoch, and reports whether there are any. The caller must hold s.mu.
func (s *session) barStarts(epoch uint64) bool {
	unsettled := false
	for id, call := range s.startsInFlight {
		if !call.settledAt.IsZero() || call.epoch >= epoch {
			continue
		}
		unsettled = true
		if call.barring || s.finished || s.alive.Err() != nil {
			continue
		}
		call.barring = true
		s.startsInFlight[id] = call
		s.calls.Go(func() { s.barStart(id) })
	}
	return unsettled
}

// barStart has the worker stop a run until it can't begin any more.
func (s *session) barStart(id jobqueue.RunID) {
	retry := newBackoff()
	for try := 1; s.startIsUnsettled(id); try++ {
		answer, err := s.callStop(id)
		s.mu.Lock()
		s.recordStopAnswer(id, try, answer, err)
		s.mu.Unlock()
		if s.startIsUnsettled(id) {
			s.sleep(retry.next())
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call, inFlight := s.startsInFlight[id]; inFlight {
		call.barring = false
		s.startsInFlight[id] = call
	}
}

func (s *session) startIsUnsettled(id jobqueue.RunID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive.Err() == nil && s.startsInFlight.isUnsettled(id)
}

// barAllStarts has the worker stop all runs that it may still begin, in a session that sends no more
// starts.
func (s *session) barAllStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.barStarts(math.MaxUint64)
}
