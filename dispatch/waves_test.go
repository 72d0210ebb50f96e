package dispatch_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

const (
	waveNumber = 7
	waveCap    = 2
	// servingTasks is the number of tasks of the serving step; orders may take unavailableBudget of
	// them down at once.
	servingTasks      = 3
	unavailableBudget = 1
)

// simHosts queries the simulation's fleet once there is one.
type simHosts struct{ s *sim }

var errNoFleet = errors.New("no fleet")

// List implements dispatch.Hosts.
func (h simHosts) List(ctx context.Context) (map[string]schedule.HostView, error) {
	f := h.s.hostFleet.Load()
	if f == nil {
		return nil, errNoFleet
	}
	hosts, err := f.List(ctx)
	for name, view := range hosts {
		// The platform names workers by their ids alone.
		view.Worker = jobqueue.ParseIncarnation(view.Worker).WorkerID
		hosts[name] = view
	}
	return hosts, err
}

// Maintain implements dispatch.Hosts.
func (h simHosts) Maintain(ctx context.Context, term uint64, host string, wave uint64) (dispatch.HostAnswer, error) {
	if f := h.s.hostFleet.Load(); f != nil {
		return f.Maintain(ctx, term, host, wave)
	}
	return 0, errNoFleet
}

// Move implements dispatch.Hosts.
func (h simHosts) Move(ctx context.Context, token uint64, host, pool string) (dispatch.HostAnswer, error) {
	if f := h.s.hostFleet.Load(); f != nil {
		h.s.recordMoveOrder(host, token)
		return f.Move(ctx, token, host, pool)
	}
	return 0, errNoFleet
}

// newFleet returns a fleet of the simulation's hosts that go down and return for their maintenance.
func (s *sim) newFleet() *fakes.Hosts {
	f := &fakes.Hosts{Duration: 2 * time.Second, Fault: s.drawFault}
	host := func(name string) *simulatedHost {
		return s.hosts[slices.IndexFunc(s.hosts, func(h *simulatedHost) bool { return h.name == name })]
	}
	f.OnDown = func(name string) {
		h := host(name)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, task := range h.worker.Running() {
			if task.Job == "serving" {
				s.t.Errorf("%v was running on %s when the host went down for maintenance", task, name)
			}
		}
		h.worker.Crash()
	}
	f.OnUp = func(name string) {
		h := host(name)
		if pool := f.PoolOf(name); pool != "" {
			h.setPool(pool)
		}
		h.startWorker()
		f.Put(name, h.incarnation())
	}
	for _, h := range s.hosts {
		f.Put(h.name, h.incarnation())
	}
	return f
}

func (h *simulatedHost) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.Spec.Id
}

// servingJob returns a job that runs until it is canceled, with an availability budget.
func servingJob() *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: "serving", Host: simHost, Path: "/q/serving", Steps: []*apiv1.JobStep{{
		Count: servingTasks, CpuMilli: 1000, MemoryMb: 500, LongRunning: true, MaxPerWorker: 1,
		UnavailableBudget: unavailableBudget, HasUnavailableBudget: true,
	}}}
}

// Guards against more hosts down for maintenance than the operator allowed, a host that is left out
// of a finished wave, and serving tasks that end with a host that goes down. The causes are an
// order that is lost with its leader or counted wrongly, and a host that goes down before its tasks
// run elsewhere. A wave passes over all hosts while batch and serving tasks run, leaders change,
// and orders to the platform are not answered and are executed late.
func TestWavesUnderFaults(t *testing.T) {
	runSeeds(t, 30, 5, runWaveUnderFaults)
}

func runWaveUnderFaults(t *testing.T, s *sim, seed uint64) {
	s.longRunningJob = "serving"
	fleet := s.newFleet()
	s.hostFleet.Store(fleet)
	s.sleep(3 * time.Second)
	job := servingJob()
	s.submitJob(job)
	s.sleep(time.Second)
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: &apiv1.MaintenanceWave{
		Number: waveNumber, Hosts: []string{"host0", "host1", "host2", "host3", "host4", "nosuch"}, DurationMs: 60_000, Cap: waveCap,
	}}}})
	for i := range 8 {
		s.submit(i)
		if s.intN(3) == 0 {
			s.loops.Go(func() { s.log.LoseLeadership(time.Duration(s.intN(1500)) * time.Millisecond) })
		}
		s.sleep(time.Duration(500+s.intN(1500)) * time.Millisecond)
	}
	for i := 0; i < 900 && !s.waveFinished(); i++ {
		s.sleep(100 * time.Millisecond)
	}
	if !s.waveFinished() {
		s.replica.ReadState(func(m *state.Machine) {
			t.Errorf("seed %d: the wave is not finished: %v", seed, m.CallerJobs().Wave(waveNumber).Record())
		})
	}
	if maxDown := fleet.MaxDown(waveNumber); maxDown > waveCap {
		t.Errorf("seed %d: %d hosts were down at once", seed, maxDown)
	}
	for _, h := range s.hosts {
		if !fleet.Maintained(h.name, waveNumber) {
			t.Errorf("seed %d: %s got no maintenance", seed, h.name)
		}
	}
	s.stopFaultsAndCheck(seed)
}

func (s *sim) waveFinished() bool {
	finished := false
	s.replica.ReadState(func(m *state.Machine) { finished = m.CallerJobs().Wave(waveNumber).Finished() })
	return finished
}

// Guards against serving tasks that end with a host's upkeep: the order is not carried out at first, and the
// worker that was drained for it crashes and comes back.
func TestWorkerThatReturnsBeforeUpkeepGetsNoWork(t *testing.T) {
	runSeeds(t, 5, 4, func(t *testing.T, s *sim, seed uint64) {
		s.stopFaults()
		s.longRunningJob = "serving"
		fleet := s.newFleet()
		var ordered atomic.Bool
		fleet.Fault = func(string) fakes.OrderFault { return fakes.OrderFault{Lost: !ordered.Swap(true)} }
		s.hostFleet.Store(fleet)
		s.sleep(3 * time.Second)
		s.submitJob(servingJob())
		s.sleep(3 * time.Second)
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: &apiv1.MaintenanceWave{
			Number: waveNumber, Hosts: []string{"host0"}, DurationMs: 60_000, Cap: 1,
		}}}})
		if !s.waitUntil(10*time.Second, ordered.Load) {
			t.Fatal("the upkeep is not ordered")
		}
		s.crashAndRestart(fleet, "host0")
		// The tasks of another worker look for a place as well.
		s.hostNamed("host1").startWorker()
		if !s.waitUntil(20*time.Second, s.waveFinished) {
			t.Errorf("seed %d: the wave is not finished", seed)
		}
		s.stopFaultsAndCheck(seed)
	})
}
