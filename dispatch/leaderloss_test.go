package dispatch_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/agent/runs/runstest"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

var (
	firstLoss = flag.Uint64("loss.first", 0, "first seed of the simulation of lost leaders")
	lossSeeds = flag.Uint64("loss.seeds", 40, "number of its seeds")
)

// startPhase is a moment of the first start of a play.
type startPhase int

const (
	startOrdered startPhase = iota
	startSent
	startArrived
	startBegan
	startReported
	startPhases
)

// lossPlay is one play in which the leader is lost around a start while the worker crashes.
type lossPlay struct {
	*sim
	seed uint64
	mu   sync.Mutex
	jobs []string
	// armed: the next start is the one around which the faults occur. reached are the phases that it has reached,
	// on host.
	armed   bool
	reached [startPhases]chan struct{}
	host    *simulatedHost
	// began maps each job to the first start of a run, and runningSince each task that runs to its start.
	began        map[string]time.Time
	runningSince map[jobqueue.TaskID]time.Time
	// told are the times at which a leader accepted a report that shows that a job has begun.
	told map[string][]time.Time
	// lostAt is when the leader was lost, leadsAt when the next one was elected, calmAt when the last fault was
	// over; zero before. agentLost: an agent was restarted too.
	lostAt, leadsAt, calmAt time.Time
	agentLost               bool
	// crashed are the tasks whose last run was there when its worker crashed, away the tasks that do not run.
	crashed map[jobqueue.TaskID]bool
	away    map[jobqueue.TaskID]absence
}

// absence is since when a task does not run, and whether an order ended its run.
type absence struct {
	since   time.Time
	ordered bool
}

// Guards against a wrong number of pending jobs, a task that runs twice, a worker over its capacity, a crash that is
// forgotten, an order that takes more tasks of a set away than its budget allows and a job that is lost, after the
// leader is lost at any moment around a start. The worker crashes shortly before, at or after the change, and is back
// soon, late or not at all; its agent restarts too in some plays, and hosts go down for their maintenance in others.
func TestLeaderIsLostAroundAStartOnAWorkerThatCrashes(t *testing.T) {
	for seed := *firstLoss; seed < *firstLoss+*lossSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSim(t, seed, []int{1, 2, 3, 5}[seed%4], func(t *testing.T, s *sim) {
				p := &lossPlay{
					sim: s, seed: seed, began: map[string]time.Time{}, runningSince: map[jobqueue.TaskID]time.Time{}, told: map[string][]time.Time{},
					crashed: map[jobqueue.TaskID]bool{}, away: map[jobqueue.TaskID]absence{},
				}
				p.play(len(s.hosts) == 5)
			})
		})
	}
}

func (p *lossPlay) play(wave bool) {
	for i := range p.reached {
		p.reached[i] = make(chan struct{})
	}
	p.log.CommitsUnconfirmed = func() bool { return p.intN(2) == 0 }
	p.loss.Store(p)
	for _, h := range p.hosts {
		h.startWorker()
	}
	p.longRunningJob = "serving"
	p.sleep(2 * time.Second)
	if wave {
		p.beginWave()
	}
	p.mu.Lock()
	p.armed = true
	p.mu.Unlock()
	if !wave {
		p.submitStep("serving", &apiv1.JobStep{Count: 1, CpuMilli: 1500, MemoryMb: 100, LongRunning: true})
	}
	p.submitStep("batch", &apiv1.JobStep{Count: 2, CpuMilli: 1500, MemoryMb: 500, EstimatedMs: 500})
	p.submitStep("large", &apiv1.JobStep{Count: 1, CpuMilli: 2500, MemoryMb: 500, EstimatedMs: 500, Checkpointing: true})
	p.loops.Go(p.checkPending)
	p.loops.Go(p.awaitOrder)
	select {
	case <-p.reached[p.seed%uint64(startPhases)]:
	case <-time.After(10 * time.Second): // the host has gone down for its maintenance
	}
	p.injectFaults()
	if wave && !p.waitUntil(90*time.Second, p.waveFinished) {
		p.t.Errorf("seed %d: the wave is not finished", p.seed)
	}
	p.stopFaultsAndCheck(p.seed)
	serving := func() bool { return len(p.task(jobqueue.TaskID{Job: "serving"}).Runs) > 0 }
	if !p.waitUntil(10*time.Second, serving) {
		p.t.Errorf("seed %d: the long-running task has no run", p.seed)
	}
}

