package schedule

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	simStep        = 100 * time.Millisecond
	simReportSteps = 5
	simSpan        = 60 * time.Second

	simStepsPerSecond = int(time.Second / simStep)
)

// fleetFaults are the faults of a simulated fleet in addition to crashes of workers.
type fleetFaults struct {
	// failuresPerMille is how many of a thousand runs fail per second. broken makes workers fail
	// all of their runs for some time.
	failuresPerMille int
	broken           bool
	// unreachable makes workers unreachable for some time. leaving makes them drain or be
	// evacuated.
	unreachable, leaving bool
	// advised adds long-running sets in a queue with an advisor, backfillSets adds sets that
	// reserve no processors, and refusing makes workers refuse each start for some time.
	advised, backfillSets, refusing bool
	// noBatch omits batch work. uncommitted leaves some decisions uncommitted.
	noBatch, uncommitted bool
	// accounts gives the jobs of each priority an account of their own.
	accounts bool
}

// fleetSim is a random fleet in virtual time whose runs end as simulated by their workers.
type fleetSim struct {
	*harness
	faults    fleetFaults
	random    *rand.Rand
	hosts     []*fleetHost
	answers   []fleetAnswer
	startedAt map[jobqueue.RunID]time.Time
	stopAt    map[jobqueue.RunID]time.Time
	jobs      int
	waves     uint64
	steps     int
}

type fleetHost struct {
	name, pool, worker string
	labels             []string
	cpuMilli, memoryMB int64
	incarnations       int
	backAt             time.Time
	departAt           time.Time
	unreachableUntil   time.Time
	brokenUntil        time.Time
	refusesUntil       time.Time
	wave               uint64
}

// fleetAnswer is a pending response of the advisor.
type fleetAnswer struct {
	question AdviceRequest
	askedAt  time.Time
	at       time.Time
}

var fleetQueues = []string{"urgent", "steady", "filling", "advised", "far"}

func newFleetSim(t *testing.T, seed int64, faults fleetFaults) *fleetSim {
	s := &fleetSim{
		harness: newHarness(t), faults: faults, random: rand.New(rand.NewSource(seed)),
		startedAt: map[jobqueue.RunID]time.Time{}, stopAt: map[jobqueue.RunID]time.Time{},
	}
	s.configure()
	if faults.accounts {
		s.accountOf = func(queue string) string {
			return fmt.Sprint("priority", s.machine.QueueFor(testHost, "/"+queue+"/").Priority)
		}
	}
	for i := range 4 + s.random.Intn(8) {
		h := &fleetHost{
			name: fmt.Sprintf("h%02d", i), pool: "near",
			cpuMilli: 4000 + 1000*int64(s.random.Intn(12)), memoryMB: 8000 + 1000*int64(s.random.Intn(24)),
		}
		if i%4 == 3 {
			h.pool = "far"
		}
		if i%2 == 0 {
			h.labels = append(h.labels, "ssd")
		}
		s.hosts = append(s.hosts, h)
		s.join(h)
	}
	for i := range 3 + s.random.Intn(5) {
		s.submitSet(i)
	}
	return s
}

func (s *fleetSim) configure() {
	c := &apiv1.QueueConfiguration{Version: 2, Pools: []*apiv1.WorkerPool{{Name: "near"}, {Name: "far"}}}
	for i, name := range fleetQueues {
		q := &apiv1.JobQueue{
			Name: name, Host: testHost, PathPrefix: "/" + name + "/", Pool: "near", Priority: uint32(i % 3),
			MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000, Advised: name == "advised",
		}
		if name == "far" {
			q.Pool = "far"
		}
		c.Queues = append(c.Queues, q)
	}
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: c}}})
}

// submitSet submits a long-running set.
func (s *fleetSim) submitSet(number int) {
	step := &apiv1.JobStep{
		Count: 1 + uint32(s.random.Intn(4)), CpuMilli: 500 + 500*int64(s.random.Intn(4)), MemoryMb: 200 + 200*int64(s.random.Intn(6)),
		EstimatedMs: 300, LongRunning: true, Image: fmt.Sprint("set", number), MaxPerWorker: uint32(s.random.Intn(3)),
	}
	if s.random.Intn(3) == 0 {
		step.RequiredLabel = "ssd"
	}
	if s.random.Intn(2) == 0 {
		step.TailObjectiveMs = 100
	}
	step.Backfill = s.faults.backfillSets && s.random.Intn(3) == 0
	queue := fleetQueues[s.random.Intn(3)]
	switch {
	case s.random.Intn(5) == 0:
		queue = "far"
	case s.faults.advised && s.random.Intn(2) == 0:
		queue = "advised"
	}
	s.submit(queue, fmt.Sprintf("set%d", number), step)
}

