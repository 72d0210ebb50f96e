package place

import "github.com/cairnlift/cairnlift/pipeline"

// candidate is a queued task for which a worker is sought.
type candidate struct {
	*Task
	// size is the size to grant.
	size Resources
	// hasOtherWorker reports that the task fits on a usable worker on which it has not failed.
	hasOtherWorker bool
}

// hostFilter decides whether a worker may run a task. Explain is called only for refusals that are
// reported, because formatting a reason for each of thousands of refusals would be expensive.
type hostFilter interface {
	Name() string
	Allows(r *round, c *candidate, h *host) bool
	Explain(r *round, c *candidate, h *host) string
}

// taskFilter decides on a task before any worker is considered.
type taskFilter interface {
	Name() string
	// Check returns a pass or a rejection with its reason.
	Check(r *round, c *candidate) pipeline.Status
}

// refusingFilter returns the first filter that refuses the worker, nil if all allow it.
func (r *round) refusingFilter(c *candidate, h *host) hostFilter {
	return r.refusingFilterExcept(c, h, nil)
}

// refusingFilterExcept is refusingFilter without one of the filters.
func (r *round) refusingFilterExcept(c *candidate, h *host, except hostFilter) hostFilter {
	for _, f := range r.p.hostFilters {
		if f != except && !f.Allows(r, c, h) {
			return f
		}
	}
	return nil
}

// checkTask runs a task through the task filters and returns the first rejection.
func (r *round) checkTask(c *candidate) pipeline.Status {
	for _, f := range r.p.taskFilters {
		st := f.Check(r, c)
		if !st.Passed() {
			st.Filter = f.Name()
			return st
		}
	}
	return pipeline.Status{}
}
