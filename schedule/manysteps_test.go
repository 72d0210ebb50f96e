package schedule

import (
	"runtime"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a round whose memory grows with the square of a job's steps.
func TestRoundWithManyWaitingSteps(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w", 1000, 1000)
	var steps []*apiv1.JobStep
	for range 4000 {
		steps = append(steps, &apiv1.JobStep{Count: 1, CpuMilli: 2000})
	}
	r.submit("batch", "job", steps...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r.plan()
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > 64<<20 {
		t.Errorf("the round allocates %d bytes", used)
	}
}
