package place

import (
	"slices"
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// host is a worker with what this round has already reserved on it.
type host struct {
	*Worker
	// allocatable is what tasks could take if none ran.
	allocatable Resources
	free        Resources
	// held is room kept for tasks that wait for it.
	held Resources
	// overcommitted: the grants exceed what the worker has, after it shrank.
	overcommitted bool
	// granted counts this round's grants.
	granted int
	// health is nil for a worker that never failed anything.
	health *workerHealth
	// state is nil until the worker's first heartbeat.
	state          *workerState
	predictedTails []*predictedTail
}

func (h *host) serves(service string) bool { return slices.Contains(h.Services, service) }

// domainLevel is a kind of place that a job's tasks are spread over.
type domainLevel int

const (
	hostDomain domainLevel = iota
	rackDomain
	zoneDomain
)

// jobDomain names a place that holds tasks of a job.
type jobDomain struct {
	job   string
	level domainLevel
	name  string
}

// round is the working state of one planning round: indices over the snapshot
// that make one decision cheap, and the reservations made so far.
type round struct {
	p        *Placer
	now      time.Time
	snapshot *Snapshot
	weights  weights
	// scoreWeights are the scorers' weights under the round's policy.
	scoreWeights []float64
	hosts        []*host
	hostsByName  map[string]*host
	total        Resources
	running      int
	teamUsage    map[string]Resources
	// tasksPerDomain counts tasks of queued jobs, hostsByKind lists where queued kinds run;
	// what no queued task asks for is not indexed.
	tasksPerDomain map[jobDomain]int
	hostsByKind    map[string][]*host
	queuedJobs     map[string]bool
	// jobRetries counts tasks of poisonous jobs started after their backoff.
	jobRetries map[string]int
	estimates  map[interferenceKey]estimate
	probes     map[interferenceKey]*probe
	evicted    map[string]bool
	// refusedClasses remembers classes of tasks that no worker has room for. Room only
	// shrinks within a round, so the verdict holds to its end.
	refusedClasses map[taskClass]*Decision
	// fitCache caches whether some worker could hold a size when empty.
	fitCache map[Resources]bool
	// dryRun: the round explains and changes nothing.
	dryRun bool
	plan   Plan
}

// taskClass groups queued tasks that every worker judges alike.
type taskClass struct {
	kind, team string
	priority   apiv1.Priority
	size       Resources
	starved    bool
}

// gather builds the round's indices from the snapshot.
func (p *Placer) gather(now time.Time, s *Snapshot) *round {
	r := &round{
		p: p, now: now, snapshot: s,
		weights:        weightsOf(s.Policy),
		hosts:          make([]*host, 0, len(s.Workers)),
		hostsByName:    make(map[string]*host, len(s.Workers)),
		hostsByKind:    make(map[string][]*host),
		teamUsage:      make(map[string]Resources, len(s.Teams)),
		tasksPerDomain: make(map[jobDomain]int),
		jobRetries:     make(map[string]int),
		estimates:      make(map[interferenceKey]estimate),
		probes:         make(map[interferenceKey]*probe),
		evicted:        make(map[string]bool),
		refusedClasses: make(map[taskClass]*Decision),
		fitCache:       make(map[Resources]bool),
	}
	r.indexQueued()
	for _, sc := range p.scorers {
		r.scoreWeights = append(r.scoreWeights, sc.Weight(r.weights))
	}
	for _, w := range s.Workers {
		r.addHost(w)
	}
	slices.SortFunc(r.hosts, func(a, b *host) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// indexQueued notes which jobs and kinds are queued.
func (r *round) indexQueued() {
	r.queuedJobs = make(map[string]bool)
	for _, t := range r.snapshot.Queued {
		r.queuedJobs[t.Job] = true
		r.hostsByKind[t.Kind] = nil
	}
}

func (r *round) addHost(w *Worker) {
	h := &host{
		Worker:      w,
		allocatable: w.Capacity.Sub(w.Reserved),
		health:      r.p.health.workers[w.Name],
		state:       r.p.workers[w.Name],
	}
	if h.health != nil {
		h.health.advance(r.now)
	}
	used, ok := w.Reserved, w.Reserved.Valid()
	for _, t := range w.Running {
		var added bool
		used, added = used.Add(t.Size)
		ok = ok && added && t.Size.Valid()
		r.indexTask(t, t.Size, t.GrantedAt, h)
		if r.p.evictionPending(r.now, t) {
			r.evicted[t.ID] = true
		}
	}
	h.overcommitted = !ok || !used.Fits(w.Capacity)
	if !h.overcommitted {
		h.free = w.Capacity.Sub(used)
	}
	r.hosts = append(r.hosts, h)
	r.hostsByName[w.Name] = h
	r.running += len(w.Running)
	// Totals only weigh fair shares; a sum that overflows keeps the last good value.
	if sum, fits := r.total.Add(h.allocatable); fits {
		r.total = sum
	}
}

// indexTask books a task in the round's indices by team, place and kind.
func (r *round) indexTask(t *Task, size Resources, granted time.Time, h *host) {
	if sum, ok := r.teamUsage[t.Team].Add(size); ok {
		r.teamUsage[t.Team] = sum
	}
	if r.queuedJobs[t.Job] {
		r.tasksPerDomain[jobDomain{t.Job, hostDomain, h.Name}]++
		r.tasksPerDomain[jobDomain{t.Job, rackDomain, h.Rack}]++
		r.tasksPerDomain[jobDomain{t.Job, zoneDomain, h.AvailabilityZone}]++
	}
	list, queued := r.hostsByKind[t.Kind]
	if queued && (len(list) == 0 || list[len(list)-1] != h) {
		r.hostsByKind[t.Kind] = append(list, h)
	}
	if j := r.p.health.jobs[t.Job]; j != nil && !granted.Before(j.notBefore) {
		r.jobRetries[t.Job]++
	}
}

// reserve takes room on a host for a task and adds the grant to the plan.
func (r *round) reserve(c *candidate, h *host) {
	r.recordProbe(c, h)
	h.free = h.free.Sub(c.size)
	h.granted++
	if own := r.p.holds[c.ID]; own != nil {
		if on := r.hostsByName[own.worker]; on != nil {
			on.held = on.held.Sub(own.size)
		}
		delete(r.p.holds, c.ID)
	}
	r.indexTask(c.Task, c.size, r.now, h)
	for _, t := range h.predictedTails {
		added := r.slowdown(t.service, c.Kind, t.bucket).mean
		t.logP99 += added
		t.neighbourSlowdown += added
	}
	r.plan.Grants = append(r.plan.Grants, Grant{
		Task: c.Task, Worker: h.Name, WorkerIncarnation: h.Incarnation, Resources: c.size,
	})
}
