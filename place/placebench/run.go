package main

import (
	"math/rand"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
)

// Timings of a run.
const (
	tick                = time.Second
	reportWindow        = 10 * time.Second
	stopDuration        = 3 * time.Second
	leaseExpiry         = 10 * time.Second
	failureDelay        = 3 * time.Second
	starvationThreshold = 30 * time.Minute
	maxFailures         = 6
	// peakUtilization is how busy slots are at the peak that targets are sized for,
	// which is load 1.
	peakUtilization = 0.85
)

// result is what one run measured.
type result struct {
	outcomes     []*outcome
	finishedWork float64 // processor-hours of finished tasks
	tasks        int
	evictions    int
	lostWork     float64 // processor-hours lost to evictions
	memoryKills  int     // tasks killed for want of memory
	throttles    int
	starved      int
	urgent       []time.Duration
	unplaceable  map[string]bool
	hours        float64
}

// run is one deployment, load, policy and seed at virtual time.
type run struct {
	deployment deployment
	policy     policy
	snapshot   *place.Snapshot
	rng        *rand.Rand
	traffic    *rand.Rand
	workers    []*worker
	workload   *workload
	queued     []*task
	tasksByID  map[string]*task
	start      time.Time
	now        time.Time
	length     time.Duration
	load       float64
	result     result
}

func newRun(d deployment, name string, load, harmful float64, length time.Duration, seed int64) *run {
	r := &run{
		deployment: d, load: load, length: length,
		policy:    newPolicy(name, seed),
		rng:       rand.New(rand.NewSource(seed)),
		traffic:   rand.New(rand.NewSource(seed + 1)),
		workers:   newWorkers(d),
		tasksByID: map[string]*task{},
		start:     time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC),
		result:    result{unplaceable: map[string]bool{}, hours: length.Hours()},
	}
	r.now = r.start
	kinds := newKinds(d, harmful, rand.New(rand.NewSource(seed+2)))
	r.workload = newWorkload(load, kinds, r.workers, rand.New(rand.NewSource(seed+3)))
	r.snapshot = &place.Snapshot{Services: map[string]*apiv1.Service{}, Teams: map[string]*place.Team{}, Policy: place.TailLatencyPolicy()}
	if d.name == "auction" {
		r.snapshot.Policy = place.EvictionsPolicy()
	}
	const objectiveLoad, allowance = 0.8, 1.3
	for _, s := range d.services {
		objective := baselineP99(s, objectiveLoad*peakUtilization) * allowance
		r.snapshot.Services[s.name] = &apiv1.Service{Name: s.name, ObjectiveMs: int64(objective), Slots: slots}
		r.result.outcomes = append(r.result.outcomes, newOutcome(objective))
	}
	return r
}

func (r *run) simulate() *result {
	for r.now.Before(r.start.Add(r.length)) {
		r.now = r.now.Add(tick)
		r.injectFaults()
		r.submit(r.workload.arrivals(r.now))
		r.serve()
		for _, w := range r.workers {
			r.advance(w)
		}
		r.sendHeartbeats()
		r.plan()
	}
	r.countStarved()
	return &r.result
}

func (r *run) submit(tasks []*task) {
	for _, t := range tasks {
		r.queued = append(r.queued, t)
		r.tasksByID[t.ID] = t
	}
}

func (r *run) stop(t *task) {
	if t.stopAt.IsZero() {
		t.stopAt = r.now.Add(stopDuration)
		t.State = apiv1.TaskState_TASK_STATE_STOPPING
	}
}

// serve spreads each service's requests over its targets, away from slow ones.
func (r *run) serve() {
	elapsed := r.now.Sub(r.start)
	peak := trafficRate(elapsed, r.length, r.traffic)
	for i, s := range r.deployment.services {
		total := peak * r.load * peakUtilization * float64(s.workers) * slots * milli / s.meanServiceTime
		type part struct {
			t        *target
			slowdown float64
		}
		var parts []part
		weights := 0.0
		for _, w := range r.workers {
			for _, t := range w.targets {
				if t.service.name != s.name || w.down {
					continue
				}
				slow := w.processorContention()
				for _, task := range w.tasks {
					slow += task.kind.slowdown(s.name, t.load, task.share, elapsed)
				}
				parts = append(parts, part{t, slow})
				weights += 1 / slow
			}
		}
		for _, p := range parts {
			p.t.serve(total/p.slowdown/weights, p.slowdown, r.result.outcomes[i], r.traffic)
		}
	}
}

// advance runs a worker's tasks for one tick.
func (r *run) advance(w *worker) {
	pressure := w.processorContention()
	for _, t := range slices.Clone(w.tasks) {
		if !t.stopAt.IsZero() {
			if !r.now.Before(t.stopAt) {
				r.stopped(w, t)
			}
			continue
		}
		t.progress += time.Duration(float64(tick) * t.share / pressure)
		if t.progress-t.checkpointed >= t.kind.checkpoint {
			t.checkpointed = t.progress
			t.Checkpoint, t.CheckpointedAt = "checkpoint", r.now
		}
		const whole = 1000
		t.ProgressMilli = int32(min(whole*t.progress/t.runTime, whole-1))
		ran := r.now.Sub(t.GrantedAt)
		switch {
		case (w.failing || t.poison) && ran >= failureDelay:
			r.failed(w, t)
		case t.progress >= t.runTime:
			r.succeeded(w, t)
		}
	}
	if t := w.memoryKillVictim(); t != nil && t.stopAt.IsZero() {
		r.result.memoryKills++
		r.failed(w, t)
	}
}

