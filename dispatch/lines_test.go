package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/trace"
)

// newLoggingSim is a simulation whose leader writes its lines as a daemon does, into a
// buffer.
func newLoggingSim(ctx context.Context, t *testing.T, workers int, o dispatch.Options) (*sim, *bytes.Buffer, metrics.Registry) {
	before, end := context.WithCancel(ctx)
	s := newSim(before, t, 1, 0)
	end()
	s.loops.Wait()
	s.ctx, s.faultFree = ctx, true
	lines, registry := &bytes.Buffer{}, metrics.NewRegistry()
	config := zap.NewProductionEncoderConfig()
	config.NameKey, config.EncodeTime = "part", zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(lines)), zap.InfoLevel)
	s.log.Lose(100 * time.Millisecond)
	o.Replica, o.Logger, o.Metrics = s.replica, zap.New(core), registry
	s.dispatcher = dispatch.New(o)
	s.loops.Go(func() { s.dispatcher.Run(ctx) })
	for i := range workers {
		h := newSimulatedHost(s, fmt.Sprintf("host%d", i))
		h.startWorker()
		h.startAgent()
		s.hosts = append(s.hosts, h)
	}
	s.loops.Go(s.announceLoop)
	return s, lines, registry
}

// tracedRuns returns what a log says of each run, in order.
func tracedRuns(t *testing.T, log *bytes.Buffer) map[string][]string {
	t.Helper()
	lines, err := trace.Read(log, "leader")
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string][]string{}
	for _, l := range lines {
		if task := l.Fields["task"]; task != nil {
			run := fmt.Sprint(task, " ", l.Fields["run"])
			runs[run] = append(runs[run], l.Event)
		}
	}
	return runs
}

// Symptom: the last part of a busy leader's log holds nothing but starts and ends, or a
// run that was lost can't be found in it.
// Sequence: a hundred jobs of three tasks within five seconds; then a worker crashes with a
// run on it. Cause: a line for each start and end, and none for what is lost with a
// worker.
func TestRunsAreTracedFromBatchedLines(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, registry := newLoggingSim(ctx, t, 4, dispatch.Options{})
		s.longRunningJob = "long"
		s.sleep(2 * time.Second)
		const jobs, tasks = 100, 3
		for i := range jobs {
			id := fmt.Sprintf("job%d", i)
			s.submitSpec(&apiv1.JobSpec{Id: id, Host: simHost, Path: "/q/" + id, Steps: []*apiv1.JobStep{
				{Count: tasks, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 400},
			}})
			s.sleep(50 * time.Millisecond)
		}
		s.submitSpec(&apiv1.JobSpec{Id: "long", Host: simHost, Path: "/q/long", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 1000, MemoryMb: 10, LongRunning: true},
		}})
		s.sleep(5 * time.Second)
		worker := s.firstTaskWorker("long")
		for _, h := range s.hosts {
			if h.incarnation() == worker {
				h.startWorker()
			}
		}
		s.sleep(15 * time.Second)
		stop()
		s.loops.Wait()

		if n := strings.Count(log.String(), "\n"); n > 60 {
			t.Errorf("%d lines for %d runs", n, jobs*tasks)
		}
		runs := tracedRuns(t, log)
		for i := range jobs {
			for index := range tasks {
				run := fmt.Sprintf("job%d/0/0/%d 1", i, index)
				if got := strings.Join(runs[run], ", "); got != "start, run ended" {
					t.Errorf("run %s: %s", run, got)
				}
			}
		}
		first, second := strings.Join(runs["long/0/0/0 1"], ", "), strings.Join(runs["long/0/0/0 2"], ", ")
		if first != "start, worker crashed, run lost" || second != "start" {
			t.Errorf("the run that was lost: %s; the one after it: %s", first, second)
		}
		lost := registry.Get("dispatch.work_lost_core_ms").(metrics.Counter).Count()
		if lost <= 0 || lost > 3000 { // the stand-in saves a checkpoint each second
			t.Errorf("%d core-milliseconds were lost, want those since the last checkpoint, until the loss was seen", lost)
		}
		if n := registry.Get("dispatch.ready_to_start_us").(metrics.Histogram).Count(); n < jobs*tasks {
			t.Errorf("%d starts are timed", n)
		}
	})
}

// unreliablePlatform answers nothing until it is well.
type unreliablePlatform struct{ available atomic.Bool }

var errPlatformUnavailable = errors.New("the platform gives no answer")

func (p *unreliablePlatform) Approve(context.Context, schedule.AdviceRequest) (schedule.Advice, error) {
	if !p.available.Load() {
		return schedule.Advice{}, errPlatformUnavailable
	}
	return schedule.Advice{}, nil
}

func (p *unreliablePlatform) List(context.Context) (map[string]schedule.HostView, error) {
	if !p.available.Load() {
		return nil, errPlatformUnavailable
	}
	return map[string]schedule.HostView{}, nil
}

func (p *unreliablePlatform) Move(context.Context, uint64, string, string) (dispatch.HostAnswer, error) {
	return 0, errPlatformUnavailable
}

func (p *unreliablePlatform) Maintain(context.Context, uint64, string, uint64) (dispatch.HostAnswer, error) {
	return 0, errPlatformUnavailable
}