func (p *lossPlay) submitStep(id string, step *apiv1.JobStep) {
	job := &apiv1.JobSpec{Id: id, Host: simHost, Path: "/q/" + id, Steps: []*apiv1.JobStep{step}}
	if !step.LongRunning {
		p.submitted = append(p.submitted, job)
	}
	p.mu.Lock()
	p.jobs = append(p.jobs, id)
	p.mu.Unlock()
	p.submitJob(job)
}

// beginWave begins the maintenance of all hosts beside a job with an availability budget, and returns during it.
func (p *lossPlay) beginWave() {
	p.hostFleet.Store(p.newFleet())
	p.submitStep("serving", servingJob().Steps[0])
	p.sleep(3 * time.Second)
	p.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: &apiv1.MaintenanceWave{
		Number: waveNumber, Hosts: []string{"host0", "host1", "host2", "host3", "host4"}, DurationMs: 60_000, Cap: waveCap,
	}}}})
	p.sleep(time.Duration(p.intN(12_000)) * time.Millisecond)
}

// delay returns a time that is 0, some milliseconds, or up to 900 ms.
func (p *lossPlay) delay() time.Duration {
	return time.Duration(p.intN([]int{1, 30, 900}[p.intN(3)])) * time.Millisecond
}

// injectFaults loses the leader and crashes the worker, and returns once the last fault is over.
func (p *lossPlay) injectFaults() {
	p.mu.Lock()
	h := cmp.Or(p.host, p.hosts[0])
	p.mu.Unlock()
	gap := time.Duration(p.intN(1500)) * time.Millisecond
	beforeLoss, beforeCrash, beforeRestart := p.delay(), p.delay(), p.delay()
	agent, again := p.intN(3), p.intN(4) == 0
	away := []time.Duration{time.Duration(1+p.intN(20)) * time.Millisecond, time.Duration(300+p.intN(4000)) * time.Millisecond, 25 * time.Second}[p.intN(3)]
	record := func(f func()) {
		p.mu.Lock()
		defer p.mu.Unlock()
		f()
	}
	var faults conc.WaitGroup
	faults.Go(func() {
		p.sleep(beforeLoss)
		record(func() { p.lostAt = time.Now() })
		p.log.LoseLeadership(gap)
		record(func() { p.leadsAt = time.Now() })
	})
	faults.Go(func() {
		p.sleep(beforeCrash)
		p.crash(h)
		if agent == 1 {
			record(func() { p.agentLost = true })
			h.stop()
		}
		p.sleep(away)
		p.restart(h)
		if agent == 1 {
			h.startAgent()
		}
		if again {
			p.sleep(p.delay())
			p.crash(h)
			p.sleep(p.delay())
			p.restart(h)
		}
	})
	if agent == 2 {
		p.sleep(beforeRestart)
		record(func() { p.agentLost = true })
		h.stop()
		h.startAgent()
	}
	faults.Wait()
	record(func() { p.calmAt = time.Now() })
}

// crash ends the worker of a host, so that nothing listens in its place.
func (p *lossPlay) crash(h *simulatedHost) {
	h.mu.Lock()
	worker := h.worker
	h.mu.Unlock()
	running := worker.Running()
	if !h.end(worker) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, task := range running {
		// A crash is no evidence against a run that has worked for long, and an agent that was restarted may not
		// know of a run that its predecessor started until the worker lists it.
		worked := time.Since(p.runningSince[task])
		p.crashed[task] = worked < crashloop.MaxBlameRuntime && !(p.agentLost && worked < maxUnlisted)
		p.away[task] = absence{since: time.Now()}
		delete(p.runningSince, task)
	}
}