// submitWork submits as much batch work as keeps the fleet busy.
func (s *fleetSim) submitWork() {
	if s.faults.noBatch || s.random.Intn(10) > 3 {
		return
	}
	s.jobs++
	step := &apiv1.JobStep{
		Count: 1 + uint32(s.random.Intn(6)), CpuMilli: 500 + 500*int64(s.random.Intn(5)), MemoryMb: 200 + 200*int64(s.random.Intn(8)),
		EstimatedMs: 500 + int64(s.random.Intn(3000)), Image: fmt.Sprint("batch", s.random.Intn(6)), Checkpointing: s.random.Intn(2) == 0,
		Backfill: s.random.Intn(2) == 0, AllowDuplicates: s.random.Intn(5) == 0,
	}
	step.Gang = !step.Backfill && s.random.Intn(8) == 0
	queues := fleetQueues
	if !s.faults.advised {
		queues = []string{"urgent", "steady", "filling", "far"}
	}
	s.submit(queues[s.random.Intn(len(queues))], fmt.Sprintf("b%d", s.jobs), step)
}

func (s *fleetSim) join(h *fleetHost) {
	h.incarnations++
	h.worker = fmt.Sprintf("%s-%d", h.name, h.incarnations)
	h.backAt, h.departAt, h.unreachableUntil, h.wave = time.Time{}, time.Time{}, time.Time{}, 0
	s.report(h, false, false)
}

func (s *fleetSim) report(h *fleetHost, draining, departed bool) {
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{
			Id: h.worker, Host: h.name, Pool: h.pool, CpuMilli: h.cpuMilli, MemoryMb: h.memoryMB, Labels: h.labels, Draining: draining,
		},
		Departed: departed,
	}}})
}

// tick advances virtual time by one step and plans at its end.
func (s *fleetSim) tick() Decision {
	s.advance(simStep)
	s.steps++
	for _, h := range s.hosts {
		s.injectFault(h)
		s.applyDueEvents(h)
	}
	s.submitWork()
	s.answerQuestions()
	s.endRuns()
	if s.steps%simReportSteps == 0 {
		for _, h := range s.hosts {
			if h.worker != "" && !s.unresponsive[h.worker] {
				s.observeAll(h.worker, func(int) int64 { return 20 + int64(s.random.Intn(70)) })
			}
		}
	}
	if s.faults.uncommitted && s.random.Intn(3) == 0 {
		d := s.planner.Plan(s.machine, s, s.now, s.now.UnixMilli())
		s.queueAnswers(d)
		return Decision{}
	}
	d := s.plan()
	s.refuseStarts(d)
	s.queueAnswers(d)
	return d
}

func (s *fleetSim) queueAnswers(d Decision) {
	for _, q := range d.AdviceRequests {
		wait := time.Duration(50+s.random.Intn(400)) * time.Millisecond
		s.answers = append(s.answers, fleetAnswer{q, s.now, s.now.Add(wait)})
	}
}

// injectFault draws the next fault of a host.
func (s *fleetSim) injectFault(h *fleetHost) {
	if h.worker == "" || !h.departAt.IsZero() {
		return
	}
	span := time.Duration(500+s.random.Intn(5000)) * time.Millisecond
	switch p := s.random.Float64(); {
	case p < 0.004:
		// The worker crashes, and the leader detects it later.
		s.unresponsive[h.worker] = true
		h.departAt, h.backAt = s.now.Add(span), s.now.Add(2*span)
	case p < 0.008 && s.faults.unreachable:
		s.unresponsive[h.worker] = true
		h.unreachableUntil = s.now.Add(span)
	case p < 0.010 && s.faults.leaving:
		s.report(h, true, false)
		h.departAt, h.backAt = s.now.Add(span), s.now.Add(2*span)
	case p < 0.012 && s.faults.leaving:
		s.evacuateHost(h)
		h.departAt, h.backAt = s.now.Add(span), s.now.Add(2*span)
	case p < 0.014 && s.faults.broken:
		h.brokenUntil = s.now.Add(span / 4)
	case p < 0.030 && s.faults.refusing:
		h.refusesUntil = s.now.Add(span)
	}
}

