package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// lasting is a long-running step that only reserves.
func lasting(count uint32) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, LongRunning: true, Image: "lasting"}
}

// untilRunning plans every tenth of a second until each task of a job's first step has a run,
// and returns how long that took; at most for a minute.
func (r *rig) untilRunning(job string) time.Duration {
	r.t.Helper()
	began := r.now
	for r.now.Sub(began) < time.Minute {
		r.plan()
		if r.machine.Job(job).Occurrences[0].Steps[0].Covered() {
			break
		}
		r.pass(simStep)
	}
	return r.now.Sub(began)
}
