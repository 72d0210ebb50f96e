package main

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
)

// task is a task of the stand-in with its hidden truth.
type task struct {
	place.Task
	kind         *kindModel
	usageFactor  float64 // use of processors and memory over the declared size
	runTime      time.Duration
	progress     time.Duration
	checkpointed time.Duration
	share        float64
	poison       bool
	// stopAt is when an ordered stop is confirmed, zero when none is.
	stopAt   time.Time
	canceled bool
	firstRun time.Time
}

func (t *task) used() place.Resources {
	f := t.usageFactor
	return place.Resources{
		MilliProcessors: int64(float64(t.kind.declared.MilliProcessors) * f * t.share),
		MemoryBytes:     int64(float64(t.kind.declared.MemoryBytes) * f),
	}
}

// processorSeconds is the task's whole work in processor-seconds.
func (t *task) processorSeconds(d time.Duration) float64 {
	return d.Seconds() * float64(t.kind.declared.MilliProcessors) / milli * t.usageFactor
}

// worker is a stand-in for a platform worker with its targets.
type worker struct {
	place.Worker
	targets  []*target
	tasks    []*task
	ended    []*apiv1.TaskStatus
	failing  bool
	down     bool
	sequence uint64
	// pending reports wait for their lag to pass.
	pending []delayedReport
}

type delayedReport struct {
	arrivesAt  time.Time
	latency    *apiv1.LatencyReport
	usage      *apiv1.UsageReport
	measuredAt time.Time
}

func newWorkers(d deployment) []*worker {
	var out []*worker
	for i := range workersPerDeployment {
		w := &worker{Worker: place.Worker{
			Name: fmt.Sprintf("w%02d", i), Incarnation: 1, Alive: true,
			AvailabilityZone: fmt.Sprint("zone-", (i/rackSize)%d.zones),
			Rack:             fmt.Sprint("rack-", i/rackSize),
			Capacity:         place.Resources{MilliProcessors: d.processors * milli, MemoryBytes: d.memory * gibibyte},
		}}
		for _, s := range d.services {
			if i >= s.workers {
				continue
			}
			w.targets = append(w.targets, &target{name: fmt.Sprint(s.name, "-", i), service: s})
			w.Services = append(w.Services, s.name)
			w.Reserved.MilliProcessors += slots / 2 * milli
			w.Reserved.MemoryBytes += 8 * gibibyte
		}
		out = append(out, w)
	}
	return out
}

// processorContention is by how much tasks want more processors than there are, at least 1.
func (w *worker) processorContention() float64 {
	used := w.Reserved.MilliProcessors
	for _, t := range w.tasks {
		used += t.used().MilliProcessors
	}
	return max(1, float64(used)/float64(w.Capacity.MilliProcessors))
}

// memoryKillVictim ends the task furthest over its grant while memory is short, as a kernel does.
func (w *worker) memoryKillVictim() *task {
	used := w.Reserved.MemoryBytes
	var worst *task
	excess := int64(math.MinInt64)
	for _, t := range w.tasks {
		m := t.used().MemoryBytes
		used += m
		if over := m - t.Size.MemoryBytes; over > excess {
			worst, excess = t, over
		}
	}
	if used <= w.Capacity.MemoryBytes {
		return nil
	}
	return worst
}

func (w *worker) remove(t *task) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *task) bool { return o == t })
}

// heartbeat is the worker's message with the reports whose lag has passed.
func (w *worker) heartbeat(now time.Time) *apiv1.WorkerHeartbeat {
	w.sequence++
	hb := &apiv1.WorkerHeartbeat{Worker: w.Name, Incarnation: w.Incarnation, Sequence: w.sequence, Tasks: w.ended}
	w.ended = nil
	for _, t := range w.tasks {
		hb.Tasks = append(hb.Tasks, &apiv1.TaskStatus{
			Task:  &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt},
			Phase: apiv1.TaskPhase_TASK_PHASE_RUNNING,
		})
	}
	w.pending = slices.DeleteFunc(w.pending, func(d delayedReport) bool {
		if d.arrivesAt.After(now) {
			return false
		}
		age := now.Sub(d.measuredAt).Milliseconds()
		if d.latency != nil {
			d.latency.AgeMs = age
			hb.Latency = append(hb.Latency, d.latency)
		} else {
			d.usage.AgeMs = age
			hb.Usage = append(hb.Usage, d.usage)
		}
		return true
	})
	return hb
}

// reportLag is how late a report arrives.
func reportLag(rng *rand.Rand) time.Duration {
	return 5*time.Second + time.Duration(rng.Int63n(int64(25*time.Second)))
}

// report queues the usage and latency reports of a window that ends now.
func (w *worker) report(now time.Time, window time.Duration, rng *rand.Rand) {
	for _, t := range w.targets {
		if r := t.report(window); r != nil {
			w.pending = append(w.pending, delayedReport{arrivesAt: now.Add(reportLag(rng)), measuredAt: now, latency: r})
		}
	}
	for _, t := range w.tasks {
		u := t.used()
		w.pending = append(w.pending, delayedReport{arrivesAt: now.Add(reportLag(rng)), measuredAt: now, usage: &apiv1.UsageReport{
			Task: &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt},
			Used: &apiv1.Resources{MilliProcessors: u.MilliProcessors, MemoryBytes: u.MemoryBytes},
		}})
	}
}
