package dispatch_test

import (
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// depart has the worker drain, announce its departure by its id alone and end. In half of the cases, it
// works on for some time first, while connections break, and the leader changes when it ends. The next
// incarnation comes late, since it would show the end of this one.
func (h *simulatedHost) depart() {
	s := h.s
	worker, driver, agent := h.present()
	if worker == nil {
		return
	}
	worker.Drain()
	s.sleep(time.Duration(700+s.intN(1000)) * time.Millisecond)
	id := jobqueue.ParseIncarnation(worker.Spec.Id).WorkerID
	acknowledge := driver.Depart(id)
	if s.intN(2) == 0 {
		for range 2 + s.intN(4) {
			s.sleep(time.Duration(100+s.intN(700)) * time.Millisecond)
			h.breakCalls()
		}
		s.sleep(time.Duration(s.intN(1000)) * time.Millisecond)
	}
	<-acknowledge
	if s.intN(2) == 0 {
		s.loops.Go(func() { s.log.LoseLeadership(time.Duration(s.intN(1500)) * time.Millisecond) })
	}
	if !h.end(worker) {
		return
	}
	s.loops.Go(func() { h.expectDepartureRecorded(worker.Spec.Id, agent) })
	s.sleep(time.Duration(6000+s.intN(2000)) * time.Millisecond)
	h.startWorker()
	_, driver, _ = h.present()
	driver.Depart(id) // A late repetition concerns the next incarnation, if it has the same id.
}

// busiestHost returns the host with the most runs, or the given one if no worker runs anything.
func (s *sim) busiestHost(most *simulatedHost) *simulatedHost {
	runs := 0
	for _, h := range s.hosts {
		if w, _, _ := h.present(); w != nil && len(w.Running()) > runs {
			most, runs = h, len(w.Running())
		}
	}
	return most
}

// present returns the worker, nil if it has departed, and its agent.
func (h *simulatedHost) present() (*fakes.RunWorker, *runs.Driver, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.departed {
		return nil, h.driver, h.agents
	}
	return h.worker, h.driver, h.agents
}

// breakCalls breaks the connections of the next calls.
func (h *simulatedHost) breakCalls() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brokenCalls = 2
}

// end ends a worker, unless another one has replaced it.
func (h *simulatedHost) end(worker *fakes.RunWorker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker != worker || h.departed {
		return false
	}
	worker.Crash()
	h.departed, h.ended[worker] = true, true
	return true
}

// maxUnrecordedDeparture is how long the log may hold runs on a departed worker while its agent can
// reach a leader. It is shorter than the lease of a draining worker.
const maxUnrecordedDeparture = 3500 * time.Millisecond

// expectDepartureRecorded expects that the log holds no runs on a worker soon after it has ended,
// unless its agent ends too or the log does not hold that it drains.
func (h *simulatedHost) expectDepartureRecorded(name string, agent int) {
	s := h.s
	for reachable := time.Duration(0); s.ctx.Err() == nil; s.sleep(statePollInterval) {
		held, draining := 0, false
		s.replica.ReadState(func(m *state.Machine) {
			if w := m.CallerJobs().Worker(name); w != nil && !w.Departed {
				held, draining = len(w.Runs), w.Spec.Draining
			}
		})
		if _, _, present := h.present(); held == 0 || !draining || present != agent {
			return
		}
		if _, leads := s.replica.Leading(); leads && !h.IsPartitioned() {
			reachable += statePollInterval
		}
		if reachable > maxUnrecordedDeparture {
			s.t.Errorf("%s has departed, and the log holds %d runs on it after %v", name, held, reachable)
			return
		}
	}
}

// statePollInterval is the time between two checks of the log.
const statePollInterval = 20 * time.Millisecond
