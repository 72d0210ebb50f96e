package place

import (
	"maps"
	"math"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// workerState is what a Placer remembers about one worker.
type workerState struct {
	incarnation      uint64
	sequence         uint64
	occupancy        *occupancy
	protection       *protectionState
	overrunEvictedAt time.Time
	heartbeatAt      time.Time
	// ended holds attempts whose end was taken in: ends are repeated until
	// they are acknowledged.
	ended map[attemptID]time.Time
}

// taskInfo is what reports need to know about a running attempt; heartbeats
// name tasks only.
type taskInfo struct {
	job, kind   string
	declared    Resources
	expectedRun time.Duration
	grantedAt   time.Time
	// resumed: it started from a checkpoint, so its run time is not a whole run.
	resumed  bool
	lastSeen time.Time
}

const (
	historyLength = 3 * time.Minute
	historyLimit  = 512
	// maxHeartbeatGap is the longest silence over which the history goes on. What
	// came and went in a longer one, such as under another leader, is not known.
	maxHeartbeatGap = 10 * time.Second
	endRetention    = 10 * time.Minute
	// minRequests is how many requests a p99 needs to say anything.
	minRequests = 20
	microsecond = 1000.0
)

// Observe learns from a worker's heartbeat that arrived at now. Heartbeats that
// come late or twice change nothing.
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

// state returns the worker's memory, or nil for a heartbeat that is overtaken.
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

// observeLatency matches a report with who was there when it was measured.
func (p *Placer) observeLatency(now time.Time, w *workerState, l *apiv1.LatencyReport) {
	to := now.Add(-time.Duration(max(l.GetAgeMs(), 0)) * time.Millisecond)
	window := time.Duration(max(l.GetWindowMs(), 1)) * time.Millisecond
	from := to.Add(-window)
	known := w.protection.latencies[l.GetTarget()]
	if known != nil && to.Before(known.to.Add(window/2)) {
		return // the same window again, or an older one
	}
	if l.GetRequests() < minRequests || l.GetP99Us() <= 0 {
		return
	}
	if known == nil {
		known = &targetLatency{target: l.GetTarget()}
		w.protection.latencies[l.GetTarget()] = known
	}
	known.service = l.GetService()
	known.p99 = float64(l.GetP99Us()) / microsecond
	known.bucket = loadBucket(float64(l.GetRequests()) / window.Seconds())
	previous := known.from
	known.from, known.to = from, to
	known.compare(p.protectionThreshold(l.GetService()))
	known.updateMean(w.protection.settled(known) && !w.protection.settledBefore(previous))
	p.buckets[known.service] = known.bucket
	present, covered := w.occupancy.during(from, to)
	if !covered {
		return
	}
	if expected, ok := p.interference.expectedLogTail(to, known.service, known.bucket, present); ok {
		known.residual += smoothing * (math.Log(known.p99) - expected - known.residual)
	}
	noise := 1 / float64(l.GetRequests())
	p.interference.update(to, known.service, known.bucket, present, math.Log(known.p99), noise)
}

// protectionThreshold is the tail in milliseconds above which the guard acts, 0 for none.
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
