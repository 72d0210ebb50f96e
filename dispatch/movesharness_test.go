package dispatch_test

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	otherPool   = "other"
	reservePool = "reserve"
	// hostCallsPerSecond is the rate of calls that the platform's stand-in accepts.
	hostCallsPerSecond = 12
	// moverSettleTime is longer than a new leader waits before it moves hosts.
	moverSettleTime = 12 * time.Second
)

// setUpPools configures two pools with a queue each and one standby pool, and assigns the hosts to
// them.
func (s *sim) setUpPools(poolByHost map[string]string) *fakes.Hosts {
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 2, Pools: []*apiv1.WorkerPool{{Name: simPool}, {Name: otherPool}, {Name: reservePool, Standby: true}},
			Queues: []*apiv1.JobQueue{
				{Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000},
				{Name: "o", Host: simHost, PathPrefix: "/o/", Pool: otherPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000},
			},
		},
	}}})
	f := s.newFleet()
	f.CallsPerSecond = hostCallsPerSecond
	f.Standby = map[string]bool{reservePool: true}
	f.Stale = func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.faultFree && s.rand.IntN(4) == 0
	}
	f.OnDown = func(name string) {
		h := s.hostNamed(name)
		h.mu.Lock()
		defer h.mu.Unlock()
		if running := h.worker.Running(); len(running) > 0 {
			s.t.Errorf("%v ran on %s when the host went down", running, name)
		}
		h.worker.Crash()
		h.poweredOff = true
	}
	for name, pool := range poolByHost {
		h := s.hostNamed(name)
		h.setPool(pool)
		h.startWorker()
		if f.Standby[pool] {
			h.mu.Lock()
			h.worker.Crash()
			h.poweredOff = true
			h.mu.Unlock()
		}
	}
	for _, h := range s.hosts {
		worker := h.incarnation()
		if f.Standby[h.pool] {
			worker = ""
		}
		f.Put(h.name, worker)
		f.SetPool(h.name, h.pool, jobqueue.Resources{CPUMilli: 4000, MemoryMB: 8000})
	}
	s.hostFleet.Store(f)
	return f
}

func (s *sim) hostNamed(name string) *simulatedHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simulatedHost) bool { return h.name == name })]
}

// crashAndRestart crashes the worker of a host and restarts it at once, if the host is up.
func (s *sim) crashAndRestart(f *fakes.Hosts, name string) {
	h := s.hostNamed(name)
	h.mu.Lock()
	poweredOff := h.poweredOff
	h.mu.Unlock()
	if !poweredOff {
		h.startWorker()
		f.Put(name, h.incarnation())
	}
}

func (s *sim) moveOf(host string) jobqueue.Move {
	var v jobqueue.Move
	s.replica.ReadState(func(m *state.Machine) {
		if found, ok := m.CallerJobs().MoveOf(host); ok {
			v = jobqueue.Move{HostMove: &apiv1.HostMove{State: found.State, Pool: found.Pool, Worker: found.Worker, Requested: found.Requested}}
		}
	})
	return v
}

// waitUntil checks a condition every 100 ms until it holds, for at most d.
func (s *sim) waitUntil(d time.Duration, condition func() bool) bool {
	for ; d > 0 && !condition(); d -= 100 * time.Millisecond {
		s.sleep(100 * time.Millisecond)
	}
	return condition()
}

func (s *sim) requestMove(host, pool string) {
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: host, Pool: pool}}})
}

// moveOrder is an order that moves a host, with the term of the leader that gave it.
type moveOrder struct {
	host  string
	token uint64
	term  uint64
	at    time.Time
}

// minHolderInterval is the minimum time between orders about a host by two different holders.
const minHolderInterval = 3 * time.Second

func (s *sim) recordMoveOrder(host string, token uint64) {
	term, _ := s.log.Leading()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveOrders = append(s.moveOrders, moveOrder{host, token, term, time.Now()})
}

// checkHolders checks that no two leaders used the same token, and that they did not alternately
// give orders about a host.
func (s *sim) checkHolders(seed uint64) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]moveOrder{}
	for _, o := range s.moveOrders {
		previous, known := last[o.host]
		if known && previous.term != o.term && (previous.token >= o.token || o.at.Sub(previous.at) < minHolderInterval) {
			s.t.Errorf("seed %d: leaders gave orders alternately: %+v, %+v", seed, previous, o)
		}
		last[o.host] = o
	}
}

// checkOrders checks that no token belongs to two orders or holders, that a host's tokens never
// decrease, that few hosts were down at once and that the platform's rate limits were respected.
func (s *sim) checkOrders(seed uint64, f *fakes.Hosts) {
	s.t.Helper()
	type key struct {
		host  string
		token uint64
	}
	byToken := map[key]fakes.HostOrder{}
	newest := map[string]uint64{}
	for _, o := range f.Orders() {
		k := key{o.Host, o.Token}
		if previous, known := byToken[k]; known && previous != o {
			s.t.Errorf("seed %d: two orders used the same token: %+v, %+v", seed, previous, o)
		}
		if o.Token < newest[o.Host] {
			s.t.Errorf("seed %d: an order used a lower token than an earlier one: %+v", seed, o)
		}
		byToken[k], newest[o.Host] = o, o.Token
	}
	s.checkHolders(seed)
	if n := f.MaxMoving(); n > jobqueue.MaxConcurrentMoves {
		s.t.Errorf("seed %d: %d hosts were down at once", seed, n)
	}
	if all, refused := f.Calls(); refused > 0 {
		s.t.Errorf("seed %d: %d of %d calls exceeded the rate limit", seed, refused, all)
	}
}

// fullWorkerJob returns a job whose tasks each fill a worker and run until they are canceled.
func fullWorkerJob(id string, tasks uint32) *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: id, Host: simHost, Path: "/o/" + id, Steps: []*apiv1.JobStep{{
		Count: tasks, CpuMilli: 4000, MemoryMb: 500, LongRunning: true,
	}}}
}

func (s *sim) runCount(job string) int {
	n := 0
	s.replica.ReadState(func(m *state.Machine) {
		for _, t := range m.CallerJobs().Job(job).Occurrences[0].Steps[0].Tasks {
			n += len(t.Runs)
		}
	})
	return n
}
