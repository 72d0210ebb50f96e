package place

import (
	"fmt"

	"github.com/cairnlift/cairnlift/pipeline"
)

// feasibleFilter sets aside tasks that no worker could hold even when empty.
// Left in the queue they would look like work that waits for room, and nobody
// would learn that it never comes.
type feasibleFilter struct{}

func (feasibleFilter) Name() string { return "feasible" }

func (feasibleFilter) Check(r *round, c *candidate) pipeline.Status {
	if !c.Task.Size.Valid() {
		return r.unplaceable(c, "its size is negative")
	}
	if len(r.hosts) == 0 {
		return pipeline.Rejected("no worker is known")
	}
	if r.fitsSomeWorker(c.Task.Size) {
		return r.withinQuotaAlone(c)
	}
	return r.unplaceable(c, fmt.Sprintf("no worker could hold %v even when empty", c.Task.Size))
}

// withinQuotaAlone rejects a task that is larger than its team's whole quota.
func (r *round) withinQuotaAlone(c *candidate) pipeline.Status {
	team := r.snapshot.Teams[c.Team]
	if team == nil || c.Task.Size.withinLimit(team.Quota) {
		return pipeline.Status{}
	}
	return r.unplaceable(c, fmt.Sprintf("one task is larger than the quota %v of team %s", team.Quota, c.Team))
}

func (r *round) unplaceable(c *candidate, reason string) pipeline.Status {
	if r.plan.Unplaceable == nil {
		r.plan.Unplaceable = make(map[string]string)
	}
	r.plan.Unplaceable[c.Job] = reason
	return pipeline.Rejected(reason)
}

// fitsSomeWorker reports whether some known worker could hold the size when empty.
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
