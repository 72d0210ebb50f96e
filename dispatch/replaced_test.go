package dispatch_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// drainNotice is the time between a worker's notice and its end.
	drainNotice = 2 * time.Second
	// lostResponseProbability is the share of the calls that are carried out and not answered.
	lostResponseProbability = 0.15
)

// Symptom: a permit comes twice, or never. Sequence: all workers are replaced one after the
// other while jobs come, some at the same moment as the leader; many calls are carried out
// at once and their answers are lost. Cause: a start that is repeated elsewhere because its
// answer is missing, or a run of a replaced worker that is waited for or counted as a
// failed attempt.
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
					s.loops.Go(func() { s.log.Lose(time.Duration(s.intN(1500)) * time.Millisecond) })
				}
				s.replaceWorker(h)
			}
		}
		s.stopFaultsAndCheck(seed)
	})
}

// checkFailedAttempts reports attempts that count as failed; finished jobs forget theirs.
func (s *sim) checkFailedAttempts(seed uint64) {
	for s.ctx.Err() == nil {
		s.replica.ReadState(func(m *state.Machine) {
			for _, j := range m.CallerJobs().Active() {
				if n := failedAttempts(j); n > 0 {
					s.t.Errorf("seed %d: %s counts %d failed attempts, and no run failed", seed, j.ID(), n)
				}
			}
		})
		s.sleep(20 * time.Millisecond)
	}
}

// drawLostResponse draws calls that are carried out at once and get no answer.
func (s *sim) drawLostResponse(string) fakes.OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFree || s.rand.Float64() >= lostResponseProbability {
		return fakes.OrderFault{}
	}
	return fakes.OrderFault{Late: time.Nanosecond}
}

// replaceWorker has a worker give notice and puts another incarnation in its place.
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

// failedAttempts counts a job's failed attempts.
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
