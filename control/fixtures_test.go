package control

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

// firstFit places each task on the first live worker with room. What a worker
// holds above its capacity it evicts, cheapest first.
type firstFit struct {
	evict []place.Eviction
}

func (f *firstFit) Observe(time.Time, *apiv1.WorkerHeartbeat) {}

func (f *firstFit) Forget(string) {}

func (f *firstFit) Plan(now time.Time, s *place.Snapshot) place.Plan {
	free := map[string]int64{}
	for _, w := range s.Workers {
		free[w.Name] = w.Capacity.MilliProcessors - w.Reserved.MilliProcessors
		for _, t := range w.Running {
			free[w.Name] -= t.Size.MilliProcessors
		}
		f.evictExcess(w, free[w.Name])
	}
	p := place.Plan{Evictions: f.evict, Unplaceable: map[string]string{}}
	f.evict = nil
	for _, t := range s.Queued {
		d := place.Decision{Task: t.ID, Attempt: t.Attempt + 1, Reason: "no room"}
		for _, w := range s.Workers {
			if !w.Alive || w.Draining || free[w.Name] < t.Size.MilliProcessors {
				continue
			}
			free[w.Name] -= t.Size.MilliProcessors
			d.Worker, d.Reason = w.Name, "first fit"
			p.Grants = append(p.Grants, place.Grant{Task: t, Worker: w.Name, WorkerIncarnation: w.Incarnation, Resources: t.Size})
			break
		}
		p.Decisions = append(p.Decisions, d)
	}
	return p
}

func (f *firstFit) evictExcess(w *place.Worker, free int64) {
	cheapest := slices.Clone(w.Running)
	slices.SortFunc(cheapest, func(a, b *place.Task) int { return cmp.Compare(a.EvictionCost, b.EvictionCost) })
	for _, t := range cheapest {
		if free < 0 && t.State == apiv1.TaskState_TASK_STATE_GRANTED {
			f.evict = append(f.evict, place.Eviction{Task: t.ID, Attempt: t.Attempt, Worker: w.Name, Reason: "excess"})
		}
		free += t.Size.MilliProcessors
	}
}

func processors(n int64) *apiv1.Resources { return &apiv1.Resources{MilliProcessors: n} }

func submission(id string, base uint64, jobs ...*apiv1.Job) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Submit{Submit: &apiv1.Submit{
		SubmissionId: id, BaseVersion: base,
		Configuration: &apiv1.Configuration{Jobs: jobs, TextDigest: id},
	}}}
}

func info(name string, milli int64) *apiv1.WorkerInfo {
	return &apiv1.WorkerInfo{Name: name, Location: &apiv1.Location{Region: "r", AvailabilityZone: "a"}, Capacity: processors(milli)}
}

// overCapacity reports whether a worker holds more than it has.
func overCapacity(w state.Worker) bool { return !w.Granted.Within(w.Capacity.Minus(w.Reserved)) }