// Symptom: tasks of an advised queue and a wave of maintenance stand still, and nothing
// says since when the platform has given no answer.
// Sequence: its advisor and its list of hosts fail for ten seconds. Cause: a line for
// each call, or none.
func TestUnreachablePlatformIsLoggedOnce(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		platform := &unreliablePlatform{}
		s, log, registry := newLoggingSim(ctx, t, 2, dispatch.Options{Advisor: platform, Hosts: platform})
		s.sleep(2 * time.Second)
		s.submitSpec(&apiv1.JobSpec{Id: "a", Host: simHost, Path: "/advised/a", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 400},
		}})
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
			Wave: &apiv1.MaintenanceWave{Number: 1, Hosts: []string{"host0"}, DurationMs: 1000, Cap: 1},
		}}})
		s.sleep(10 * time.Second)
		platform.available.Store(true)
		s.sleep(10 * time.Second)
		stop()
		s.loops.Wait()
		for _, dependency := range []string{"advisor", "list of hosts"} {
			for _, line := range []string{"dependency lost", "dependency is back"} {
				n := 0
				for _, l := range strings.Split(log.String(), "\n") {
					if strings.Contains(l, line) && strings.Contains(l, `"dependency":"`+dependency+`"`) {
						n++
					}
				}
				if n != 1 {
					t.Errorf("%s: %q is told %d times", dependency, line, n)
				}
			}
		}
		for _, name := range []string{"advice_calls.unanswered", "advice_calls.answered", "host_lists.unanswered", "host_lists.answered"} {
			if c, ok := registry.Get("dispatch." + name).(metrics.Counter); !ok || c.Count() == 0 {
				t.Errorf("%s is not counted", name)
			}
		}
	})
}

func (s *sim) submitSpec(spec *apiv1.JobSpec) {
	s.submitJob(spec)
}

// Symptom: after a bad morning nobody can say which jobs ended late and which serving tasks
// were over their objectives.
// Sequence: a job ends after four times the time that it should have taken, beside a serving
// task whose worker reports a tail over its objective, before it is at work and then at work.
// Cause: lines told of runs, not of what callers got.
func TestLateJobsAndObjectiveMissesAreLogged(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, _ := newLoggingSim(ctx, t, 0, dispatch.Options{})
		s.sleep(time.Second)
		worker := &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 32_000, MemoryMb: 64_000}
		report := func(r *apiv1.JobsReportRequest) {
			t.Helper()
			r.Worker = worker
			if _, err := s.dispatcher.Report(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		report(&apiv1.JobsReportRequest{})
		s.submitSpec(&apiv1.JobSpec{Id: "j1", Host: simHost, Path: "/q/j1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 500},
		}})
		s.submitSpec(&apiv1.JobSpec{Id: "l1", Host: simHost, Path: "/q/l1", Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 100, MemoryMb: 10, LongRunning: true, Image: "serving", TailObjectiveMs: 100},
		}})
		s.sleep(500 * time.Millisecond)
		serving := func(percent uint32) []*apiv1.RunObservation {
			return []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "l1"}, Run: 1, Percent: percent, Figure: 150}}
		}
		report(&apiv1.JobsReportRequest{Running: serving(50)})
		s.sleep(500 * time.Millisecond)
		report(&apiv1.JobsReportRequest{Running: serving(100)})
		s.sleep(time.Second)
		report(&apiv1.JobsReportRequest{Running: serving(100), Ends: []*apiv1.RunEnd{
			{Sequence: 1, Task: &apiv1.TaskRef{Job: "j1"}, Run: 1, Kind: apiv1.RunEndKind_RUN_END_KIND_DONE},
		}})
		s.sleep(2 * time.Second)
		stop()
		s.loops.Wait()
		lines, err := trace.Read(log, "leader")
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]int{}
		for _, l := range lines {
			seen[l.Event]++
			switch l.Event {
			case "jobs are over":
				took, allowed := l.Fields["took"].(time.Duration), l.Fields["allowed"].(time.Duration)
				if l.Fields["job"] != "j1" || l.Fields["how"] != "succeeded" || took < 2*time.Second || allowed > took {
					t.Errorf("job %v", l.Fields)
				}
			case "tails are over their objectives":
				if l.Fields["task"] != "l1/0/0/0" || l.Fields["percent"] != 150.0 {
					t.Errorf("tail %v", l.Fields)
				}
			}
		}
		if seen["jobs are over"] != 1 || seen["tails are over their objectives"] != 2 {
			t.Errorf("lines %v", seen)
		}
	})
}

// Guards against a run that goes on beside another one and that nobody hears of.
func TestUnloggedRunsAreReported(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, log, registry := newLoggingSim(ctx, t, 0, dispatch.Options{})
		s.sleep(time.Second)
		for range 4 {
			_, err := s.dispatcher.Report(ctx, &apiv1.JobsReportRequest{
				Worker:  &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 4000, MemoryMb: 8000},
				Running: []*apiv1.RunObservation{{Task: &apiv1.TaskRef{Job: "j1"}, Run: 2}},
			})
			if err != nil {
				t.Fatal(err)
			}
			s.sleep(500 * time.Millisecond)
		}
		stop()
		s.loops.Wait()
		if got := strings.Join(tracedRuns(t, log)["j1/0/0/0 2"], ", "); got != "run is not in the log" {
			t.Errorf("the run's lines: %q", got)
		}
		if n := registry.Get("dispatch.runs_unlogged").(metrics.Counter).Count(); n != 1 {
			t.Errorf("%d runs are counted, want 1", n)
		}
	})
}
