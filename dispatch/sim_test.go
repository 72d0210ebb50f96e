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

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

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
	// incarnationsPerID is how many lives of a worker have one id.
	incarnationsPerID = 3
)

// sim is a control host, workers and their agents in virtual time.
type sim struct {
	t       *testing.T
	rand    *rand.Rand
	ctx     context.Context
	log     *controltest.Log
	replica *control.Replica
	// dispatcher is replaced when another leader follows.
	dispatcher *dispatch.Dispatcher
	watch      *fakes.RunWatch
	advisor    *fakes.Advisor
	// hostFleet takes hosts down for their maintenance, where a test has waves.
	hostFleet atomic.Pointer[fakes.Hosts]
	// moveOrders are the orders that move hosts, with the term of the leader that gave them.
	moveOrders []moveOrder
	// longRunningJob is the job whose tasks work until they are stopped.
	longRunningJob string
	// requireTickets has the workers refuse advised steps without a valid ticket.
	requireTickets bool
	hosts          []*simulatedHost
	submitted      []*apiv1.JobSpec
	faultFree      bool
	mu             sync.Mutex
	loops          sync.WaitGroup
	// logBuffer is what all parts logged, shown when something broke.
	logBuffer *bytes.Buffer
	logger    *zap.Logger
}

// simulatedHost is a worker's host: worker, agent and the link to the leader.
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
	// poweredOff: the host is switched off, so its worker announces nothing.
	poweredOff bool
	// lastReport is the last report of what the worker said.
	lastReport *apiv1.JobsReportRequest
}

// newSimulatedHost returns a host whose network holds some reports up when it is cut off.
func newSimulatedHost(s *sim, name string) *simulatedHost {
	h := &simulatedHost{s: s, name: name, pool: simPool}
	h.Link = &runstest.Link{
		Leader:  func() runstest.Leader { return s.dispatcher },
		Context: func() context.Context { return s.ctx },
		Go:      func(f func()) { s.loops.Go(f) }, Sleep: s.sleep, OrdersWait: 500 * time.Millisecond,
		DelaysReport:  func(_ *apiv1.JobsReportRequest, cut bool) bool { return cut && s.intN(4) == 0 },
		DeliveryDelay: func() time.Duration { return time.Duration(s.intN(1500)) * time.Millisecond },
		OnReport:      h.recordReport,
	}
	return h
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

// startWorker puts a new incarnation on the host.
func (h *simulatedHost) startWorker() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker != nil {
		h.worker.Crash()
	}
	h.incarnations++
	// Most lives have the id of the one before.
	life := jobqueue.Incarnation{WorkerID: fmt.Sprintf("%s-%d", h.name, h.incarnations/incarnationsPerID), StartedMs: int64(h.incarnations)}
	h.worker = fakes.NewRunWorker(&apiv1.JobWorker{
		Id: life.Name(), Host: h.name, Pool: h.pool, CpuMilli: 4000, MemoryMb: 8000,
		Labels: h.labels,
	}, h.s.watch)
	h.worker.ClockRatePPM = h.clockRatePPM
	h.worker.Fault = h.s.drawFault
	if h.s.requireTickets {
		h.worker.Advisor = h.s.advisor
	}
	h.worker.Duration = h.s.runDuration
	h.worker.Fails = func(id jobqueue.RunID) bool { return id.Number == 1 && id.Task.Index == 3 }
}

func (h *simulatedHost) startAgent() {
	ctx, cancel := context.WithCancel(h.s.ctx)
	driver := runs.New(runs.Options{Host: h.name, Worker: currentWorker{h}, Leader: h, Logger: h.s.logger})
	h.mu.Lock()
	h.driver, h.stop = driver, cancel
	h.mu.Unlock()
	h.ForgetLeader()
	h.s.loops.Go(func() { driver.Run(ctx) })
}

// currentWorker calls whichever incarnation is on the host.
type currentWorker struct{ h *simulatedHost }

func (w currentWorker) current() *fakes.RunWorker {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.worker
}

func (w currentWorker) Start(ctx context.Context, o runs.Order, s runs.Start) (runs.Answer, error) {
	return w.current().Start(ctx, o, s)
}

func (w currentWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	return w.current().Stop(ctx, o, id)
}

func (w currentWorker) Pace(ctx context.Context, o runs.Order, id jobqueue.RunID, percent uint32) (runs.Answer, error) {
	return w.current().Pace(ctx, o, id, percent)
}

