package place

import (
	"maps"
	"math"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// workerState is the state kept for one worker.
type workerState struct {
	incarnation      uint64
	sequence         uint64
	occupancy        *occupancy
	protection       *protectionState
	overrunEvictedAt time.Time
	heartbeatAt      time.Time
	// ended holds attempts whose end was recorded, because workers repeat ends until they are
	// acknowledged.
	ended map[attemptID]time.Time
}

// taskInfo is the data about a running attempt that reports need; heartbeats contain only task
// names.
type taskInfo struct {
	job, kind   string
	declared    Resources
	expectedRun time.Duration
	grantedAt   time.Time
	// resumed reports that the attempt started from a checkpoint, so its run time is not that of a
	// whole run.
	resumed  bool
	lastSeen time.Time
}

const (
	historyLength = 3 * time.Minute
	historyLimit  = 512
	// maxHeartbeatGap is the longest time between two heartbeats over which the occupancy history
	// continues. Tasks that came and went in a longer gap, for example under another leader, are
	// not known.
	maxHeartbeatGap = 10 * time.Second
	endRetention    = 10 * time.Minute
	// minRequests is the smallest number of requests for which a p99 is meaningful.
	minRequests = 20
	microsecond = 1000.0
)

// Observe records a worker's heartbeat that arrived at now. Duplicate and reordered heartbeats
// have no effect.
func (p *Placer) Observe(now time.Time, hb *apiv1.WorkerHeartbeat) {
	w := p.state(now, hb)
	if w == nil {
		return
	}
	if now.Sub(w.heartbeatAt) > maxHeartbeatGap {
		w.occupancy = newOccupancy(now)
	}
	w.heartbeatAt = now
	running := make(map[attemptID]bool, len(hb.GetTasks()))
	for _, t := range hb.GetTasks() {
		id := idOf(t.GetTask())
		if t.GetPhase() == apiv1.TaskPhase_TASK_PHASE_RUNNING {
			running[id] = true
			p.recordRunning(now, hb.GetWorker(), w, id)
			continue
		}
		p.recordEnd(now, hb.GetWorker(), w, id, t.GetPhase())
	}
	w.occupancy.closeAbsent(now, running)
	for id := range w.protection.shares {
		if !running[id] {
			w.protection.drop(id)
		}
	}
	for _, u := range hb.GetUsage() {
		p.observeUsage(now, idOf(u.GetTask()), u)
	}
	for _, l := range hb.GetLatency() {
		p.observeLatency(now, w, l)
	}
	w.prune(now)
}

// state returns the worker's state, or nil if a later heartbeat was already recorded.
func (p *Placer) state(now time.Time, hb *apiv1.WorkerHeartbeat) *workerState {
	w := p.workers[hb.GetWorker()]
	if w != nil && hb.GetIncarnation() == w.incarnation {
		if hb.GetSequence() != 0 && hb.GetSequence() <= w.sequence {
			return nil
		}
		w.sequence = hb.GetSequence()
		return w
	}
	if w != nil && hb.GetIncarnation() < w.incarnation {
		return nil
	}
	w = &workerState{
		incarnation: hb.GetIncarnation(),
		sequence:    hb.GetSequence(),
		occupancy:   newOccupancy(now),
		heartbeatAt: now,
		protection:  newProtectionState(),
		ended:       make(map[attemptID]time.Time),
	}
	p.workers[hb.GetWorker()] = w
	return w
}

func (p *Placer) recordRunning(now time.Time, worker string, w *workerState, id attemptID) {
	info := p.tasks[id]
	kind := ""
	if info != nil {
		kind = info.kind
	}
	if s := w.occupancy.open[id]; s != nil {
		if s.kind == "" {
			s.kind = kind
		}
		if info != nil {
			p.health.recordLongRun(now, worker, info.job, s.from)
		}
		return
	}
	w.occupancy.enter(now, id, kind, w.protection.shareOf(id))
}

func (p *Placer) recordEnd(now time.Time, worker string, w *workerState, id attemptID, phase apiv1.TaskPhase) {
	if _, known := w.ended[id]; known {
		return
	}
	w.ended[id] = now
	info := p.tasks[id]
	p.usage.recordEnd(id, info)
	if info == nil {
		return
	}
	switch phase {
	case apiv1.TaskPhase_TASK_PHASE_FAILED:
		p.health.recordFailure(now, worker, info.job)
	case apiv1.TaskPhase_TASK_PHASE_SUCCEEDED:
		p.health.recordSuccess(worker, info.job)
		s := w.occupancy.open[id]
		throttled := s != nil && s.share < fullShare
		if !info.resumed && !throttled {
			p.usage.recordRunTime(info, now.Sub(info.grantedAt))
		}
	}
}

func (p *Placer) observeUsage(now time.Time, id attemptID, u *apiv1.UsageReport) {
	if info := p.tasks[id]; info != nil {
		p.usage.recordUsage(now, id, info, FromProto(u.GetUsed()))
	}
}

// observeLatency records a latency report and attributes it to the tasks present in its window.
func (p *Placer) observeLatency(now time.Time, w *workerState, l *apiv1.LatencyReport) {
	to := now.Add(-time.Duration(max(l.GetAgeMs(), 0)) * time.Millisecond)
	window := time.Duration(max(l.GetWindowMs(), 1)) * time.Millisecond
	from := to.Add(-window)
	latency := w.protection.latencies[l.GetTarget()]
	if latency != nil && to.Before(latency.to.Add(window/2)) {
		return // the same window again, or an older one
	}
	if l.GetRequests() < minRequests || l.GetP99Us() <= 0 {
		return
	}
	if latency == nil {
		latency = &targetLatency{target: l.GetTarget()}
		w.protection.latencies[l.GetTarget()] = latency
	}
	latency.service = l.GetService()
	latency.p99 = float64(l.GetP99Us()) / microsecond
	latency.bucket = loadBucket(float64(l.GetRequests()) / window.Seconds())
	previous := latency.from
	latency.from, latency.to = from, to
	latency.compare(p.protectionThreshold(l.GetService()))
	latency.updateMean(w.protection.settled(latency) && !w.protection.settledBefore(previous))
	p.buckets[latency.service] = latency.bucket
	present, covered := w.occupancy.during(from, to)
	if !covered {
		return
	}
	if expected, ok := p.interference.expectedLogTail(to, latency.service, latency.bucket, present); ok {
		latency.residual += smoothing * (math.Log(latency.p99) - expected - latency.residual)
	}
	noise := 1 / float64(l.GetRequests())
	p.interference.update(to, latency.service, latency.bucket, present, math.Log(latency.p99), noise)
}

// protectionThreshold returns the tail latency in milliseconds above which a service is protected,
// 0 if it has no objective.
func (p *Placer) protectionThreshold(service string) float64 {
	return float64(p.objectives[service]) * protectionThreshold
}

func (w *workerState) prune(now time.Time) {
	w.occupancy.prune(now.Add(-historyLength), historyLimit)
	for id, at := range w.ended {
		if now.Sub(at) > endRetention {
			delete(w.ended, id)
		}
	}
	for name, v := range w.protection.latencies {
		if now.Sub(v.to) > 2*reportMaxAge {
			delete(w.protection.latencies, name)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
