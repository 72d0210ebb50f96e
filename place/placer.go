package place

import (
	"math/rand"
	"time"
)

// Placer turns snapshots into plans and learns from workers' reports. It is not safe for
// concurrent use; its owner calls it from one goroutine.
type Placer struct {
	cfg         Config
	rand        *rand.Rand
	taskFilters []taskFilter
	hostFilters []hostFilter
	scorers     []scorer

	interference *interference
	usage        *usage
	health       *health
	budget       budget
	// preemption limits the evictions that free capacity for urgent tasks.
	preemption budget
	workers    map[string]*workerState
	tasks      map[attemptID]*taskInfo
	holds      map[string]*hold
	// evicting maps attempts to the time of their eviction until the snapshot shows it.
	evicting map[attemptID]time.Time
	// objectives (in milliseconds, by service) and weights are those of the last snapshot.
	objectives map[string]int64
	weights    weights
	// buckets holds the last reported load bucket of each service.
	buckets  map[string]int
	syncedAt time.Time
	// throttlesRepeatedAt is when the throttles in effect were last sent again.
	throttlesRepeatedAt time.Time
}

// New returns a Placer without learned data.
func New(cfg Config) *Placer {
	cfg = cfg.withDefaults()
	return &Placer{
		cfg:         cfg,
		rand:        rand.New(rand.NewSource(cfg.Seed)),
		taskFilters: []taskFilter{feasibleFilter{}, backoffFilter{}, quotaFilter{}},
		hostFilters: []hostFilter{
			capacityFilter{}, aliveFilter{}, drainingFilter{}, cordonFilter{}, quarantineFilter{}, retryFilter{},
			protectionFilter{}, interferenceFilter{}, probingFilter{},
		},
		scorers:      []scorer{spreadScore{}, interferenceScore{}, fitScore{}},
		interference: newInterference(cfg.DecayTime),
		usage:        newUsage(cfg.MinProcessorFraction),
		health:       newHealth(),
		weights:      weightsOf(nil),
		workers:      make(map[string]*workerState),
		tasks:        make(map[attemptID]*taskInfo),
		holds:        make(map[string]*hold),
		evicting:     make(map[attemptID]time.Time),
		objectives:   make(map[string]int64),
		buckets:      make(map[string]int),
	}
}

// Forget discards the learned data of a worker that was removed.
func (p *Placer) Forget(worker string) {
	delete(p.workers, worker)
	delete(p.health.workers, worker)
}

// Plan runs one planning round. It does not modify the snapshot.
func (p *Placer) Plan(now time.Time, s *Snapshot) Plan {
	p.sync(now, s)
	r := p.gather(now, s)
	p.budget.refill(now, r.weights.evictionsPerMinute(r.running, len(r.hosts)))
	p.preemption.refill(now, r.weights.preemptionsPerMinute(r.running))
	r.reduceOvercommit()
	r.protectServices()
	r.applyHolds()
	r.placeQueued()
	p.recordPlan(now, &r.plan)
	return r.plan
}

// placeQueued decides on the queued tasks in order until the round has MaxGrants grants.
func (r *round) placeQueued() {
	q := r.newQueue()
	for t := q.next(); t != nil; t = q.next() {
		if len(r.plan.Grants) >= r.p.cfg.MaxGrants {
			return
		}
		d := r.decide(t)
		if d.Worker != "" {
			q.recordGrant(t)
		}
		r.plan.Decisions = append(r.plan.Decisions, d)
	}
}

// syncInterval is the time between two readings of the running tasks from the snapshot. The Placer
// records its own grants at once; grants of another leader appear only after a leader change.
const syncInterval = 2 * time.Second

// sync applies the policy and the objectives of the snapshot, and at most once per syncInterval
// its running tasks.
func (p *Placer) sync(now time.Time, s *Snapshot) {
	p.weights = weightsOf(s.Policy)
	clear(p.objectives)
	for name, svc := range s.Services {
		p.objectives[name] = svc.GetObjectiveMs()
	}
	if now.Sub(p.syncedAt) < syncInterval && !p.syncedAt.IsZero() {
		return
	}
	if p.syncedAt.IsZero() {
		p.health.loadFailures(now, s)
	}
	p.syncedAt = now
	for _, w := range s.Workers {
		for _, t := range w.Running {
			p.recordTask(now, attemptID{t.ID, t.Attempt}, t, t.GrantedAt)
		}
	}
	p.prune(now)
}

func (p *Placer) recordTask(now time.Time, id attemptID, t *Task, granted time.Time) {
	info := p.tasks[id]
	if info == nil {
		info = &taskInfo{
			job: t.Job, kind: t.Kind, declared: t.Declared,
			expectedRun: t.ExpectedRun, grantedAt: granted, resumed: t.Checkpoint != "",
		}
		if info.declared.IsZero() {
			info.declared = t.Size
		}
		p.tasks[id] = info
	}
	info.lastSeen = now
}

// recordPlan records the plan's grants and evictions until the snapshot shows them.
func (p *Placer) recordPlan(now time.Time, plan *Plan) {
	for _, g := range plan.Grants {
		p.recordTask(now, attemptID{g.Task.ID, g.Task.Attempt + 1}, g.Task, now)
	}
	for _, e := range plan.Evictions {
		p.evicting[attemptID{e.Task, e.Attempt}] = now
	}
}

// Retention times of evictions after they were ordered, and of tasks after they were last seen.
const (
	evictionRetention = 30 * time.Second
	taskRetention     = 5 * time.Minute
)

// evictionPending reports whether an eviction of the attempt was ordered less than
// evictionRetention ago. It is not ordered again until the snapshot had time to show it.
func (p *Placer) evictionPending(now time.Time, t *Task) bool {
	at, ok := p.evicting[attemptID{t.ID, t.Attempt}]
	return ok && now.Sub(at) < evictionRetention
}

func (p *Placer) prune(now time.Time) {
	for id, info := range p.tasks {
		if now.Sub(info.lastSeen) > taskRetention {
			delete(p.tasks, id)
			delete(p.usage.attempts, id)
		}
	}
	for id, at := range p.evicting {
		if now.Sub(at) > evictionRetention {
			delete(p.evicting, id)
		}
	}
	p.health.prune(now)
	p.interference.prune(now)
}
