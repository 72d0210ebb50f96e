package place

import "github.com/cairnlift/cairnlift/pipeline"

// candidate is a queued task on its way through the stages.
type candidate struct {
	*Task
	// size is what the task is to be granted.
	size Resources
	// hasOtherWorker: a worker that the task did not fail on could hold it.
	hasOtherWorker bool
}

// hostFilter judges one worker for one task. Explain is only called after a
// refusal that is reported, so that a refusal by the thousand costs no text.
type hostFilter interface {
	Name() string
	Allows(r *round, c *candidate, h *host) bool
	Explain(r *round, c *candidate, h *host) string
}

// taskFilter judges a task before any worker is looked at.
type taskFilter interface {
	Name() string
	// Check returns a pass or a rejection with its reason.
	Check(r *round, c *candidate) pipeline.Status
}

// refusingFilter runs a worker through the filters and returns the one that refused it.
func (r *round) refusingFilter(c *candidate, h *host) hostFilter {
	return r.refusingFilterExcept(c, h, nil)
}

// refusingFilterExcept leaves one filter out.
func (r *round) refusingFilterExcept(c *candidate, h *host, but hostFilter) hostFilter {
	for _, f := range r.p.hostFilters {
		if f != but && !f.Allows(r, c, h) {
			return f
		}
	}
	return nil
}

// checkTask runs a task through the task filters.
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