// maxUnlisted is longer than the time from the start of a run to the next list of the worker.
const maxUnlisted = 600 * time.Millisecond

// restart starts the next incarnation of a worker that has crashed.
func (p *lossPlay) restart(h *simulatedHost) {
	h.mu.Lock()
	departed := h.departed
	h.mu.Unlock()
	if !departed {
		return // it is back from its maintenance
	}
	h.startWorker()
	if f := p.hostFleet.Load(); f != nil {
		f.Put(h.name, h.incarnation())
	}
}

func (p *lossPlay) reach(phase startPhase, h *simulatedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.armed {
		return
	}
	p.host = cmp.Or(p.host, h)
	select {
	case <-p.reached[phase]:
	default:
		if p.host == h {
			close(p.reached[phase])
		}
	}
}

// awaitOrder waits for the first ordered start of a batch job.
func (p *lossPlay) awaitOrder() {
	for ; p.ctx.Err() == nil; p.sleep(time.Millisecond) {
		for _, h := range p.hosts {
			if slices.ContainsFunc(p.runsOn(h.incarnation()), func(id jobqueue.RunID) bool { return id.Task.Job != "serving" || len(p.hosts) < 5 }) {
				p.reach(startOrdered, h)
				return
			}
		}
	}
}

// observeWorker sets up a new incarnation of a worker: its starts take a moment to arrive, and some begin late.
func (p *lossPlay) observeWorker(h *simulatedHost, w *fakes.RunWorker) {
	w.Observer = lossObserver{p, h}
	w.Fault = func(call string) (f fakes.OrderFault) {
		if call != "start" {
			return f
		}
		p.reach(startSent, h)
		p.sleep(time.Duration(p.intN(40)) * time.Millisecond)
		p.reach(startArrived, h)
		switch p.intN(8) {
		case 0:
			f.Late = time.Duration(20+p.intN(1500)) * time.Millisecond
		case 1:
			f.Lost = true
		}
		return f
	}
}

// lossObserver observes the runs on a host.
type lossObserver struct {
	p *lossPlay
	h *simulatedHost
}

func (o lossObserver) RunBegan(run jobqueue.RunID, at time.Time) {
	o.p.reach(startBegan, o.h)
	task := o.p.task(run.Task)
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	if _, known := o.p.began[run.Task.Job]; !known {
		o.p.began[run.Task.Job] = at
	}
	o.p.runningSince[run.Task] = at
	delete(o.p.away, run.Task)
	if o.p.crashed[run.Task] && len(task.Crashes.Crashes) == 0 {
		o.p.t.Errorf("seed %d: %v starts, and the log knows of no crash of the run before it", o.p.seed, run)
	}
	delete(o.p.crashed, run.Task)
}

// maxUnnoticedAbsence is how long a task may not run before it counts as away, unless an order ended its run.
const maxUnnoticedAbsence = 4500 * time.Millisecond

func (o lossObserver) RunEnded(run jobqueue.RunID, kind apiv1.RunEndKind, at time.Time) {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	delete(o.p.runningSince, run.Task)
	ordered := kind == apiv1.RunEndKind_RUN_END_KIND_STOPPED
	away := 0
	for task, a := range o.p.away {
		if task.StepID() == run.Task.StepID() && (a.ordered || at.Sub(a.since) >= maxUnnoticedAbsence) {
			away++
		}
	}
	if ordered && run.Task.Job == "serving" && away >= unavailableBudget {
		o.p.t.Errorf("seed %d: %v is stopped while %d others of its step are away", o.p.seed, run, away)
	}
	o.p.away[run.Task] = absence{at, ordered}
}

