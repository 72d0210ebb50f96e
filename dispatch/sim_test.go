package dispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnlift/cairnlift/admission"
	"github.com/cairnlift/cairnlift/agent/runs"
	"github.com/cairnlift/cairnlift/agent/runs/runstest"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/control/controltest"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

const (
	simHost = "queues.example"
	simPool = "pool"
	// incarnationsPerID is the number of incarnations of a worker that have the same id.
	incarnationsPerID = 3
)

// sim is a control host, workers and their agents in virtual time.
type sim struct {
	t       *testing.T
	rand    *rand.Rand
	ctx     context.Context
	log     *controltest.Log
	replica *control.Replica
	// connected is the replica as the dispatcher uses it.
	connected *simReplica
	// dispatcher is replaced when the leader changes.
	dispatcher *dispatch.Dispatcher
	watch      *fakes.RunChecker
	advisor    *fakes.Advisor
	// hostFleet takes hosts down for their maintenance in tests with waves.
	hostFleet atomic.Pointer[fakes.Hosts]
	// moveOrders are the orders that move hosts, with the term of the leader that gave them.
	moveOrders []moveOrder
	// longRunningJob is the job whose tasks run until they are stopped.
	longRunningJob string
	// requireTickets makes the workers refuse advised steps without a valid ticket.
	requireTickets bool
	// loss is the play that observes workers and reports, if there is one.
	loss      atomic.Pointer[lossPlay]
	hosts     []*simulatedHost
	submitted []*apiv1.JobSpec
	faultFree bool
	// departsByID means that workers also leave, and announce that by their ids alone.
	departsByID bool
	mu          sync.Mutex
	loops       sync.WaitGroup
	// logBuffer contains the logs of all components, printed when a check failed.
	logBuffer *bytes.Buffer
	logger    *zap.Logger
}

// simulatedHost is a worker's host: the worker, its agent and the link to the leader.
type simulatedHost struct {
	*runstest.Link
	s            *sim
	name         string
	mu           sync.Mutex
	worker       *fakes.RunWorker
	driver       *runs.Driver
	stop         context.CancelFunc
	incarnations int
	clockRatePPM int64
	labels       []string
	pool         string
	// poweredOff means that the host is switched off, so its worker announces nothing.
	poweredOff bool
	// departed means that the worker has ended, and nothing listens in its place. brokenCalls is the
	// number of further calls whose connections break.
	departed    bool
	brokenCalls int
	// ended are the incarnations that have ended by themselves.
	ended map[*fakes.RunWorker]bool
	// agents counts the agents of the host.
	agents int
	// lastReport is the last report that was not an expiry report.
	lastReport *apiv1.JobsReportRequest
}

// newSimulatedHost returns a host whose network delays some reports while it is partitioned.
func newSimulatedHost(s *sim, name string) *simulatedHost {
	h := &simulatedHost{s: s, name: name, pool: simPool, ended: map[*fakes.RunWorker]bool{}}
	h.Link = &runstest.Link{
		Leader:  h.leader,
		Context: func() context.Context { return s.ctx },
		Go:      func(f func()) { s.loops.Go(f) }, Sleep: s.sleep, OrdersWait: 500 * time.Millisecond,
		DelaysReport:  func(_ *apiv1.JobsReportRequest, cut bool) bool { return cut && s.intN(4) == 0 },
		DeliveryDelay: func() time.Duration { return time.Duration(s.intN(1500)) * time.Millisecond },
		OnReport:      h.recordReport,
	}
	return h
}

func (h *simulatedHost) leader() runstest.Leader {
	if p := h.s.loss.Load(); p != nil {
		return lossLeader{p, h.s.dispatcher, h}
	}
	return h.s.dispatcher
}

func (h *simulatedHost) recordReport(r *apiv1.JobsReportRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.Lapsed {
		h.lastReport = r
	}
}

func (h *simulatedHost) setPool(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool, h.poweredOff = pool, false
}

