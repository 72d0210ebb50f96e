package place

import (
	"fmt"
	"time"

	"github.com/cairnlift/cairnlift/pipeline"
)

// backoffFilter keeps a task queued until its own retry time, and every task of
// a job that failed on distinct workers until the job's.
type backoffFilter struct{}

func (backoffFilter) Name() string { return "backoff" }

func (backoffFilter) Check(r *round, c *candidate) pipeline.Status {
	if r.now.Before(c.NotBefore) {
		wait := c.NotBefore.Sub(r.now).Round(time.Second)
		return pipeline.Rejected(fmt.Sprintf("retries in %v after %d failures", wait, c.Failures))
	}
	j := r.p.health.jobs[c.Job]
	if j == nil || !j.isPoison() {
		return pipeline.Status{}
	}
	if r.now.Before(j.notBefore) {
		wait := j.notBefore.Sub(r.now).Round(time.Second)
		return pipeline.Rejected(fmt.Sprintf("its job failed on %d workers; tried again in %v", distinctCounterparts(j.failures), wait))
	}
	// After the wait one task of the job is tried, not all of them.
	if r.jobRetries[c.Job] > 0 {
		return pipeline.Rejected("its job failed on several workers; one task is tried first")
	}
	return pipeline.Status{}
}
