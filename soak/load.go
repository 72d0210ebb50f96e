package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	queueHost   = "queues.example"
	servingPath = "/serving/"
	batchPath   = "/batch/"
	// batchAttempts is the number of failed runs of one task after which a job of the batch queue fails.
	batchAttempts = 4
)

// submittedJob is a job with the responses that its caller received. It is stored in the summary.
type submittedJob struct {
	ID       string
	Path     string
	Job      platformtest.Job
	Accepted time.Time
	// Refused is whether every attempt was refused and the caller gave up.
	Refused bool
	// CancelSent is when the caller first requested the cancellation, Canceled when it was acknowledged.
	CancelSent, Canceled time.Time
	// State is the state in the last response of an entry, Status the status code of that response.
	State  string
	Status int
}

// load submits the jobs of a soak run.
type load struct {
	c    *cluster
	seed uint64
	// batchShare is the batch work as a fraction of the capacity that the long-running tasks leave.
	batchShare float64
	// failPercent is the percentage of a failing job's runs that fail.
	failPercent uint32
	// callers is whether some callers cancel, give up or resend.
	callers bool
	// allFail is whether all batch jobs are failing jobs.
	allFail bool

	// followUps are the callers' later requests about accepted jobs.
	followUps conc.WaitGroup

	mu   sync.Mutex
	rand *rand.Rand
	jobs []*submittedJob
}

// longRunningShare is the fraction of the fleet's processors that the long-running tasks use.
const longRunningShare = 0.5

// drawLongRunning draws the jobs with long-running tasks.
func drawLongRunning(r *rand.Rand, workers int) []platformtest.Job {
	var jobs []platformtest.Job
	left := int64(longRunningShare * float64(workers*workerCPUMilli))
	for left > 0 {
		step := platformtest.Step{
			Count: uint32(3 + r.IntN(6)), CPU: int64(400 + 200*r.IntN(5)), MemoryMB: int64(300 + 300*r.IntN(4)), LongRunning: true,
		}
		if r.IntN(3) == 0 {
			step.MaxPerWorker = 1
			step.Count = min(step.Count, uint32(workers-3))
		}
		behavior := platformtest.Behavior{LongRunning: true}
		if r.IntN(4) == 0 {
			behavior.FailPercent, behavior.WorkMs, behavior.SpreadMs = 20, 500, 10_000
		}
		jobs = append(jobs, platformtest.Job{Spec: behavior.Payload(), Steps: []platformtest.Step{step}})
		left -= int64(step.Count) * step.CPU
	}
	return jobs
}

// drawBatch draws a job with batch tasks, which end by themselves.
func (l *load) drawBatch() platformtest.Job {
	behavior := platformtest.Behavior{WorkMs: int64(200 + l.rand.IntN(2000)), SpreadMs: 1000}
	if l.rand.IntN(3) == 0 || l.allFail {
		behavior.FailPercent = l.failPercent
	}
	step := platformtest.Step{
		Count: uint32(1 + l.rand.IntN(10)), CPU: int64(400 + 200*l.rand.IntN(8)), MemoryMB: int64(200 + 200*l.rand.IntN(6)),
		EstimatedMs: behavior.WorkMs + behavior.SpreadMs/2, Backfill: l.rand.IntN(6) == 0,
	}
	return platformtest.Job{Spec: behavior.Payload(), Steps: []platformtest.Step{step}}
}

func (l *load) newID() string { return fmt.Sprintf("%016x", l.rand.Uint64()) }

// submitBatch submits batch jobs until ctx ends, at the rate that uses batchShare of the capacity.
func (l *load) submitBatch(ctx context.Context) {
	capacity := l.batchShare * (1 - longRunningShare) * float64(l.c.o.Workers*workerCPUMilli)
	for ctx.Err() == nil {
		l.mu.Lock()
		id, j := l.newID(), l.drawBatch()
		caller := l.drawCaller()
		l.mu.Unlock()
		l.runCaller(ctx, batchPath, id, j, caller)
		s := j.Steps[0]
		work := float64(s.CPU) * float64(s.Count) * float64(s.EstimatedMs)
		sleep(ctx, time.Duration(work/capacity*float64(time.Millisecond)))
	}
}

// answeredJobs returns the jobs that were accepted or refused.
func (l *load) answeredJobs() []submittedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []submittedJob
	for _, j := range l.jobs {
		jobs = append(jobs, *j)
	}
	return jobs
}
