package place

import (
	"fmt"

	"github.com/cairnlift/cairnlift/pipeline"
)

// feasibleFilter rejects tasks that would not fit on any worker even without other tasks there,
// and reports their jobs as unplaceable. Without this filter they would look like tasks that wait
// for free capacity, and callers would never learn that they cannot run.
type feasibleFilter struct{}

func (feasibleFilter) Name() string { return "feasible" }

func (feasibleFilter) Check(r *round, c *candidate) pipeline.Status {
	if !c.Task.Size.Valid() {
		return r.unplaceable(c, "its size is negative")
	}
	if len(r.hosts) == 0 {
		return pipeline.Rejected("no worker is registered")
	}
	if r.fitsSomeWorker(c.Task.Size) {
		return r.withinQuotaAlone(c)
	}
	return r.unplaceable(c, fmt.Sprintf("%v exceeds every worker's allocatable capacity", c.Task.Size))
}

// withinQuotaAlone rejects a task that exceeds its team's whole quota.
func (r *round) withinQuotaAlone(c *candidate) pipeline.Status {
	team := r.snapshot.Teams[c.Team]
	if team == nil || c.Task.Size.withinLimit(team.Quota) {
		return pipeline.Status{}
	}
	return r.unplaceable(c, fmt.Sprintf("one task exceeds the quota %v of team %s", team.Quota, c.Team))
}

func (r *round) unplaceable(c *candidate, reason string) pipeline.Status {
	if r.plan.Unplaceable == nil {
		r.plan.Unplaceable = make(map[string]string)
	}
	r.plan.Unplaceable[c.Job] = reason
	return pipeline.Rejected(reason)
}

// fitsSomeWorker reports whether the size fits the allocatable capacity of some registered worker.
func (r *round) fitsSomeWorker(size Resources) bool {
	if known, ok := r.fitCache[size]; ok {
		return known
	}
	fits := false
	for _, h := range r.hosts {
		if size.Fits(h.allocatable) {
			fits = true
			break
		}
	}
	r.fitCache[size] = fits
	return fits
}
