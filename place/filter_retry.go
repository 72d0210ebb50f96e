package place

import "slices"

// retryFilter refuses the workers on which the task failed, as long as it fits on another one. If
// it failed on every worker that it fits, all are allowed again; otherwise it would never run in a
// small deployment.
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

// hasOtherWorker reports whether the task fits on a usable worker on which it has not failed.
func (r *round) hasOtherWorker(c *candidate) bool {
	for _, h := range r.hosts {
		usable := h.Alive && !h.Draining && !h.Cordoned && c.size.Fits(h.allocatable)
		if usable && !slices.Contains(c.FailedWorkers, h.Name) {
			return true
		}
	}
	return false
}
