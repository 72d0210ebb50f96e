package main

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
)

// policy is what a run drives: the Placer or a baseline.
type policy interface {
	Observe(now time.Time, hb *apiv1.WorkerHeartbeat)
	Plan(now time.Time, s *place.Snapshot) place.Plan
}

// policies by the names in the table.
var policyNames = []string{"cairnlift", "cairnlift, reclaiming", "first fit", "best fit", "best fit, eager guard", "no batch", "services ignored"}

func newPolicy(name string, seed int64) policy {
	switch name {
	case "cairnlift":
		return place.New(place.Config{Seed: seed})
	case "cairnlift, reclaiming":
		return place.New(place.Config{Seed: seed, MinProcessorFraction: 0.3})
	case "first fit":
		return &baseline{}
	case "best fit":
		return &baseline{bestFit: true}
	case "best fit, eager guard":
		return &baseline{bestFit: true, eager: true, exceededAt: map[string]time.Time{}}
	case "no batch":
		return noBatch{}
	case "services ignored":
		return serviceBlind{place.New(place.Config{Seed: seed})}
	}
	panic("no such policy: " + name)
}

// noBatch places nothing: the limit for latency.
type noBatch struct{}

func (noBatch) Observe(time.Time, *apiv1.WorkerHeartbeat)         {}
func (noBatch) Plan(time.Time, *place.Snapshot) (none place.Plan) { return none }

// serviceBlind is the Placer blind to services: the limit for batch.
type serviceBlind struct{ *place.Placer }

func (p serviceBlind) Plan(now time.Time, s *place.Snapshot) place.Plan {
	blind := *s
	blind.Services = nil
	blind.Workers = make([]*place.Worker, len(s.Workers))
	for i, w := range s.Workers {
		c := *w
		c.Services = nil
		blind.Workers[i] = &c
	}
	return p.Placer.Plan(now, &blind)
}

// baseline places urgent tasks first, then the oldest, by declared size.
type baseline struct {
	// bestFit takes the fullest worker with room instead of the first.
	bestFit bool
	// eager evicts the newest batch task of a worker for each late report of a
	// tail over its objective.
	eager      bool
	objectives map[string]int64
	exceededAt map[string]time.Time
}

func (b *baseline) Observe(now time.Time, hb *apiv1.WorkerHeartbeat) {
	for _, l := range hb.GetLatency() {
		if limit := b.objectives[l.GetService()]; b.eager && limit > 0 && l.GetP99Us() > limit*milli {
			b.exceededAt[hb.GetWorker()] = now
		}
	}
}

func (b *baseline) Plan(now time.Time, s *place.Snapshot) place.Plan {
	b.objectives = map[string]int64{}
	for name, svc := range s.Services {
		b.objectives[name] = svc.GetObjectiveMs()
	}
	var plan place.Plan
	free := make([]place.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Capacity.Sub(w.Reserved)
		for _, t := range w.Running {
			free[i] = free[i].Sub(t.Size)
		}
		if b.exceededAt[w.Name].Equal(now) {
			b.evictNewest(w, &plan)
		}
	}
	queued := slices.Clone(s.Queued)
	slices.SortStableFunc(queued, func(x, y *place.Task) int {
		if c := cmp.Compare(y.Priority, x.Priority); c != 0 {
			return c
		}
		return x.QueuedAt.Compare(y.QueuedAt)
	})
	for _, t := range queued {
		if now.Before(t.NotBefore) {
			continue
		}
		if i := b.choose(t, s.Workers, free); i >= 0 {
			free[i] = free[i].Sub(t.Size)
			plan.Grants = append(plan.Grants, place.Grant{Task: t, Worker: s.Workers[i].Name, Resources: t.Size})
		}
	}
	return plan
}

func (b *baseline) choose(t *place.Task, workers []*place.Worker, free []place.Resources) int {
	found := -1
	for i, w := range workers {
		if !w.Alive || w.Draining || !t.Size.Fits(free[i]) {
			continue
		}
		if !b.bestFit {
			return i
		}
		if found < 0 || free[i].MilliProcessors < free[found].MilliProcessors {
			found = i
		}
	}
	return found
}

func (b *baseline) evictNewest(w *place.Worker, plan *place.Plan) {
	var newest *place.Task
	for _, t := range w.Running {
		running := t.State == apiv1.TaskState_TASK_STATE_GRANTED
		if running && (newest == nil || t.GrantedAt.After(newest.GrantedAt)) {
			newest = t
		}
	}
	if newest != nil {
		plan.Evictions = append(plan.Evictions, place.Eviction{Task: newest.ID, Attempt: newest.Attempt, Worker: w.Name})
	}
}