// evacuateHost begins the evacuation of a host's worker for maintenance.
func (s *fleetSim) evacuateHost(h *fleetHost) {
	s.waves++
	h.wave = s.waves
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
		Wave: &apiv1.MaintenanceWave{Number: h.wave, Hosts: []string{h.name}, DurationMs: 1000, Cap: 1},
	}}})
	s.maintain(h, apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING)
}

func (s *fleetSim) maintain(h *fleetHost, state apiv1.MaintenanceState) {
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Maintain{Maintain: &apiv1.MaintainHost{
		Term: testTerm, Wave: h.wave, Host: h.name, State: state, Worker: h.worker,
	}}})
}

// applyDueEvents applies the events of a host that are due.
func (s *fleetSim) applyDueEvents(h *fleetHost) {
	if !h.departAt.IsZero() && !s.now.Before(h.departAt) {
		if h.wave != 0 {
			s.maintain(h, apiv1.MaintenanceState_MAINTENANCE_STATE_GONE)
		}
		s.report(h, false, true)
		h.worker, h.departAt, h.unreachableUntil = "", time.Time{}, time.Time{}
	}
	if !h.unreachableUntil.IsZero() && h.departAt.IsZero() && !s.now.Before(h.unreachableUntil) {
		delete(s.unresponsive, h.worker)
		h.unreachableUntil = time.Time{}
	}
	if h.worker == "" && !s.now.Before(h.backAt) {
		s.join(h)
	}
}

func (s *fleetSim) answerQuestions() {
	var open []fleetAnswer
	for _, a := range s.answers {
		if s.now.Before(a.at) {
			open = append(open, a)
			continue
		}
		advice := Advice{Tickets: map[string]string{}, Valid: 2 * time.Second}
		for _, w := range a.question.Workers {
			if approves(a.question.Step, w) {
				advice.Tickets[w] = "ticket"
			}
		}
		s.planner.RecordAdvice(a.question, advice, a.askedAt)
	}
	s.answers = open
}

// approves is the advisor's policy, which is constant.
func approves(step jobqueue.StepID, worker string) bool {
	sum := 0
	for _, c := range step.Job + worker {
		sum = 31*sum + int(c)
	}
	return sum%3 != 0
}

// endRuns ends the runs that are due.
func (s *fleetSim) endRuns() {
	for _, h := range s.hosts {
		if h.worker == "" || s.unresponsive[h.worker] {
			continue
		}
		w := s.machine.Worker(h.worker)
		for _, id := range w.SortedRunIDs() {
			if run := w.Runs[id]; run != nil {
				s.endRun(h, run)
			}
		}
	}
}

func (s *fleetSim) endRun(h *fleetHost, run *jobqueue.Run) {
	id := run.ID
	began, known := s.startedAt[id]
	if !known {
		s.startedAt[id] = s.now
		return
	}
	if run.Stopping {
		at, known := s.stopAt[id]
		if !known {
			s.stopAt[id] = s.now.Add(time.Duration(100+s.random.Intn(300)) * time.Millisecond)
		} else if !s.now.Before(at) {
			s.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
		}
		return
	}
	fails := s.now.Before(h.brokenUntil) || s.random.Intn(1000*simStepsPerSecond) < s.faults.failuresPerMille
	finished := !run.Step.LongRunning && s.now.Sub(began).Milliseconds() >= run.Step.EstimatedMs
	switch {
	case fails:
		s.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_FAILED)
	case finished:
		s.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_DONE)
	}
}

// refuseStarts refuses the new runs on workers that refuse starts.
func (s *fleetSim) refuseStarts(d Decision) {
	for _, start := range d.Starts {
		for _, h := range s.hosts {
			if h.worker != start.Worker || !s.now.Before(h.refusesUntil) {
				continue
			}
			s.refuseStart(jobqueue.RunID{Task: jobqueue.TaskIDOf(start.Task), Number: start.Run}, h.worker)
		}
	}
}

// refuseStart reports that a worker refused a start.
func (r *harness) refuseStart(id jobqueue.RunID, worker string) {
	r.t.Helper()
	if r.machine.Run(id) == nil {
		return
	}
	r.planner.RecordRefusal(RefusedStart{Step: id.Task.StepID(), Worker: worker, At: r.now, WorkerUnavailable: true})
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker:   r.machine.Worker(worker).Spec,
		Refusals: []*apiv1.RunRefusal{{Task: id.Task.Ref(), Run: id.Number, Reason: "full"}},
	}}})
}