func (o lossObserver) LeaseExpired(time.Time) {}

// task returns a copy of the log's state of a task.
func (p *lossPlay) task(id jobqueue.TaskID) (t jobqueue.Task) {
	p.replica.ReadState(func(m *state.Machine) {
		if found := m.CallerJobs().Task(id); found != nil {
			t = *found
			t.Crashes.Crashes, t.Runs = slices.Clone(t.Crashes.Crashes), slices.Clone(t.Runs)
		}
	})
	return t
}

// lossLeader records what a host's agent tells the leader.
type lossLeader struct {
	p *lossPlay
	runstest.Leader
	h *simulatedHost
}

func (l lossLeader) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	if len(r.Running) > 0 {
		l.p.reach(startReported, l.h)
	}
	resp, err := l.Leader.Report(ctx, r)
	if err != nil || resp.NotLeader || resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		return resp, err
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	for _, report := range slices.Concat(r.PreviousEnds, []*apiv1.JobsReportRequest{r}) {
		var tasks []*apiv1.TaskRef
		for _, o := range report.Running {
			tasks = append(tasks, o.Task)
		}
		for _, e := range report.Ends {
			tasks = append(tasks, e.Task)
		}
		for _, w := range report.Worked {
			if w.Began {
				tasks = append(tasks, w.Task)
			}
		}
		for _, task := range tasks {
			l.p.told[task.Job] = append(l.p.told[task.Job], time.Now())
		}
	}
	return resp, err
}

// checkPending compares the number of pending jobs with what has begun, whenever there is a leader: all jobs that
// have not begun are counted, and none that is known to have.
func (p *lossPlay) checkPending() {
	for ; p.ctx.Err() == nil && !p.t.Failed(); p.sleep(20 * time.Millisecond) {
		asked := time.Now()
		queue, err := p.dispatcher.Read(p.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE, Host: simHost, Path: "/q/"})
		if err != nil || queue.Unconfirmed {
			continue
		}
		p.mu.Lock()
		var waiting, unknown []string
		for _, job := range p.jobs {
			if _, begun := p.began[job]; !begun {
				waiting = append(waiting, job)
			}
			if !p.knownToHaveBegun(job, asked.Add(-maxPendingAge)) {
				unknown = append(unknown, job)
			}
		}
		if got := int(queue.Pending); got < len(waiting) || got > len(unknown) {
			p.t.Errorf("seed %d: %d jobs are pending at %s; %v have not begun, %v may count", p.seed, got, asked.Format("05.000"), waiting, unknown)
		}
		p.mu.Unlock()
	}
}

// maxUnsavedBegin is how long a leader may know that a job has begun before the log does.
const maxUnsavedBegin = 600 * time.Millisecond

// knownToHaveBegun reports whether a leader must have known at a given time that a job has begun. A leader that was
// lost may not have saved what it was told last. Then the next one is told with the end of the lease, unless the agent
// was lost too. The caller must hold p.mu.
func (p *lossPlay) knownToHaveBegun(job string, at time.Time) bool {
	for _, told := range p.told[job] {
		unsaved := !p.lostAt.IsZero() && told.Before(p.leadsAtOrLater()) && told.After(p.lostAt.Add(-maxUnsavedBegin))
		leaseEnded := !p.leadsAt.IsZero() && !p.agentLost && at.Sub(p.leadsAt) > simLease(p.seed)*5/4
		if !told.After(at) && (!unsaved || leaseEnded) {
			return true
		}
	}
	for task, since := range p.runningSince {
		if task.Job == job && !p.calmAt.IsZero() && !since.After(at) && !p.calmAt.After(at) {
			return true
		}
	}
	return false
}

// leadsAtOrLater returns when the next leader was elected, or the present if none was.
func (p *lossPlay) leadsAtOrLater() time.Time {
	if p.leadsAt.IsZero() {
		return time.Now()
	}
	return p.leadsAt
}
