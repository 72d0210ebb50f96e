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
	// batchAttempts is how often a task of the batch queue fails until its job has failed.
	batchAttempts = 4
)

// submittedJob is a job with what its caller was told.
type submittedJob struct {
	ID       string
	Path     string
	Job      platformtest.Job
	Accepted time.Time
	// Refused: each try was refused, and the caller gave up.
	Refused bool
	// CancelSent is when the caller first asked for the end, Canceled when that was acknowledged.
	CancelSent, Canceled time.Time
	// State is what an entry said last, Status the code of that answer.
	State  string
	Status int
}

// load hands jobs in.
type load struct {
	c    *cluster
	seed uint64
	// batchShare is how much batch work comes, against what the lasting tasks leave.
	batchShare float64
	// failPercent is how many runs of a failing job fail.
	failPercent uint32
	// callers: some callers do more than to hand a job in.
	callers bool
	// allFail: all batch jobs are failing ones.
	allFail bool

	// followUps is what callers do with jobs that were accepted.
	followUps conc.WaitGroup

	mu   sync.Mutex
	rand *rand.Rand
	jobs []*submittedJob
}

// longRunningShare is how much of the fleet the lasting tasks take.
const longRunningShare = 0.5

// drawLongRunning draws jobs whose tasks last.
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

// drawBatch draws a job whose tasks end.
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

// submitBatch hands batch jobs in until ctx ends, at the rate that fills its share.
func (l *load) submitBatch(ctx context.Context) {
	room := l.batchShare * (1 - longRunningShare) * float64(l.c.o.Workers*workerCPUMilli)
	for ctx.Err() == nil {
		l.mu.Lock()
		id, j := l.newID(), l.drawBatch()
		caller := l.drawCaller()
		l.mu.Unlock()
		l.runCaller(ctx, batchPath, id, j, caller)
		s := j.Steps[0]
		work := float64(s.CPU) * float64(s.Count) * float64(s.EstimatedMs)
		sleep(ctx, time.Duration(work/room*float64(time.Millisecond)))
	}
}

// answeredJobs returns the jobs that callers got an answer about.
func (l *load) answeredJobs() []submittedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []submittedJob
	for _, j := range l.jobs {
		jobs = append(jobs, *j)
	}
	return jobs
}
