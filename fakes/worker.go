package fakes

import (
	"fmt"
	"sort"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	fullShare = 1000
	// sampleInterval is the time between measurements of usage.
	sampleInterval = 100 * time.Millisecond
	maxSamples     = 600
)

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	// Info includes the incarnation, which names this start of the worker: the
	// tasks of an earlier one are gone.
	Info *apiv1.WorkerInfo
	// RunFactor multiplies declared run times, which are far off in practice.
	RunFactor float64
	// UsageFactor multiplies the grant to give what a task uses.
	UsageFactor float64
	// UsageLag is the least age of a usage report.
	UsageLag time.Duration
	// FailEverything makes each task fail as soon as it has started.
	FailEverything bool
}

// Worker pretends to run tasks on a timeline: a task is over at the instant its
// work is done or its deadline passes, whichever comes first, however late the
// process gets to look. All times are readings of the boot clock.
type Worker struct {
	cfg    WorkerConfig
	record *Recorder[RunEvent]

	mu     sync.Mutex
	runs   map[string]*run
	newest map[string]uint64
}

type run struct {
	start    *apiv1.StartTask
	deadline time.Duration
	work     time.Duration
	progress time.Duration
	// progressTime is the time up to which progress is counted.
	progressTime time.Duration
	share        int64
	checkpoint   string
	phase        apiv1.TaskPhase
	message      string
	samples      []sample
}

type sample struct {
	at   time.Duration
	used *apiv1.Resources
}

// NewWorker returns a worker without tasks and records its start.
func NewWorker(cfg WorkerConfig, record *Recorder[RunEvent], now time.Duration) *Worker {
	if cfg.RunFactor <= 0 {
		cfg.RunFactor = 1
	}
	if cfg.UsageFactor <= 0 {
		cfg.UsageFactor = 1
	}
	w := &Worker{cfg: cfg, record: record, runs: map[string]*run{}, newest: map[string]uint64{}}
	w.recordEvent(RunEvent{Kind: EventWorkerStart, At: now, Capacity: amountOf(cfg.Info.GetCapacity())})
	return w
}

// FailEverything sets whether each task fails as soon as it has started.
func (w *Worker) FailEverything(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailEverything = on
}

// SetCapacity changes what the worker says it has.
func (w *Worker) SetCapacity(c *apiv1.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Info.Capacity = c
}

// Info returns what the worker has.
func (w *Worker) Info() *apiv1.WorkerInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &apiv1.WorkerInfo{
		Name:        w.cfg.Info.GetName(),
		Location:    w.cfg.Info.GetLocation(),
		Capacity:    w.cfg.Info.GetCapacity(),
		Incarnation: w.cfg.Info.GetIncarnation(),
	}
}

// Advance brings every run up to now.
func (w *Worker) Advance(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

func (w *Worker) advance(now time.Duration) {
	for _, r := range w.runs {
		if r.running() {
			w.advanceRun(r, now)
		}
	}
}

func (w *Worker) advanceRun(r *run, now time.Duration) {
	until := min(now, r.deadline)
	done := r.completionTime()
	if done <= until {
		r.accrueProgress(done)
		w.end(r, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED, done, "")
		return
	}
	r.accrueProgress(until)
	w.sampleUsage(r, until)
	if now >= r.deadline {
		w.end(r, apiv1.TaskPhase_TASK_PHASE_STOPPED, r.deadline, EndReasonExpired)
	}
}

func (r *run) running() bool { return r.phase == apiv1.TaskPhase_TASK_PHASE_RUNNING }

// completionTime is when the work is done if nothing changes.
func (r *run) completionTime() time.Duration {
	left := r.work - r.progress
	return r.progressTime + left*fullShare/time.Duration(max(r.share, 1))
}

func (r *run) accrueProgress(until time.Duration) {
	r.progress += (until - r.progressTime) * time.Duration(r.share) / fullShare
	r.progressTime = until
}

func (w *Worker) end(r *run, phase apiv1.TaskPhase, at time.Duration, why string) {
	r.phase = phase
	r.message = why
	if why == "" {
		why = endReasons[phase]
	}
	w.recordEvent(RunEvent{Kind: EventEnd, At: at, Task: r.task(), Attempt: r.attempt(), EndReason: why})
}

func (r *run) task() string    { return r.start.GetTask().GetTask() }
func (r *run) attempt() uint64 { return r.start.GetTask().GetAttempt() }

func (w *Worker) recordEvent(e RunEvent) {
	e.Worker = w.cfg.Info.GetName()
	e.Incarnation = w.cfg.Info.GetIncarnation()
	w.record.Add(e)
}

func (w *Worker) sampleUsage(r *run, at time.Duration) {
	if n := len(r.samples); n > 0 && at-r.samples[n-1].at < sampleInterval {
		return
	}
	used := scaleUsage(r.start.GetGrant(), w.cfg.UsageFactor*float64(r.share)/fullShare)
	r.samples = append(r.samples, sample{at: at, used: used})
	if len(r.samples) > maxSamples {
		r.samples = r.samples[1:]
	}
}

func scaleUsage(r *apiv1.Resources, by float64) *apiv1.Resources {
	return &apiv1.Resources{
		MilliProcessors: int64(float64(r.GetMilliProcessors()) * by),
		MemoryBytes:     r.GetMemoryBytes(),
		Accelerators:    r.GetAccelerators(),
	}
}

// Tasks lists running attempts and ended ones that were not forgotten, by name.
func (w *Worker) Tasks(now time.Duration) []*apiv1.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	out := make([]*apiv1.TaskStatus, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r.status())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetTask().GetTask() < out[j].GetTask().GetTask() })
	return out
}

func (r *run) status() *apiv1.TaskStatus {
	return &apiv1.TaskStatus{
		Task:          &apiv1.TaskAttempt{Task: r.task(), Attempt: r.attempt()},
		Phase:         r.phase,
		Grant:         r.start.GetGrant(),
		Checkpoint:    r.checkpoint,
		Message:       r.message,
		ProgressMilli: int32(r.progress * fullShare / max(r.work, 1)),
	}
}

// Usage returns each running task's newest measurement that is at least
// UsageLag old.
func (w *Worker) Usage(now time.Duration) []*apiv1.UsageReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	var out []*apiv1.UsageReport
	for _, r := range w.runs {
		if s, ok := r.newestSampleAt(now - w.cfg.UsageLag); ok && r.running() {
			task := &apiv1.TaskAttempt{Task: r.task(), Attempt: r.attempt()}
			out = append(out, &apiv1.UsageReport{Task: task, Used: s.used, AgeMs: (now - s.at).Milliseconds()})
		}
	}
	return out
}

func (r *run) newestSampleAt(at time.Duration) (sample, bool) {
	i := sort.Search(len(r.samples), func(i int) bool { return r.samples[i].at > at })
	if i == 0 {
		return sample{}, false
	}
	return r.samples[i-1], true
}

// checkpointName tells any worker where to resume; the worker's real store is
// shared and durable.
func checkpointName(r *run) string {
	return fmt.Sprintf("%s@%d+%dms", r.task(), r.attempt(), r.progress.Milliseconds())
}

var endReasons = map[apiv1.TaskPhase]string{
	apiv1.TaskPhase_TASK_PHASE_SUCCEEDED: EndReasonSucceeded,
	apiv1.TaskPhase_TASK_PHASE_FAILED:    EndReasonFailed,
	apiv1.TaskPhase_TASK_PHASE_STOPPED:   EndReasonStopped,
}

func newRefusal(code worker.Code, format string, args ...any) error {
	return &worker.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}
