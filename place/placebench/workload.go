package main

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
)

const (
	urgentFraction = 0.03
	urgentRun      = 20 * time.Second
	maxJobTasks    = 8
	poisonFraction = 0.01
	burstTasks     = 40
	// unplaceableJobs can never run.
	unplaceableJobs = 3
)

// workload makes jobs whose true demand is a part of what tasks can have.
type workload struct {
	rng           *rand.Rand
	kinds         []*kindModel
	jobsPerSecond float64 // jobs a second
	lastJob       int
}

func newWorkload(load float64, kinds []*kindModel, workers []*worker, rng *rand.Rand) *workload {
	var processors, memory float64
	for _, w := range workers {
		empty := w.Capacity.Sub(w.Reserved)
		processors += float64(empty.MilliProcessors)
		memory += float64(empty.MemoryBytes)
	}
	var perTaskProcessors, perTaskMemory float64
	for _, k := range kinds {
		seconds := k.run.Seconds() * k.runFactor / float64(len(kinds))
		perTaskProcessors += float64(k.declared.MilliProcessors) * k.sizeFactor * seconds
		perTaskMemory += float64(k.declared.MemoryBytes) * k.sizeFactor * seconds
	}
	const meanTasks = (1.0 + maxJobTasks) / 2
	tasks := load * min(processors/perTaskProcessors, memory/perTaskMemory)
	return &workload{rng: rng, kinds: kinds, jobsPerSecond: tasks / meanTasks}
}

// arrivals returns the tasks that are submitted in one second.
func (l *workload) arrivals(now time.Time) []*task {
	var out []*task
	for range poisson(l.jobsPerSecond, l.rng) {
		kind := l.kinds[l.rng.Intn(len(l.kinds))]
		out = append(out, l.job(now, kind, 1+l.rng.Intn(maxJobTasks))...)
	}
	return out
}

func (l *workload) job(now time.Time, k *kindModel, tasks int) []*task {
	l.lastJob++
	job := fmt.Sprint("job-", l.lastJob)
	urgent := l.rng.Float64() < urgentFraction
	poison := l.rng.Float64() < poisonFraction
	out := make([]*task, tasks)
	for i := range out {
		noise := func() float64 { return math.Exp(0.12 * l.rng.NormFloat64()) }
		t := &task{
			kind: k, usageFactor: k.sizeFactor * noise(), share: 1, poison: poison,
			runTime: time.Duration(float64(k.run) * k.runFactor * noise()),
			Task: place.Task{
				ID: fmt.Sprint(job, "/", i), Job: job, Kind: k.name, Team: fmt.Sprint("team-", l.lastJob%3),
				Priority: apiv1.Priority_PRIORITY_BATCH, State: apiv1.TaskState_TASK_STATE_QUEUED,
				Size: k.declared, EvictionCost: k.evictionCost, ExpectedRun: k.run, QueuedAt: now,
			},
		}
		if urgent {
			t.Priority = apiv1.Priority_PRIORITY_URGENT
			t.ExpectedRun, t.runTime = urgentRun, urgentRun
			t.Kind = "urgent-" + k.name
		}
		out[i] = t
	}
	return out
}

// burst is a burst of the noisiest kind.
func (l *workload) burst(now time.Time, service string) []*task {
	noisiest := l.kinds[0]
	for _, k := range l.kinds {
		if k.harm[service] > noisiest.harm[service] {
			noisiest = k
		}
	}
	var out []*task
	for len(out) < burstTasks {
		out = append(out, l.job(now, noisiest, maxJobTasks)...)
	}
	return out
}

// unplaceable are jobs that no worker could hold.
func (l *workload) unplaceable(now time.Time) []*task {
	var out []*task
	for range unplaceableJobs {
		ts := l.job(now, l.kinds[0], 1)
		ts[0].Size.MemoryBytes = 1 << 40
		ts[0].Priority = apiv1.Priority_PRIORITY_URGENT
		out = append(out, ts...)
	}
	return out
}

func poisson(mean float64, rng *rand.Rand) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
