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
	rateSimStep        = 50 * time.Millisecond
	rateSimReportSteps = 10
)

// rateSim is a fleet in virtual time whose workers run tasks at given speeds and report their
// progress.
type rateSim struct {
	*harness
	random   *rand.Rand
	workers  []string
	speed    map[string]float64
	refuses  map[string]time.Time
	progress map[jobqueue.RunID]float64
	// work is the work of each task in seconds at full speed.
	work      map[jobqueue.TaskID]float64
	tail      float64
	stretch   map[string]float64
	submitted map[string]time.Time
	took      map[string]time.Duration
	steps     int
	// starts counts the starts by worker, wasted the runs that ended without a result, and
	// concurrent the most runs that one task had at a time.
	starts     map[string]int
	wasted     int
	concurrent int
	// everDoubtful are the workers that were doubtful at some time.
	everDoubtful map[string]bool
}

func newRateSim(t *testing.T, seed int64, on bool) *rateSim {
	s := &rateSim{
		harness: newHarness(t), random: rand.New(rand.NewSource(seed)), speed: map[string]float64{}, refuses: map[string]time.Time{},
		progress: map[jobqueue.RunID]float64{}, work: map[jobqueue.TaskID]float64{}, stretch: map[string]float64{},
		submitted: map[string]time.Time{}, took: map[string]time.Duration{}, starts: map[string]int{}, everDoubtful: map[string]bool{},
	}
	s.planner = NewWithOptions(Options{WorkerRates: on})
	return s
}

// add adds workers to an availability zone.
func (s *rateSim) add(zone string, n int, cpuMilli int64, speed float64) {
	for range n {
		id := fmt.Sprintf("w%02d", len(s.workers))
		s.workers = append(s.workers, id)
		s.speed[id] = speed
		s.addWorkerIn(zone, id, cpuMilli, 4*cpuMilli)
	}
}

// offer submits a job and draws the work of its tasks.
func (s *rateSim) offer(queue, id string, step *apiv1.JobStep) {
	s.submit(queue, id, step)
	s.submitted[id] = s.now
	factor := 1.0
	if f := s.stretch[step.Image]; f > 0 {
		factor = f
	}
	for i := range step.Count {
		work := factor * float64(step.EstimatedMs) / 1000 * (0.9 + 0.2*s.random.Float64())
		if s.random.Float64() < s.tail {
			work *= 7
		}
		s.work[jobqueue.TaskID{Job: id, Index: i}] = work
	}
}

// run advances the fleet, with a job in each interval.
func (s *rateSim) run(span, interval time.Duration, step func(number int) *apiv1.JobStep) {
	number := 0
	for passed := time.Duration(0); passed < span; passed += rateSimStep {
		if interval > 0 && passed%interval == 0 {
			spec := step(number)
			queue := "urgent"
			if spec.Backfill {
				queue = "batch"
			}
			s.offer(queue, fmt.Sprintf("j%d-%d", s.steps, number), spec)
			number++
		}
		s.tick()
	}
}

func (s *rateSim) tick() {
	s.advance(rateSimStep)
	s.steps++
	for i, id := range s.workers {
		s.work1(id)
		if s.steps%rateSimReportSteps == i%rateSimReportSteps {
			s.reportProgress(id)
		}
	}
	d := s.plan()
	for _, start := range d.Starts {
		run := jobqueue.RunID{Task: jobqueue.TaskIDOf(start.Task), Number: start.Run}
		if s.machine.Run(run) == nil {
			continue
		}
		s.starts[start.Worker]++
		if s.now.Before(s.refuses[start.Worker]) {
			s.refuseStart(run, start.Worker)
			continue
		}
		s.progress[run] = checkpointProgress(start.Checkpoint)
		s.concurrent = max(s.concurrent, len(s.machine.Task(run.Task).Runs))
	}
	for _, rate := range s.planner.Rates(s.machine) {
		if rate.Doubtful {
			s.everDoubtful[rate.Worker] = true
		}
	}
}

// work1 advances the runs of a worker by one step.
func (s *rateSim) work1(id string) {
	w := s.machine.Worker(id)
	share := processorShare(w, s.planner.useOf(w))
	for _, runID := range w.SortedRunIDs() {
		run := w.Runs[runID]
		if run == nil || run.Step.LongRunning {
			continue
		}
		if run.Stopping {
			s.wasted++
			s.end(run, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
			continue
		}
		speed := s.speed[id]
		if run.Step.Backfill {
			speed *= share
			if percent, set := s.planner.Pace(id, runID); set {
				speed *= float64(percent) / fullPace
			}
		}
		s.progress[runID] += speed * rateSimStep.Seconds() / s.work[runID.Task]
		if s.progress[runID] >= 1 {
			s.end(run, apiv1.RunEndKind_RUN_END_KIND_DONE)
		}
	}
}

func (s *rateSim) reportProgress(id string) {
	w := s.machine.Worker(id)
	for _, runID := range w.SortedRunIDs() {
		run := w.Runs[runID]
		percent, figure := uint32(min(99, 100*s.progress[runID])), run.Step.CpuMilli
		if run.Step.LongRunning {
			percent, figure = 100, 30
		}
		s.observe(runID, percent, figure)
		if run.Step.Checkpointing {
			o := s.observations[runID]
			o.Checkpoint = fmt.Sprintf("%v", s.progress[runID])
			s.observations[runID] = o
		}
	}
	s.planner.Observe(w, s, s.now)
}

func checkpointProgress(checkpoint string) float64 {
	progress := 0.0
	fmt.Sscan(checkpoint, &progress)
	return progress
}

func (s *rateSim) end(run *jobqueue.Run, kind apiv1.RunEndKind) {
	s.t.Helper()
	id := run.ID
	ended := EndedRun{Worker: run.Worker, Run: id, Kind: kind, Step: run.Step, At: s.now, Resumed: run.Checkpoint != ""}
	if o, seen := s.observations[id]; seen {
		ended.Duration = s.now.Sub(o.FirstAt)
	}
	s.planner.RecordRunEnd(ended)
	s.nextEndSequence[run.Worker]++
	checkpoint := ""
	if run.Step.Checkpointing && kind != apiv1.RunEndKind_RUN_END_KIND_DONE {
		checkpoint = fmt.Sprintf("%v", s.progress[id])
	}
	s.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: s.machine.Worker(run.Worker).Spec,
		Ends: []*apiv1.RunEnd{{
			Sequence: s.nextEndSequence[run.Worker], Task: id.Task.Ref(), Run: id.Number, Kind: kind, Checkpoint: checkpoint,
		}},
	}}})
	if j := s.machine.Job(id.Task.Job); !j.Open() {
		if _, known := s.took[j.ID()]; !known {
			s.took[j.ID()] = s.now.Sub(s.submitted[j.ID()])
		}
	}
}

// onTime returns the fraction of the submitted jobs that ended within a time.
func (s *rateSim) onTime(limit time.Duration) float64 {
	n := 0
	for _, took := range s.took {
		if took <= limit {
			n++
		}
	}
	return float64(n) / float64(len(s.submitted))
}

// mean returns the mean time of the jobs, with the time until now for those that have not ended.
func (s *rateSim) mean() time.Duration {
	var sum time.Duration
	for id, at := range s.submitted {
		if took, ended := s.took[id]; ended {
			sum += took
		} else {
			sum += s.now.Sub(at)
		}
	}
	return sum / time.Duration(len(s.submitted))
}

func (s *rateSim) rate(worker string) WorkerRate {
	return s.planner.rates.rateOf(s.machine.Worker(worker))
}