func (w currentWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	return w.current().Renew(ctx, o, r)
}

// announce has the worker tell its agent that it is there.
func (h *simulatedHost) announce(sequence uint64) {
	h.mu.Lock()
	worker, driver, off := h.worker, h.driver, h.poweredOff
	h.mu.Unlock()
	if off {
		return
	}
	if err := driver.Announce(runs.Announcement{Worker: worker.Announced(), Sequence: sequence}); err != nil {
		h.s.t.Error(err)
	}
}

// intN draws a number; faults are drawn meanwhile by others.
func (s *sim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// drawFault draws what goes wrong with a call of a worker.
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

func newSim(ctx context.Context, t *testing.T, seed uint64, workers int) *sim {
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, watch: fakes.NewRunWatch()}
	s.advisor = &fakes.Advisor{Decide: 20 * time.Millisecond, PerWorker: 5 * time.Millisecond, ValidFor: 2 * time.Second}
	s.logBuffer = &bytes.Buffer{}
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	s.logger = zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(s.logBuffer)), zap.InfoLevel))
	s.replica = control.NewReplica(control.Config{OnApplied: func() {
		if s.dispatcher != nil {
			s.dispatcher.Applied()
		}
	}})
	s.log = controltest.NewLog(s.replica)
	s.dispatcher = dispatch.New(dispatch.Options{Replica: s.replica, LeaseDuration: simLease(seed), Logger: s.logger, Advisor: s.advisor,
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

// simLease is the worker's own longest lease, or twice that.
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

// propose commits a command, whoever leads by then.
func (s *sim) propose(c *apiv1.JobsCommand) {
	s.t.Helper()
	controltest.Propose(s.ctx, s.t, s.replica, c)
}

// stopFaults ends what goes wrong with calls of workers.
func (s *sim) stopFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFree = true
}

// submitJob hands a job in; the judge of runs is told of it first.
func (s *sim) submitJob(spec *apiv1.JobSpec) {
	s.t.Helper()
	s.watch.Submitted(spec)
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

// injectFault does one thing that goes wrong.
func (s *sim) injectFault() {
	h := s.hosts[s.intN(len(s.hosts))]
	span := time.Duration(500+s.intN(8000)) * time.Millisecond
	switch s.intN(4) {
	case 0:
		h.SetPartitioned(true)
		time.AfterFunc(span, func() { h.SetPartitioned(false) })
	case 1:
		h.mu.Lock()
		worker := h.worker
		h.mu.Unlock()
		worker.Crash()
		time.AfterFunc(span/4, h.startWorker)
	case 2:
		h.mu.Lock()
		h.stop()
		h.mu.Unlock()
		h.startAgent()
	case 3:
		s.loops.Go(func() { s.log.Lose(span / 4) })
	}
}

func (s *sim) finished() bool {
	whole := true
	s.replica.ReadState(func(m *state.Machine) {
		for _, spec := range s.submitted {
			if j := m.CallerJobs().Job(spec.Id); j == nil || j.State != apiv1.JobState_JOB_STATE_SUCCEEDED {
				whole = false
			}
		}
	})
	return whole
}

// Symptom: a task runs in two places, after it was done, or beyond a worker's room;
// or a job that was accepted never ends.
// Sequence: jobs come while agents are cut off and restarted, workers crash and
// come back, leaders follow one another, and orders are lost or carried out ten
// seconds late.
// Cause: any fault in leases, fencing, numbers of runs, ends or their order.
func TestJobsUnderFaults(t *testing.T) {
	// The library's goroutine for meters would else belong to the first test's time.
	runSeeds(t, 60, 4, runJobsUnderFaults)
}

func runJobsUnderFaults(t *testing.T, s *sim, seed uint64) {
	s.sleep(3 * time.Second)
	for i := range 12 {
		s.submit(i)
		if s.intN(2) == 0 {
			s.injectFault()
		}
		s.sleep(time.Duration(s.intN(1500)) * time.Millisecond)
	}
	s.stopFaultsAndCheck(seed)
}

// stopFaultsAndCheck has the calm return, and checks that all jobs end and nothing broke.
func (s *sim) stopFaultsAndCheck(seed uint64) {
	s.t.Helper()
	t := s.t
	s.stopFaults()
	for i := 0; i < 600 && !s.finished(); i++ {
		s.sleep(100 * time.Millisecond)
	}
	for _, b := range s.watch.Broken() {
		t.Errorf("seed %d: %s", seed, b)
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