// startWorker starts a new incarnation of the worker on the host.
func (h *simulatedHost) startWorker() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker != nil {
		h.worker.Crash()
	}
	h.incarnations++
	h.departed = false
	// Most incarnations have the same id as the previous one.
	incarnation := jobqueue.Incarnation{WorkerID: fmt.Sprintf("%s-%d", h.name, h.incarnations/incarnationsPerID), StartedMs: int64(h.incarnations)}
	h.worker = fakes.NewRunWorker(&apiv1.JobWorker{
		Id: incarnation.Name(), Host: h.name, Pool: h.pool, CpuMilli: 4000, MemoryMb: 8000,
		Labels: h.labels,
	}, h.s.watch)
	h.worker.ClockRatePPM = h.clockRatePPM
	h.worker.Fault = h.s.drawFault
	if h.s.requireTickets {
		h.worker.Advisor = h.s.advisor
	}
	h.worker.Duration = h.s.runDuration
	if p := h.s.loss.Load(); p != nil {
		p.observeWorker(h, h.worker)
	}
	h.worker.Fails = func(id jobqueue.RunID) bool { return id.Number == 1 && id.Task.Index == 3 }
}

func (h *simulatedHost) startAgent() {
	ctx, cancel := context.WithCancel(h.s.ctx)
	driver := runs.New(runs.Options{Host: h.name, Worker: currentWorker{h}, Leader: h, Logger: h.s.logger})
	h.mu.Lock()
	h.driver, h.stop = driver, cancel
	h.agents++
	h.mu.Unlock()
	h.ForgetLeader()
	h.s.loops.Go(func() { driver.Run(ctx) })
}

// currentWorker calls the incarnation that is on the host.
type currentWorker struct{ h *simulatedHost }

// errBroken is the error of a call whose connection breaks.
var errBroken = errors.New("EOF")

// current returns the incarnation, or the error of a call that can't reach it.
func (w currentWorker) current() (*fakes.RunWorker, error) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	switch {
	case w.h.departed:
		return nil, errors.Mark(runs.ErrNotListening, runs.ErrNotSent)
	case w.h.brokenCalls > 0:
		w.h.brokenCalls--
		return nil, errBroken
	}
	return w.h.worker, nil
}

// call calls the incarnation that is on the host. One that ends during the call does not answer it.
func (w currentWorker) call(f func(*fakes.RunWorker) (runs.Answer, error)) (runs.Answer, error) {
	worker, err := w.current()
	if err != nil {
		return 0, err
	}
	answer, err := f(worker)
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	if w.h.ended[worker] {
		return 0, errBroken
	}
	return answer, err
}

func (w currentWorker) Start(ctx context.Context, o runs.Order, s runs.Start) (runs.Answer, error) {
	return w.call(func(worker *fakes.RunWorker) (runs.Answer, error) { return worker.Start(ctx, o, s) })
}

func (w currentWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	return w.call(func(worker *fakes.RunWorker) (runs.Answer, error) { return worker.Stop(ctx, o, id) })
}

func (w currentWorker) Pace(ctx context.Context, o runs.Order, id jobqueue.RunID, percent uint32) (runs.Answer, error) {
	return w.call(func(worker *fakes.RunWorker) (runs.Answer, error) { return worker.Pace(ctx, o, id, percent) })
}