func (r *run) end(w *worker, t *task, phase apiv1.TaskPhase) {
	w.remove(t)
	w.ended = append(w.ended, &apiv1.TaskStatus{
		Task: &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt}, Phase: phase,
	})
}

func (r *run) succeeded(w *worker, t *task) {
	r.end(w, t, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED)
	r.result.tasks++
	r.result.finishedWork += t.processorSeconds(t.runTime) / time.Hour.Seconds()
	delete(r.tasksByID, t.ID)
}

func (r *run) failed(w *worker, t *task) {
	r.end(w, t, apiv1.TaskPhase_TASK_PHASE_FAILED)
	t.Failures++
	t.FailedWorkers = append(t.FailedWorkers, w.Name)
	t.NotBefore = r.now.Add(5 * time.Second << min(t.Failures, 6))
	if t.Failures >= maxFailures {
		delete(r.tasksByID, t.ID)
		return
	}
	r.requeue(t)
}

// stopped confirms a stop. What was done since the last checkpoint is lost.
func (r *run) stopped(w *worker, t *task) {
	r.end(w, t, apiv1.TaskPhase_TASK_PHASE_STOPPED)
	if t.canceled {
		delete(r.tasksByID, t.ID)
		return
	}
	if !w.down {
		r.result.evictions++
		r.result.lostWork += t.processorSeconds(t.progress-t.checkpointed) / time.Hour.Seconds()
		t.Evictions++
	}
	r.requeue(t)
}

func (r *run) requeue(t *task) {
	t.progress, t.share, t.stopAt = t.checkpointed, 1, time.Time{}
	t.State, t.Worker, t.Size = apiv1.TaskState_TASK_STATE_QUEUED, "", t.kind.declared
	t.QueuedAt = r.now
	r.queued = append(r.queued, t)
}

// sendHeartbeats sends the workers' heartbeats.
func (r *run) sendHeartbeats() {
	window := r.now.Sub(r.start)%reportWindow == 0
	for _, w := range r.workers {
		if w.down {
			continue
		}
		if window {
			w.report(r.now, reportWindow, r.rng)
		}
		r.policy.Observe(r.now, w.heartbeat(r.now))
	}
}

// plan builds the snapshot and carries the plan out.
func (r *run) plan() {
	s := r.snapshot
	s.Workers, s.Queued = s.Workers[:0], s.Queued[:0]
	for _, w := range r.workers {
		w.Running = w.Running[:0]
		for _, t := range w.tasks {
			w.Running = append(w.Running, &t.Task)
		}
		s.Workers = append(s.Workers, &w.Worker)
	}
	for _, t := range r.queued {
		if !r.result.unplaceable[t.Job] {
			s.Queued = append(s.Queued, &t.Task)
		}
	}
	plan := r.policy.Plan(r.now, s)
	for job := range plan.Unplaceable {
		r.result.unplaceable[job] = true
	}
	for _, e := range plan.Evictions {
		if t := r.tasksByID[e.Task]; t != nil && t.Attempt == e.Attempt {
			r.stop(t)
		}
	}
	for _, th := range plan.Throttles {
		if t := r.tasksByID[th.Task]; t != nil && t.Attempt == th.Attempt {
			share := float64(th.ShareMilli) / milli
			if share != t.share {
				r.result.throttles++
			}
			t.share = share
		}
	}
	for _, g := range plan.Grants {
		r.grant(g)
	}
	r.queued = slices.DeleteFunc(r.queued, func(t *task) bool {
		return t.State != apiv1.TaskState_TASK_STATE_QUEUED
	})
}

func (r *run) grant(g place.Grant) {
	i := slices.IndexFunc(r.workers, func(w *worker) bool { return w.Name == g.Worker })
	w, t := r.workers[i], r.tasksByID[g.Task.ID]
	t.Attempt++
	t.State, t.Worker, t.Size, t.GrantedAt = apiv1.TaskState_TASK_STATE_GRANTED, w.Name, g.Resources, r.now
	t.Declared = t.kind.declared
	w.tasks = append(w.tasks, t)
	used := w.Reserved
	for _, o := range w.tasks {
		used, _ = used.Add(o.Size)
	}
	if !used.Fits(w.Capacity) {
		panic("a worker was granted more than it has: " + w.Name)
	}
	if t.firstRun.IsZero() {
		t.firstRun = r.now
		if t.Priority == apiv1.Priority_PRIORITY_URGENT {
			r.result.urgent = append(r.result.urgent, r.now.Sub(t.QueuedAt))
		}
	}
}

// countStarved counts tasks that could run and waited longer than the bound.
func (r *run) countStarved() {
	for _, t := range r.queued {
		if !t.poison && !r.result.unplaceable[t.Job] && t.Size.MemoryBytes < 1<<40 && r.now.Sub(t.QueuedAt) >= starvationThreshold {
			r.result.starved++
		}
	}
}
