package runs

import "github.com/cairnlift/cairnlift/jobqueue"

// startsInFlight are the starts that may have been carried out, or may still be, without showing in
// the last status: those without an answer, and those that the worker confirmed just now. The value
// is the latest deadline of a run's calls, a reading of the worker's clock: the worker refuses a
// start whose own deadline has passed, even if its lease has been renewed since.
type startsInFlight map[jobqueue.RunID]int64

// add records a call that is about to be sent, and returns what remove needs to undo that.
func (f startsInFlight) add(id jobqueue.RunID, deadlineMs int64) (before int64) {
	before = f[id]
	f[id] = max(before, deadlineMs)
	return before
}

// remove records that the last call of a run was refused, or never sent.
func (f startsInFlight) remove(id jobqueue.RunID, before int64) {
	if before == 0 {
		delete(f, id)
		return
	}
	f[id] = before
}

// expire removes the starts that a worker whose clock shows a reading refuses.
func (f startsInFlight) expire(clockMs int64) {
	for id, deadlineMs := range f {
		if deadlineMs < clockMs {
			delete(f, id)
		}
	}
}

// startMayArrive reports whether a run that the last status does not list may be on the worker, or
// may still begin there. The caller must hold s.mu.
func (s *session) startMayArrive(id jobqueue.RunID) bool {
	_, inFlight := s.startsInFlight[id]
	return inFlight || !s.previousCallsSettled
}

// startsSettled reports whether the last status shows all runs that were ever started, in a session
// that sends no more starts.
func (s *session) startsSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.startsInFlight) == 0 && s.previousCallsSettled
}
