package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	queueHost   = "queues.example"
	servingPath = "/serving/"
	batchPath   = "/batch/"
)

func configuration() []byte {
	return platformtest.Configuration(1, pool,
		platformtest.Queue{Name: "serving", Host: queueHost, PathPrefix: servingPath, MaxAttempts: 2},
		platformtest.Queue{Name: "batch", Host: queueHost, PathPrefix: batchPath, Priority: 1, MaxAttempts: 4})
}

// submittedJob is a job that was accepted.
type submittedJob struct {
	ID       string
	Job      platformtest.Job
	Accepted time.Time
}

// load hands jobs in.
type load struct {
	c *cluster
	// batchShare is how much batch work comes, against what the lasting tasks leave.
	batchShare float64
	// failPercent is how many runs of a failing job fail.
	failPercent uint32
	// allFail: all batch jobs are failing ones.
	allFail bool

	mu   sync.Mutex
	rand *rand.Rand
	jobs []submittedJob
}

// lastingShare is how much of the fleet the lasting tasks take.
const lastingShare = 0.5

// drawLasting draws jobs whose tasks last.
func drawLasting(r *rand.Rand, workers int) []platformtest.Job {
	var jobs []platformtest.Job
	left := int64(lastingShare * float64(workers*workerCPU))
	for left > 0 {
		step := platformtest.Step{
			Count: uint32(3 + r.IntN(6)), CPU: int64(400 + 200*r.IntN(5)), MemoryMB: int64(300 + 300*r.IntN(4)), LongRunning: true,
		}
		if r.IntN(3) == 0 {
			step.MaxPerWorker = 1
			step.Count = min(step.Count, uint32(workers-3))
		}
		behavior := platformtest.Behavior{Lasts: true}
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

// hand hands a job in until it is accepted or refused for good.
func (l *load) hand(ctx context.Context, prefix, id string, j platformtest.Job) {
	for try := 0; ctx.Err() == nil; try++ {
		entry := l.c.entryIPs[try%len(l.c.entryIPs)]
		status, err := l.c.client.Submit(ctx, entry, queueHost, prefix+id, j)
		if err == nil && status == http.StatusOK {
			l.mu.Lock()
			l.jobs = append(l.jobs, submittedJob{ID: id, Job: j, Accepted: time.Now()})
			l.mu.Unlock()
			return
		}
		sleep(ctx, retryEvery)
	}
}

// feedBatch hands batch jobs in until ctx ends, at the rate that fills its share.
func (l *load) feedBatch(ctx context.Context) {
	room := l.batchShare * (1 - lastingShare) * float64(l.c.o.Workers*workerCPU)
	for ctx.Err() == nil {
		l.mu.Lock()
		id, j := l.newID(), l.drawBatch()
		l.mu.Unlock()
		l.hand(ctx, batchPath, id, j)
		s := j.Steps[0]
		work := float64(s.CPU) * float64(s.Count) * float64(s.EstimatedMs)
		sleep(ctx, time.Duration(work/room*float64(time.Millisecond)))
	}
}

func (l *load) accepted() []submittedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]submittedJob(nil), l.jobs...)
}