func (w currentWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (status runs.Status, _ runs.Answer, _ error) {
	answer, err := w.call(func(worker *fakes.RunWorker) (answer runs.Answer, err error) {
		status, answer, err = worker.Renew(ctx, o, r)
		return answer, err
	})
	return status, answer, err
}

// announce announces the worker to its agent.
func (h *simulatedHost) announce(sequence uint64) {
	h.mu.Lock()
	worker, driver, silent := h.worker, h.driver, h.poweredOff || h.departed
	h.mu.Unlock()
	if silent {
		return
	}
	if err := driver.Announce(runs.Announcement{Worker: worker.Description(), Sequence: sequence}); err != nil {
		h.s.t.Error(err)
	}
}

// intN draws a number under the lock, since faults are drawn concurrently.
func (s *sim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// drawFault selects the fault of a call to a worker.
func (s *sim) drawFault(string) fakes.OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFree {
		return fakes.OrderFault{}
	}
	switch p := s.rand.Float64(); {
	case p < 0.03:
		return fakes.OrderFault{Lost: true}
	case p < 0.08:
		return fakes.OrderFault{Late: time.Duration(2000+s.rand.IntN(8000)) * time.Millisecond}
	}
	return fakes.OrderFault{}
}

func (s *sim) runDuration(id jobqueue.TaskID) time.Duration {
	if id.Job == s.longRunningJob {
		return 0
	}
	return time.Duration(300+100*(id.Index%7)) * time.Millisecond
}

// simReplica is a replica that can be cut off from the others without knowing of it.
type simReplica struct {
	*control.Replica
	cutOff atomic.Bool
}

func (r *simReplica) Barrier(ctx context.Context) error {
	if r.cutOff.Load() {
		return errors.New("no quorum")
	}
	return r.Replica.Barrier(ctx)
}

func newSim(ctx context.Context, t *testing.T, seed uint64, workers int, mode admission.Mode) *sim {
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, watch: fakes.NewRunChecker()}
	s.advisor = &fakes.Advisor{BaseLatency: 20 * time.Millisecond, LatencyPerWorker: 5 * time.Millisecond, ValidFor: 2 * time.Second}
	s.logBuffer = &bytes.Buffer{}
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	s.logger = zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(s.logBuffer)), zap.InfoLevel))
	s.replica = control.NewReplica(control.Config{
		OnApplied: func() {
			if s.dispatcher != nil {
				s.dispatcher.Applied()
			}
		},
		SubmitJob: func(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
			return s.dispatcher.SubmitJob(ctx, spec, propose)
		},
	})
	s.log = controltest.NewLog(s.replica)
	s.connected = &simReplica{Replica: s.replica}
	s.dispatcher = dispatch.New(dispatch.Options{Replica: s.connected, Admission: mode, LeaseDuration: simLease(seed), Logger: s.logger, Advisor: s.advisor,
		Hosts: simHosts{s}})
	s.loops.Go(func() { s.dispatcher.Run(s.ctx) })
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 1, Pools: []*apiv1.WorkerPool{{Name: simPool}},
			Queues: []*apiv1.JobQueue{{
				Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000,
			}, {
				Name: "advised", Host: simHost, PathPrefix: "/advised/", Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500,
				TimeoutMs: 1000, Advised: true,
			}},
		},
	}}})
	for i := range workers {
		h := newSimulatedHost(s, fmt.Sprintf("host%d", i))
		h.clockRatePPM = int64(i%3) * 10_000
		h.startWorker()
		h.startAgent()
		s.hosts = append(s.hosts, h)
	}
	s.loops.Go(s.announceLoop)
	return s
}

// simLease returns the longest lease that a worker uses by itself, or twice that.
func simLease(seed uint64) time.Duration { return time.Duration(6+6*(seed%2)) * time.Second }

func (s *sim) announceLoop() {
	for sequence := uint64(1); s.ctx.Err() == nil; sequence++ {
		for _, h := range s.hosts {
			h.announce(sequence)
		}
		s.sleep(700 * time.Millisecond)
	}
}

func (s *sim) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// propose commits a command, whichever replica leads.
func (s *sim) propose(c *apiv1.JobsCommand) {
	s.t.Helper()
	controltest.Propose(s.ctx, s.t, s.replica, c)
}

// stopFaults stops the faults in calls to workers.
func (s *sim) stopFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFree = true
}

// submitJob registers a job with the checker of runs and submits it.
func (s *sim) submitJob(spec *apiv1.JobSpec) {
	s.t.Helper()
	s.watch.AddJob(spec)
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}}})
}

