package dispatch_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/dispatch"
)

const simMemoryLimit = 96 << 20

func newLimitedSim(t *testing.T, now func() time.Time) *sim {
	s := &sim{t: t, ctx: t.Context()}
	s.replica = control.NewReplica(control.Config{Now: now, SubmitJob: func(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
		return s.dispatcher.SubmitJob(ctx, spec, propose)
	}})
	s.connected = &simReplica{Replica: s.replica}
	s.dispatcher = dispatch.New(dispatch.Options{Replica: s.connected, JobMemoryLimit: simMemoryLimit, Now: now})
	s.replica.Attach(control.NewMemoryLog(s.replica, ""))
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: simPool}},
		Queues: []*apiv1.JobQueue{{Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, MaxAttempts: 4, TimeoutMs: 1000}},
	}}}})
	return s
}

func largeJob(id string, steps ...*apiv1.JobStep) *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: id, Host: simHost, Path: "/q/" + id, Steps: steps}
}

// Guards against a leader that runs out of memory by legal jobs, against one that refuses small jobs beside
// them or a repeat of an accepted job, and against a refused job that is in the log.
func TestLargeJobsDoNotExhaustMemory(t *testing.T) {
	single := &apiv1.JobStep{Count: 1}
	for name, steps := range map[string][]*apiv1.JobStep{
		"tasks": {{Count: 20_000}}, "steps": slicesOf(10_000, single),
		"text": {{Count: 1, Image: strings.Repeat("i", 260_000)}, {Count: 1, After: make([]uint32, 100_000)}},
	} {
		for _, occurrences := range []uint32{0, 20_000 / max(uint32(len(steps)), steps[0].Count)} {
			start := time.Now()
			s := newLimitedSim(t, func() time.Time { return start })
			job := func(id string) *apiv1.JobSpec {
				spec := largeJob(id, steps...)
				spec.Occurrences = occurrences
				return spec
			}
			before := heapBytes()
			var accepted, refused []string
			for i := range 150 {
				id := fmt.Sprint("job", i)
				switch o := outcomeOf(s.trySubmit(job(id))); o {
				case "JOB_OUTCOME_OK":
					accepted = append(accepted, id)
				case "JOB_OUTCOME_REFUSED":
					refused = append(refused, id)
				default:
					t.Fatal(o)
				}
			}
			used := heapBytes() - before
			if used > simMemoryLimit || len(accepted) == 0 || len(refused) == 0 {
				t.Fatalf("%s, %d occurrences: %d accepted jobs take %d bytes, %d are refused", name, occurrences, len(accepted), used, len(refused))
			}
			submitSmall := func(id string) {
				if o := outcomeOf(s.trySubmit(heavy(id, ""))); o != "JOB_OUTCOME_OK" {
					t.Errorf("a small job is answered %q", o)
				}
			}
			submitSmall("small")
			if o := outcomeOf(s.trySubmit(job(accepted[0]))); o != "JOB_OUTCOME_OK" || s.logHolds(refused[0]) {
				t.Errorf("an accepted job is answered %q, the log holds a refused one: %v", o, s.logHolds(refused[0]))
			}
			for _, id := range accepted {
				s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: id, Host: simHost, Path: "/q/" + id}}})
			}
			start = start.Add(time.Hour)
			submitSmall("later") // the canceled jobs are forgotten
			if o := outcomeOf(s.trySubmit(job(refused[0]))); o != "JOB_OUTCOME_OK" {
				t.Errorf("after the others are forgotten: %q", o)
			}
		}
	}
}

func slicesOf(n int, s *apiv1.JobStep) (steps []*apiv1.JobStep) {
	for range n {
		steps = append(steps, s)
	}
	return steps
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Guards against submissions of unknown outcome that take more than the limit once they are committed, against
// the refusal of a job that may be committed, and against a refusal without a quorum.
func TestJobsInDoubtTakeMemory(t *testing.T) {
	s := newLimitedSim(t, nil)
	lose := func(context.Context) (*apiv1.Result, error) { return nil, &control.UnknownError{Cause: "lost"} }
	large := func(i int) *apiv1.JobSpec { return largeJob(fmt.Sprint("job", i), &apiv1.JobStep{Count: 20_000}) }
	outcome, jobs := "unknown", 0
	for ; outcome == "unknown" && jobs < 20; jobs++ {
		outcome = outcomeOf(s.dispatcher.SubmitJob(s.ctx, large(jobs), lose))
	}
	if outcome != "JOB_OUTCOME_REFUSED" {
		t.Errorf("%d jobs may be committed, the last is answered %q", jobs, outcome)
	}
	if o := outcomeOf(s.trySubmit(large(0))); o != "JOB_OUTCOME_OK" {
		t.Errorf("a job that may be committed is answered %q", o)
	}
	s.connected.cutOff.Store(true)
	if o := outcomeOf(s.trySubmit(large(jobs))); o != "not run" {
		t.Errorf("without a quorum: %q", o)
	}
}
