package place

import "slices"

// retryFilter sends a task that failed elsewhere, as long as there is a worker
// it has not failed on. When every worker that could hold it is on its list the
// list is void, or the task would wait for ever in a small deployment.
type retryFilter struct{}

func (retryFilter) Name() string { return "retry-elsewhere" }

func (retryFilter) Allows(r *round, c *candidate, h *host) bool {
	if !slices.Contains(c.FailedWorkers, h.Name) {
		return true
	}
	return !c.hasOtherWorker
}

func (retryFilter) Explain(*round, *candidate, *host) string {
	return "an attempt of the task failed on it"
}

// hasOtherWorker reports whether a worker could take the task that it did not fail on.
func (r *round) hasOtherWorker(c *candidate) bool {
	for _, h := range r.hosts {
		usable := h.Alive && !h.Draining && c.size.Fits(h.allocatable)
		if usable && !slices.Contains(c.FailedWorkers, h.Name) {
			return true
		}
	}
	return false
}