func (s *sim) submit(number int) {
	steps := []*apiv1.JobStep{
		{Count: 1 + uint32(s.intN(6)), CpuMilli: 500 + int64(s.intN(1500)), MemoryMb: 500, EstimatedMs: 500, Checkpointing: true},
		{Count: 1 + uint32(s.intN(4)), CpuMilli: 500 + int64(s.intN(1500)), MemoryMb: 500, EstimatedMs: 500, After: []uint32{0}},
	}
	spec := &apiv1.JobSpec{Id: fmt.Sprintf("job%d", number), Host: simHost, Path: fmt.Sprintf("/q/job%d", number), Steps: steps}
	s.submitted = append(s.submitted, spec)
	s.submitJob(spec)
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	h := s.hosts[s.intN(len(s.hosts))]
	duration := time.Duration(500+s.intN(8000)) * time.Millisecond
	if s.departsByID && s.intN(2) == 0 {
		s.loops.Go(func() { s.busiestHost(h).depart() })
		return
	}
	switch s.intN(4) {
	case 0:
		h.SetPartitioned(true)
		time.AfterFunc(duration, func() { h.SetPartitioned(false) })
	case 1:
		h.mu.Lock()
		worker := h.worker
		h.mu.Unlock()
		worker.Crash()
		time.AfterFunc(duration/4, h.startWorker)
	case 2:
		h.mu.Lock()
		h.stop()
		h.mu.Unlock()
		h.startAgent()
	case 3:
		s.loops.Go(func() { s.log.LoseLeadership(duration / 4) })
	}
}

func (s *sim) finished() bool {
	allSucceeded := true
	s.replica.ReadState(func(m *state.Machine) {
		for _, spec := range s.submitted {
			if j := m.CallerJobs().Job(spec.Id); j == nil || j.State != apiv1.JobState_JOB_STATE_SUCCEEDED {
				allSucceeded = false
			}
		}
	})
	return allSucceeded
}

// Guards against a task that runs in two places, after it was finished, or beyond a worker's
// capacity, and against an accepted job that never finishes. Any fault in leases, fencing, run
// numbers, ends or their order can cause this. Jobs arrive while agents are partitioned and
// restarted, workers crash or depart and return, leaders change, and orders are lost or executed ten
// seconds late.
func TestJobsUnderFaults(t *testing.T) {
	// The library's goroutine for meters would otherwise belong to the first test's virtual time.
	runSeeds(t, 60, 4, runJobsUnderFaults)
}

func runJobsUnderFaults(t *testing.T, s *sim, seed uint64) {
	s.departsByID = seed%2 == 0
	s.sleep(3 * time.Second)
	if s.departsByID {
		// Short tasks end while their worker drains.
		s.longRunningJob = "set"
		s.submitJob(&apiv1.JobSpec{Id: s.longRunningJob, Host: simHost, Path: "/q/set", Steps: []*apiv1.JobStep{
			{Count: 5, CpuMilli: 300, MemoryMb: 300, LongRunning: true},
		}})
	}
	for i := range 12 {
		s.submit(i)
		if s.intN(2) == 0 {
			s.injectFault()
		}
		s.sleep(time.Duration(s.intN(1500)) * time.Millisecond)
	}
	s.stopFaultsAndCheck(seed)
}

// stopFaultsAndCheck stops the faults and checks that all jobs finish and no invariant was
// violated.
func (s *sim) stopFaultsAndCheck(seed uint64) {
	s.t.Helper()
	t := s.t
	s.stopFaults()
	for i := 0; i < 600 && !s.finished(); i++ {
		s.sleep(100 * time.Millisecond)
	}
	for _, violation := range s.watch.Violations() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	if !s.finished() {
		s.replica.ReadState(func(m *state.Machine) {
			for _, j := range m.CallerJobs().Active() {
				t.Errorf("seed %d: %s is %v", seed, j.ID(), j.State)
			}
		})
	}
	if t.Failed() {
		t.Log(s.logBuffer.String())
	}
}
