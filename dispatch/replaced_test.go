package dispatch_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// drainNotice is the time from a worker's notice to its end.
	drainNotice = 2 * time.Second
	// lostResponseProbability is the fraction of calls that are executed but not answered.
	lostResponseProbability = 0.15
)

// Guards against a permit that is issued twice or never. All workers are replaced one after the
// other while jobs arrive, some at the same moment as a change of leader, and many calls are
// executed at once without a response. The causes are a start that is repeated elsewhere because
// its response is missing, and a run of a replaced worker that is waited for or counted as a failed
// attempt.
func TestReplacedWorkersAndLostResponses(t *testing.T) {
	runSeeds(t, 30, 5, func(t *testing.T, s *sim, seed uint64) {
		for _, h := range s.hosts {
			h.mu.Lock()
			h.worker.Fault = s.drawLostResponse
			h.worker.Fails = nil
			h.mu.Unlock()
		}
		s.loops.Go(func() { s.checkFailedAttempts(seed) })
		s.sleep(3 * time.Second)
		for round := range 2 {
			for i, h := range s.hosts {
				s.submit(round*len(s.hosts) + i)
				if s.intN(4) == 0 {
					s.loops.Go(func() { s.log.LoseLeadership(time.Duration(s.intN(1500)) * time.Millisecond) })
				}
				s.replaceWorker(h)
			}
		}
		s.stopFaultsAndCheck(seed)
	})
}

// checkFailedAttempts reports failed attempts of unfinished jobs; finished jobs do not keep theirs.
func (s *sim) checkFailedAttempts(seed uint64) {
	for s.ctx.Err() == nil {
		s.replica.ReadState(func(m *state.Machine) {
			for _, j := range m.CallerJobs().Active() {
				if n := failedAttempts(j); n > 0 {
					s.t.Errorf("seed %d: %s has %d failed attempts, but no run failed", seed, j.ID(), n)
				}
			}
		})
		s.sleep(20 * time.Millisecond)
	}
}

// drawLostResponse selects calls that are executed at once but not answered.
func (s *sim) drawLostResponse(string) fakes.OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFree || s.rand.Float64() >= lostResponseProbability {
		return fakes.OrderFault{}
	}
	return fakes.OrderFault{Late: time.Nanosecond}
}

// replaceWorker drains a worker and replaces it by another incarnation.
func (s *sim) replaceWorker(h *simulatedHost) {
	h.mu.Lock()
	h.worker.Drain()
	h.mu.Unlock()
	s.sleep(drainNotice)
	h.startWorker()
	h.mu.Lock()
	h.worker.Fault = s.drawLostResponse
	h.worker.Fails = nil
	h.mu.Unlock()
	s.sleep(time.Duration(s.intN(800)) * time.Millisecond)
}

// failedAttempts returns the number of a job's failed attempts.
func failedAttempts(j *jobqueue.Job) int {
	n := 0
	for _, o := range j.Occurrences {
		for _, step := range o.Steps {
			for _, t := range step.Tasks {
				n += int(t.Failures)
			}
		}
	}
	return n
}
