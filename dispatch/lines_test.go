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

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/trace"
)

// newLoggingSim returns a simulation whose leader logs into a buffer, in the format of a daemon.
func newLoggingSim(ctx context.Context, t *testing.T, workers int, o dispatch.Options) (*sim, *bytes.Buffer, metrics.Registry) {
	initialCtx, stopInitial := context.WithCancel(ctx)
	s := newSim(initialCtx, t, 1, 0, admission.Off)
	stopInitial()
	s.loops.Wait()
	s.ctx, s.faultFree = ctx, true
	buffer, registry := &bytes.Buffer{}, metrics.NewRegistry()
	config := zap.NewProductionEncoderConfig()
	config.NameKey, config.EncodeTime = "part", zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(buffer)), zap.InfoLevel)
	s.log.LoseLeadership(100 * time.Millisecond)
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
	return s, buffer, registry
}

// tracedRuns returns the events of each run in a log, in order.
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

// Guards against a busy leader's log whose last part contains only starts and ends, and against a
// lost run that can't be found in it. A line per start and end, and none for the losses with a
// worker, caused this. A hundred jobs of three tasks arrive within five seconds; then a worker with
// a run crashes.
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
			t.Errorf("%d lines for %d runs, want at most 60", n, jobs*tasks)
		}
		runs := tracedRuns(t, log)
		for i := range jobs {
			for index := range tasks {
				run := fmt.Sprintf("job%d/0/0/%d 1", i, index)
				if got := strings.Join(runs[run], ", "); got != "start, run ended" {
					t.Errorf("run %s has the events %s", run, got)
				}
			}
		}
		first, second := strings.Join(runs["long/0/0/0 1"], ", "), strings.Join(runs["long/0/0/0 2"], ", ")
		if first != "start, run begun, worker crashed, run lost" || second != "start, run begun" {
			t.Errorf("events of the lost run: %s; of the next run: %s", first, second)
		}
		lost := registry.Get("dispatch.work_lost_core_ms").(metrics.Counter).Count()
		if lost <= 0 || lost > 3000 { // the simulated worker saves a checkpoint each second
			t.Errorf("%d core-milliseconds were lost, want those from the last checkpoint to the detection of the loss", lost)
		}
		if n := registry.Get("dispatch.ready_to_start_us").(metrics.Histogram).Count(); n < jobs*tasks {
			t.Errorf("%d starts were timed", n)
		}
	})
}

// unreliablePlatform answers no call until it is available.
type unreliablePlatform struct{ available atomic.Bool }

var errPlatformUnavailable = errors.New("the platform is unavailable")

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

// Guards against a log that does not show since when the platform has been unreachable, with a line
// per call or none, while tasks of an advised queue and a maintenance wave make no progress. The
// advisor and the host list fail for ten seconds.
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
					t.Errorf("%s: %q is logged %d times, want 1", dependency, line, n)
				}
			}
		}
		for _, name := range []string{"advice_calls.unanswered", "advice_calls.answered", "host_lists.unanswered", "host_lists.answered"} {
			if c, ok := registry.Get("dispatch." + name).(metrics.Counter); !ok || c.Count() == 0 {
				t.Errorf("%s was not counted", name)
			}
		}
	})
}

func (s *sim) submitSpec(spec *apiv1.JobSpec) {
	s.submitJob(spec)
}

// Guards against logs from which one can't find out which jobs finished late and which serving
// tasks exceeded their objectives, since lines described runs but not the service that callers got.
// A job takes four times its allowed time. Beside it, the worker of a serving task reports a tail
// latency over its objective, first while the task starts up and then when it has started up.
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
					t.Errorf("finished job: %v", l.Fields)
				}
			case "tails are over their objectives":
				if l.Fields["task"] != "l1/0/0/0" || l.Fields["percent"] != 150.0 {
					t.Errorf("objective miss: %v", l.Fields)
				}
			}
		}
		if seen["jobs are over"] != 1 || seen["tails are over their objectives"] != 2 {
			t.Errorf("lines by event: %v", seen)
		}
	})
}

// Guards against a run that continues beside another run of its task without a log line.
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
			t.Errorf("the run's events are %q", got)
		}
		if n := registry.Get("dispatch.runs_unlogged").(metrics.Counter).Count(); n != 1 {
			t.Errorf("%d unlogged runs were counted, want 1", n)
		}
	})
}
